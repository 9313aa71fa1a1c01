package view

import (
	"sync"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"dandelionsill.org/platform"
)

// Bounds of the lines about records that can't be read.
const (
	// unreadableLogBurst and badPerS let each of a few bad records be told at once; a writer
	// that floods the store with them gets a line a second.
	unreadableLogBurst = 20
	unreadableLogsPerS = 1
	// maxRememberedRecords bounds the records that are not told again.
	maxRememberedRecords = 1000
)

// unreadableRecords are the unreadable records that were told of. One that stays in the
// store is met again with each whole list.
type unreadableRecords struct {
	mu     sync.Mutex
	logged map[unreadableRecord]bool
	limit  *rate.Limiter
}

type unreadableRecord struct {
	feed   platform.Feed
	key    string
	offset uint64
}

// shouldLog tells whether a line is due for a record.
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

// logUnreadable notes a record that names nothing.
func (v *View) logUnreadable(feed platform.Feed, c platform.Change) {
	unreadable.Add(1)
	if v.unreadable.shouldLog(unreadableRecord{feed, c.Gone, c.Offset}) {
		v.log.Warn("A record can't be read and is left out.", zap.Stringer("feed", feed), zap.String("key", c.Gone),
			zap.Uint64("offset", c.Offset), zap.Error(c.Err))
	}
}
