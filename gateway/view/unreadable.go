package view

import (
	"sync"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"dandelionsill.org/platform"
)

// Limits of the log lines about unreadable records.
const (
	// unreadableLogBurst and unreadableLogsPerS allow each of a few unreadable records
	// to be logged immediately. If a writer floods the store with them, one line a
	// second is logged.
	unreadableLogBurst = 20
	unreadableLogsPerS = 1
	// maxRememberedRecords bounds the records remembered as logged.
	maxRememberedRecords = 1000
)

// unreadableRecords remembers the unreadable records that were logged. A record that
// stays in the store is read again with each complete list.
type unreadableRecords struct {
	mu     sync.Mutex
	logged map[unreadableRecord]bool
	limit  *rate.Limiter
}

// unreadableRecord identifies an unreadable record.
type unreadableRecord struct {
	feed   platform.Feed
	key    string
	offset uint64
}

// shouldLog reports whether a record should be logged, and remembers it if so.
func (b *unreadableRecords) shouldLog(r unreadableRecord) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit == nil {
		b.limit = rate.NewLimiter(unreadableLogsPerS, unreadableLogBurst)
	}
	if b.logged[r] || !b.limit.Allow() {
		return false
	}
	if b.logged == nil || len(b.logged) >= maxRememberedRecords {
		b.logged = map[unreadableRecord]bool{}
	}
	b.logged[r] = true
	return true
}

// logUnreadable counts a record that can't be decoded, and logs it the first time.
func (v *View) logUnreadable(feed platform.Feed, c platform.Change) {
	unreadable.Add(1)
	if v.unreadable.shouldLog(unreadableRecord{feed, c.RemovedServer, c.Offset}) {
		v.log.Warn("A record can't be read and is left out.", zap.Stringer("feed", feed), zap.String("key", c.RemovedServer),
			zap.Uint64("offset", c.Offset), zap.Error(c.Err))
	}
}
