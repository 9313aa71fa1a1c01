package fanout

import (
	"bytes"
	"strconv"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"dandelionsill.org/platform"
)

// splitPair splits a test record "key=value".
func splitPair(data []byte) (string, []byte, error) {
	key, value, ok := bytes.Cut(data, []byte("="))
	if !ok {
		return "", nil, errors.New("no key")
	}
	return string(key), value, nil
}

// isSameWord ignores a number after the value's first word.
func isSameWord(old, new []byte) bool {
	a, _, _ := bytes.Cut(old, []byte(" "))
	b, _, _ := bytes.Cut(new, []byte(" "))
	return bytes.Equal(a, b)
}

// pageOf returns a page of records from an offset on that reaches the log's end.
func pageOf(from uint64, data ...string) platform.Page {
	page := platform.Page{Next: from + uint64(len(data)), End: from + uint64(len(data))}
	for i, d := range data {
		page.Records = append(page.Records, platform.Record{Offset: from + uint64(i), Data: []byte(d)})
	}
	return page
}

func dataOf(page platform.Page) []string {
	var data []string
	for _, r := range page.Records {
		data = append(data, string(r.Data))
	}
	return data
}

// Guards against records that are served twice or not at all when reads overlap, and against
// records that are served to readers from before a gap.
func TestBufferServesRecordsFromAnyOffset(t *testing.T) {
	var b buffer
	_, ok := b.read(0, 0, 100)
	require.False(t, ok, "nothing was read yet")
	b.add(5, pageOf(5, "f", "g"), time.Second)
	b.add(6, pageOf(6, "g", "h"), 2*time.Second)
	page, ok := b.read(3*time.Second, 6, 100)
	require.True(t, ok)
	require.Equal(t, []string{"g", "h"}, dataOf(page))
	require.EqualValues(t, 8, page.Next)
	require.Equal(t, time.Second, page.Age)
	page, _ = b.read(0, 5, 2)
	require.Equal(t, []string{"f", "g"}, dataOf(page))
	require.EqualValues(t, 7, page.Next)
	_, ok = b.read(0, 4, 100)
	require.False(t, ok)
	page, ok = b.read(0, 9, 100)
	require.True(t, ok, "a reader that is ahead waits")
	require.EqualValues(t, 9, page.Next)
	b.add(20, pageOf(20, "u"), 3*time.Second)
	_, ok = b.read(0, 8, 100)
	require.False(t, ok)
}

// Guards against an age that is that of a page that did not reach the log's end.
func TestBufferIsNotFreshBeforeLogsEnd(t *testing.T) {
	var b buffer
	page := pageOf(0, "a")
	page.End = 9
	b.add(0, page, time.Second)
	_, ok := b.endAge(time.Second)
	require.False(t, ok)
}

// Guards against a memory that grows with the log.
func TestBufferKeepsLastRecords(t *testing.T) {
	var b buffer
	for i := range uint64(10) {
		b.add(i, pageOf(i, string(make([]byte, 1<<20))), time.Second)
	}
	require.LessOrEqual(t, b.bytes, maxBufferBytes)
	_, ok := b.read(0, 0, 100)
	require.False(t, ok)
	page, ok := b.read(0, b.start, 1)
	require.True(t, ok)
	require.Len(t, page.Records, 1)
}

// Guards against the heartbeats of all servers being sent to all processes, and against a change
// that is taken for a heartbeat because a list contained it first.
func TestBufferLeavesOutRepeats(t *testing.T) {
	b := buffer{keyOf: splitPair, isRepeat: isSameWord}
	b.replaceNewest(platform.Page{Next: 10, Records: []platform.Record{{Offset: 3, Data: []byte("a=ready 1")}, {Offset: 9, Data: []byte("b=ready 1")}}}, 0)
	b.add(10, pageOf(10, "a=ready 2", "b=draining 2", "a=", "a=ready 3", "c=ready 1", "a=ready 4"), time.Second)
	page, ok := b.read(0, 10, 1000)
	require.True(t, ok)
	require.Equal(t, []string{"b=draining 2", "a=", "a=ready 3", "c=ready 1"}, dataOf(page))
	require.EqualValues(t, 16, page.Next)
	changed := b.changed.Next()
	b.add(16, pageOf(16, "c=ready 2"), time.Second)
	require.False(t, b.hasRecord(16), "a repeat ends no wait")
	select {
	case <-changed:
		require.Fail(t, "a repeat wakes waiting readers")
	default:
	}
	require.True(t, b.hasRecord(13))
	require.True(t, b.hasRecord(0), "what is no longer kept may have been a record")

	list := platform.Page{Next: 19, Records: []platform.Record{{Offset: 18, Data: []byte("b=gone 9")}}}
	b.replaceNewest(list, 0)
	b.add(17, pageOf(17, "b=gone 8", "b=gone 9"), time.Second)
	page, _ = b.read(0, 17, 1000)
	require.Equal(t, []string{"b=gone 8", "b=gone 9"}, dataOf(page))
}

// Guards against a list for other processes that lacks a change or contains a removed key.
func TestBufferKeepsNewestRecords(t *testing.T) {
	b := buffer{keyOf: splitPair}
	b.add(0, pageOf(0, "a=1"), time.Second)
	_, ok := b.readNewest(0)
	require.False(t, ok, "records before the first one are not known")
	b.replaceNewest(platform.Page{Next: 1, Records: []platform.Record{{Offset: 0, Data: []byte("a=1")}}}, 0)
	for i, data := range []string{"b=1", "a=", "c=1", "b=2"} {
		b.add(uint64(i+1), pageOf(uint64(i+1), data), time.Second)
	}
	page, ok := b.readNewest(0)
	require.True(t, ok)
	require.ElementsMatch(t, []string{"b=2", "c=1"}, dataOf(page))
	require.EqualValues(t, 5, page.Next)
	b.add(9, pageOf(9, "d=1"), time.Second)
	_, ok = b.readNewest(0)
	require.False(t, ok, "records were missed")
	b.replaceNewest(platform.Page{Next: 20, Records: []platform.Record{{Offset: 15, Data: []byte("d=2")}}}, 0)
	b.add(20, pageOf(20, "e=1"), time.Second)
	page, ok = b.readNewest(0)
	require.True(t, ok, "the list contains what was missed")
	require.ElementsMatch(t, []string{"d=2", "e=1"}, dataOf(page))
}

// BenchmarkHeartbeats measures a process that follows 1,500 servers for others.
func BenchmarkHeartbeats(b *testing.B) {
	const servers = 1500
	buf := buffer{keyOf: splitPair, isRepeat: isSameWord}
	buf.replaceNewest(platform.Page{}, 0)
	for i := range b.N {
		buf.add(uint64(i), pageOf(uint64(i), "server-"+strconv.Itoa(i%servers)+"=ready "+strconv.Itoa(i)), time.Second)
	}
}
