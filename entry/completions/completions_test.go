package completions

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"dandelionsill.org/confsync"
	"dandelionsill.org/entry/answer"
	"dandelionsill.org/entry/fleet"
	"dandelionsill.org/entry/front"
	"dandelionsill.org/manifest"
	"dandelionsill.org/platform"
	"dandelionsill.org/quarantine"
	"dandelionsill.org/wire/pb"
)

const manifestText = `
[fleet]
name = test
[model drafter]
max_tokens = 100
[model other]
[caller shop]
token_sha256 = e3b98a4da31a127d4bde6e43033f66ba274cab0eb7eb1c70ec41402bf6273dd8
allow = drafter
`

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type stream = grpc.ServerStreamingServer[pb.GenerateReply]
type script = func(f *fakeAgent, req *pb.GenerateRequest, s stream) error

// fakeAgent generates as its script defines and records the requests that it receives.
type fakeAgent struct {
	pb.UnimplementedAgentServer
	name     string
	lost     chan struct{}
	script   script
	mu       sync.Mutex
	received []*pb.GenerateRequest
}

func (f *fakeAgent) Generate(req *pb.GenerateRequest, s stream) error {
	f.mu.Lock()
	f.received = append(f.received, req)
	f.mu.Unlock()
	return f.script(f, req, s)
}

func (f *fakeAgent) requests() []*pb.GenerateRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.received
}

func sendChunk(s stream, text string, tokens uint32, version uint64) {
	_ = s.Send(&pb.GenerateReply{Part: &pb.GenerateReply_Chunk{Chunk: &pb.GenerateChunk{Text: text, Tokens: tokens, Version: version}}})
}

func sendDone(s stream, tokens uint32) error {
	return s.Send(&pb.GenerateReply{Part: &pb.GenerateReply_Done{Done: &pb.GenerateDone{FinishReason: "stop", Tokens: tokens}}})
}

// generateAt returns a script that generates ten tokens of a version, starting from the
// request's resume point. Each token contains the prompt and the seed.
func generateAt(version uint64) script {
	return func(_ *fakeAgent, req *pb.GenerateRequest, s stream) error {
		for i := resumedTokens(req.Resume); i < 10; i++ {
			sendChunk(s, tokenText(req, i), 1, version)
		}
		return sendDone(s, 10)
	}
}

func tokenText(req *pb.GenerateRequest, i uint32) string {
	return fmt.Sprintf("%s/%d/%d ", req.Prompt, req.Seed, i)
}

func resumedTokens(r *pb.Resume) uint32 {
	if r == nil || len(r.Spans) == 0 {
		return 0
	}
	return r.Spans[len(r.Spans)-1].To
}

// breakAfter returns a script that generates n tokens of version v and then loses the
// connection.
func breakAfter(n uint32, v uint64) script {
	return func(_ *fakeAgent, req *pb.GenerateRequest, s stream) error {
		for i := range n {
			sendChunk(s, tokenText(req, i), 1, v)
		}
		return io.ErrUnexpectedEOF
	}
}

type fakeFleet struct {
	snap     *fleet.Snapshot
	mu       sync.Mutex
	outcomes []fleet.Outcome
}

func (f *fakeFleet) Snapshot() *fleet.Snapshot   { return f.snap }
func (f *fakeFleet) Changed() <-chan struct{}    { return nil }
func (f *fakeFleet) InFlightNow(name string) int { return 0 }
func (f *fakeFleet) Begin(string) func(fleet.Outcome) {
	return func(o fleet.Outcome) { f.mu.Lock(); defer f.mu.Unlock(); f.outcomes = append(f.outcomes, o) }
}

type lostClient struct {
	pb.AgentClient
	lost chan struct{}
}

func (f *fakeFleet) Lost(name string) <-chan struct{} {
	return f.snap.ByName[name].Client.(lostClient).lost
}

type testEntry struct {
	fleet  *fakeFleet
	agents []*fakeAgent
	url    string
}

// startEntry starts an entry and the fake agents of its engines. The first engine has a
// warm prefix for prompt "p", so that such requests are sent to it first.
func startEntry(t *testing.T, scripts ...script) *testEntry {
	s := &testEntry{fleet: &fakeFleet{snap: &fleet.Snapshot{ByPool: map[string][]*fleet.Server{}, ByName: map[string]*fleet.Server{}}}}
	for i, run := range scripts {
		s.addAgent(t, fmt.Sprintf("vm-%d", i), run)
	}
	s.fleet.snap.ByName["vm-0"].State.WarmPrefixes = []uint64{platform.PrefixHash("p")}
	m, err := manifest.Parse("test", []byte(manifestText))
	require.NoError(t, err)
	requestFront := front.New(front.Config{Viewer: confsync.Static{V: &confsync.View{Number: 1, Manifest: m}}})
	web := httptest.NewServer(requestFront.Handle("completions", New(Config{Agents: s.fleet, Quarantine: quarantine.New(zap.NewNop())}).Serve))
	t.Cleanup(web.Close)
	s.url = web.URL
	return s
}

func (s *testEntry) addAgent(t *testing.T, name string, run script) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &fakeAgent{name: name, lost: make(chan struct{}), script: run}
	srv := grpc.NewServer()
	pb.RegisterAgentServer(srv, f)
	served := make(chan struct{})
	go func() { defer close(served); _ = srv.Serve(lis) }()
	conn, err := grpc.NewClient(lis.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDisableRetry())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close(); srv.Stop(); <-served })
	server := &fleet.Server{
		Name: name, FailureDomain: name, Kind: "engine", Serves: "drafter", Client: lostClient{pb.NewAgentClient(conn), f.lost},
		State: &pb.AgentState{Name: name, Ready: true, Slots: 100, Version: 7},
	}
	s.agents = append(s.agents, f)
	s.fleet.snap.ByName[name] = server
	pool := fleet.ModelPool("drafter")
	s.fleet.snap.ByPool[pool] = append(s.fleet.snap.ByPool[pool], server)
}

func (s *testEntry) post(t *testing.T, body string) *http.Response {
	req, err := http.NewRequest("POST", s.url+Path, strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer t")
	req.Header.Set("X-Request-Id", "same")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

func (s *testEntry) postDecoded(t *testing.T, body string) (int, Answer, answer.ErrorDetail) {
	resp := s.post(t, body)
	var got struct {
		Answer
		Error answer.ErrorDetail `json:"error"`
	}
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&got))
	return resp.StatusCode, got.Answer, got.Error
}

// readEvents reads a streamed answer. finish is "" if the stream broke off.
func readEvents(t *testing.T, resp *http.Response) (text, finish string, extra *Extra, failure *answer.ErrorDetail, gotDone bool) {
	require.Equal(t, "text/event-stream", resp.Header.Get("Content-Type"))
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			gotDone = true
			continue
		}
		var e struct {
			Answer
			Error *answer.ErrorDetail `json:"error"`
		}
		require.NoError(t, json.Unmarshal([]byte(data), &e))
		if e.Error != nil {
			failure = e.Error
			continue
		}
		text += e.Choices[0].Text
		if e.Choices[0].FinishReason != nil {
			finish, extra = *e.Choices[0].FinishReason, e.Dandelion
		}
	}
	return text, finish, extra, failure, gotDone
}

func expected(prompt string, seed uint64) string {
	var b strings.Builder
	for i := range uint32(10) {
		b.WriteString(tokenText(&pb.GenerateRequest{Prompt: prompt, Seed: seed}, i))
	}
	return b.String()
}

const requestJSON = `{"model":"drafter","prompt":"p","max_tokens":50,"seed":5}`
const streamRequestJSON = `{"model":"drafter","prompt":"p","max_tokens":50,"seed":5,"stream":true}`

func TestCompleteAndStreamedAnswers(t *testing.T) {
	s := startEntry(t, generateAt(7))
	status, got, _ := s.postDecoded(t, requestJSON)
	require.Equal(t, 200, status)
	require.Equal(t, expected("p", 5), got.Choices[0].Text)
	require.Equal(t, "stop", *got.Choices[0].FinishReason)
	require.Equal(t, &Extra{Spans: []Span{{7, 0, 10}}, Server: "vm-0"}, got.Dandelion)
	require.EqualValues(t, 10, got.Usage.CompletionTokens)
	text, finish, extra, _, closed := readEvents(t, s.post(t, streamRequestJSON))
	require.Equal(t, expected("p", 5), text)
	require.Equal(t, "stop", finish)
	require.Equal(t, []Span{{7, 0, 10}}, extra.Spans)
	require.True(t, closed)
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	s := startEntry(t, generateAt(7))
	cases := map[string]struct {
		body   string
		status int
		kind   string
	}{
		"not JSON":           {`{"model":`, 400, "bad_request"},
		"wrong type":         {`{"model":"drafter","prompt":7}`, 400, "bad_request"},
		"unknown parameter":  {`{"model":"drafter","prompt":"p","temperature":2}`, 400, "bad_request"},
		"two values":         {requestJSON + requestJSON, 400, "bad_request"},
		"no prompt":          {`{"model":"drafter"}`, 400, "bad_request"},
		"too many tokens":    {`{"model":"drafter","prompt":"p","max_tokens":101}`, 400, "bad_request"},
		"no tokens":          {`{"model":"drafter","prompt":"p","max_tokens":0}`, 400, "bad_request"},
		"unknown model":      {`{"model":"nope","prompt":"p"}`, 404, "not_found"},
		"other's model":      {`{"model":"other","prompt":"p"}`, 403, "forbidden"},
		"no server is ready": {`{"model":"drafter","prompt":"p"}`, 503, "no_server"},
		"negative max token": {`{"model":"drafter","prompt":"p","max_tokens":-1}`, 400, "bad_request"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s.fleet.snap.ByName["vm-0"].State.Ready = name != "no server is ready"
			status, _, failure := s.postDecoded(t, c.body)
			require.Equal(t, c.status, status)
			require.Equal(t, c.kind, failure.Kind)
			require.True(t, failure.NotRun)
		})
	}
	require.Empty(t, s.agents[0].requests())
}

// An engine dies after four tokens of a streamed answer. Another engine, with newer
// weights, resumes after them with the same seed. The caller receives one complete
// answer, and its spans list both versions correctly.
func TestStreamResumesAtAnotherEngine(t *testing.T) {
	s := startEntry(t, breakAfter(4, 7), generateAt(8))
	text, finish, extra, _, closed := readEvents(t, s.post(t, streamRequestJSON))
	require.Equal(t, expected("p", 5), text)
	require.Equal(t, "stop", finish)
	require.Equal(t, []Span{{7, 0, 4}, {8, 4, 10}}, extra.Spans)
	require.True(t, closed)
	resumed := s.agents[1].requests()[0]
	require.EqualValues(t, 5, resumed.Seed)
	require.NotEqual(t, s.agents[0].requests()[0].RequestId, resumed.RequestId)
}

// The engine dies and no other serves the model. The caller already has part of the
// text. The stream ends with an error event, without a finish reason and without [DONE],
// so that the part is not taken for a complete answer.
func TestStreamThatCannotResumeEndsWithAnError(t *testing.T) {
	s := startEntry(t, breakAfter(4, 7))
	_, finish, _, failure, closed := readEvents(t, s.post(t, streamRequestJSON))
	require.Empty(t, finish)
	require.False(t, closed)
	require.Equal(t, "backend_failed", failure.Kind)
	require.False(t, failure.NotRun)
}

// A chunk had no version, so that another engine can't be told which version generated
// the text. If no text was sent to the caller, the answer is generated again from the
// start; otherwise the stream ends with an error.
func TestUnversionedTextIsGeneratedAgain(t *testing.T) {
	s := startEntry(t, breakAfter(4, 0), generateAt(8))
	_, got, _ := s.postDecoded(t, requestJSON)
	require.Equal(t, expected("p", 5), got.Choices[0].Text)
	require.Nil(t, s.agents[1].requests()[0].Resume)
	s = startEntry(t, breakAfter(4, 0), generateAt(8))
	_, finish, _, failure, _ := readEvents(t, s.post(t, streamRequestJSON))
	require.Empty(t, finish)
	require.NotNil(t, failure)
}

// The stream ends without an error, but tokens are missing in the middle. The token
// count in the final message does not match, so that the answer is not delivered as
// complete.
func TestShortAnswerIsRejected(t *testing.T) {
	s := startEntry(t, func(_ *fakeAgent, req *pb.GenerateRequest, st stream) error {
		sendChunk(st, tokenText(req, 0), 1, 7)
		return sendDone(st, 10)
	}, generateAt(7))
	_, got, _ := s.postDecoded(t, requestJSON)
	require.Equal(t, expected("p", 5), got.Choices[0].Text)
}

// An agent freezes in the middle of a stream, and its connection stays open. Its reports
// stop, and the stream resumes elsewhere.
func TestStreamResumesWhenTheAgentFreezes(t *testing.T) {
	s := startEntry(t, func(f *fakeAgent, req *pb.GenerateRequest, st stream) error {
		sendChunk(st, tokenText(req, 0), 1, 7)
		close(f.lost)
		<-st.Context().Done()
		return nil
	}, generateAt(7))
	text, finish, _, _, _ := readEvents(t, s.post(t, streamRequestJSON))
	require.Equal(t, expected("p", 5), text)
	require.Equal(t, "stop", finish)
}

// Many callers with the same request id stream at once through one entry, while engines
// break off at different tokens. Each caller must receive exactly its own answer.
func TestEachCallerGetsItsOwnAnswer(t *testing.T) {
	flaky := func(f *fakeAgent, req *pb.GenerateRequest, st stream) error {
		if req.Resume == nil && req.Seed%2 == 0 {
			return breakAfter(uint32(1+req.Seed%9), 7)(f, req, st)
		}
		return generateAt(7)(f, req, st)
	}
	s := startEntry(t, flaky, flaky, flaky)
	var all sync.WaitGroup
	for i := range 18 {
		all.Go(func() {
			prompt, seed := fmt.Sprintf("p%d", i), uint64(i)
			resp := s.post(t, fmt.Sprintf(`{"model":"drafter","prompt":%q,"seed":%d,"stream":true}`, prompt, seed))
			text, finish, _, _, _ := readEvents(t, resp)
			if finish != "stop" || text != expected(prompt, seed) {
				t.Errorf("request %d got %q", i, text)
			}
		})
	}
	all.Wait()
	// Two jobs with the same id would cancel each other at an engine.
	jobs := map[string]bool{}
	for _, a := range s.agents {
		for _, r := range a.requests() {
			require.False(t, jobs[r.RequestId])
			jobs[r.RequestId] = true
		}
	}
}

// An engine generates all tokens that were asked for and dies before its final message.
// No token is missing: the answer is complete and needs no other engine.
func TestAllTokensAreACompleteAnswer(t *testing.T) {
	s := startEntry(t, breakAfter(10, 7))
	text, finish, _, _, closed := readEvents(t, s.post(t, `{"model":"drafter","prompt":"p","max_tokens":10,"seed":5,"stream":true}`))
	require.Equal(t, expected("p", 5), text)
	require.Equal(t, "length", finish)
	require.True(t, closed)
}

// A caller sets no seed. A retry on another engine must use the seed of the first
// attempt: otherwise the second engine would continue the first one's tokens with other
// random choices.
func TestSeedIsChosenOnce(t *testing.T) {
	s := startEntry(t, breakAfter(4, 7), generateAt(8))
	_, _, _ = s.postDecoded(t, `{"model":"drafter","prompt":"p"}`)
	require.Equal(t, s.agents[0].requests()[0].Seed, s.agents[1].requests()[0].Seed)
	require.EqualValues(t, 100, s.agents[0].requests()[0].MaxTokens)
}
