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

// truncatedLog keeps only the records from an offset on.
type truncatedLog struct {
	Log

	mu      sync.Mutex
	first   uint64
	records [][]byte
}

func (l *truncatedLog) Read(ctx context.Context, _ string, from uint64, _ int, wait time.Duration) (platform.Page, error) {
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

func (l *truncatedLog) add(t *testing.T, r jobs.Record) {
	t.Helper()
	data, err := r.Encode()
	require.NoError(t, err)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, data)
}

// truncate drops all records before an offset.
func (l *truncatedLog) truncate(before uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.first = before
}

func acceptRecord(id string, items ...string) jobs.Record {
	a := &jobs.Acceptance{Spec: jobs.Spec{ID: id, SubmittedMS: time.Now().UnixMilli()}, Parts: 1}
	for _, item := range items {
		a.Items = append(a.Items, jobs.ItemRef{ID: item})
	}
	return jobs.Record{Writer: jobs.Writer{VM: "a", Incarnation: "1"}, Acceptance: a}
}

func resultRecord(job, item string) jobs.Record {
	return jobs.Record{Writer: jobs.Writer{VM: "a", Incarnation: "1"}, Results: []jobs.Result{{Job: job, Item: item, Text: item}}}
}

// followToEnd reads to the log's current end, as Run does.
func followToEnd(t *testing.T, index *Index, l *truncatedLog) {
	t.Helper()
	page, err := l.Read(t.Context(), Stream, index.nextOffset, 0, 0)
	if err != nil {
		require.ErrorIs(t, err, platform.ErrTruncated)
		index.skipTo(page.First, time.Now())
		page, err = l.Read(t.Context(), Stream, index.nextOffset, 0, 0)
		require.NoError(t, err)
	}
	index.foldPage(page, time.Now())
}

// An entry is suspended for longer than the log keeps records. Meanwhile another job was
// accepted, and the first result of a job that it knows was listed. After it resumes, it must
// neither report "not found" for the one, nor list the second result of the other at the first
// one's position. Until all jobs from before the gap have ended, both are answered with 503,
// and the entry is not ready.
func TestNoNotFoundAfterMissedRecords(t *testing.T) {
	log := &truncatedLog{}
	log.add(t, acceptRecord("known", "i0", "i1"))
	index := NewIndex(log, zap.NewNop())
	service := NewService(index, log, jobs.Writer{VM: "b", Incarnation: "1"}, 1, 600, zap.NewNop())
	followToEnd(t, index, log)
	require.Nil(t, service.checkExists(t.Context(), "known"))

	log.add(t, acceptRecord("missed", "m0"))
	log.add(t, resultRecord("known", "i0"))
	log.truncate(3)
	log.add(t, resultRecord("known", "i1"))
	log.add(t, acceptRecord("later", "l0"))
	followToEnd(t, index, log)

	require.False(t, index.CaughtUp(), "the index counts as caught up after a gap")
	for _, job := range []string{"known", "missed"} {
		_, _, err := service.Results(t.Context(), job, 0, 0)
		require.NotNil(t, err, job)
		require.Equal(t, string(kinds.LogUnavailable), err.Kind(), job)
		err = service.Submit(t.Context(), jobs.Spec{ID: job}, nil)
		require.NotNil(t, err, job)
		require.False(t, err.NotRun(), "job %s may run elsewhere", job)
	}
	require.Nil(t, service.checkExists(t.Context(), "later"))

	index.gapEndsAt = time.Now()
	require.True(t, index.CaughtUp())
	require.Equal(t, string(kinds.NotFound), service.checkExists(t.Context(), "missed").Kind())
}

// The owner of a job follows the log too slowly and misses records. It still sends heartbeats,
// so no other process claims the job, but it no longer knows that it owns the job: without a
// release the step would make no progress.
func TestOwnerReleasesJobsAfterMissedRecords(t *testing.T) {
	log := &truncatedLog{}
	log.add(t, acceptRecord("j", "i0"))
	index := NewIndex(log, zap.NewNop())
	writer := jobs.Writer{VM: "a", Incarnation: "1"}
	pool := backend.NewPool(func(http.Header) string { return "" })
	r := NewRunner(index, log, forward.New(view.New(nil, zap.NewNop()), pool, "zone-a", zap.NewNop()), writer, 1, 600, zap.NewNop())
	followToEnd(t, index, log)
	r.active["j"] = map[string]*activeItem{"i0": newActiveItem(index.state.Jobs["j"], jobs.Item{}, jobs.Output{})}

	log.truncate(1)
	log.add(t, acceptRecord("other", "o0"))
	log.truncate(2)
	followToEnd(t, index, log)
	r.reconcileJobs(t.Context(), time.Now())
	require.Empty(t, r.active)
	require.Equal(t, []string{"j"}, r.out.pending.Releases)
}
