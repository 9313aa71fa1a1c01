package jobs

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/fold/jobs"
	"dandelionsill.org/platform"
)

// strictLog refuses records and appends of sizes that the platform refuses.
type strictLog struct {
	platform.Log
	records [][]byte
	refuse  int // number of appends to refuse as invalid
}

const (
	platformRecordBytes = 262144
	platformAppendBytes = 2097152
)

func (l *strictLog) AppendAll(_ context.Context, _ string, records [][]byte) (uint64, error) {
	if l.refuse > 0 {
		l.refuse--
		return 0, platform.ErrLogRefused
	}
	size := 0
	for _, r := range records {
		size += len(r) + 4
		if len(r) > platformRecordBytes {
			return 0, platform.ErrLogRefused
		}
	}
	if size > platformAppendBytes {
		return 0, platform.ErrLogRefused
	}
	l.records = append(l.records, records...)
	return 0, nil
}

func newStrictOutbox(l *strictLog) *outbox {
	return newOutbox(l, jobs.Writer{VM: "a", Incarnation: "1"}, 4, func() bool { return true }, func(textKey, string) {}, zap.NewNop())
}

// flushAll appends everything that an outbox holds.
func flushAll(t *testing.T, o *outbox) bool {
	for _, l := range o.appenders {
		require.True(t, o.flushAppender(t.Context(), l))
	}
	return o.flush(t.Context(), false)
}

// A job with more items than one record may name is split; its parts are appended together,
// and name each item once.
func TestManyItemsAreSplit(t *testing.T) {
	s := NewService(NewIndex(&strictLog{}, zap.NewNop()), &strictLog{}, jobs.Writer{VM: "a", Incarnation: "1"}, 4, 600, zap.NewNop())
	items := make([]jobs.Item, 2500)
	for i := range items {
		items[i] = jobs.Item{Request: jobs.Request{ID: fmt.Sprintf("%064d", i)}, Group: fmt.Sprintf("%032d", i/8)}
	}
	records, err := s.encodeSubmission(jobs.Spec{ID: "j", Total: len(items)}, items, jobs.TextRef{})
	require.NoError(t, err)
	require.Len(t, records, 3)
	state := jobs.New()
	for i, data := range records {
		require.Less(t, len(data), platformRecordBytes)
		record, err := jobs.Decode(data)
		require.NoError(t, err)
		state.Apply(uint64(i), record)
	}
	require.Equal(t, len(items), state.Jobs["j"].Total)
}

// The log is unavailable for seconds while 250 samples run. The backlog is larger than one
// append may be: sent in one piece it was refused forever, and blocked every later result.
func TestBacklogIsSplit(t *testing.T) {
	l := &strictLog{}
	o := newStrictOutbox(l)
	o.add(false, func(r *jobs.Record) {
		for i := range 20_000 {
			r.Starts = append(r.Starts, jobs.Start{Job: "j", Item: fmt.Sprint(i), Server: "i-0123456789"})
		}
		r.Releases = []string{"j"}
	})
	for i := range 500 {
		o.addResult(&jobs.Job{Spec: jobs.Spec{ID: "j"}}, 7, jobs.Result{Job: "j", Item: fmt.Sprint(i), Text: strings.Repeat("x", 20_000)})
	}
	require.True(t, flushAll(t, o))
	starts, results, texts, last := 0, 0, 0, -1
	for i, data := range l.records {
		if text, err := jobs.DecodeText(data); err == nil {
			texts += len(text.Texts)
			continue
		}
		r, err := jobs.Decode(data)
		require.NoError(t, err)
		starts += len(r.Starts)
		results += len(r.Results)
		for _, res := range r.Results {
			require.NotNil(t, res.Ref)
		}
		if len(r.Releases) > 0 {
			last = i
		}
	}
	require.Equal(t, 20_000, starts)
	require.Equal(t, 500, results)
	require.Equal(t, 500, texts)
	require.Equal(t, len(l.records)-1, last, "a job is released after its texts")
}

// Records that the log refuses as invalid would block all later ones; they are dropped, and
// the next ones are appended.
func TestRefusedRecordsDoNotBlockLaterOnes(t *testing.T) {
	l := &strictLog{refuse: 1}
	o := newStrictOutbox(l)
	o.add(false, func(r *jobs.Record) { r.Ends = []string{"bad"} })
	require.True(t, o.flush(t.Context(), false))
	o.add(false, func(r *jobs.Record) { r.Ends = []string{"good"} })
	require.True(t, o.flush(t.Context(), false))
	require.Len(t, l.records, 1)
	require.Contains(t, string(l.records[0]), "good")
}

func TestEmptyOutboxAppendsNothing(t *testing.T) {
	l := &strictLog{}
	o := newStrictOutbox(l)
	require.False(t, o.flush(t.Context(), false))
	require.True(t, o.flush(t.Context(), true), "heartbeat without other content")
	require.Len(t, l.records, 1)
}

// unavailableLog refuses the appends to one partition.
type unavailableLog struct {
	strictLog
	unavailable string
	streams     []string
}

func (l *unavailableLog) AppendAll(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	if stream == l.unavailable {
		return 0, platform.ErrLogUnavailable
	}
	for range records {
		l.streams = append(l.streams, stream)
	}
	return l.strictLog.AppendAll(ctx, stream, records)
}

// A job's partition is unavailable while its samples generate events. Complete texts go to another
// partition at once. Partial texts wait and keep their order, and none of them is lost or
// appended twice. The job is released only after them.
func TestPartialTextsWaitForTheirPartition(t *testing.T) {
	l := &unavailableLog{unavailable: textPart{part: 2}.stream()}
	o := newOutbox(l, jobs.Writer{VM: "a", Incarnation: "1"}, 4, func() bool { return true }, func(textKey, string) {}, zap.NewNop())
	j := &jobs.Job{Spec: jobs.Spec{ID: "j"}, ItemsRef: jobs.TextRef{Partition: 2}}
	event := func(i int) jobs.Progress {
		return jobs.Progress{Item: "slow", From: i, Events: []jobs.Event{{Data: fmt.Sprint(i), Version: 1}}}
	}
	for i := range 5 {
		o.addProgress(j, 7, event(i))
		o.addResult(j, 7, jobs.Result{Job: "j", Item: fmt.Sprint("whole", i), Text: "text"})
		require.False(t, o.flushAppender(t.Context(), o.appenders[textPart{part: 2}]))
	}
	o.addRelease(j)
	require.False(t, o.flushAppender(t.Context(), o.appenders[textPart{part: 2}]))
	require.Len(t, o.pending.Results, 5)
	require.Empty(t, o.pending.Releases)
	for _, r := range o.pending.Results {
		require.NotEqual(t, 2, r.Ref.Partition)
	}
	l.unavailable = ""
	require.True(t, o.flushAppender(t.Context(), o.appenders[textPart{part: 2}]))
	require.Equal(t, []string{"j"}, o.pending.Releases)
	texts := jobs.NewTexts("j")
	for i, data := range l.records {
		record, err := jobs.DecodeText(data)
		require.NoError(t, err)
		if len(record.Progress) > 0 {
			require.Equal(t, textPart{part: 2}.stream(), l.streams[i])
		}
		texts.Apply(record)
	}
	require.Len(t, texts.LongestOutput("slow", 1).Events, 5)
}

// A job's partition is unavailable. Its owner loses the job, owns it again, and resumes from
// the one event that the log had, in another run. The events that it had generated before belong to
// its earlier claim: under the new one they would count as events of the new run.
func TestEventsOfTwoClaimsAreSeparate(t *testing.T) {
	l := &unavailableLog{unavailable: textPart{part: 2}.stream()}
	o := newOutbox(l, jobs.Writer{VM: "a", Incarnation: "1"}, 4, func() bool { return true }, func(textKey, string) {}, zap.NewNop())
	j := &jobs.Job{Spec: jobs.Spec{ID: "j"}, ItemsRef: jobs.TextRef{Partition: 2}}
	events := func(run string, from, to int) jobs.Progress {
		p := jobs.Progress{Item: "i", From: from}
		for k := from; k < to; k++ {
			p.Events = append(p.Events, jobs.Event{Data: fmt.Sprint(run, k), Version: 1})
		}
		return p
	}
	o.addProgress(j, 7, events("first", 0, 4))
	require.False(t, o.flushAppender(t.Context(), o.appenders[textPart{part: 2}]))
	o.addProgress(j, 9, events("second", 0, 6))
	l.unavailable = ""
	require.True(t, o.flushAppender(t.Context(), o.appenders[textPart{part: 2}]))
	texts := jobs.NewTexts("j")
	for _, data := range l.records {
		record, err := jobs.DecodeText(data)
		require.NoError(t, err)
		texts.Apply(record)
	}
	require.Equal(t, events("second", 0, 6).Events, texts.LongestOutput("i", 1).Events)
}
