package fleet

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"dandelionsill.org/platform"
	"dandelionsill.org/wire/pb"
)

// callAgent is a fakeAgent that also accepts calls. Each runs until the test
// closes finish.
type callAgent struct {
	fakeAgent
	finish chan struct{}
}

func (c *callAgent) Call(stream pb.Agent_CallServer) error {
	if _, err := stream.Recv(); err != nil {
		return err
	}
	if err := stream.Send(&pb.CallReply{Part: &pb.CallReply_Ready{Ready: &pb.CallReady{}}}); err != nil {
		return err
	}
	if _, err := stream.Recv(); err != nil {
		return err
	}
	select {
	case <-c.finish:
	case <-stream.Context().Done():
		return stream.Context().Err()
	}
	return stream.Send(&pb.CallReply{Part: &pb.CallReply_End{End: &pb.CallEnd{}}})
}

func startCallAgent(t *testing.T, name string) (*callAgent, platform.VM) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &callAgent{fakeAgent: fakeAgent{reports: make(chan *pb.AgentState, 100), end: make(chan struct{})}, finish: make(chan struct{})}
	srv := grpc.NewServer()
	pb.RegisterAgentServer(srv, f)
	served := make(chan struct{})
	go func() { defer close(served); _ = srv.Serve(lis) }()
	t.Cleanup(func() { srv.Stop(); <-served })
	return f, platform.VM{Name: name, Role: "agent", Addr: lis.Addr().String(), FailureDomain: "a", Region: "r", State: platform.VMLive}
}

// Guards against outcome_unknown (or a broken stream) for a request that ran at a
// server which did not fail. Request X is in flight at vm-1 and request T picks
// vm-1 from the snapshot. The subset or the VM list changes and vm-1 is retired.
// T's Begin counts on a new counter, as the retired one was removed. T receives
// CallReady and sends CallGo, and X ends. If maintain looked at the counter only, it would
// see no work and close the connection during T. T waits in Lost for the lock that
// reconcile holds, so every request picked during a reconcile was affected.
func TestCallOnRetiredAgentIsNotInterrupted(t *testing.T) {
	f, vm := startCallAgent(t, "vm-1")
	list, a := startWithVM(t, vm, withLongReportTimeout)
	f.reports <- report("vm-1")
	waitFor(t, a, "ready", ready("vm-1"))
	endX := a.Begin("vm-1")
	picked := a.Snapshot().ByName["vm-1"]
	list.set()
	waitFor(t, a, "gone", func(s *Snapshot) bool { return s.ByName["vm-1"] == nil })

	endT := a.Begin(picked.Name)
	defer endT(OK)
	stream, err := picked.Client.Call(t.Context())
	require.NoError(t, err)
	require.NoError(t, stream.Send(&pb.CallSend{Part: &pb.CallSend_Open{Open: &pb.CallOpen{}}}))
	msg, err := stream.Recv()
	require.NoError(t, err)
	require.NotNil(t, msg.GetReady())
	require.NoError(t, stream.Send(&pb.CallSend{Part: &pb.CallSend_Go{Go: &pb.CallGo{}}}))

	endX(OK)
	a.maintain(time.Now())
	close(f.finish)
	msg, err = stream.Recv()
	require.NoError(t, err, "the entry closed the connection before the answer was complete")
	require.NotNil(t, msg.GetEnd())
}

// Guards against a read that waits 15 s (the connection's keepalive) or until its
// deadline, although a report timeout of 3 s would have sent it to another server.
// A read is in flight at vm-1. The VM list or a new choice of the subset removes
// vm-1. Then the VM loses power or its agent freezes. If the Watch had been stopped
// when vm-1 was retired, the channel of Lost that the read waits on would never be
// closed.
func TestRetiredAgentReportTimeout(t *testing.T) {
	f, vm := startCallAgent(t, "vm-1")
	list, a := startWithVM(t, vm, func(c *Config) { c.ReportTimeout = 100 * time.Millisecond })
	f.reports <- report("vm-1")
	waitFor(t, a, "ready", ready("vm-1"))
	lost := a.Lost("vm-1")
	picked := a.Snapshot().ByName["vm-1"]
	end := a.Begin("vm-1")
	defer end(Abandoned)
	_, err := picked.Client.Call(t.Context()) // in flight until the test ends
	require.NoError(t, err)
	list.set()
	waitFor(t, a, "gone", func(s *Snapshot) bool { return s.ByName["vm-1"] == nil })
	select {
	case <-lost:
	case <-time.After(3 * time.Second):
		require.Fail(t, "the report timeout of a retired agent with work in flight was not noticed")
	}
}
