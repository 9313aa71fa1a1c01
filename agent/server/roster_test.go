package server

import (
	"context"
	"errors"
	"io"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"dandelionsill.org/agent/weights"
	"dandelionsill.org/base/settings"
	"dandelionsill.org/platform"
	"dandelionsill.org/wire/pb"
)

// oneState answers Watch with a single state.
type oneState struct {
	pb.AgentClient
	state *pb.AgentState
	err   error
}

type oneStateStream struct {
	grpc.ServerStreamingClient[pb.AgentState]
	oneState
}

func (c oneState) Watch(context.Context, *pb.WatchRequest, ...grpc.CallOption) (grpc.ServerStreamingClient[pb.AgentState], error) {
	return oneStateStream{oneState: c}, nil
}

func (s oneStateStream) Recv() (*pb.AgentState, error) { return s.state, s.err }

// Weights are relayed between agents of one model, and the VM list does not
// contain the models. Each agent is asked once; one that did not answer is
// asked again; one that is no longer listed is forgotten.
func TestRosterFindsAgentsOfTheSameModel(t *testing.T) {
	viewer := &fakeViewer{changed: make(chan struct{})}
	vm := func(name string) platform.VM {
		return platform.VM{Name: name, Role: platform.RoleAgent, Addr: name + ":1"}
	}
	entry := platform.VM{Name: "e", Role: "entry", Addr: "e:1"}
	viewer.set(nil, vm("self"), vm("a"), vm("b"), vm("other"), vm("plain"), entry)
	serves := map[string]*pb.AgentState{
		"a:1": {Kind: KindEngine, Serves: "m"}, "b:1": {Kind: KindEngine, Serves: "m"},
		"other:1": {Kind: KindEngine, Serves: "n"}, "plain:1": {Kind: KindService, Serves: "m"},
	}
	asked := make(map[string]int)
	errDown := errors.New("down")
	failing := map[string]error{"b:1": errDown}
	r := newRoster("self", "m", viewer)
	r.dial = func(addr string) (pb.AgentClient, func(), error) {
		asked[addr]++
		return oneState{state: serves[addr], err: failing[addr]}, func() {}, nil
	}
	names := func() (out []string) {
		for _, f := range r.Peers() {
			out = append(out, f.Name)
		}
		return out
	}
	r.refresh(t.Context())
	require.Equal(t, []string{"a"}, names())
	require.True(t, r.hasUnanswered)
	clear(failing)
	r.refresh(t.Context())
	require.Equal(t, []string{"a", "b"}, names())
	require.False(t, r.hasUnanswered)
	require.Equal(t, map[string]int{"a:1": 1, "b:1": 2, "other:1": 1, "plain:1": 1}, asked)
	viewer.set(nil, vm("b"))
	r.refresh(t.Context())
	require.Equal(t, []weights.Peer{{Name: "b", Addr: "b:1"}}, r.Peers())

	addrs := &peerAddrs{self: "self", vms: viewer}
	require.Equal(t, []string{"b:1"}, addrs.list())
	viewer.set(nil, vm("self"), entry)
	require.Equal(t, []string{"e:1"}, addrs.list())
}

func TestExampleSettings(t *testing.T) {
	for _, file := range []string{"agent-service.ini", "agent-engine.ini"} {
		path := "../../examples/settings/" + file
		_, err := os.Stat(path)
		require.NoError(t, err)
		var set Settings
		_, err = settings.Load("dandelion-agent", []string{"--config", path}, &set, io.Discard)
		require.NoError(t, err, file)
		broken := set
		broken.Backend.Kind = "database"
		require.ErrorContains(t, broken.Validate(), "engine or service")
		broken = set
		broken.Keys.ManifestPublic = nil
		require.ErrorContains(t, broken.Validate(), "manifest_public")
		broken.Keys.ManifestPublic = []string{"x"} // --check would pass and the start fail
		require.ErrorContains(t, broken.Validate(), "manifest_public")
	}
}
