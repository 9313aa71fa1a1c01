package server

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"dandelionsill.org/base/explain"
	"dandelionsill.org/base/run"
	"dandelionsill.org/base/settings"
	"dandelionsill.org/confsync"
	"dandelionsill.org/entry/answer"
	"dandelionsill.org/entry/fleet"
	"dandelionsill.org/manifest"
	"dandelionsill.org/platform"
	"dandelionsill.org/wire/pb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const manifestText = `
[fleet]
name = test
[model drafter]
[trainer t]
token_sha256 = e3b98a4da31a127d4bde6e43033f66ba274cab0eb7eb1c70ec41402bf6273dd8
model = drafter
staleness_bound = 1
`

// fakeViewer records announced versions by model.
type fakeViewer struct {
	confsync.Static
	announced map[string]uint64
}

func (v fakeViewer) Announce(model string, version uint64) { v.announced[model] = version }

// fakeStore is a weight store with one newest version, or an error.
type fakeStore struct {
	platform.WeightStore
	latest uint64
	err    error
}

func (s fakeStore) Latest(context.Context, string) (platform.WeightInfo, error) {
	return platform.WeightInfo{Version: s.latest}, s.err
}

// A trainer announces weights. The version must apply at once, also while the
// store is unavailable. A version that the store does not have must be refused,
// as it would block every engine permanently: versions never decrease.
func TestAnnouncedVersionMustBeInTheStore(t *testing.T) {
	m, err := manifest.Parse("test", []byte(manifestText))
	require.NoError(t, err)
	cases := map[string]struct {
		token, body string
		store       fakeStore
		status      int
		want        uint64
	}{
		"new":           {"t", `{"version":5}`, fakeStore{latest: 5}, 200, 5},
		"store is down": {"t", `{"version":5}`, fakeStore{err: errors.New("down")}, 200, 5},
		"not stored":    {"t", `{"version":6}`, fakeStore{latest: 5}, 400, 0},
		"no version":    {"t", `{}`, fakeStore{latest: 5}, 400, 0},
		"malformed":     {"t", `{"version":`, fakeStore{latest: 5}, 400, 0},
		"not a trainer": {"x", `{"version":5}`, fakeStore{latest: 5}, 401, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			v := fakeViewer{confsync.Static{V: &confsync.View{Manifest: m}}, map[string]uint64{}}
			e := &entry{viewer: v, store: c.store, logger: zap.NewNop()}
			r := httptest.NewRequest("POST", "/v1/versions", strings.NewReader(c.body))
			r.Header.Set("Authorization", "Bearer "+c.token)
			w := httptest.NewRecorder()
			e.serveVersions(w, r)
			require.Equal(t, c.status, w.Code, w.Body)
			require.Equal(t, c.want, v.announced["drafter"])
		})
	}
}

// A path with a double slash or a dot segment must reach the service handler
// unchanged. The router would redirect it, and HTTP clients turn a redirected POST
// into a GET.
func TestServicePathsAreNotCleaned(t *testing.T) {
	var seen string
	services := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { seen = r.Method + " " + r.URL.EscapedPath() })
	server := run.NewHTTP("127.0.0.1:0")
	server.Handler = withServices(services, server.Handler)
	web := httptest.NewServer(server.Handler)
	defer web.Close()
	for _, path := range []string{"/svc/orders//a/../b", "/svc/orders/a%2Fb"} {
		resp, err := http.Post(web.URL+path, "", strings.NewReader("x"))
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, "POST "+path, seen)
	}
	resp, err := http.Get(web.URL + "/livez")
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, 200, resp.StatusCode)
}

// fakeExplainAgent answers from a ring, as an agent does.
type fakeExplainAgent struct {
	pb.AgentClient
	ring *explain.Ring
	err  error
}

func (x fakeExplainAgent) Explain(_ context.Context, r *pb.ExplainRequest, _ ...grpc.CallOption) (*pb.ExplainReply, error) {
	return &pb.ExplainReply{Decisions: x.ring.Find(r.Id)}, x.err
}

// An operator asks why a completion was slow. The agents have records under the
// ids of its attempts. The answer must name the agent that is down, and contain the
// records of the others, sorted by time, and none of other requests.
func TestExplainCollectsAgentDecisions(t *testing.T) {
	ring := explain.New("vm-1", 64)
	for _, id := range []string{"r", "r.abc-1", "rs"} {
		ring.Add(context.Background(), "generate", id, "got "+id, "")
	}
	own := []*pb.Decision{{AtMs: 1, Id: "r", What: "sent to vm-1"}}
	servers := map[string]*fleet.Server{"vm-1": {Client: fakeExplainAgent{ring: ring}}, "vm-2": {Client: fakeExplainAgent{err: io.EOF}}}
	got := collectDecisions(context.Background(), "r", own, servers)
	require.Equal(t, []string{"vm-2"}, got.Unresponsive)
	var what []string
	for _, d := range got.Decisions {
		what = append(what, d.What)
	}
	require.ElementsMatch(t, []string{"sent to vm-1", "got r", "got r.abc-1"}, what)
	require.Equal(t, "sent to vm-1", what[0])
}

// Trainers choose the ids of groups and callers those of requests. Whatever
// characters an id contains, the operator must get the records of exactly that id.
func TestExplainAcceptsAnyID(t *testing.T) {
	e := newTestEntry(t)
	for _, id := range []string{"a//b", "a/../b", "./a", "t/1/g x/0", "t/1/é%/0", "t/1/?#/0"} {
		e.ring.Add(context.Background(), "steps", id, "what", "why")
		r := httptest.NewRequest("GET", explainPrefix+url.PathEscape(id), nil)
		r.Header.Set("Authorization", "Bearer o")
		w := httptest.NewRecorder()
		e.http().Handler.ServeHTTP(w, r)
		var got Explanation
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &got), w.Body)
		require.Len(t, got.Decisions, 1, id)
		require.Equal(t, id, got.Decisions[0].ID)
	}
}

func TestSettings(t *testing.T) {
	var set Settings
	args := []string{"--process.name", "e", "--process.listen", "127.0.0.1:1", "--process.http", "127.0.0.1:2", "--platform.log", "http://127.0.0.1:3"}
	_, err := settings.Load("dandelion-entry", args, &set, io.Discard)
	require.ErrorContains(t, err, "platform.vms")
	_, err = settings.Load("dandelion-entry", append(args, "--platform.vms", "http://127.0.0.1:3", "--keys.manifest_public", "x"), &set, io.Discard)
	require.ErrorContains(t, err, "keys.manifest_public")
	for _, file := range []string{"entry-small.ini", "entry-fleet.ini"} {
		set = Settings{}
		_, err = settings.Load("dandelion-entry", []string{"--config", "../../examples/settings/" + file}, &set, io.Discard)
		require.NoError(t, err, file)
	}
	require.Equal(t, set.Subset.Local, set.Subset.config().Local)
}

// An entry is built, started while its platform is down, and stopped. It must
// never become ready, must refuse callers with not_ready, and must leave no
// goroutine running.
func TestBuildWithoutAPlatform(t *testing.T) {
	set := Settings{Entry: Entry{MaxBody: 10, MaxAttempts: 1, ExplainRecords: 16}}
	set.Process = settings.Process{Name: "e", Listen: "127.0.0.1:0", HTTP: "127.0.0.1:0", LogLevel: "error"}
	set.Platform = settings.Platform{Log: "http://127.0.0.1:1", VMs: "http://127.0.0.1:1"}
	public, _, err := ed25519.GenerateKey(nil)
	require.NoError(t, err)
	e, err := newEntry(set, manifest.Keys{"k": public})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	wait := e.run(ctx)
	web := httptest.NewServer(e.http().Handler)
	defer web.Close()
	resp, err := http.Get(web.URL + "/svc/orders/x")
	require.NoError(t, err)
	var body answer.ErrorBody
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&body))
	require.NoError(t, resp.Body.Close())
	require.Equal(t, "not_ready", body.Error.Kind)
	resp, err = http.Get(web.URL + "/v1/status")
	require.NoError(t, err)
	var status Status
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&status))
	require.NoError(t, resp.Body.Close())
	require.Equal(t, "entry", status.Role)
	require.False(t, status.Ready)
	require.NoError(t, e.drain(ctx))
	cancel()
	wait()
}
