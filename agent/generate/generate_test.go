package generate

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/grpc"

	"dandelionsill.org/decide/label"
	"dandelionsill.org/kinds"
	"dandelionsill.org/platform"
	"dandelionsill.org/wire/pb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func requireKind(t *testing.T, want kinds.Kind, r *pb.Refusal) {
	t.Helper()
	require.Equal(t, string(want), r.GetKind(), r.GetMessage())
	require.False(t, r.GetNotRun())
}

func requireNotRun(t *testing.T, want kinds.NotRunKind, r *pb.Refusal) {
	t.Helper()
	require.Equal(t, string(want), r.GetKind(), r.GetMessage())
	require.True(t, r.GetNotRun())
}

func allowMixed(r *pb.GenerateRequest) { r.AllowMixed = true }

func TestSample(t *testing.T) {
	b := newTestBench(t)
	c := b.call(sampleRequest("a", nil))
	s := b.engineStream()
	s.sendTokens(b, "abc", 7, "")
	s.sendTokens(b, "de", 7, "stop")
	require.EqualValues(t, 7, c.next().GetStarted().GetVersion())
	done := c.done()
	require.Equal(t, "abcde", done.GetText())
	require.Equal(t, "abcde", c.text)
	require.EqualValues(t, 5, done.GetTokens())
	require.Equal(t, "stop", done.GetFinishReason())
	require.Len(t, done.GetSpans(), 1)
	require.Equal(t, []uint64{7, 0, 5}, []uint64{done.Spans[0].Version, uint64(done.Spans[0].From), uint64(done.Spans[0].To)})
}

// The engine's version is below the trainer's floor. The request is refused as
// not run before anything reaches the engine, so the entry can use another
// server.
func TestStaleWeightsAtStart(t *testing.T) {
	b := newTestBench(t)
	c := b.call(sampleRequest("a", func(r *pb.GenerateRequest) { r.Floor = 8 }))
	requireNotRun(t, kinds.StaleWeights, c.refusal())
	require.Empty(t, b.engine.started)
}

// The engine crashes during a stream. The trainer gets sample_discarded and no
// Done; an application gets backend_failed, after which its entry may start the
// request again.
func TestEngineCrash(t *testing.T) {
	b := newTestBench(t)
	c := b.call(sampleRequest("a", nil))
	s := b.engineStream()
	s.sendTokens(b, "abc", 7, "")
	close(s.chunks)
	requireKind(t, kinds.SampleDiscarded, c.refusal())
	c = b.call(sampleRequest("b", func(r *pb.GenerateRequest) { r.Sample, r.Floor = nil, 0 }))
	close(b.engineStream().chunks)
	requireKind(t, kinds.BackendFailed, c.refusal())
}

// The explain records tell an operator why a stream ended: the engine's
// connection broke, or its body ended cleanly without a finish reason.
func TestBrokenStreamIsExplained(t *testing.T) {
	for err, want := range map[error]string{
		io.EOF:              "the engine's stream broke off",
		io.ErrUnexpectedEOF: "the engine's stream broke off: unexpected EOF",
		errCrash:            errCrash.Error(),
	} {
		require.EqualError(t, streamError(t.Context(), err), want)
	}
	require.ErrorIs(t, streamError(canceledContext(errSwap), io.ErrUnexpectedEOF), errSwap, "the agent's own stop takes precedence")
}

func canceledContext(cause error) context.Context {
	ctx, cancel := context.WithCancelCause(context.Background())
	cancel(cause)
	return ctx
}

// A chunk's version can't be proved. The trainer gets the tokens before the
// chunk, then sample_discarded, and never a Done with a guessed label. The
// stream is cancelled at the engine.
func TestUnprovableChunk(t *testing.T) {
	for name, unprovable := range map[string]platform.Chunk{
		"no version":               {Text: "x", Tokens: 1, Boot: "b1"},
		"engine restarted":         {Text: "x", Tokens: 1, Version: 7, Boot: "b2"},
		"restarted, other weights": {Text: "x", Tokens: 1, Version: 9, Boot: "b2"},
		"stale order obeyed":       {Text: "x", Tokens: 1, Version: 6, Boot: "b1"},
		"version never ordered":    {Text: "x", Tokens: 1, Version: 9, Boot: "b1"},
		"token count":              {Text: "x", Tokens: 0, Version: 7, Boot: "b1"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBench(t)
			c := b.call(sampleRequest("a", allowMixed))
			s := b.engineStream()
			s.sendTokens(b, "abc", 7, "")
			unprovable.Finish = "stop"
			s.send(b, unprovable)
			requireKind(t, kinds.SampleDiscarded, c.refusal())
			require.Equal(t, "abc", c.text)
			s.awaitClosed(b)
		})
	}
}

// The first chunk of a new stream shows that the engine obeyed a stale order and
// returned to an older version. No other stream may start there until the
// engine's state was read and its weights were loaded again.
func TestStaleOrderMakesNotReady(t *testing.T) {
	b := newTestBench(t)
	c := b.call(sampleRequest("a", nil))
	s := b.engineStream()
	reload := make(chan struct{})
	b.engine.mu.Lock()
	b.engine.onLoad = func(info platform.WeightInfo, token uint64) error {
		<-reload
		b.engine.setServing(info.Version, token)
		return nil
	}
	b.engine.mu.Unlock()
	b.engine.setServing(6, 0)
	s.sendTokens(b, "x", 6, "")
	requireKind(t, kinds.SampleDiscarded, c.refusal())
	require.Empty(t, c.text)
	require.Eventually(t, func() bool { return b.keeper.Swapping() }, testTimeout, time.Millisecond)
	var state pb.AgentState
	b.FillState(&state)
	require.False(t, state.Ready)
	require.Zero(t, state.Version)
	close(reload)
	b.awaitServing(7)
}

// A swap fails partway, and the engine then reports the new version for tokens
// of any version. No such chunk may reach the trainer, not even between the
// engine's failure and the moment at which the agent learns of it.
func TestSwapFailsPartway(t *testing.T) {
	b := newTestBench(t)
	c, s := b.startStream(sampleRequest("a", allowMixed))
	loadStarted, failLoad := make(chan struct{}), make(chan struct{})
	b.engine.mu.Lock()
	b.engine.onLoad = func(platform.WeightInfo, uint64) error {
		close(loadStarted)
		<-failLoad
		b.engine.mu.Lock()
		defer b.engine.mu.Unlock()
		b.engine.state.Version, b.engine.state.State = 8, "failed"
		b.engine.onLoad = nil
		return platform.ErrLoadFailed
	}
	b.engine.mu.Unlock()
	b.view.Announce("m", 8)
	<-loadStarted
	s.sendTokens(b, "x", 8, "stop")
	close(failLoad)
	requireKind(t, kinds.SampleDiscarded, c.refusal())
	require.Equal(t, "abc", c.text)
	b.awaitServing(8)
}

// New weights are announced while two samples run. The sample that may be mixed
// continues through the swap and its label names both versions. The other one is
// cancelled at the end of its grace period, and its trainer generates it again.
func TestSwapDuringStreams(t *testing.T) {
	b := newTestBench(t)
	mixedCall, mixedStream := b.startStream(sampleRequest("a", allowMixed))
	unmixedCall, unmixedStream := b.startStream(sampleRequest("b", func(r *pb.GenerateRequest) { r.Sample.Index = 1 }))
	b.view.Announce("m", 8)
	requireKind(t, kinds.SampleDiscarded, unmixedCall.refusal())
	unmixedStream.awaitClosed(b)
	b.awaitServing(8)
	mixedStream.sendTokens(b, "de", 8, "length")
	spans := mixedCall.done().GetSpans()
	require.Len(t, spans, 2)
	require.EqualValues(t, 7, spans[0].Version)
	require.EqualValues(t, 8, spans[1].Version)
	require.EqualValues(t, 3, spans[1].From)
}

// A trainer's floor rises above the version of a running sample. The sample's
// next chunk never reaches the trainer, and the stream at the engine is
// cancelled at once, even if no chunk arrives.
func TestFloorRisesDuringStream(t *testing.T) {
	b := newTestBench(t)
	c, s := b.startStream(sampleRequest("a", nil))
	later := b.call(sampleRequest("b", func(r *pb.GenerateRequest) { r.Sample.Step, r.Floor = 2, 8 }))
	requireNotRun(t, kinds.StaleWeights, later.refusal())
	requireKind(t, kinds.SampleDiscarded, c.refusal())
	require.Equal(t, "abc", c.text)
	s.awaitClosed(b)
}

// The floor rises above the version of a running sample that may be mixed. Its
// engine stream is stopped, and it resumes after its tokens once version 8 is
// verified. No token of version 7 reaches the trainer after the floor rose.
func TestResumeOnNewWeights(t *testing.T) {
	b := newTestBench(t)
	c, s := b.startStream(sampleRequest("a", allowMixed))
	later := b.call(sampleRequest("b", func(r *pb.GenerateRequest) { r.Sample.Step, r.Floor = 2, 8 }))
	requireNotRun(t, kinds.StaleWeights, later.refusal())
	s.awaitClosed(b)
	b.view.Announce("m", 8)
	again := b.engineStream()
	require.Equal(t, "abc", again.job.ResumeText)
	require.Equal(t, 3, again.job.ResumeTokens)
	again.sendTokens(b, "de", 8, "stop")
	done := c.done()
	require.Equal(t, "abcde", done.GetText())
	require.Len(t, done.GetSpans(), 2)
}

// The agent's VM is suspended beyond its lease while a sample runs. After it is
// resumed the agent forwards no chunk, because it verified the weights before
// the suspension.
func TestAgentResumedAfterSuspension(t *testing.T) {
	b := newTestBench(t)
	c, s := b.startStream(sampleRequest("a", nil))
	b.clockOffset.Store(int64(time.Hour))
	select {
	case s.chunks <- platform.Chunk{Text: "x", Tokens: 1, Version: 7, Boot: "b1", Finish: "stop"}:
	case <-s.closed:
	}
	requireKind(t, kinds.SampleDiscarded, c.refusal())
	require.Equal(t, "abc", c.text)
}

// The step's entry seems to have died, and a new owner requests the same sample.
// The old stream ends as superseded, and the new one resumes after its tokens.
// The old owner, which still runs, is refused from then on.
func TestSupersededEpoch(t *testing.T) {
	b := newTestBench(t)
	old, s := b.startStream(sampleRequest("a", nil))
	other := b.call(sampleRequest("b", func(r *pb.GenerateRequest) { r.Sample.Index = 1 }))
	o := b.engineStream()
	claim2 := func(r *pb.GenerateRequest) { r.Epoch = &pb.Epoch{Attempt: 1, Claim: 2} }
	next := b.call(sampleRequest("c", claim2))
	requireKind(t, kinds.Superseded, old.refusal())
	requireKind(t, kinds.Superseded, other.refusal())
	s.awaitClosed(b)
	o.awaitClosed(b)
	s = b.engineStream()
	require.Equal(t, "abc", s.job.ResumeText)
	s.sendTokens(b, "de", 7, "stop")
	require.Equal(t, "abcde", next.done().GetText())
	require.Equal(t, "de", next.text)
	requireKind(t, kinds.Superseded, b.call(sampleRequest("d", nil)).refusal())
	attempt2 := func(r *pb.GenerateRequest) { r.Epoch = &pb.Epoch{Attempt: 2} }
	b.call(sampleRequest("e", attempt2))
	b.engineStream()
	requireKind(t, kinds.Superseded, b.call(sampleRequest("f", claim2)).refusal())
}

// An entry requests the same sample twice: only a hedge may run at the same time
// as the first request.
func TestDuplicateSample(t *testing.T) {
	b := newTestBench(t)
	b.call(sampleRequest("a", nil))
	b.engineStream()
	requireNotRun(t, kinds.BadRequest, b.call(sampleRequest("b", nil)).refusal())
	b.call(sampleRequest("c", func(r *pb.GenerateRequest) { r.Hedge = true }))
	b.engineStream()
}

// The caller disconnects while the engine is between two tokens. The engine's
// slot must be free at once, not only at the next token.
func TestCancelClosesEngineStream(t *testing.T) {
	b := newTestBench(t)
	c := b.call(sampleRequest("a", nil))
	s := b.engineStream()
	c.cancel()
	s.awaitClosed(b)
	requireKind(t, kinds.Cancelled, c.refusal())
}

func TestDeadline(t *testing.T) {
	b := newTestBench(t)
	c := b.call(sampleRequest("a", func(r *pb.GenerateRequest) { r.DeadlineMs = 50 }))
	s := b.engineStream()
	requireKind(t, kinds.DeadlineExceeded, c.refusal())
	s.awaitClosed(b)
}

type heldSink struct {
	grpc.ServerStreamingServer[pb.HeldSample]
	samples []*pb.HeldSample
}

func (s *heldSink) Send(h *pb.HeldSample) error {
	s.samples = append(s.samples, h)
	return nil
}

// The entry dies after a sample was completed. The step's new owner takes the
// sample over instead of generating it again. Once the floor is above the
// sample's version, the sample is dropped.
func TestHeldSamples(t *testing.T) {
	b := newTestBench(t)
	c := b.call(sampleRequest("a", nil))
	b.engineStream().sendTokens(b, "abc", 7, "stop")
	c.done()
	sink := &heldSink{}
	req := &pb.HeldRequest{Trainer: "tr", Step: 1, Epoch: &pb.Epoch{Attempt: 1, Claim: 2}}
	require.NoError(t, b.Held(req, sink))
	require.Len(t, sink.samples, 1)
	require.Equal(t, "abc", sink.samples[0].GetDone().GetText())
	require.Equal(t, label.RequestHash("p", 0, 100), sink.samples[0].GetPromptHash())
	req.Epoch = &pb.Epoch{Attempt: 1}
	require.Error(t, b.Held(req, sink), "the old owner")
	b.view.Announce("m", 9) // floor 8
	require.Eventually(t, func() bool { n, _ := b.held.Size(); return n == 0 }, testTimeout, time.Millisecond)
}

// An entry migrates a stream away from a leaving server: the stream ends, and
// ExportKV returns its text with the KV cache.
func TestExportKV(t *testing.T) {
	b := newTestBench(t)
	c, s := b.startStream(sampleRequest("a", nil))
	reply, err := b.ExportKV(t.Context(), &pb.ExportKVRequest{RequestId: "a"})
	require.NoError(t, err)
	require.Equal(t, "abc", reply.GetText())
	require.Equal(t, "kv of a", string(reply.GetKv()))
	requireKind(t, kinds.Cancelled, c.refusal())
	s.awaitClosed(b)
	resumed := b.call(sampleRequest("b", func(r *pb.GenerateRequest) {
		r.Resume = &pb.Resume{Text: reply.GetText(), Spans: reply.GetSpans(), Kv: reply.GetKv()}
	}))
	s = b.engineStream()
	require.Equal(t, reply.GetKv(), s.job.KV)
	s.sendTokens(b, "de", 7, "stop")
	done := resumed.done()
	require.Equal(t, "abcde", done.GetText())
	require.EqualValues(t, 5, done.GetSpans()[0].GetTo())
}

// Drain refuses new work as not run, and returns only after the sample in flight
// has reached its trainer completely.
func TestDrain(t *testing.T) {
	b := newTestBench(t)
	c := b.call(sampleRequest("a", nil))
	s := b.engineStream()
	drained := make(chan error, 1)
	go func() { drained <- b.Drain(context.Background()) }()
	require.Eventually(t, func() bool {
		r := b.call(sampleRequest("b", func(r *pb.GenerateRequest) { r.Sample.Index = 1; r.DeadlineMs = 1 })).refusal()
		return r.GetKind() == string(kinds.Leaving) && r.GetNotRun()
	}, testTimeout, time.Millisecond)
	require.Empty(t, drained)
	s.sendTokens(b, "abc", 7, "stop")
	require.Equal(t, "abc", c.done().GetText())
	require.NoError(t, <-drained)
}

// Guards against the loss of proved tokens when a swap comes later than SwapWait,
// which any grace period above 5 s causes. How it came about: a sample that may
// be mixed ran on version 7, the floor rose to 8, and the agent answered
// sample_discarded, so the entry dropped tokens that were proved and fresh when
// they were generated. If all engines of a model were late, all running samples
// started from the beginning and the step was delayed by as much again.
func TestLateSwapKeepsProvenTokens(t *testing.T) {
	b := newTestBench(t)
	b.cfg.SwapWait = 50 * time.Millisecond
	c, s := b.startStream(sampleRequest("a", allowMixed))
	later := b.call(sampleRequest("b", func(r *pb.GenerateRequest) { r.Sample.Step, r.Floor = 2, 8 }))
	requireNotRun(t, kinds.StaleWeights, later.refusal())
	s.awaitClosed(b)
	require.NotEqual(t, string(kinds.SampleDiscarded), c.refusal().GetKind())
}

// Guards against resuming after tokens of another seed. How it came about: a
// trainer died and submitted its step again with other seeds; the step's new
// owner requested the same sample of the same prompt, and the agent resumed after
// the tokens of the old seed. The trainer relies on seed+index, but received a
// sample that neither seed generates.
func TestPartialOfAnotherSeedIsNotTakenOver(t *testing.T) {
	b := newTestBench(t)
	b.startStream(sampleRequest("a", func(r *pb.GenerateRequest) { r.Seed = 1 }))
	b.call(sampleRequest("b", func(r *pb.GenerateRequest) {
		r.Seed, r.Epoch = 2, &pb.Epoch{Attempt: 2}
	}))
	require.Empty(t, b.engineStream().job.ResumeText)
}
