package generate

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"dandelionsill.org/agent/admission"
	"dandelionsill.org/agent/held"
	"dandelionsill.org/agent/weights"
	"dandelionsill.org/confsync"
	"dandelionsill.org/manifest"
	"dandelionsill.org/platform"
	"dandelionsill.org/wire/pb"
)

const testTimeout = 20 * time.Second

// fakeEngine passes each stream that is started to the test, which sends its
// chunks.
type fakeEngine struct {
	platform.Engine
	started chan *fakeStream

	mu          sync.Mutex
	state       platform.EngineState
	stateSource platform.Engine                                    // provides the state, if set
	onLoad      func(info platform.WeightInfo, token uint64) error // replaces setServing in LoadWeights, if set
}

func (e *fakeEngine) Generate(ctx context.Context, job platform.GenerateJob) (platform.Stream, error) {
	s := &fakeStream{job: job, ctx: ctx, chunks: make(chan platform.Chunk), closed: make(chan struct{})}
	e.started <- s
	return s, nil
}

func (e *fakeEngine) State(ctx context.Context) (platform.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stateSource != nil {
		return e.stateSource.State(ctx)
	}
	return e.state, nil
}

// setStateSource makes State return another engine's state from now on.
func (e *fakeEngine) setStateSource(stateSource platform.Engine) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stateSource = stateSource
}

func (e *fakeEngine) LoadWeights(_ context.Context, info platform.WeightInfo, _ io.Reader, token uint64) error {
	e.mu.Lock()
	onLoad := e.onLoad
	e.mu.Unlock()
	if onLoad != nil {
		return onLoad(info, token)
	}
	e.setServing(info.Version, token)
	return nil
}

func (e *fakeEngine) setServing(version, token uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Version, e.state.Order, e.state.State = version, token, "serving"
}

func (e *fakeEngine) Events(context.Context, uint64) ([]platform.CacheEvent, error) { return nil, nil }
func (e *fakeEngine) ExportKV(_ context.Context, id string) ([]byte, error) {
	return []byte("kv of " + id), nil
}

var errCrash = errors.New("connection reset")

// fakeStream is an engine stream whose chunks come from the test.
type fakeStream struct {
	job    platform.GenerateJob
	ctx    context.Context
	chunks chan platform.Chunk // closed by the test: the engine crashed
	closed chan struct{}
	once   sync.Once
}

func (s *fakeStream) Next() (platform.Chunk, error) {
	select {
	case c, ok := <-s.chunks:
		if !ok {
			return platform.Chunk{}, errCrash
		}
		return c, nil
	case <-s.closed:
		return platform.Chunk{}, io.ErrClosedPipe
	}
}

func (s *fakeStream) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

// fakeLog is a log with a single stream in memory.
type fakeLog struct {
	mu      sync.Mutex
	records []platform.Record
}

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, platform.Record{Offset: uint64(len(l.records)), Data: data})
	return uint64(len(l.records) - 1), nil
}

func (l *fakeLog) Read(_ context.Context, _ string, from uint64, _ int, _ time.Duration) (platform.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := uint64(len(l.records))
	return platform.Page{Records: l.records[min(from, end):], Next: end, End: end}, nil
}

// fakeStore serves weights of one byte, the version.
type fakeStore struct{ platform.WeightStore }

func (fakeStore) Latest(context.Context, string) (platform.WeightInfo, error) {
	return platform.WeightInfo{}, errors.New("the store does not know the latest version")
}

func (fakeStore) Fetch(_ context.Context, model string, version uint64) (io.ReadCloser, platform.WeightInfo, error) {
	data := []byte{byte(version)}
	sum := sha256.Sum256(data)
	info := platform.WeightInfo{Model: model, Version: version, Bytes: 1, Digest: hex.EncodeToString(sum[:])}
	return io.NopCloser(bytes.NewReader(data)), info, nil
}

// fakeViewer is a confsync.Viewer in which a test announces versions.
type fakeViewer struct{ v atomic.Pointer[confsync.View] }

func (v *fakeViewer) View() *confsync.View     { return v.v.Load() }
func (v *fakeViewer) Changed() <-chan struct{} { return nil }
func (v *fakeViewer) Announce(model string, version uint64) {
	next := *v.v.Load()
	next.Versions = map[string]uint64{model: version}
	v.v.Store(&next)
}

// testBench is a Handler with a fake engine, view and clock that the test
// controls.
type testBench struct {
	*Handler
	t           testing.TB
	engine      *fakeEngine
	view        *fakeViewer
	keeper      *weights.Keeper
	clockOffset atomic.Int64 // how far the keeper's clock is ahead, in ns
}

func newTestBench(t testing.TB) *testBench {
	b := &testBench{t: t, view: &fakeViewer{}, engine: &fakeEngine{
		started: make(chan *fakeStream, 100),
		state:   platform.EngineState{Boot: "b1", Model: "m", Version: 7, State: "serving"},
	}}
	b.view.v.Store(&confsync.View{
		Manifest: &manifest.Manifest{
			Fleet:    manifest.Fleet{Weigh: manifest.WeighIdle},
			Models:   map[string]manifest.Model{"m": {Name: "m"}},
			Trainers: map[string]manifest.Trainer{"tr": {Name: "tr", Model: "m", StalenessBound: 1}},
		},
		Versions: map[string]uint64{"m": 7},
	})
	b.keeper = weights.New(weights.Config{
		Server: "vm1", Model: "m", Engine: b.engine, Store: fakeStore{}, Log: &fakeLog{}, View: b.view,
		ReadBackInterval: time.Millisecond, SlotLength: time.Millisecond,
		Now: func() time.Time { return time.Now().Add(time.Duration(b.clockOffset.Load())) },
	})
	b.Handler = New(Config{
		Name: "vm1", Engine: b.engine, View: b.view, Weights: b.keeper,
		Queue: admission.New(admission.Config{Slots: 8, MaxQueue: 8}), Held: held.New(held.Config{}),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { b.keeper.Run(ctx) })
	wg.Go(func() { b.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	b.awaitServing(7)
	require.Eventually(t, func() bool { return b.keeper.Token() != 0 }, testTimeout, time.Millisecond)
	return b
}

// awaitServing waits until the keeper serves the version or a newer one.
func (b *testBench) awaitServing(version uint64) {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, _, err := b.keeper.WaitFresh(ctx, version)
	require.NoError(b.t, err)
}

// call is the caller's side of one Generate call.
type call struct {
	grpc.ServerStreamingServer[pb.GenerateReply]
	b       *testBench
	ctx     context.Context
	cancel  context.CancelFunc
	replies chan *pb.GenerateReply
	text    string
}

func (c *call) Context() context.Context { return c.ctx }
func (c *call) Send(r *pb.GenerateReply) error {
	c.replies <- r
	return nil
}

// call starts a Generate call.
func (b *testBench) call(req *pb.GenerateRequest) *call {
	c := &call{b: b, replies: make(chan *pb.GenerateReply, 1000)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	b.t.Cleanup(c.cancel)
	go func() {
		defer close(c.replies)
		_ = b.Generate(req, c)
	}()
	return c
}

// next waits for the next reply; it returns nil after the last one.
func (c *call) next() *pb.GenerateReply {
	c.b.t.Helper()
	select {
	case r := <-c.replies:
		c.text += r.GetChunk().GetText()
		return r
	case <-time.After(testTimeout):
		require.Fail(c.b.t, "no reply")
		return nil
	}
}

// awaitFirstChunk waits for Started and the first chunk, which must have the
// given text.
func (c *call) awaitFirstChunk(text string) {
	c.b.t.Helper()
	require.NotNil(c.b.t, c.next().GetStarted())
	require.Equal(c.b.t, text, c.next().GetChunk().GetText())
}

// refusal waits for the refusal that ends the call and returns it.
func (c *call) refusal() *pb.Refusal {
	c.b.t.Helper()
	for {
		r := c.next()
		require.NotNil(c.b.t, r, "ended without a refusal")
		require.Nil(c.b.t, r.GetDone(), "done instead of a refusal")
		if r.GetRefusal() != nil {
			return r.GetRefusal()
		}
	}
}

// done waits for the Done that ends the call and returns it.
func (c *call) done() *pb.GenerateDone {
	c.b.t.Helper()
	for {
		r := c.next()
		require.NotNil(c.b.t, r, "ended without done")
		require.Nil(c.b.t, r.GetRefusal(), "%v", r.GetRefusal())
		if r.GetDone() != nil {
			return r.GetDone()
		}
	}
}

// engineStream waits for the next stream at the engine and returns it.
func (b *testBench) engineStream() *fakeStream {
	b.t.Helper()
	select {
	case s := <-b.engine.started:
		return s
	case <-time.After(testTimeout):
		require.Fail(b.t, "nothing reached the engine")
		return nil
	}
}

// startStream starts a call and waits until its caller has received "abc",
// generated on version 7.
func (b *testBench) startStream(req *pb.GenerateRequest) (*call, *fakeStream) {
	b.t.Helper()
	c := b.call(req)
	s := b.engineStream()
	s.sendTokens(b, "abc", 7, "")
	c.awaitFirstChunk("abc")
	return c, s
}

// sendTokens makes the engine generate one token per letter.
func (s *fakeStream) sendTokens(b *testBench, text string, version uint64, finish string) {
	b.t.Helper()
	s.send(b, platform.Chunk{Text: text, Tokens: len(text), Version: version, Boot: "b1", Finish: finish})
}

func (s *fakeStream) send(b *testBench, c platform.Chunk) {
	b.t.Helper()
	select {
	case s.chunks <- c:
	case <-s.closed:
		require.Fail(b.t, "the stream was closed before "+c.Text)
	case <-time.After(testTimeout):
		require.Fail(b.t, "the handler does not read the stream")
	}
}

// awaitClosed waits until the handler has closed the stream.
func (s *fakeStream) awaitClosed(b *testBench) {
	b.t.Helper()
	select {
	case <-s.closed:
	case <-time.After(testTimeout):
		require.Fail(b.t, "the stream is still open at the engine")
	}
}

// sampleRequest returns a request for a sample of trainer "tr", with changes.
func sampleRequest(id string, change func(*pb.GenerateRequest)) *pb.GenerateRequest {
	req := &pb.GenerateRequest{
		RequestId: id, Caller: "tr", Model: "m", Prompt: "p", MaxTokens: 100, Floor: 6,
		Sample: &pb.SampleID{Trainer: "tr", Step: 1, Group: "g"}, Epoch: &pb.Epoch{Attempt: 1},
	}
	if change != nil {
		change(req)
	}
	return req
}
