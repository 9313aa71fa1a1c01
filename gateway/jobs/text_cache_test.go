package jobs

import (
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/fold/jobs"
	"dandelionsill.org/platform"
)

// textLog is a stream of texts that counts its reads.
type textLog struct {
	platform.Log
	records [][]byte
	reads   int
	askedKB int // sum over all reads
}

func (l *textLog) Read(_ context.Context, _ string, from uint64, kb int, _ time.Duration) (platform.Page, error) {
	l.reads++
	l.askedKB += kb
	page := platform.Page{Next: from, End: uint64(len(l.records))}
	for size := 0; page.Next < page.End; page.Next++ {
		data := l.records[page.Next]
		if size += len(data); size > kb<<10 && len(page.Records) > 0 {
			break
		}
		page.Records = append(page.Records, platform.Record{Offset: page.Next, Data: data})
	}
	return page, nil
}

// write appends the texts of a job's results, each in a record of its own.
func (l *textLog) write(t *testing.T, results, size int) []jobs.Result {
	var out []jobs.Result
	for i := range results {
		item := fmt.Sprint("i", i)
		text := strings.Repeat(fmt.Sprint(i%10), size)
		record := jobs.TextRecord{Writer: jobs.Writer{VM: "a", Incarnation: "1"}, Job: "j", Texts: []jobs.ItemText{{Item: item, Text: text}}}
		data, err := record.Encode()
		require.NoError(t, err)
		out = append(out, jobs.Result{Job: "j", Item: item, Writer: "a", Ref: &jobs.TextRef{Offset: uint64(len(l.records)), Bytes: size}})
		l.records = append(l.records, data)
	}
	return out
}

func requireTexts(t *testing.T, results []jobs.Result, n, size int) {
	require.Equal(t, n, len(results))
	for i, r := range results {
		require.True(t, strings.Repeat(fmt.Sprint(i%10), size) == r.Text, "text %d has %d bytes", i, len(r.Text))
	}
}

// After a power loss no process has the texts of earlier steps in memory, and trainers read them
// again at every entry. A read for each text also returns what follows it, eight times the useful
// bytes, from a log whose bandwidth all entries share.
func TestTextsAreReadFromLogOnce(t *testing.T) {
	log := &textLog{}
	results := log.write(t, 100, 5000)
	filled, err := newTextCache(newReader(log), zap.NewNop()).fill(t.Context(), results)
	require.NoError(t, err)
	requireTexts(t, filled, 100, 5000)
	require.LessOrEqual(t, log.reads, 8)
	require.LessOrEqual(t, log.askedKB, 2*100*5000>>10)
}

// The writer has the texts in memory: the log is not read at all.
func TestTextsComeFromWriter(t *testing.T) {
	log := &textLog{}
	results := log.write(t, 60, 5000)
	writer := newTextCache(newReader(log), zap.NewNop())
	for _, r := range results {
		writer.put(keyOf(&r), strings.Repeat(r.Item[len(r.Item)-1:], 5000))
	}
	server := httptest.NewServer(writer)
	defer server.Close()
	reader := newTextCache(newReader(log), zap.NewNop())
	reader.SetPeers(func(string) string { return strings.TrimPrefix(server.URL, "http://") })
	// The writer gets more time than in production: on a busy machine it may take longer
	// than maxWriterWait, and the log is then read as well.
	fill := &textFill{cache: reader, results: slices.Clone(results)}
	fill.fillFromWriters(t.Context(), time.Minute)
	require.Empty(t, fill.missing())
	requireTexts(t, fill.results, 60, 5000)
	filled, err := reader.fill(t.Context(), results)
	require.NoError(t, err)
	requireTexts(t, filled, 60, 5000)
	require.Zero(t, log.reads)
}

// A record larger than the requested size is read with a larger request.
func TestLargeRecordIsRead(t *testing.T) {
	log := &strictSizeLog{}
	results := log.write(t, 3, 300<<10)
	filled, err := newTextCache(newReader(log), zap.NewNop()).fill(t.Context(), results)
	require.NoError(t, err)
	requireTexts(t, filled, 3, 300<<10)
}

// strictSizeLog never returns more than was requested, not even one record.
type strictSizeLog struct{ textLog }

func (l *strictSizeLog) Read(ctx context.Context, stream string, from uint64, kb int, wait time.Duration) (platform.Page, error) {
	page, err := l.textLog.Read(ctx, stream, from, kb, wait)
	if len(page.Records) == 1 && len(page.Records[0].Data) > kb<<10 {
		page.Records, page.Next = nil, from
	}
	return page, err
}
