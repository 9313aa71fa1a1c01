package forward_test

import (
	"context"
	"expvar"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/decide/evidence"
	"dandelionsill.org/decide/members"
	decide "dandelionsill.org/decide/permits"
	"dandelionsill.org/decide/poison"
	"dandelionsill.org/gateway/forward"
	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/gateway/permits"
	"dandelionsill.org/kinds"
	"dandelionsill.org/platform/hosted/hostedtest"
	"dandelionsill.org/wire/pb"
)

// The routes to the service plain have a timeout of ten objectives.
const patience = 10

// loadKnownAfter is longer than a broker runs before it states its load.
const loadKnownAfter = 3 * time.Second

// fixedEvidence says the same of all servers and routes.
type fixedEvidence struct {
	limit   int
	typical time.Duration // 0: unknown, so that asks wait however long the queue is
}

func (fixedEvidence) SetServers(time.Time, []evidence.Server)  {}
func (fixedEvidence) Record(time.Time, evidence.Sample)        {}
func (e fixedEvidence) TypicalTime(string) time.Duration       { return e.typical }
func (fixedEvidence) Report(time.Time) []evidence.ServerReport { return nil }
func (e fixedEvidence) Standing(time.Time, string, string) evidence.Standing {
	return evidence.Standing{Limit: e.limit, Pace: 1}
}

// recordedEvidence records how requests ended.
type recordedEvidence struct {
	fixedEvidence
	mu       sync.Mutex
	outcomes []evidence.Outcome
}

func (e *recordedEvidence) Record(_ time.Time, s evidence.Sample) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.outcomes = append(e.outcomes, s.Outcome)
}

// counted counts the asks of a forwarder and their results.
type counted struct {
	forward.Permits
	asks, refused, failed atomic.Int64
	objective             atomic.Int64 // of the last ask
}

func (c *counted) Acquire(ctx context.Context, service string, ask decide.Ask) (*permits.Permit, *permits.Refusal, error) {
	c.asks.Add(1)
	c.objective.Store(int64(ask.Objective))
	permit, refusal, err := c.Permits.Acquire(ctx, service, ask)
	if refusal != nil {
		c.refused.Add(1)
	}
	if err != nil {
		c.failed.Add(1)
	}
	return permit, refusal, err
}

// sharing is a gateway that asks the broker of another one for permits.
type sharing struct {
	t      *testing.T
	proc   *gatewaytest.Process
	broker *permits.Server
	client *permits.Client
	asks   *counted
}

// share starts a broker with this evidence and these servers, and a gateway that asks it.
func share(t *testing.T, pf *gatewaytest.Platform, e decide.Evidence, servers func(*gatewaytest.Process) []members.Server) *sharing {
	p := pf.NewProcess(t)
	if servers == nil {
		servers = func(p *gatewaytest.Process) []members.Server { return p.View.Current().Servers["plain"] }
	}
	listed := func(string) []members.Server { return servers(p) }
	var ahead atomic.Int64 // of the broker's clock
	broker := permits.NewServer(permits.ServerConfig{
		Servers: listed, Logger: zap.NewNop(), Now: func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) },
		NewBroker: func(string) permits.Broker { return decide.New(decide.DefaultConfig(), e) },
	})
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := lis.Addr().String()
	grpc := permits.NewGRPC(addr, broker)
	go grpc.Serve(lis)
	t.Cleanup(grpc.Server.Stop)
	client := permits.NewClient(permits.Config{
		VM: "a", Incarnation: "1", FailureDomain: "zone-a", Logger: zap.NewNop(), Servers: listed,
		Members: func() []decide.Member { return []decide.Member{{VM: "b", Addr: addr}} },
	})
	p.Go(broker.Run)
	p.Go(client.Run)
	s := &sharing{t: t, proc: p, broker: broker, client: client, asks: &counted{Permits: client}}
	p.Forward.UsePermits(s.asks, patience)
	s.hold().Done(0, evidence.Unused)
	ahead.Store(int64(loadKnownAfter))
	s.await(0, 0)
	return s
}

// hold takes a place for another request, once the broker can be reached.
func (s *sharing) hold() *permits.Permit {
	var permit *permits.Permit
	require.Eventually(s.t, func() bool {
		permit, _, _ = s.client.Acquire(s.t.Context(), "plain", decide.Ask{Objective: time.Second, Deadline: time.Minute, NoWait: true})
		return permit != nil
	}, gatewaytest.MaxWait, time.Millisecond)
	return permit
}

// await waits until so many asks wait and so many permits are in use.
func (s *sharing) await(waiting, inUse int) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		reply, err := s.broker.Load(s.t.Context(), &pb.ServiceLoadRequest{Service: "plain"})
		running := 0
		for _, d := range reply.GetDomains() {
			running += int(d.Running)
		}
		return err == nil && reply.Known && int(reply.Waiting) == waiting && running == inUse
	}, gatewaytest.MaxWait, time.Millisecond)
}

type answer struct {
	reply *forward.Reply
	err   *kinds.Error
}

// start sends a request in the background.
func (s *sharing) start(ctx context.Context, path string) <-chan answer {
	answers := make(chan answer, 1)
	call := newCall(s.t, s.proc, "r", path)
	go func() {
		reply, err := s.proc.Forward.Send(ctx, call)
		answers <- answer{reply, err}
	}()
	return answers
}

func TestSharedServiceIsAskedFor(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 2)
	s := share(t, pf, evidence.New(evidence.Default), nil)
	for _, path := range []string{"/score/x", "/write/x"} {
		reply, err := s.proc.Forward.Send(t.Context(), newCall(t, s.proc, "r", path))
		require.Nil(t, err)
		require.Equal(t, "answer to r", string(reply.Body))
	}
	require.Equal(t, int64(2), s.asks.asks.Load())
	require.Zero(t, s.asks.failed.Load())
	require.Len(t, arrivals(pf.Servers), 2)
	s.await(0, 0)
}

// Load: all places are taken by requests that take longer than a caller waits. The caller gets
// "not run", which is true, and a time to return.
func TestRequestWithoutPlaceIsRefusedAtOnce(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 1)
	s := share(t, pf, fixedEvidence{limit: 1, typical: 10 * time.Second}, nil)
	held := s.hold()
	for _, path := range []string{"/score/x", "/write/x"} {
		call := newCall(t, s.proc, "r", path)
		_, err := s.proc.Forward.Send(t.Context(), call)
		require.True(t, err.NotRun())
		require.Equal(t, string(kinds.DeadlineTooShort), err.Kind())
		require.Equal(t, 503, err.Answer().HTTP)
		require.Positive(t, err.Answer().RetryAfter)
		require.True(t, time.Now().Before(call.Deadline))
	}
	require.Empty(t, arrivals(pf.Servers))
	held.Done(0, evidence.Unused)
	s.await(0, 0)
}

// Guards against requests that depend on a broker: each gateway can decide by itself.
func TestRequestIsSentWithoutBroker(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 2)
	s := share(t, pf, fixedEvidence{limit: 1}, nil)
	s.broker.Leave()
	for range 3 {
		reply, err := s.proc.Forward.Send(t.Context(), newCall(t, s.proc, "r", "/write/x"))
		require.Nil(t, err)
		require.Equal(t, 200, reply.Status)
	}
	require.Equal(t, int64(3), s.asks.failed.Load())
	require.Len(t, arrivals(pf.Servers), 3)
}

// The broker's process ends while a request waits in its queue. The request is sent all the same,
// once.
func TestQueuedRequestOutlivesItsBroker(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 1)
	s := share(t, pf, fixedEvidence{limit: 1}, nil)
	s.hold()
	answers := s.start(t.Context(), "/write/x")
	s.await(1, 1)
	require.Empty(t, arrivals(pf.Servers))
	s.broker.Leave()
	a := <-answers
	require.Nil(t, a.err)
	require.Equal(t, 200, a.reply.Status)
	require.Len(t, arrivals(pf.Servers), 1)
}

// Guards against requests to servers that this gateway knows to leave, or does not know, on the
// word of a broker with an older list.
func TestPermitForLeavingOrUnknownServerIsNotUsed(t *testing.T) {
	ghost := members.Server{ID: "ghost", Name: "ghost", Slots: 6, FailureDomain: "zone-a"}
	for name, test := range map[string]struct {
		listed  []string // real servers that the broker lists beside the ghost
		leaving bool
		want    int
	}{
		"unknown": {nil, false, 0}, "unknown, and another": {[]string{"p1"}, false, 1}, "leaving": {[]string{"p0"}, true, 0}, "leaving, and another": {[]string{"p0", "p1"}, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			pf := gatewaytest.NewPlatform(t, 0, 2)
			list := []members.Server{ghost}
			for _, id := range test.listed {
				list = append(list, members.Server{ID: id, Name: id, Slots: 6, FailureDomain: "zone-a"})
			}
			s := share(t, pf, fixedEvidence{limit: 1}, func(*gatewaytest.Process) []members.Server { return list })
			if test.leaving {
				pf.Register(pf.Servers[0], "draining")
				require.Eventually(t, func() bool {
					known, _ := s.proc.View.Current().Server("plain", "p0")
					return known.Leaving
				}, gatewaytest.MaxWait, time.Millisecond)
			}
			reply, err := s.proc.Forward.Send(t.Context(), newCall(t, s.proc, "r", "/write/x"))
			if test.want == 0 {
				require.True(t, err.NotRun())
				require.Equal(t, 503, err.Answer().HTTP)
			} else {
				require.Nil(t, err)
				require.Equal(t, "p1", reply.Server)
			}
			require.Len(t, arrivals(pf.Servers), test.want)
			s.await(0, 0)
		})
	}
}

// A write with a permit reaches a server that fails or never answers. It may have run, so that no
// second permit may be used for it, and the answer must not say "not run".
func TestUnsafeRequestWithPermitRunsOnce(t *testing.T) {
	for name, fault := range map[string]hostedtest.ServerFaults{"fails": {Status: 500}, "no signature": {NoSeal: true}, "silent": {Unresponsive: true}} {
		t.Run(name, func(t *testing.T) {
			pf := gatewaytest.NewPlatform(t, 0, 3)
			s := share(t, pf, fixedEvidence{limit: 4}, nil)
			for _, server := range pf.Servers {
				server.Fail(fault)
			}
			call := newCall(t, s.proc, "w", "/write/x")
			call.Deadline = time.Now().Add(400 * time.Millisecond)
			reply, err := s.proc.Forward.Send(t.Context(), call)
			if err != nil {
				require.False(t, err.NotRun())
			} else {
				require.Equal(t, 500, reply.Status)
			}
			require.Len(t, arrivals(pf.Servers), 1)
			s.await(0, 0)
		})
	}
}

// A caller disconnects while its request waits for a permit. The request reaches no server, also
// after a place has become free.
func TestQueuedRequestOfLostCallerIsNotSent(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 1)
	s := share(t, pf, fixedEvidence{limit: 1}, nil)
	held := s.hold()
	ctx, leave := context.WithCancel(t.Context())
	answers := s.start(ctx, "/score/x")
	s.await(1, 1)
	leave()
	require.Equal(t, string(kinds.Cancelled), (<-answers).err.Kind())
	s.await(0, 1)
	held.Done(0, evidence.Unused)
	s.await(0, 0)
	require.Empty(t, arrivals(pf.Servers))
}

// Load: a server is silent while the places of the others are taken. A second copy is sent only
// once a place is free.
func TestHedgeNeedsFreePlace(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 2)
	pf.Servers[0].Fail(hostedtest.ServerFaults{Unresponsive: true})
	s := share(t, pf, fixedEvidence{limit: 1}, nil)
	silent, other := s.hold(), s.hold()
	if silent.Server != "p0" {
		silent, other = other, silent
	}
	silent.Done(0, evidence.Unused)
	s.await(0, 1)
	hedges := expvar.Get("forward_hedges_total").(*expvar.Int)
	before := hedges.Value()
	answers := s.start(t.Context(), "/score/x")
	require.Eventually(t, func() bool { return s.asks.refused.Load() > 0 }, gatewaytest.MaxWait, time.Millisecond)
	require.Empty(t, pf.Servers[1].Arrivals())
	other.Done(0, evidence.Unused)
	a := <-answers
	require.Nil(t, a.err)
	require.Equal(t, "p1", a.reply.Server)
	require.Len(t, arrivals(pf.Servers), 2)
	require.Equal(t, int64(1), hedges.Value()-before, "asks that were refused are no hedges")
	s.await(0, 0)
}

// Guards against delays for services whose callers have time.
func TestServiceThatIsNotSharedAsksNobody(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 1)
	s := share(t, pf, fixedEvidence{limit: 1}, nil)
	s.proc.Forward.UsePermits(s.asks, patience-1)
	reply, err := s.proc.Forward.Send(t.Context(), newCall(t, s.proc, "r", "/score/x"))
	require.Nil(t, err)
	require.Equal(t, 200, reply.Status)
	require.Zero(t, s.asks.asks.Load())
}

// A caller disconnects just before the decision on its request arrives. Guards against a request
// that is sent for nobody, if the decision is noticed first.
func TestDecisionAfterCallerLeftSendsNothing(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 1)
	s := share(t, pf, fixedEvidence{limit: 1}, nil)
	gone, leave := context.WithCancel(t.Context())
	leave()
	require.Zero(t, s.proc.Forward.Decide(gone, newCall(t, s.proc, "r", "/write/x"), 0, s.hold(), nil))
	s.await(0, 0)
	require.Zero(t, s.proc.Forward.Decide(gone, newCall(t, s.proc, "r", "/write/x"), 0, nil, permits.ErrNoBroker))
}

// A caller disconnects while a server refuses its request. Guards against a request that is sent to
// the next server for nobody, if the refusal is noticed first.
func TestRefusalAfterCallerLeftSendsNothing(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 1)
	p := pf.NewProcess(t)
	gone, leave := context.WithCancel(t.Context())
	leave()
	require.Zero(t, p.Forward.Refuse(gone, newCall(t, p, "r", "/write/x")))
	require.Equal(t, 1, p.Forward.Refuse(t.Context(), newCall(t, p, "r", "/write/x")))
}

// Callers leave while their requests wait for room for their bodies, or for a connection. Guards
// against healthy servers that all gateways take for unreachable.
func TestUnsentRequestIsNoEvidenceAgainstItsServer(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 1)
	e := &recordedEvidence{fixedEvidence: fixedEvidence{limit: 4}}
	s := share(t, pf, e, nil)
	s.proc.Forward.Bodies = forward.NewServerBodies(1)
	pf.Servers[0].Fail(hostedtest.ServerFaults{Unresponsive: true})
	ctx, leave := context.WithCancel(t.Context())
	first := s.start(ctx, "/write/x")
	require.Eventually(t, func() bool { return pf.Servers[0].InFlight() == 1 }, gatewaytest.MaxWait, time.Millisecond)
	second := s.start(ctx, "/write/x")
	s.await(0, 2)
	leave()
	<-first
	<-second
	s.await(0, 0)
	e.mu.Lock()
	defer e.mu.Unlock()
	require.ElementsMatch(t, []evidence.Outcome{evidence.Unused, evidence.Unused, evidence.Abandoned}, e.outcomes, "the first is that of share")

	require.Equal(t, evidence.Abandoned, forward.UnsentOutcome(true, time.Millisecond))
	require.Equal(t, evidence.Unreachable, forward.UnsentOutcome(true, 100*time.Millisecond), "a dark server")
	require.Equal(t, evidence.Unreachable, forward.UnsentOutcome(false, time.Millisecond), "it refuses connections")
}

// A request is found to crash servers while it is at one and waits for a permit for another. Guards
// against a second server that crashes under it before the first has answered.
func TestSuspectIsAtOneServerAtATime(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 1)
	s := share(t, pf, fixedEvidence{limit: 1}, nil)
	call := newCall(t, s.proc, "r", "/score/x")
	content := poison.Content{Caller: poison.CallerFromHeader(call.Header), Method: call.Method, Host: call.Host, URI: call.URI, Body: call.Body}
	for _, server := range []string{"s1", "s2"} {
		s.proc.Forward.Quarantine.RecordCrash(content.Fingerprint(), server)
	}
	require.Equal(t, poison.Suspect, s.proc.Forward.Quarantine.Verdict(content.Fingerprint()))
	require.Equal(t, 1, s.proc.Forward.Decide(t.Context(), call, 1, s.hold(), nil))
	s.await(0, 0)
	require.Equal(t, 1, s.proc.Forward.Decide(t.Context(), call, 1, nil, permits.ErrNoBroker))
	require.Equal(t, 1, s.proc.Forward.Decide(t.Context(), call, 0, s.hold(), nil))
	require.Equal(t, 1, s.proc.Forward.RefuseHedge(t.Context(), call), "its first server crashed, and a second attempt is allowed")
}

// A broker is lost after a request has waited for it for longer than until a hedge is due, and the
// server that the request is sent to is silent. Guards against a request that is never hedged.
func TestRequestIsHedgedAfterItsBrokerIsLost(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 2)
	s := share(t, pf, fixedEvidence{limit: 1}, nil)
	for _, server := range pf.Servers {
		server.Fail(hostedtest.ServerFaults{Unresponsive: true})
	}
	s.hold()
	s.hold()
	answers := s.start(t.Context(), "/score/x")
	s.await(1, 2)
	time.Sleep(150 * time.Millisecond) // a hedge is due after 100 ms
	s.broker.Leave()
	require.False(t, (<-answers).err.NotRun())
	require.Len(t, arrivals(pf.Servers), 2)
}

// One caller states a time that is far beyond the route's timeout. Guards against others that from
// then on count as late, since they state less: a caller that returns is recognized by that.
func TestTimeBeyondTimeoutMakesNobodyLate(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 1)
	s := share(t, pf, fixedEvidence{limit: 4}, nil)
	for _, stated := range []time.Duration{time.Hour, 2 * time.Second} {
		call := newCall(t, s.proc, "r", "/score/x")
		call.CallerTimeout = stated
		_, err := s.proc.Forward.Send(t.Context(), call)
		require.Nil(t, err)
	}
	require.Positive(t, s.asks.objective.Load())
}
