package server

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"dandelionsill.org/confsync"
	"dandelionsill.org/decide/poison"
	"dandelionsill.org/platform"
	"dandelionsill.org/quarantine"
	"dandelionsill.org/wire/pb"
)

// vmList is a platform that lists fixed VMs.
type vmList []platform.VM

func (l vmList) List(context.Context) ([]platform.VM, error) { return l, nil }

// An entry sends another one the servers that crashed while they ran a request, and
// later that a crash is no longer attributed to it. It sends nothing to agents or
// to itself.
func TestEntriesShareCrashes(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	other := quarantine.New(zap.NewNop())
	server := grpc.NewServer()
	pb.RegisterPeerServer(server, &peerServer{quarantine: other})
	served := make(chan struct{})
	go func() { defer close(served); _ = server.Serve(lis) }()
	defer func() { server.Stop(); <-served }()

	vms := confsync.NewVMWatcher(vmList{
		{Name: "self", Role: platform.RoleEntry, Addr: "127.0.0.1:1"},
		{Name: "other", Role: platform.RoleEntry, Addr: lis.Addr().String()},
		{Name: "agent", Role: platform.RoleAgent, Addr: "127.0.0.1:2"},
	}, zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	polled := make(chan struct{})
	go func() { defer close(polled); vms.Run(ctx) }()
	defer func() { cancel(); <-polled }()
	peers := newEntryPeers("self", vms)
	defer peers.conns.Close()
	require.Eventually(t, func() bool { return len(peers.Addrs()) == 1 }, 30*time.Second, time.Millisecond)

	var changes []quarantine.Change
	for _, name := range []string{"s1", "s2", "s3"} {
		changes = append(changes, quarantine.Change{Crash: poison.Crash{Request: "r", Server: name, At: time.Now()}})
	}
	require.NoError(t, peers.Send(ctx, peers.Addrs()[0], changes))
	require.Equal(t, poison.Quarantined, other.Verdict("r"))
	changes[0].Gone = true
	require.NoError(t, peers.Send(ctx, peers.Addrs()[0], changes[:1]))
	require.Equal(t, poison.Suspect, other.Verdict("r"))
}
