package jobs_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/decide/fanout"
	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/gateway/reach"
	"dandelionsill.org/kinds"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// cutOff returns a running monitor of a process that reaches nothing.
func cutOff(t *testing.T) *reach.Monitor {
	m := reach.New(reach.Config{
		FailureDomain: "a", SinceAnswer: func() time.Duration { return time.Hour }, Logger: zap.NewNop(),
		Peers: func() []fanout.Member { return []fanout.Member{{VM: "b", Addr: "b:1", FailureDomain: "b"}} },
		Dial:  func(context.Context, string) error { return context.DeadlineExceeded },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { m.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return m
}

// Guards against calls that wait for their deadline at an entry that is cut off from the log while
// callers reach it, and against "not run" where another entry may have accepted the job. Load: a
// submission, reads and an end that all wait when the cut is noticed.
func TestCutEntryAnswersPromptly(t *testing.T) {
	t.Parallel()
	pf := gatewaytest.NewPlatform(t, 1, 1)
	pf.Engines[0].EventInterval = time.Hour
	e := newEntry(t, pf, "a")
	e.submit(t, "known", 2, 1)
	require.Eventually(t, func() bool { _, _, err := e.service.Results(t.Context(), "known", 0, 0); return err == nil }, gatewaytest.MaxWait, time.Millisecond)
	pf.Store.Fail(hostedtest.StoreFaults{Down: true})
	e.service.SetReach(cutOff(t))
	ctx, cancel := context.WithTimeout(context.Background(), gatewaytest.MaxWait)
	defer cancel()
	answers := make(chan *kinds.Error, 20)
	calls := 0
	call := func(answer func() *kinds.Error) {
		calls++
		go func() { answers <- answer() }()
	}
	spec, items := decode(t, "new", hostedtest.Job("new", "m", 2, 1))
	call(func() *kinds.Error { return e.service.Submit(ctx, spec, items) })
	call(func() *kinds.Error { return e.service.End(ctx, "known") })
	for range 8 {
		call(func() *kinds.Error { _, _, err := e.service.Results(ctx, "known", 0, gatewaytest.MaxWait); return err })
		call(func() *kinds.Error { return e.service.CheckAccess(ctx, "unknown", "") })
	}
	for range calls {
		err := <-answers
		require.NotNil(t, err)
		require.NotEqual(t, string(kinds.NotFound), err.Kind())
	}
	require.NoError(t, ctx.Err())
	require.False(t, e.service.Submit(ctx, spec, items).NotRun())
}
