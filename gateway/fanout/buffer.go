package fanout

import (
	"sort"
	"sync"
	"time"

	"dandelionsill.org/gateway/signal"
	"dandelionsill.org/platform"
)

// maxBufferBytes bounds the records that a process keeps of one stream for others: a minute of
// a large fleet's jobs, so that processes that start need not read the past from the log.
const maxBufferBytes = 4 << 20

// recordOverheadBytes is the memory that a kept record needs beside its data.
const recordOverheadBytes = 64

// buffer holds the records of a stream that this process has read last. It is safe for
// concurrent use.
type buffer struct {
	changed signal.Signal
	// keyOf splits a record of a keyed stream; nil: the stream is not keyed.
	keyOf func(data []byte) (key string, value []byte, err error)
	// isRepeat reports whether the new value of a key means the same as the old one.
	isRepeat func(old, new []byte) bool

	mu     sync.Mutex
	loaded bool
	// records are those from start to next, by offset, except repeats.
	records     []platform.Record
	bytes       int
	start, next uint64
	// endedAt is when the log was last known to end at next.
	endedAt time.Duration
	// newest is the newest record of each key before newestNext; nil: not known.
	newest     map[string]platform.Record
	newestNext uint64
}

// add adds a page that was read from an offset on. endedAt is when the log was known to end at
// the page's End.
func (b *buffer) add(from uint64, page platform.Page, endedAt time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before, isReset := b.bytes, !b.loaded || from > b.next
	if isReset {
		if from > b.newestNext {
			b.newest = nil // it lacks the records between
		}
		b.loaded, b.records, b.bytes, b.start, b.next = true, nil, 0, from, from
	}
	for _, r := range page.Records {
		if r.Offset >= b.next {
			b.addRecord(r)
		}
	}
	b.next = max(b.next, page.Next)
	b.newestNext = max(b.newestNext, b.next)
	if b.next >= page.End {
		b.endedAt = max(b.endedAt, endedAt)
	}
	if isReset || b.bytes > before {
		b.changed.Notify()
	}
	b.dropOldest()
}

// addRecord adds the next record; b.mu is held.
func (b *buffer) addRecord(r platform.Record) {
	if b.keyOf != nil && b.isKnown(r) {
		return
	}
	b.records = append(b.records, r)
	b.bytes += len(r.Data) + recordOverheadBytes
}

// isKnown updates the newest records of a keyed stream, and reports whether r repeats the one of
// its key; b.mu is held.
func (b *buffer) isKnown(r platform.Record) bool {
	key, value, err := b.keyOf(r.Data)
	if err != nil || b.newest == nil {
		return false
	}
	old, exists := b.newest[key]
	if exists && old.Offset >= r.Offset {
		return false // from a list that was read later; readers of this stream lack it
	}
	if len(value) == 0 {
		delete(b.newest, key)
		return false
	}
	b.newest[key] = r
	if !exists || b.isRepeat == nil {
		return false
	}
	_, oldValue, err := b.keyOf(old.Data)
	return err == nil && b.isRepeat(oldValue, value)
}

// dropOldest keeps the records within maxBufferBytes; b.mu is held.
func (b *buffer) dropOldest() {
	dropped := 0
	for b.bytes > maxBufferBytes && dropped < len(b.records) {
		b.bytes -= len(b.records[dropped].Data) + recordOverheadBytes
		b.start = b.records[dropped].Offset + 1
		dropped++
	}
	if dropped > 0 {
		b.records = append([]platform.Record(nil), b.records[dropped:]...)
	}
}

// replaceNewest sets the newest record of each key from a complete list.
func (b *buffer) replaceNewest(page platform.Page, readAt time.Duration) {
	newest := make(map[string]platform.Record, len(page.Records))
	for _, r := range page.Records {
		if key, _, err := b.keyOf(r.Data); err == nil {
			newest[key] = r
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.newest, b.newestNext = newest, page.Next
	if !b.loaded {
		b.loaded, b.start, b.next, b.endedAt = true, page.Next, page.Next, readAt
	}
}

// endAge returns how long ago the log was known to end at the buffer's end; false: the log's end
// was not read yet.
func (b *buffer) endAge(now time.Duration) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now - b.endedAt, b.endedAt > 0
}

// isAfter reports whether the buffer ends after an offset.
func (b *buffer) isAfter(from uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.next > from
}

// hasRecord reports whether there is a record from an offset on, or may have been one that is no
// longer kept. Repeats do not count: readers would otherwise be answered at each heartbeat of any
// server.
func (b *buffer) hasRecord(from uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return from < b.start || len(b.records) > 0 && b.records[len(b.records)-1].Offset >= from
}

// read returns records from an offset on with at most maxBytes, but at least one if there is
// one; false: those from the offset on are no longer kept. The page's Age is relative to now.
func (b *buffer) read(now time.Duration, from uint64, maxBytes int) (platform.Page, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	page := platform.Page{First: b.start, End: b.next, Next: max(from, b.next), Age: now - b.endedAt}
	if !b.loaded || from < b.start {
		return page, false
	}
	size := 0
	first := sort.Search(len(b.records), func(i int) bool { return b.records[i].Offset >= from })
	for _, r := range b.records[first:] {
		if size += len(r.Data); len(page.Records) > 0 && size > maxBytes {
			page.Next = r.Offset
			break
		}
		page.Records = append(page.Records, r)
	}
	return page, true
}

// readNewest returns the newest record of each key; false: they are not known. The page's Age is
// relative to now.
func (b *buffer) readNewest(now time.Duration) (platform.Page, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.loaded || b.newest == nil {
		return platform.Page{}, false
	}
	page := platform.Page{Records: make([]platform.Record, 0, len(b.newest)), Next: b.next, End: b.next, First: b.start, Age: now - b.endedAt}
	for _, r := range b.newest {
		page.Records = append(page.Records, r)
	}
	return page, true
}
