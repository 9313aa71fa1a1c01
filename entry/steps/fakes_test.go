package steps_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"dandelionsill.org/decide/label"
	"dandelionsill.org/entry/fleet"
	"dandelionsill.org/kinds"
	"dandelionsill.org/platform"
	"dandelionsill.org/wire/pb"
	"dandelionsill.org/wire/refusal"
)

// fakeAgent is an in-process engine behind pb.AgentClient. Token i of a sample is
// "PROMPT#SEED.i@VERSION ", so the text shows which version generated each token.
type fakeAgent struct {
	pb.AgentClient    // panics on unexpected calls
	name              string
	slots             int
	rate              float64 // tokens/s of one stream
	chunk             int     // tokens per chunk
	slowdownPerStream float64 // seconds added to a token's time by each other stream
	length            func(seed uint64) int
	answerScore       func(ctx context.Context, n int) (string, error)
	refuseScore       func(body []byte, n int) *kinds.Error // refuses the n-th call

	mu              sync.Mutex
	version         uint64
	down            bool
	frozen          chan struct{} // streams hang until it is closed
	slotFreed       chan struct{}
	streamCount     int // includes queued streams
	active          int
	requests        int
	generatedTokens int
	scoreCalls      int
	held            []*pb.HeldSample
	refuseRequest   func(req *pb.GenerateRequest, n int) *kinds.Error // refuses the n-th request
	corruptResult   func(d *pb.GenerateDone) bool                     // if true, the result's spans omit the last token
	corruptChunk    func(req *pb.GenerateRequest, c *pb.GenerateChunk)
	crashed         chan struct{} // closed when the agent crashes
	ignoresCancel   bool          // streams continue after they are cancelled
	finishedAt      map[string]time.Time
	streams         map[string]*stream
	epoch           [2]uint64 // newest owner seen: attempt, claim
}

func newAgent(name string, slots int, rate float64) *fakeAgent {
	return &fakeAgent{
		name: name, slots: slots, rate: rate, chunk: 4, version: 1,
		length:    func(uint64) int { return 40 },
		slotFreed: make(chan struct{}), crashed: make(chan struct{}),
		finishedAt: map[string]time.Time{}, streams: map[string]*stream{},
	}
}

func (a *fakeAgent) crash() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down, a.held = true, nil
	close(a.crashed)
	a.crashed = make(chan struct{})
}

func (a *fakeAgent) state() *pb.AgentState {
	a.mu.Lock()
	defer a.mu.Unlock()
	return &pb.AgentState{
		Name: a.name, Ready: true, Version: a.version, Slots: int32(a.slots),
		Running: int32(min(a.streamCount, a.slots)), Queued: int32(max(0, a.streamCount-a.slots)), StreamTokensPerS: a.rate,
	}
}

// cancelled is closed when the stream is cancelled; nil if the agent ignores that.
func (s *stream) cancelled() <-chan struct{} {
	if s.agent.ignoresCancel {
		return nil
	}
	return s.ctx.Done()
}

func (s *stream) stopped() <-chan struct{} {
	if s.agent.ignoresCancel {
		return nil
	}
	return s.stopCtx.Done()
}

// finishTimes returns when each text was complete.
func (a *fakeAgent) finishTimes() map[string]time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.finishedAt)
}

type stream struct {
	grpc.ClientStream
	agent       *fakeAgent
	ctx         context.Context
	req         *pb.GenerateRequest
	crashed     chan struct{}
	text        string
	tokens      int
	spans       []*pb.Span
	phase       int
	active      bool // guarded by agent.mu
	releaseOnce sync.Once
	stopCtx     context.Context
	stop        context.CancelFunc
	ended       chan struct{}
}

func (a *fakeAgent) Generate(ctx context.Context, req *pb.GenerateRequest, _ ...grpc.CallOption) (grpc.ServerStreamingClient[pb.GenerateReply], error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down {
		return nil, status.Error(codes.Unavailable, "connection refused")
	}
	a.requests++
	s := &stream{agent: a, ctx: ctx, req: req, crashed: a.crashed}
	if a.refuseRequest != nil {
		if err := a.refuseRequest(req, a.requests); err != nil {
			return refusedStream{err: err}, nil
		}
	}
	epoch := [2]uint64{req.GetEpoch().GetAttempt(), req.GetEpoch().GetClaim()}
	if slices.Compare(epoch[:], a.epoch[:]) < 0 {
		return refusedStream{err: errOlderOwner}, nil
	}
	if epoch != a.epoch {
		a.epoch = epoch // like a real agent: a newer owner ends the streams of older ones
		for _, other := range a.streams {
			other.stop()
		}
	}
	if a.version < req.GetFloor() {
		return refusedStream{err: kinds.Hold().Refuse(kinds.StaleWeights, "serves %d", a.version)}, nil
	}
	a.streamCount++
	s.stopCtx, s.stop = context.WithCancel(context.Background())
	s.ended = make(chan struct{})
	a.streams[req.GetRequestId()] = s
	context.AfterFunc(ctx, s.release)
	if r := req.GetResume(); len(r.GetSpans()) > 0 {
		s.text, s.spans = r.GetText(), r.GetSpans()
		s.tokens = int(s.spans[len(s.spans)-1].GetTo())
	}
	return s, nil
}

func (s *stream) release() {
	s.releaseOnce.Do(func() {
		s.agent.mu.Lock()
		defer s.agent.mu.Unlock()
		s.agent.streamCount--
		delete(s.agent.streams, s.req.GetRequestId())
		close(s.ended)
		s.stop()
		if s.active {
			s.agent.active--
		}
		close(s.agent.slotFreed)
		s.agent.slotFreed = make(chan struct{})
	})
}

// awaitSlot waits for a slot; the order of waiting streams is arbitrary.
func (s *stream) awaitSlot() error {
	for {
		s.agent.mu.Lock()
		free := s.agent.slotFreed
		if s.agent.active < s.agent.slots {
			s.agent.active++
			s.active = true
			s.agent.mu.Unlock()
			return nil
		}
		s.agent.mu.Unlock()
		select {
		case <-free:
		case <-s.crashed:
			s.release()
			return status.Error(codes.Unavailable, "connection lost")
		case <-s.ctx.Done():
			return status.FromContextError(s.ctx.Err()).Err()
		}
	}
}

func (s *stream) pause(d time.Duration) error {
	s.agent.mu.Lock()
	frozen := s.agent.frozen
	s.agent.mu.Unlock()
	if frozen != nil {
		select {
		case <-frozen:
		case <-s.cancelled():
			return status.FromContextError(s.ctx.Err()).Err()
		}
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-s.crashed:
		s.release()
		return status.Error(codes.Unavailable, "connection lost")
	case <-s.stopped():
		return errExported
	case <-s.cancelled():
		return status.FromContextError(s.ctx.Err()).Err()
	}
}

var errOlderOwner = kinds.New(kinds.Superseded, "a newer owner of the step has been seen")

var errExported = kinds.New(kinds.Cancelled, "exported")

func (s *stream) Recv() (*pb.GenerateReply, error) {
	a := s.agent
	s.phase++
	if s.phase == 1 {
		if err := s.awaitSlot(); err != nil {
			return nil, err
		}
		return &pb.GenerateReply{Part: &pb.GenerateReply_Started{Started: &pb.GenerateStarted{Version: a.state().Version}}}, s.pause(0)
	}
	length := min(a.length(s.req.GetSeed()), int(s.req.GetMaxTokens()))
	if s.tokens >= length {
		defer s.release()
		done := &pb.GenerateDone{FinishReason: "stop", Tokens: uint32(s.tokens), Spans: s.spans, Text: s.text}
		a.mu.Lock()
		defer a.mu.Unlock()
		a.finishedAt[s.text] = time.Now()
		if a.corruptResult != nil && a.corruptResult(done) {
			done = &pb.GenerateDone{Tokens: done.Tokens, Text: done.Text, Spans: []*pb.Span{{Version: 1, To: done.Tokens - 1}}}
			return &pb.GenerateReply{Part: &pb.GenerateReply_Done{Done: done}}, nil
		}
		a.held = append(a.held, &pb.HeldSample{Id: s.req.GetSample(), Done: done, PromptHash: label.RequestHash(s.req.GetPrompt(), s.req.GetSeed(), s.req.GetMaxTokens())})
		return &pb.GenerateReply{Part: &pb.GenerateReply_Done{Done: done}}, nil
	}
	n := min(a.chunk, length-s.tokens)
	a.mu.Lock()
	secondsPerToken := 1/a.rate + a.slowdownPerStream*float64(min(a.streamCount, a.slots)-1)
	a.mu.Unlock()
	if err := s.pause(time.Duration(float64(n) * secondsPerToken * float64(time.Second))); err == errExported {
		s.release()
		a.mu.Lock()
		defer a.mu.Unlock()
		if s.req.GetEpoch().GetAttempt() < a.epoch[0] || s.req.GetEpoch().GetClaim() < a.epoch[1] {
			return refusedStream{err: errOlderOwner}.Recv()
		}
		return refusedStream{err: errExported}.Recv()
	} else if err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	c := &pb.GenerateChunk{Tokens: uint32(n), Version: a.version}
	for i := range n {
		c.Text += token(s.req.GetPrompt(), s.req.GetSeed(), s.tokens+i, a.version)
	}
	if k := len(s.spans) - 1; k >= 0 && s.spans[k].Version == a.version {
		s.spans[k].To = uint32(s.tokens + n)
	} else {
		s.spans = append(s.spans, &pb.Span{Version: a.version, From: uint32(s.tokens), To: uint32(s.tokens + n)})
	}
	s.text += c.Text
	s.tokens += n
	a.generatedTokens += n
	if a.corruptChunk != nil {
		a.corruptChunk(s.req, c)
	}
	return &pb.GenerateReply{Part: &pb.GenerateReply_Chunk{Chunk: c}}, nil
}

func token(prompt string, seed uint64, i int, version uint64) string {
	return fmt.Sprintf("%s#%d.%d@%d ", prompt, seed, i, version)
}

// parseTokens returns the version of each token of a text. It checks that the text is the
// beginning of the output for a prompt and seed.
func parseTokens(prompt string, seed uint64, text string) ([]uint64, error) {
	var versions []uint64
	for i, tok := range strings.Fields(text) {
		_, v, _ := strings.Cut(tok, "@")
		n, err := strconv.ParseUint(v, 10, 64)
		if err != nil || tok+" " != token(prompt, seed, i, n) {
			return nil, fmt.Errorf("token %d is %q", i, tok)
		}
		versions = append(versions, n)
	}
	return versions, nil
}

type refusedStream struct {
	grpc.ClientStream
	err *kinds.Error
}

func (r refusedStream) Recv() (*pb.GenerateReply, error) {
	return &pb.GenerateReply{Part: &pb.GenerateReply_Refusal{Refusal: refusal.Encode(r.err)}}, nil
}

type heldStream struct {
	grpc.ClientStream
	remaining []*pb.HeldSample
}

func (h *heldStream) Recv() (*pb.HeldSample, error) {
	if len(h.remaining) == 0 {
		return nil, io.EOF
	}
	next := h.remaining[0]
	h.remaining = h.remaining[1:]
	return next, nil
}

func (a *fakeAgent) Held(_ context.Context, req *pb.HeldRequest, _ ...grpc.CallOption) (grpc.ServerStreamingClient[pb.HeldSample], error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down {
		return nil, status.Error(codes.Unavailable, "connection refused")
	}
	h := &heldStream{}
	for _, s := range a.held {
		if s.GetId().GetTrainer() == req.GetTrainer() && s.GetId().GetStep() == req.GetStep() {
			h.remaining = append(h.remaining, s)
		}
	}
	return h, nil
}

// ExportKV stops a stream and returns its text without a KV cache.
func (a *fakeAgent) ExportKV(_ context.Context, req *pb.ExportKVRequest, _ ...grpc.CallOption) (*pb.ExportKVReply, error) {
	a.mu.Lock()
	s := a.streams[req.GetRequestId()]
	stuck := a.down || a.frozen != nil
	a.mu.Unlock()
	if s == nil || stuck {
		return nil, status.Error(codes.NotFound, "no such stream")
	}
	s.stop()
	<-s.ended
	return &pb.ExportKVReply{Text: s.text, Spans: s.spans}, nil
}

// Call answers as a scorer.
func (a *fakeAgent) Call(ctx context.Context, _ ...grpc.CallOption) (grpc.BidiStreamingClient[pb.CallSend, pb.CallReply], error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.scoreCalls++
	return &callStream{agent: a, ctx: ctx, n: a.scoreCalls}, nil
}

type callStream struct {
	grpc.ClientStream
	agent *fakeAgent
	ctx   context.Context
	n     int
	phase int
	body  []byte
}

func (c *callStream) Send(m *pb.CallSend) error {
	c.body = m.GetOpen().GetBody()
	return nil
}
func (c *callStream) CloseSend() error { return nil }
func (c *callStream) Recv() (*pb.CallReply, error) {
	c.phase++
	switch c.phase {
	case 1:
		if c.agent.refuseScore != nil {
			if err := c.agent.refuseScore(c.body, c.n); err != nil {
				return &pb.CallReply{Part: &pb.CallReply_Refusal{Refusal: refusal.Encode(err)}}, nil
			}
		}
		return &pb.CallReply{Part: &pb.CallReply_Head{Head: &pb.CallHead{Status: 200}}}, nil
	case 2:
		body, err := c.agent.answerScore(c.ctx, c.n)
		return &pb.CallReply{Part: &pb.CallReply_Body{Body: []byte(body)}}, err
	}
	return &pb.CallReply{Part: &pb.CallReply_End{End: &pb.CallEnd{}}}, nil
}

// fakeFleet reports its agents without delay and counts the work in flight.
type fakeFleet struct {
	mu       sync.Mutex
	agents   []*fakeAgent
	scorers  []*fakeAgent
	inFlight map[string]int
	changed  chan struct{}
}

func (f *fakeFleet) Snapshot() *fleet.Snapshot {
	snap := &fleet.Snapshot{ByPool: map[string][]*fleet.Server{}, ByName: map[string]*fleet.Server{}}
	add := func(pool string, a *fakeAgent) {
		s := &fleet.Server{Name: a.name, State: a.state(), Client: a, InFlightAtReport: f.InFlightNow(a.name)}
		snap.ByPool[pool] = append(snap.ByPool[pool], s)
		snap.ByName[a.name] = s
	}
	for _, a := range f.agents {
		add("model/m", a)
	}
	for _, a := range f.scorers {
		add("service/judge", a)
	}
	return snap
}

func (f *fakeFleet) Begin(name string) func(fleet.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight[name]++
	return func(fleet.Outcome) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.inFlight[name]--
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

func (f *fakeFleet) InFlightNow(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inFlight[name]
}

func (f *fakeFleet) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// fakeLog is a log that can be made unavailable.
type fakeLog struct {
	mu       sync.Mutex
	records  []platform.Record
	down     bool
	appended chan struct{}
}

func (l *fakeLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, platform.ErrLogUnavailable
	}
	at := uint64(len(l.records))
	l.records = append(l.records, platform.Record{Offset: at, Data: data})
	close(l.appended)
	l.appended = make(chan struct{})
	return at, nil
}

func (l *fakeLog) Read(ctx context.Context, _ string, from uint64, _ int, wait time.Duration) (platform.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return platform.Page{}, platform.ErrLogUnavailable
	}
	if from >= uint64(len(l.records)) {
		more := l.appended
		l.mu.Unlock()
		select {
		case <-more:
		case <-time.After(wait):
		case <-ctx.Done():
		}
		l.mu.Lock()
	}
	n := uint64(len(l.records))
	return platform.Page{Records: l.records[min(from, n):n], Next: n, End: n}, nil
}
