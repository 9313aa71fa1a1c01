package server

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"dandelionsill.org/adapters/httplog"
	"dandelionsill.org/base/run"
	"dandelionsill.org/base/settings"
	"dandelionsill.org/fold/control"
	"dandelionsill.org/manifest"
	"dandelionsill.org/platform"
	"dandelionsill.org/standin/logsvc"
	"dandelionsill.org/standin/service"
	"dandelionsill.org/standin/vms"
	"dandelionsill.org/wire/pb"
)

const testManifest = `
[fleet]
name = test
weigh = idle

[service orders]

[route orders.write]
repeat = never
`

// Operators commit the first manifest to an empty log. The agent's process
// reads it, becomes ready, runs a keyed order once, answers its repetition, and
// drains when it stops.
func TestProcessServesPlainCalls(t *testing.T) {
	public, private, err := ed25519.GenerateKey(nil)
	require.NoError(t, err)
	backend := service.New(service.Config{})
	backendServer := httptest.NewServer(backend)
	defer backendServer.Close()
	logServer := httptest.NewServer(logsvc.New(logsvc.Config{}))
	defer logServer.Close()
	vmServer := httptest.NewServer(vms.New(vms.Config{}))
	defer vmServer.Close()

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	process, err := Build(ctx, Settings{
		Common: settings.Common{
			Process:  settings.Process{Name: "agent-1", Listen: "127.0.0.1:0", HTTP: "127.0.0.1:0", LogLevel: "error"},
			Platform: settings.Platform{Log: logServer.URL, VMs: vmServer.URL},
			Keys:     settings.Keys{ManifestPublic: []string{"k:" + base64.StdEncoding.EncodeToString(public)}},
		},
		Backend: Backend{Kind: KindService, Addr: strings.TrimPrefix(backendServer.URL, "http://"), Serves: "orders", HealthInterval: 1e7},
		Queue:   Queue{Max: 10},
		Once:    Once{AppendShare: 0.5},
	})
	require.NoError(t, err)
	grpcServer := process.Servers[0].(*run.GRPCServer)
	addr, err := grpcServer.Listen()
	require.NoError(t, err)
	served := make(chan error)
	go func() { served <- grpcServer.Start(ctx) }()
	conn, err := run.NewClient(addr.String())
	require.NoError(t, err)
	defer conn.Close()
	r := &testAgent{client: pb.NewAgentClient(conn)}

	_, _, refusal, err := sendOrder(r.client, newOrder())
	require.NoError(t, err)
	require.True(t, refusal.NotRun, "no manifest yet")
	rev := manifest.Sign(private, "k", 1, 0, []byte(testManifest))
	log := httplog.New(logServer.URL, "ctl")
	defer log.Close()
	_, err = log.Append(ctx, platform.StreamControl, control.EncodeCommit("c-1", rev))
	require.NoError(t, err)
	r.awaitState(t, "ready", func(s *pb.AgentState) bool { return s.Ready && s.Revision == 1 })

	keyed := newOrder()
	keyed.IdempotencyKey = uuid.Must(uuid.NewV7()).String()
	for range 2 {
		_, complete, refusal, err := sendOrder(r.client, keyed)
		require.NoError(t, err)
		require.Nil(t, refusal)
		require.True(t, complete)
	}
	require.Equal(t, 1, backend.Truth(0, false).ByKey[keyed.IdempotencyKey])

	process.Ready(false)
	_, _, refusal, err = sendOrder(r.client, newOrder())
	require.NoError(t, err)
	require.Equal(t, "leaving", refusal.Kind)
	require.NoError(t, process.Drain(ctx))
	require.NoError(t, grpcServer.Stop(ctx))
	require.NoError(t, <-served)
	cancel()
	process.Close()
}
