package permits

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"dandelionsill.org/decide/evidence"
	"dandelionsill.org/decide/members"
	decide "dandelionsill.org/decide/permits"
	"dandelionsill.org/wire/pb"
)

// waitTime is generous: nothing should take that long.
const waitTime = 20 * time.Second

// countedListener counts the bytes of its connections.
type countedListener struct {
	net.Listener
	in, out atomic.Int64
}

func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countedConn{conn, l}, err
}

type countedConn struct {
	net.Conn
	listener *countedListener
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.in.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.out.Add(int64(n))
	return n, err
}

// serve serves brokers on a loopback address until stop is called.
func serve(t testing.TB, vm string, broker Broker) (m decide.Member, lis *countedListener, stop func()) {
	s := NewServer(ServerConfig{Servers: oneServer, Logger: zap.NewNop(), NewBroker: func(string) Broker { return broker }})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	lis = &countedListener{Listener: inner}
	server := NewGRPC(inner.Addr().String(), s)
	ctx, cancel := context.WithCancel(context.Background())
	go server.Serve(lis)
	go s.Run(ctx)
	return decide.Member{VM: vm, Addr: inner.Addr().String()}, lis, func() { server.Server.Stop(); cancel() }
}

var theServer = []members.Server{{ID: "server-0", Slots: 2}}

func oneServer(string) []members.Server { return theServer }

func newGRPCClient(ranked ...decide.Member) (c *Client, stop func()) {
	c = NewClient(Config{VM: "a", Incarnation: "1", FailureDomain: "a", Servers: oneServer, Logger: zap.NewNop(), Members: func() []decide.Member { return ranked }})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { c.Run(ctx); close(done) }()
	return c, func() { cancel(); <-done }
}

// Guards against a broker that hangs while its machine still takes connections, and against places
// that its late grants take.
func TestHangingBrokerOverGRPC(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	brokers := []*fakeBroker{newFakeBroker(), newFakeBroker()}
	first, _, stopFirst := serve(t, "vm-0", brokers[0])
	second, _, stopSecond := serve(t, "vm-1", brokers[1])
	defer stopSecond()
	if decide.Ranked("echo", "", 0, []decide.Member{first, second})[0] != first {
		brokers[0], brokers[1] = brokers[1], brokers[0]
		stopFirst, stopSecond = stopSecond, stopFirst
	}
	hang := make(chan struct{})
	brokers[0].block = hang
	c, stop := newGRPCClient(first, second)
	defer stop()
	failed := 0
	var permit *Permit
	for permit == nil {
		o := acquire(t.Context(), c, decide.Ask{Deadline: time.Minute})
		if permit = o.permit; permit == nil {
			require.ErrorIs(t, o.err, ErrNoBroker)
			failed++
		}
	}
	require.GreaterOrEqual(t, failed, maxSilences)
	close(hang)
	permit.Done(time.Millisecond, evidence.Answered)
	for _, b := range brokers {
		require.Eventually(t, func() bool { waiting, used := b.counts(); return waiting+used == 0 }, waitTime, time.Millisecond)
	}
	stopFirst()
}

// Load: more calls than places, over a connection.
func TestQueueOverGRPC(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	broker := newFakeBroker()
	member, _, stopServer := serve(t, "vm-0", broker)
	defer stopServer()
	c, stop := newGRPCClient(member)
	defer stop()
	held := []*Permit{mustAcquireSoon(t, c), mustAcquireSoon(t, c)}
	queued := start(t.Context(), c, decide.Ask{Deadline: time.Minute})
	require.Eventually(t, func() bool { waiting, _ := broker.counts(); return waiting == 1 }, waitTime, time.Millisecond)
	held[0].Done(time.Millisecond, evidence.Answered)
	held[0] = (<-queued).permit
	require.NotNil(t, held[0])
	for _, p := range held {
		p.Done(time.Millisecond, evidence.Answered)
	}
	require.Eventually(t, func() bool { _, used := broker.counts(); return used == 0 }, waitTime, time.Millisecond)

	brokers := c.Brokers("echo")
	require.Len(t, brokers, 1)
	reply, err := brokers[0].Load(t.Context(), &pb.ServiceLoadRequest{Service: "other"})
	require.NoError(t, err)
	require.False(t, reply.GetKnown())

	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	stream, err := openGRPC(ctx, member.Addr)
	require.NoError(t, err)
	require.NoError(t, stream.Send(&pb.PermitRequest{Gateway: "b"}))
	_, err = stream.Recv()
	require.Equal(t, codes.InvalidArgument, status.Code(err), "%v", err)
	stopServer()
	require.Eventually(t, func() bool { return acquire(t.Context(), c, decide.Ask{}).err != nil }, waitTime, time.Millisecond)
}

// mustAcquireSoon returns a permit, also if the machine is so busy that a broker seems to be silent.
func mustAcquireSoon(t testing.TB, c *Client) (p *Permit) {
	require.Eventually(t, func() bool {
		p = acquire(context.Background(), c, decide.Ask{Route: "r", Organisation: "organisation", Objective: time.Second, Deadline: time.Minute}).permit
		return p != nil
	}, waitTime, time.Millisecond)
	return p
}

// BenchmarkPermit measures the time and the bytes of a permit: ask, grant and report.
func BenchmarkPermit(b *testing.B) {
	member, lis, stopServer := serve(b, "vm-0", newFakeBroker())
	defer stopServer()
	c, stop := newGRPCClient(member)
	defer stop()
	mustAcquireSoon(b, c).Done(0, evidence.Answered)
	in, out := lis.in.Load(), lis.out.Load()
	b.ResetTimer()
	for b.Loop() {
		o := acquire(context.Background(), c, decide.Ask{Route: "r", Organisation: "organisation", Objective: time.Second, Deadline: time.Minute})
		if o.permit == nil {
			b.Fatal(o.refusal, o.err)
		}
		o.permit.Done(123*time.Millisecond, evidence.Answered)
		time.Sleep(2 * reportDelay) // the report has no company
	}
	b.ReportMetric(float64(lis.in.Load()-in)/float64(b.N), "B-to-broker/op")
	b.ReportMetric(float64(lis.out.Load()-out)/float64(b.N), "B-from-broker/op")
}
