package capacity

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"dandelionsill.org/confsync"
	"dandelionsill.org/entry/fleet"
	"dandelionsill.org/entry/steps"
	"dandelionsill.org/manifest"
	"dandelionsill.org/trainer"
	"dandelionsill.org/wire/pb"
)

const (
	trainerToken  = "token"
	groupSamples  = 16
	tokenBytes    = 4 // of text
	sampleVersion = 7
)

// stepFleet is a fleet whose engines run in this process.
type stepFleet struct {
	snapshot *fleet.Snapshot
	inFlight map[string]*atomic.Int64

	mu      sync.Mutex
	changed chan struct{}
}

func newStepFleet(servers, slots int, engine pb.AgentClient) *stepFleet {
	f := &stepFleet{
		snapshot: &fleet.Snapshot{ByPool: map[string][]*fleet.Server{}, ByName: map[string]*fleet.Server{}},
		inFlight: map[string]*atomic.Int64{}, changed: make(chan struct{}),
	}
	for i := range servers {
		state := agentState(agentName(i), 0)
		state.Version, state.Slots, state.Running, state.Queued = sampleVersion, int32(slots), 0, 0
		sv := &fleet.Server{Name: state.Name, FailureDomain: failureDomain(i), Kind: "engine", Serves: "model-0", State: state, Client: engine}
		f.snapshot.ByPool["model/model-0"] = append(f.snapshot.ByPool["model/model-0"], sv)
		f.snapshot.ByName[sv.Name], f.inFlight[sv.Name] = sv, &atomic.Int64{}
	}
	return f
}

func (f *stepFleet) Snapshot() *fleet.Snapshot   { return f.snapshot }
func (f *stepFleet) InFlightNow(name string) int { return int(f.inFlight[name].Load()) }

func (f *stepFleet) Begin(name string) func(fleet.Outcome) {
	f.inFlight[name].Add(1)
	return func(fleet.Outcome) { f.inFlight[name].Add(-1); f.notifyChanged() }
}

func (f *stepFleet) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *stepFleet) notifyChanged() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}

// pacedEngine is an engine whose streams generate a chunk at each tick and never end.
// Without a tick a stream ends at once after one chunk with the complete text.
type pacedEngine struct {
	pb.AgentClient // nil: methods that a step does not call panic
	tick           time.Duration
	tokens         int
}

func (p *pacedEngine) Generate(ctx context.Context, _ *pb.GenerateRequest, _ ...grpc.CallOption) (grpc.ServerStreamingClient[pb.GenerateReply], error) {
	return &pacedStream{engine: p, ctx: ctx}, nil
}

func (p *pacedEngine) ExportKV(context.Context, *pb.ExportKVRequest, ...grpc.CallOption) (*pb.ExportKVReply, error) {
	return nil, errNoCache
}

// errNoCache says that the engine has no cache to export. A migrated stream starts
// from the beginning.
var errNoCache = errors.New("no KV cache")

type pacedStream struct {
	grpc.ClientStream
	engine   *pacedEngine
	ctx      context.Context
	position int
}

func (s *pacedStream) Recv() (*pb.GenerateReply, error) {
	s.position++
	p := s.engine
	switch {
	case s.position == 1:
		return &pb.GenerateReply{Part: &pb.GenerateReply_Started{Started: &pb.GenerateStarted{Version: sampleVersion}}}, nil
	case p.tick > 0:
		select {
		case <-time.After(p.tick):
		case <-s.ctx.Done():
			return nil, s.ctx.Err()
		}
		return chunk("word word word word word word wo", 8), nil
	case s.position == 2:
		return chunk(strings.Repeat("word", p.tokens), p.tokens), nil
	case s.position == 3:
		done := &pb.GenerateDone{
			FinishReason: "stop", Tokens: uint32(p.tokens), Text: strings.Repeat("word", p.tokens),
			Spans: []*pb.Span{{Version: sampleVersion, To: uint32(p.tokens)}},
		}
		return &pb.GenerateReply{Part: &pb.GenerateReply_Done{Done: done}}, nil
	}
	return nil, io.EOF
}

func chunk(text string, tokens int) *pb.GenerateReply {
	c := &pb.GenerateChunk{Text: text, Tokens: uint32(tokens), Version: sampleVersion}
	return &pb.GenerateReply{Part: &pb.GenerateReply_Chunk{Chunk: c}}
}

func newSteps(f fleet.Fleet, trainers int) *steps.Steps {
	sum := sha256.Sum256([]byte(trainerToken))
	m := &manifest.Manifest{
		Models:   map[string]manifest.Model{"model-0": {Name: "model-0", MaxTokens: 1 << 20}},
		Trainers: map[string]manifest.Trainer{},
	}
	for i := range trainers {
		name := fmt.Sprintf("trainer-%d", i)
		t := manifest.Trainer{Name: name, Model: "model-0", AllowMixed: true, StalenessBound: 2, TokenSHA256: hex.EncodeToString(sum[:])}
		if i > 0 {
			sum = sha256.Sum256([]byte(fmt.Sprint(trainerToken, i)))
			t.TokenSHA256 = hex.EncodeToString(sum[:])
		}
		m.Trainers[name] = t
	}
	return steps.New(steps.Config{Name: "entry-0001", Fleet: f, View: confsync.Static{V: &confsync.View{Manifest: m}}})
}

func groupSpecs() []steps.GroupSpec {
	var all []steps.GroupSpec
	for i := range StepSamples / groupSamples {
		all = append(all, steps.GroupSpec{ID: fmt.Sprint("group-", i), Prompt: strings.Repeat("prompt ", 64), Samples: groupSamples, MaxTokens: 1 << 20})
	}
	return all
}

func postStep(b *testing.B, s *steps.Steps, token string) {
	body, err := json.Marshal(steps.PostRequest{Step: 1, Attempt: 1, NewestVersion: sampleVersion, Groups: groupSpecs()})
	require.NoError(b, err)
	r := httptest.NewRequest(http.MethodPost, "/v1/steps", bytes.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+token)
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	require.Equal(b, http.StatusOK, w.Code, w.Body)
}

// BenchmarkStepPass runs complete steps of 2,048 samples whose streams fill the
// slots. The entry's fleet snapshot changes 50 times a second (fleet.publishInterval).
// One iteration is one second. As the time between chunks grows, the processor time
// approaches that of the scheduler passes alone.
func BenchmarkStepPass(b *testing.B) {
	const half = 500 * time.Millisecond
	for _, c := range []stepPassCase{
		{1, 46, 0, half}, {1, 46, 50, half / 2}, {1, 46, 50, half}, {1, 46, 50, 2 * half},
		{2, 46, 50, half}, {4, 46, 50, half}, {1, 128, 50, half},
	} {
		b.Run(fmt.Sprintf("steps=%d/servers=%d/changes=%d/chunk=%v", c.steps, c.servers, c.changes, c.chunk), func(b *testing.B) {
			benchStepPass(b, c)
		})
	}
}

// stepPassCase is one case of BenchmarkStepPass.
type stepPassCase struct {
	steps, servers, changes int
	chunk                   time.Duration
}

func benchStepPass(b *testing.B, c stepPassCase) {
	f := newStepFleet(c.servers, 32, &pacedEngine{tick: c.chunk})
	s := newSteps(f, c.steps)
	defer s.Close()
	postStep(b, s, trainerToken)
	for i := 1; i < c.steps; i++ {
		postStep(b, s, fmt.Sprint(trainerToken, i))
	}
	<-time.After(2 * time.Second)
	cpu0, err := CPUTime()
	require.NoError(b, err)
	started := time.Now()
	b.ResetTimer()
	for range b.N {
		second := time.After(time.Second)
		for range c.changes {
			<-time.After(time.Second / time.Duration(c.changes+1))
			f.notifyChanged()
		}
		<-second
	}
	b.StopTimer()
	cpu1, err := CPUTime()
	require.NoError(b, err)
	streams := float64(min(c.servers*32, c.steps*StepSamples))
	b.ReportMetric(100*(cpu1-cpu0).Seconds()/time.Since(started).Seconds(), "%core")
	b.ReportMetric(streams, "streams")
	b.ReportMetric(streams/c.chunk.Seconds(), "chunks/s")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkStepMemory reports the memory that an entry keeps for a sample that is
// queued (0 tokens) or that is finished and not yet acknowledged.
func BenchmarkStepMemory(b *testing.B) {
	for _, tokens := range []int{0, 256, 1024} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			for range b.N {
				benchStepMemory(b, tokens)
			}
		})
	}
}

func benchStepMemory(b *testing.B, tokens int) {
	servers := 46
	if tokens == 0 {
		servers = 0 // all samples stay queued
	}
	f := newStepFleet(servers, 32, &pacedEngine{tokens: tokens})
	s := newSteps(f, 1)
	defer s.Close()
	before := LiveBytes()
	postStep(b, s, trainerToken)
	if tokens > 0 {
		waitFinished(b, s)
	}
	b.ReportMetric(float64(int64(LiveBytes())-int64(before))/StepSamples, "B/sample")
	b.ReportMetric(float64(tokens*tokenBytes), "text-B")
}

// waitFinished waits until the first page of groups is available and gives the
// remaining streams time to end.
func waitFinished(b *testing.B, s *steps.Steps) {
	url := "/v1/steps/1/groups?attempt=1&cursor=0&wait_ms=20000"
	require.Eventually(b, func() bool {
		r := httptest.NewRequest(http.MethodGet, url, nil)
		r.Header.Set("Authorization", "Bearer "+trainerToken)
		w := httptest.NewRecorder()
		s.Handler().ServeHTTP(w, r)
		var page steps.GroupsAnswer
		return json.Unmarshal(w.Body.Bytes(), &page) == nil && len(page.Groups) >= 64
	}, time.Minute, 100*time.Millisecond)
	<-time.After(2 * time.Second)
}

// BenchmarkTrainer reads complete steps with the trainer's client from a server that
// has all pages encoded already. The processor time is the client's and that of the
// server's connections; the bytes are those of the answers.
func BenchmarkTrainer(b *testing.B) {
	for _, tokens := range []int{256, 1024, 7812} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) { benchTrainer(b, tokens) })
	}
}

func benchTrainer(b *testing.B, tokens int) {
	url, traffic := startServer(b, finishedStepHandler(b, tokens))
	client, err := trainer.New(trainer.Config{Entries: []string{url}, Token: trainerToken})
	require.NoError(b, err)
	var groups []trainer.GroupSpec
	for _, g := range groupSpecs() {
		groups = append(groups, trainer.GroupSpec{ID: g.ID, Prompt: g.Prompt, Samples: g.Samples, MaxTokens: g.MaxTokens})
	}
	cpu0, err := CPUTime()
	require.NoError(b, err)
	samples := 0
	b.ResetTimer()
	for range b.N {
		for g, err := range client.RunStep(b.Context(), trainer.Step{ID: 1, NewestVersion: sampleVersion, Groups: groups}) {
			require.NoError(b, err)
			samples += len(g.Samples)
		}
	}
	b.StopTimer()
	cpu1, err := CPUTime()
	require.NoError(b, err)
	require.Equal(b, b.N*StepSamples, samples)
	b.ReportMetric(float64((cpu1-cpu0).Microseconds())/float64(samples), "cpu-us/sample")
	b.ReportMetric(float64(traffic.Total())/float64(samples), "wire-B/sample")
}

// finishedStepHandler returns a handler that answers like an entry with a finished
// step, from pages that are already encoded.
func finishedStepHandler(b *testing.B, tokens int) http.Handler {
	perPage := max(1, min(64, (4<<20)/(tokens*tokenBytes*groupSamples))) // steps.maxAnswerGroups, targetAnswerBytes
	epoch := steps.Epoch{Attempt: 1, Claim: 1}
	pages := map[string][]byte{}
	specs := groupSpecs()
	for at := 0; at < len(specs); at += perPage {
		page := steps.GroupsAnswer{Epoch: epoch, Cursor: min(at+perPage, len(specs))}
		for _, spec := range specs[at:page.Cursor] {
			page.Groups = append(page.Groups, finishedGroup(spec, tokens))
		}
		page.Done = page.Cursor == len(specs)
		data, err := json.Marshal(page)
		require.NoError(b, err)
		pages[fmt.Sprint(at)] = data
	}
	posted, err := json.Marshal(steps.PostAnswer{Epoch: epoch, Step: 1, Groups: len(specs)})
	require.NoError(b, err)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		switch r.Method {
		case http.MethodPost:
			_, _ = w.Write(posted)
		case http.MethodGet:
			_, _ = w.Write(pages[r.URL.Query().Get("cursor")])
		default:
			_, _ = w.Write([]byte("{}"))
		}
	})
}

func finishedGroup(spec steps.GroupSpec, tokens int) steps.Group {
	g := steps.Group{ID: spec.ID}
	for i := range spec.Samples {
		g.Samples = append(g.Samples, steps.Sample{
			Index: uint32(i), Text: strings.Repeat("word", tokens), Tokens: uint32(tokens),
			Spans: []steps.Span{{Version: sampleVersion, To: uint32(tokens)}},
		})
	}
	return g
}
