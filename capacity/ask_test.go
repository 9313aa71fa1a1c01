package capacity

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"dandelionsill.org/base/run"
	"dandelionsill.org/wire/pb"
)

// singleStateAgent is an agent whose Watch streams send one state and then nothing.
type singleStateAgent struct {
	pb.UnimplementedAgentServer
	state *pb.AgentState
}

func (a singleStateAgent) Watch(_ *pb.WatchRequest, stream pb.Agent_WatchServer) error {
	if err := stream.Send(a.state); err != nil {
		return err
	}
	<-stream.Context().Done()
	return nil
}

// BenchmarkAsk connects to an agent, reads one state and closes the connection.
// The roster does this for each agent of the VM list, and an entry does it when an
// agent is available again. The processor time is that of both sides.
func BenchmarkAsk(b *testing.B) {
	traffic := &Traffic{}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	srv := run.NewGRPC(lis.Addr().String()).Server
	pb.RegisterAgentServer(srv, singleStateAgent{state: agentState("agent-0001", 64)})
	go func() { _ = srv.Serve(traffic.Listen(lis)) }()
	defer srv.Stop()
	benchCPU(b, traffic, func() {
		conn, err := run.NewClient(lis.Addr().String())
		require.NoError(b, err)
		defer conn.Close()
		stream, err := pb.NewAgentClient(conn).Watch(b.Context(), &pb.WatchRequest{Watcher: "agent-0002"}, grpc.WaitForReady(true))
		require.NoError(b, err)
		_, err = stream.Recv()
		require.NoError(b, err)
	})
}
