package calls

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"dandelionsill.org/confsync"
	"dandelionsill.org/entry/fleet"
	"dandelionsill.org/entry/front"
	"dandelionsill.org/manifest"
	"dandelionsill.org/wire/pb"
)

type stream = grpc.BidiStreamingServer[pb.CallSend, pb.CallReply]

// fakeAgent answers calls as its script defines and counts the runs.
type fakeAgent struct {
	pb.UnimplementedAgentServer
	name   string
	server *grpc.Server
	client pb.AgentClient
	lost   chan struct{}
	script func(f *fakeAgent, open *pb.CallOpen, s stream) error
	opened atomic.Int64
	ran    atomic.Int64
}

func (f *fakeAgent) Call(s stream) error {
	first, err := s.Recv()
	if err != nil {
		return err
	}
	f.opened.Add(1)
	return f.script(f, first.GetOpen(), s)
}

// offerToRun sends CallReady and reports whether the entry answered with CallGo.
func (f *fakeAgent) offerToRun(s stream) bool {
	if s.Send(&pb.CallReply{Part: &pb.CallReply_Ready{Ready: &pb.CallReady{}}}) != nil {
		return false
	}
	next, err := s.Recv()
	return err == nil && next.GetGo() != nil
}

func sendHead(s stream, replayed bool) {
	_ = s.Send(&pb.CallReply{Part: &pb.CallReply_Head{Head: &pb.CallHead{Status: 200, Replayed: replayed}}})
}

func sendBody(s stream, text string) {
	_ = s.Send(&pb.CallReply{Part: &pb.CallReply_Body{Body: []byte(text)}})
}

func sendEnd(s stream, n int) {
	_ = s.Send(&pb.CallReply{Part: &pb.CallReply_End{End: &pb.CallEnd{BodyBytes: int64(n)}}})
}

func sendRefusal(s stream, r *pb.Refusal) error {
	return s.Send(&pb.CallReply{Part: &pb.CallReply_Refusal{Refusal: r}})
}

// answerRequest runs the request and answers with the agent's name and the path.
func answerRequest(f *fakeAgent, open *pb.CallOpen, s stream) error {
	if !open.Idempotent && !f.offerToRun(s) {
		return io.ErrUnexpectedEOF
	}
	f.ran.Add(1)
	text := f.name + " " + open.Path
	sendHead(s, false)
	sendBody(s, text)
	sendEnd(s, len(text))
	return nil
}

func refuseWith(r *pb.Refusal) func(*fakeAgent, *pb.CallOpen, stream) error {
	return func(_ *fakeAgent, _ *pb.CallOpen, s stream) error { return sendRefusal(s, r) }
}

// crash ends the agent's process: all its connections break.
func (f *fakeAgent) crash() {
	go f.server.Stop()
}

// fakeFleet is a fixed list of fake agents.
type fakeFleet struct {
	snap     *fleet.Snapshot
	unlisted map[string]*fakeAgent
	mu       sync.Mutex
	inFlight map[string]int
	outcomes map[string][]fleet.Outcome
}

func (f *fakeFleet) Snapshot() *fleet.Snapshot { return f.snap }
func (f *fakeFleet) Changed() <-chan struct{}  { return nil }
func (f *fakeFleet) Begin(name string) func(fleet.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight[name]++
	return func(o fleet.Outcome) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.inFlight[name]--
		f.outcomes[name] = append(f.outcomes[name], o)
	}
}

func (f *fakeFleet) InFlightNow(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inFlight[name]
}
func (f *fakeFleet) Lost(name string) <-chan struct{} {
	if s := f.snap.ByName[name]; s != nil {
		return s.Client.(lostClient).lost
	}
	return nil
}

func (f *fakeFleet) Dial(name string) (pb.AgentClient, func(), bool) {
	a := f.unlisted[name]
	if a == nil {
		return nil, nil, false
	}
	return a.client, func() {}, true
}

type lostClient struct {
	pb.AgentClient
	lost chan struct{}
}

// testEntry is an entry that is connected to fake agents by real HTTP and gRPC.
type testEntry struct {
	fleet   *fakeFleet
	handler *Handler
	url     string
	agents  []*fakeAgent
}

func startAgent(t *testing.T, name string, script func(*fakeAgent, *pb.CallOpen, stream) error) *fakeAgent {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &fakeAgent{name: name, server: grpc.NewServer(), lost: make(chan struct{}), script: script}
	pb.RegisterAgentServer(f.server, f)
	served := make(chan struct{})
	go func() { defer close(served); _ = f.server.Serve(lis) }()
	conn, err := grpc.NewClient(lis.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDisableRetry())
	require.NoError(t, err)
	f.client = pb.NewAgentClient(conn)
	t.Cleanup(func() { _ = conn.Close(); f.server.Stop(); <-served })
	return f
}

// startEntry starts an entry and its agents. Agent i of the pool is named vm-i and has a
// failure domain of its own. The first agent has the least load and is picked first.
func startEntry(t *testing.T, cfg Config, scripts ...func(*fakeAgent, *pb.CallOpen, stream) error) *testEntry {
	s := &testEntry{fleet: &fakeFleet{
		snap:     &fleet.Snapshot{ByPool: map[string][]*fleet.Server{}, ByName: map[string]*fleet.Server{}},
		inFlight: map[string]int{}, outcomes: map[string][]fleet.Outcome{}, unlisted: map[string]*fakeAgent{},
	}}
	for i, script := range scripts {
		name := "vm-" + string(rune('0'+i))
		a := startAgent(t, name, script)
		s.agents = append(s.agents, a)
		server := &fleet.Server{
			Name: name, FailureDomain: "fd-" + name, Kind: "service", Serves: "orders",
			Client: lostClient{a.client, a.lost},
			State:  &pb.AgentState{Name: name, Ready: true, Slots: 100, Running: int32(10 * i)},
		}
		s.fleet.snap.ByName[name] = server
		s.fleet.snap.ByPool[fleet.ServicePool("orders")] = append(s.fleet.snap.ByPool[fleet.ServicePool("orders")], server)
	}
	cfg.Agents = s.fleet
	s.handler = New(cfg)
	requestFront := front.New(front.Config{Viewer: confsync.Static{V: testView()}, MaxBody: 1 << 20})
	web := httptest.NewServer(requestFront.Handle("svc", s.handler.Serve))
	t.Cleanup(web.Close)
	s.url = web.URL
	return s
}

// testView returns a manifest with caller "shop" (token "t", with a retry budget) and
// caller "poor" (token "p", without one).
func testView() *confsync.View {
	m, err := manifest.Parse("test", []byte(manifestText))
	if err != nil {
		panic(err)
	}
	return &confsync.View{Number: 1, Manifest: m}
}

type httpReply struct {
	status int
	body   string
	header http.Header
	err    error
}

func (s *testEntry) send(t *testing.T, method, path string, change ...func(*http.Request)) httpReply {
	req, err := http.NewRequest(method, s.url+path, strings.NewReader("x"))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer t")
	for _, c := range change {
		c(req)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return httpReply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return httpReply{resp.StatusCode, string(data), resp.Header, err}
}

func withHeader(name, value string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set(name, value) }
}
