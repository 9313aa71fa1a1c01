package view

import (
	"sync"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"dandelionsill.org/platform"
)

// Bounds of the lines about records that can't be read.
const (
	// badBurst and badPerS let each of a few bad records be told at once; a writer
	// that floods the store with them gets a line a second.
	badBurst = 20
	badPerS  = 1
	// badRemembered bounds the records that are not told again.
	badRemembered = 1000
)

// badRecords are the unreadable records that were told of. One that stays in the
// store is met again with each whole list.
type badRecords struct {
	mu    sync.Mutex
	told  map[badRecord]bool
	limit *rate.Limiter
}

type badRecord struct {
	feed   platform.Feed
	key    string
	offset uint64
}

// first tells whether a line is due for a record.
func (b *badRecords) first(r badRecord) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit == nil {
		b.limit = rate.NewLimiter(badPerS, badBurst)
	}
	if b.told[r] || !b.limit.Allow() {
		return false
	}
	if b.told == nil || len(b.told) >= badRemembered {
		b.told = map[badRecord]bool{}
	}
	b.told[r] = true
	return true
}

// unreadable notes a record that names nothing.
func (v *View) unreadable(feed platform.Feed, c platform.Change) {
	unreadable.Add(1)
	if v.bad.first(badRecord{feed, c.Gone, c.Offset}) {
		v.log.Warn("A record can't be read and is left out.", zap.Stringer("feed", feed), zap.String("key", c.Gone),
			zap.Uint64("offset", c.Offset), zap.Error(c.Err))
	}
}
