package jobs

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/base/budget"
	"dandelionsill.org/fold/jobs"
)

// Load: trainers read more texts than a small VM has room for. The cache stays within its room, the oldest texts go
// first, and those that are gone are read from the log again.
func TestTextCacheStaysWithinItsRoom(t *testing.T) {
	log := &textLog{}
	results := log.write(t, 100, 5000)
	b := budget.New(100_000)
	room, other := b.Share("texts", 40_000), b.Share("other", 0)
	require.True(t, other.Acquire(60_000))
	cache := newTextCache(newReader(log), zap.NewNop())
	cache.SetRoom(room)
	for _, r := range results {
		cache.put(keyOf(&r), fmt.Sprintf("%05000s", r.Item))
		require.LessOrEqual(t, room.InUse(), int64(40_000))
		require.EqualValues(t, cache.size(), room.InUse())
	}
	_, known := cache.get(keyOf(&results[91]))
	require.False(t, known)
	_, known = cache.get(keyOf(&results[92]))
	require.True(t, known)
	other.Release(60_000)
	read := 0
	for read < 20 {
		filled, err := cache.fill(t.Context(), results[read:min(read+10, 20)])
		require.NoError(t, err)
		for i := range filled {
			require.Len(t, filled[i].Text, 5000)
		}
		read += len(filled)
	}
	require.EqualValues(t, cache.size(), room.InUse())
}

// Guards against requests that are refused for lack of room because of texts that could be read again: the cache
// leaves what is common to the others.
func TestTextCacheLeavesCommonRoom(t *testing.T) {
	b := budget.New(100_000)
	room, bodies := b.Share("texts", 20_000), b.Share("bodies", 20_000)
	cache := newTextCache(newReader(&textLog{}), zap.NewNop())
	cache.SetRoom(room)
	for i := range 30 {
		cache.put(textKey{item: fmt.Sprint(i)}, fmt.Sprintf("%05000d", i))
	}
	require.EqualValues(t, 20_000, room.InUse())
	require.True(t, bodies.Acquire(80_000))
}

// Guards against a text without any room that stays in the cache, or keeps others out of it.
func TestTextWithoutRoomIsNotKept(t *testing.T) {
	room := budget.New(10).Share("texts", 10)
	cache := newTextCache(newReader(&textLog{}), zap.NewNop())
	cache.SetRoom(room)
	cache.put(textKey{item: "a"}, "small")
	cache.put(textKey{item: "b"}, "larger than the room")
	cache.put(textKey{item: "c"}, "small too")
	require.EqualValues(t, 9, room.InUse())
	require.Equal(t, 9, cache.size())
}

// Guards against a gauge that loses the texts of a partition that does not take them.
func TestQueuedTextsAreCounted(t *testing.T) {
	l := &unavailableLog{unavailable: textPart{part: 2}.stream()}
	o := newStrictOutbox(nil)
	o.log = l
	require.Zero(t, o.queuedBytes())
	j := &jobs.Job{Spec: jobs.Spec{ID: "j"}, ItemsRef: jobs.TextRef{Partition: 2}}
	o.addProgress(j, 7, jobs.Progress{Item: "i", Events: []jobs.Event{{Data: "1234567890", Version: 1}}})
	want := int64(10 + eventOverheadBytes + entryOverheadBytes)
	require.Equal(t, want, o.queuedBytes())
	require.False(t, o.flushAppender(t.Context(), o.appenders[textPart{part: 2}]))
	require.Equal(t, want, o.queuedBytes())
	l.unavailable = ""
	require.True(t, o.flushAppender(t.Context(), o.appenders[textPart{part: 2}]))
	require.Zero(t, o.queuedBytes())
}
