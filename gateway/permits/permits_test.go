package permits

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"dandelionsill.org/decide/evidence"
	decide "dandelionsill.org/decide/permits"
	"dandelionsill.org/wire/pb"
)

// bubble runs a test in virtual time. It fails if a goroutine is left.
func bubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, test)
}

// Load: more calls than places.
func TestAsksAreGrantedQueuedAndRefused(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFleet(t, 3, 1, 2)
		f.ranked(0).maxQueue = 1
		c := f.client("a")
		first, second := mustAcquire(t, c), mustAcquire(t, c)
		require.Equal(t, "server-0", first.Server)
		require.Equal(t, []string{"free", f.members[0].VM}, []string{first.Reason, first.Broker})

		waiting := start(t.Context(), c, decide.Ask{Route: "r", Organisation: "o", Priority: 2, Repeatable: true, Objective: 3 * time.Second, Deadline: time.Minute, Avoid: []string{"x"}})
		settle(t, f.ranked(0), 1, 2)
		require.Equal(t, decide.Ask{
			ID: decide.AskID{Gateway: "a/1", Number: 3}, Domain: "a", Route: "r", Organisation: "o", Priority: 2,
			Repeatable: true, Objective: 3 * time.Second, Deadline: time.Minute, Avoid: []string{"x"},
		}, f.ranked(0).lastAsk)
		time.Sleep(3 * time.Second) // the broker shows that it works
		require.Empty(t, waiting)

		o := acquire(t.Context(), c, decide.Ask{Deadline: time.Minute})
		require.Equal(t, &Refusal{Kind: decide.Overloaded, RetryAfter: fakeRetryAfter, Reason: "full", Broker: f.members[0].VM}, o.refusal)
		require.NoError(t, o.err)

		first.Done(time.Second, evidence.Answered)
		first.Done(time.Second, evidence.Failed)
		third := (<-waiting).permit
		require.NotNil(t, third)
		settle(t, f.ranked(0), 0, 2)
		require.Equal(t, []evidence.Outcome{evidence.Answered}, f.ranked(0).outcomes)
		second.Done(0, evidence.Unused)
		third.Done(time.Second, evidence.Refused)
		settle(t, f.ranked(0), 0, 0)
		require.Equal(t, []evidence.Outcome{evidence.Answered, evidence.Unused, evidence.Refused}, f.ranked(0).outcomes)
	})
}

// Guards against calls that wait for a broker that hangs.
func TestSilentBrokerIsReplaced(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFleet(t, 2, 1, 10)
		thaw := f.freeze(0)
		c := f.client("a")
		for range maxSilences {
			began := time.Now()
			require.ErrorIs(t, acquire(t.Context(), c, decide.Ask{Deadline: time.Minute}).err, ErrNoBroker)
			require.Equal(t, answerTimeout, time.Since(began))
		}
		mustAcquire(t, c).Done(0, evidence.Answered)
		settle(t, f.ranked(1), 0, 0)
		require.Len(t, f.ranked(1).outcomes, 1)

		time.Sleep(minLostTime) // tried again, by a stream that no ask waits for
		mustAcquire(t, c).Done(0, evidence.Answered)
		time.Sleep(2 * silenceTimeout)
		mustAcquire(t, c).Done(0, evidence.Answered)
		settle(t, f.ranked(1), 0, 0)
		require.Len(t, f.ranked(1).outcomes, 3)

		thaw()
		time.Sleep(maxLostTime)
		for range 3 {
			mustAcquire(t, c).Done(0, evidence.Answered)
			time.Sleep(rankInterval)
		}
		settle(t, f.ranked(0), 0, 0)
		require.NotEmpty(t, f.ranked(0).outcomes, "the first in rank is used again")
	})
}

// Guards against queued calls that are lost with their broker, and against a successor that grants
// places which are in use.
func TestStandbyLearnsWhatIsInUse(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFleet(t, 2, 1, 3)
		a, b := f.client("a"), f.client("b")
		permits := []*Permit{mustAcquire(t, a), mustAcquire(t, a), mustAcquire(t, b)}
		settle(t, f.ranked(0), 0, 3)
		f.kill(0)
		settle(t, f.ranked(1), 0, 3)
		queued := start(t.Context(), a, decide.Ask{Deadline: time.Minute})
		other := start(t.Context(), b, decide.Ask{Deadline: time.Minute})
		settle(t, f.ranked(1), 2, 3)
		for _, p := range permits {
			p.Done(time.Second, evidence.Answered)
		}
		for _, results := range []<-chan outcome{queued, other} {
			o := <-results
			require.NoError(t, o.err)
			o.permit.Done(time.Second, evidence.Answered)
		}
		settle(t, f.ranked(1), 0, 0)
	})
}

// Guards against queued calls that are lost or wait in vain when their broker is killed.
func TestQueuedAsksGoToStandby(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFleet(t, 2, 1, 1)
		c := f.client("a")
		held := mustAcquire(t, c)
		queued := start(t.Context(), c, decide.Ask{Deadline: time.Minute})
		settle(t, f.ranked(0), 1, 1)
		f.kill(0)
		settle(t, f.ranked(1), 1, 1)
		require.Greater(t, f.ranked(1).lastAsk.Deadline, 30*time.Second)
		require.Less(t, f.ranked(1).lastAsk.Deadline, time.Minute)
		f.kill(1)
		require.ErrorIs(t, (<-queued).err, ErrNoBroker)
		held.Done(time.Second, evidence.Answered)
		require.ErrorIs(t, acquire(t.Context(), c, decide.Ask{Deadline: time.Minute}).err, ErrNoBroker)
	})
}

// Guards against grants that arrive after their asks were given up: by a broker that was frozen,
// or to a VM that was suspended. Their places must become free.
func TestLateGrantsAreGivenBack(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFleet(t, 2, 1, 2)
		c := f.client("a")
		mustAcquire(t, c).Done(0, evidence.Answered)
		settle(t, f.ranked(0), 0, 0)

		thaw := f.freeze(0)
		require.ErrorIs(t, acquire(t.Context(), c, decide.Ask{Deadline: time.Minute}).err, ErrNoBroker)
		thaw()
		settle(t, f.ranked(0), 0, 0)

		thaw = f.freeze(0)
		suspended := start(t.Context(), c, decide.Ask{Deadline: time.Minute})
		synctest.Wait()
		f.boot.Store(int64(time.Hour))
		thaw()
		require.ErrorIs(t, (<-suspended).err, ErrNoBroker)
		settle(t, f.ranked(0), 0, 0)

		s := c.shard(shardKey{service: "echo", shards: 1})
		p := mustAcquire(t, c)
		_, _, err := s.use(result{permit: p, at: c.cfg.Now() - 2*silenceTimeout})
		require.ErrorIs(t, err, ErrNoBroker)
		settle(t, f.ranked(0), 0, 0)
	})
}

// Guards against places that stay taken because the caller went while its ask was queued.
func TestCallerLeavesQueue(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFleet(t, 1, 1, 1)
		c := f.client("a")
		held := mustAcquire(t, c)
		ctx, cancel := context.WithCancel(t.Context())
		waiting := start(ctx, c, decide.Ask{Deadline: time.Minute})
		settle(t, f.ranked(0), 1, 1)
		cancel()
		require.ErrorIs(t, (<-waiting).err, context.Canceled)
		settle(t, f.ranked(0), 0, 1)

		ctx, cancel = context.WithCancel(t.Context())
		waiting = start(ctx, c, decide.Ask{Deadline: time.Minute})
		settle(t, f.ranked(0), 1, 1)
		thaw := f.freeze(0) // the grant is on its way while the caller goes
		held.Done(0, evidence.Answered)
		cancel()
		require.ErrorIs(t, (<-waiting).err, context.Canceled)
		thaw()
		settle(t, f.ranked(0), 0, 0)
	})
}

// Guards against an ask without any result: it is refused at the deadline at which its caller goes.
func TestRefusalAtDeadline(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFleet(t, 1, 1, 1)
		c := f.client("a")
		mustAcquire(t, c)
		for range 50 {
			ctx, cancel := context.WithTimeout(t.Context(), tickInterval)
			o := acquire(ctx, c, decide.Ask{Deadline: tickInterval})
			cancel()
			require.Nil(t, o.permit)
			require.True(t, (o.err == nil) != (o.refusal == nil), "%+v", o)
		}
	})
}

// Guards against places that a lost gateway's queued asks take, and against permits that are
// forgotten when a gateway loses its stream for a moment.
func TestLostGateway(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFleet(t, 1, 1, 2)
		stream := f.raw("lost", &pb.PermitRequest{Asks: []*pb.PermitAsk{{Id: 1, DeadlineMs: 60000}, {Id: 2, DeadlineMs: 60000}, {Id: 3, DeadlineMs: 60000}}})
		go stream.drain()
		settle(t, f.ranked(0), 1, 2)
		other := start(t.Context(), f.client("a"), decide.Ask{Deadline: time.Minute})
		settle(t, f.ranked(0), 2, 2)
		stream.cancel()
		settle(t, f.ranked(0), 1, 2)

		stream = f.raw("lost", &pb.PermitRequest{InUse: []*pb.PermitInUse{{Id: 1, Server: "server-0"}}})
		settle(t, f.ranked(0), 0, 2)
		require.NotNil(t, (<-other).permit, "permit 2 never arrived")
		f.raw("lost", &pb.PermitRequest{InUse: []*pb.PermitInUse{{Id: 1, Server: "server-0"}}})
		_, err := stream.drain()
		require.Error(t, err, "a newer stream")
		settle(t, f.ranked(0), 0, 2)
	})
}

// Guards against a broker that is held up, or whose memory grows, by a gateway that does not read.
func TestStreamThatDoesNotReadIsEnded(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFleet(t, 1, 1, 1)
		held := mustAcquire(t, f.client("a"))
		stream := f.raw("stuck", &pb.PermitRequest{})
		synctest.Wait()
		var err error
		for id := uint64(1); err == nil && id < 3*maxUnsent; id++ {
			err = stream.Send(&pb.PermitRequest{Asks: []*pb.PermitAsk{{Id: id, NoWait: true}}})
			synctest.Wait()
		}
		require.ErrorContains(t, err, "does not read")
		held.Done(0, evidence.Answered)
		settle(t, f.ranked(0), 0, 0)
	})
}

// Load: a service with more servers than one broker decides for.
func TestShardsAreAskedInTurn(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFleet(t, 3, 40, 1)
		c := f.client("a")
		granted, refused := map[string]bool{}, 0
		for range 200 {
			switch o := acquire(t.Context(), c, decide.Ask{Deadline: time.Minute, NoWait: true}); {
			case o.permit != nil:
				require.False(t, granted[o.permit.Server])
				granted[o.permit.Server] = true
			default:
				require.Equal(t, decide.Overloaded, o.refusal.Kind)
				refused++
			}
		}
		require.Len(t, granted, 40)
		require.Equal(t, 160, refused)
		for _, key := range []shardKey{{"echo", "", 0, 1}, {"echo", "", 1, 2}, {"a#b", "", 0, 1}, {"a#1/0", "", 0, 1}, {"echo", "b", 1, 2}} {
			require.Equal(t, key, parseKey(key.name(), key.region))
		}
	})
}

// Load: shards of unlike load and speed.
func TestLoadsOfShardsAreAddedUp(t *testing.T) {
	reply := &pb.ServiceLoadReply{}
	addLoad(reply, decide.Load{Waiting: 1, AsksPerSecond: 30, Mean: time.Millisecond, Domains: []decide.DomainLoad{{Domain: "a", Servers: 2, Places: 4, Running: 3}}})
	addLoad(reply, decide.Load{Waiting: 2, Refused: 1, AsksPerSecond: 10, Mean: 9 * time.Millisecond, Domains: []decide.DomainLoad{{Domain: "a", Servers: 1}}})
	require.Equal(t, []uint32{3, 1, 40, 3000}, []uint32{reply.Waiting, reply.Refused, uint32(reply.AsksPerS), reply.MeanUs})
	require.Len(t, reply.Domains, 2)
}

// Guards against connections and brokers that stay for services which nobody calls.
func TestIdleStreamsAndBrokersEnd(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFleet(t, 1, 1, 1)
		c, server := f.client("a"), f.nodes[f.members[0].Addr].server
		load := func() *pb.ServiceLoadReply {
			reply, err := server.Load(t.Context(), &pb.ServiceLoadRequest{Service: "echo"})
			require.NoError(t, err)
			return reply
		}
		p := mustAcquire(t, c)
		require.False(t, load().GetKnown())
		time.Sleep(2 * idleTimeout)
		require.True(t, load().GetKnown())
		require.Len(t, c.shard(shardKey{service: "echo", shards: 1}).sessions(), 1)
		p.Done(0, evidence.Answered)
		time.Sleep(2 * idleTimeout)
		require.Empty(t, c.shard(shardKey{service: "echo", shards: 1}).sessions())
		require.Len(t, server.all(), 1)
		time.Sleep(brokerTimeout)
		require.Empty(t, server.all())
		mustAcquire(t, c)

		server.Leave()
		synctest.Wait()
		err := acquire(t.Context(), c, decide.Ask{Deadline: time.Minute}).err
		require.True(t, errors.Is(err, ErrNoBroker), "%v", err)
	})
}

// leavingStream is the broker's end of a stream whose gateway asks right after Leave.
type leavingStream struct {
	brokerStream
	server *Server
	ask    *pb.PermitRequest
}

func (s *leavingStream) Recv() (*pb.PermitRequest, error) {
	ask := s.ask
	if ask == nil {
		return nil, io.EOF
	}
	s.ask = nil
	s.server.Leave()
	return ask, nil
}

// Guards against permits of a broker that has left: its streams end a moment after Leave returns.
func TestBrokerThatLeftGrantsNothing(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFleet(t, 1, 1, 1)
		server := f.nodes[f.members[0].Addr].server
		b := server.join(shardKey{service: "echo", shards: 1})
		sub := b.open(time.Now(), &pb.PermitRequest{Gateway: "vm-a/1", Service: "echo"})
		ask := encodeAsk(decide.Ask{ID: decide.AskID{Number: 1}, Deadline: time.Minute})
		err := server.receive(b, sub, &leavingStream{server: server, ask: &pb.PermitRequest{Asks: []*pb.PermitAsk{ask}}})
		settle(t, f.ranked(0), 0, 0)
		require.Equal(t, errLeaving, err)
	})
}

// rawStream is a gateway's stream without a client.
type rawStream struct {
	Stream
	cancel context.CancelFunc
}

// raw opens a stream to the first broker in rank.
func (f *fleet) raw(gateway string, first *pb.PermitRequest) *rawStream {
	ctx, cancel := context.WithCancel(f.ctx)
	stream, err := f.open(ctx, f.members[0].Addr)
	require.NoError(f.t, err)
	first.Gateway, first.Service = gateway, "echo"
	require.NoError(f.t, stream.Send(first))
	return &rawStream{stream, cancel}
}

// drain reads until the stream ends.
func (s *rawStream) drain() (replies []*pb.PermitReply, err error) {
	for {
		reply, err := s.Recv()
		if err != nil {
			return replies, err
		}
		replies = append(replies, reply)
	}
}
