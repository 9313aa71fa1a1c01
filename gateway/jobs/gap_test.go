package jobs

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/fold/jobs"
	"dandelionsill.org/gateway/backend"
	"dandelionsill.org/gateway/forward"
	"dandelionsill.org/gateway/view"
	"dandelionsill.org/kinds"
	"dandelionsill.org/platform"
)

// shortLog keeps only its records from an offset on.
type shortLog struct {
	Log

	mu      sync.Mutex
	first   uint64
	records [][]byte
}

func (l *shortLog) Read(ctx context.Context, _ string, from uint64, _ int, wait time.Duration) (platform.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := uint64(len(l.records))
	if from < l.first {
		return platform.Page{First: l.first}, platform.ErrTruncated
	}
	page := platform.Page{Next: end, End: end}
	for offset := from; offset < end; offset++ {
		page.Records = append(page.Records, platform.Record{Offset: offset, Data: l.records[offset]})
	}
	return page, nil
}

func (l *shortLog) add(t *testing.T, r jobs.Record) {
	t.Helper()
	data, err := r.Encode()
	require.NoError(t, err)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, data)
}

// forget drops all records before an offset.
func (l *shortLog) forget(before uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.first = before
}

func accept(id string, items ...string) jobs.Record {
	a := &jobs.Acceptance{Spec: jobs.Spec{ID: id, SubmittedMS: time.Now().UnixMilli()}, Parts: 1}
	for _, item := range items {
		a.Items = append(a.Items, jobs.ItemRef{ID: item})
	}
	return jobs.Record{Writer: jobs.Writer{Node: "a", Life: "1"}, Acceptance: a}
}

func result(job, item string) jobs.Record {
	return jobs.Record{Writer: jobs.Writer{Node: "a", Life: "1"}, Results: []jobs.Result{{Job: job, Item: item, Text: item}}}
}

// read follows the log to its present end, as Run does.
func read(t *testing.T, b *Book, l *shortLog) {
	t.Helper()
	page, err := l.Read(t.Context(), Stream, b.next, 0, 0)
	if err != nil {
		require.ErrorIs(t, err, platform.ErrTruncated)
		b.skip(page.First, time.Now())
		page, err = l.Read(t.Context(), Stream, b.next, 0, 0)
		require.NoError(t, err)
	}
	b.fold(page, time.Now())
}

// An entry is suspended for longer than the log keeps records. Meanwhile another
// job was accepted, and the first result of one that it knows was listed. When it
// wakes it would tell a trainer "not found" of the one, and list the second result
// of the other at the first's position. It is sure of neither: both get 503, and it
// is not ready, until all jobs of before are over.
func TestMissedRecordsMakeNothingNotFound(t *testing.T) {
	log := &shortLog{}
	log.add(t, accept("known", "i0", "i1"))
	book := NewBook(log, zap.NewNop())
	service := NewService(book, log, jobs.Writer{Node: "b", Life: "1"}, 1, 600, zap.NewNop())
	read(t, book, log)
	require.Nil(t, service.known(t.Context(), "known"))

	log.add(t, accept("missed", "m0"))
	log.add(t, result("known", "i0"))
	log.forget(3)
	log.add(t, result("known", "i1"))
	log.add(t, accept("later", "l0"))
	read(t, book, log)

	require.False(t, book.CaughtUp(), "it counts as ready")
	for _, job := range []string{"known", "missed"} {
		_, _, err := service.Results(t.Context(), job, 0, 0)
		require.NotNil(t, err, job)
		require.Equal(t, string(kinds.LogUnavailable), err.Kind(), job)
		err = service.Submit(t.Context(), jobs.Spec{ID: job}, nil)
		require.NotNil(t, err, job)
		require.False(t, err.NotRun(), "%s runs elsewhere", job)
	}
	require.Nil(t, service.known(t.Context(), "later"))

	book.gapOver = time.Now()
	require.True(t, book.CaughtUp())
	require.Equal(t, string(kinds.NotFound), service.known(t.Context(), "missed").Kind())
}

// The owner of a job follows the log too slowly and misses records of it. It goes on
// to show that it lives, so that nobody claims the job, while it no longer knows that
// the job is its own: the step would stand still. It gives the job up.
func TestOwnerThatMissedRecordsGivesItsJobsUp(t *testing.T) {
	log := &shortLog{}
	log.add(t, accept("j", "i0"))
	book := NewBook(log, zap.NewNop())
	me := jobs.Writer{Node: "a", Life: "1"}
	pool := backend.NewPool(func(http.Header) string { return "" })
	r := NewRunner(book, log, forward.New(view.New(nil, zap.NewNop()), pool, "zone-a", zap.NewNop()), me, 1, 600, zap.NewNop())
	read(t, book, log)
	r.works["j"] = map[string]*work{"i0": newWork(book.state.Jobs["j"], jobs.Item{}, jobs.Output{})}

	log.forget(1)
	log.add(t, accept("other", "o0"))
	log.forget(2)
	read(t, book, log)
	r.adopt(t.Context(), time.Now())
	require.Empty(t, r.works)
	require.Equal(t, []string{"j"}, r.out.pending.Releases)
}
