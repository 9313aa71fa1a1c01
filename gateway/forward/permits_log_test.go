package forward_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"dandelionsill.org/decide/evidence"
	"dandelionsill.org/decide/members"
	decide "dandelionsill.org/decide/permits"
	"dandelionsill.org/gateway/forward"
	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/gateway/permits"
)

// refuser refuses each ask.
type refuser permits.Refusal

func (r refuser) Acquire(context.Context, string, decide.Ask) (*permits.Permit, *permits.Refusal, error) {
	refusal := permits.Refusal(r)
	return nil, &refusal, nil
}

// newSharing returns a forwarder that asks for permits, whose log lines are kept.
func newSharing(p *gatewaytest.Process, from forward.Permits) (*forward.Forwarder, *observer.ObservedLogs) {
	core, lines := observer.New(zap.InfoLevel)
	f := forward.New(p.View, p.Pool, "zone-a", zap.New(core))
	f.UsePermits(from, 1_000_000)
	return f, lines
}

// Load: places are short. The line on a refused request tells whom it asked, and why it was
// refused.
func TestLineOnARefusalTellsWhy(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 2)
	p := pf.NewProcess(t)
	f, lines := newSharing(p, refuser{Kind: decide.DeadlineTooShort, RetryAfter: 70 * time.Millisecond, Wait: time.Second, Reason: "too many wait", Broker: "vm-1"})
	call := newCall(t, p, "r", "/score/x")
	call.Organisation = "large"
	_, err := f.Send(t.Context(), call)
	require.NotNil(t, err)
	require.True(t, err.NotRun())
	require.Empty(t, arrivals(pf.Servers))

	refused := lines.FilterMessage("Permit refused.").All()
	require.Len(t, refused, 1)
	fields := refused[0].ContextMap()
	delete(fields, "took")
	require.Equal(t, map[string]any{
		"id": "r", "service": "plain", "organisation": "large", "broker": "vm-1", "why": "deadline_too_short", "reason": "too many wait",
		"retry_after": 70 * time.Millisecond, "wait": time.Second, "hedge": false,
	}, fields)
}

// waiter answers no ask.
type waiter struct{}

func (waiter) Acquire(ctx context.Context, _ string, _ decide.Ask) (*permits.Permit, *permits.Refusal, error) {
	<-ctx.Done()
	return nil, nil, ctx.Err()
}

// Load: a request waits for a place until its deadline. One line tells it, and none tells of a
// broker that is away.
func TestLineOnAWaitUntilTheDeadline(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 2)
	p := pf.NewProcess(t)
	f, lines := newSharing(p, waiter{})
	for i := range 20 {
		call := newCall(t, p, "r", "/score/x")
		call.Deadline = time.Now().Add(5 * time.Millisecond)
		_, err := f.Send(t.Context(), call)
		require.NotNil(t, err)
		require.True(t, err.NotRun())
		require.Equal(t, i+1, lines.Len())
		require.Equal(t, "No permit in time.", lines.All()[i].Message)
	}
	require.Empty(t, arrivals(pf.Servers))
}

// Guards against attempts whose lines don't tell which broker chose their server.
func TestLineOnAnAttemptTellsItsPermit(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 2)
	p := pf.NewProcess(t)
	servers := func(service string) []members.Server { return p.View.Current().Servers[service] }
	client := permits.NewClient(permits.Config{
		VM: "vm-1", Incarnation: "1", Servers: servers, Logger: zap.NewNop(),
		Members: func() []decide.Member { return []decide.Member{{VM: "vm-1"}} },
		Local: permits.NewServer(permits.ServerConfig{Servers: servers, Logger: zap.NewNop(), NewBroker: func(string) permits.Broker {
			return decide.New(decide.DefaultConfig(), evidence.New(evidence.Default))
		}}),
	})
	p.Go(client.Run)
	f, lines := newSharing(p, client)
	var fields map[string]any
	for sent := 0; fields["broker"] == nil; sent++ { // a broker that is slow to answer is done without
		require.Less(t, sent, 100)
		reply, err := f.Send(t.Context(), newCall(t, p, "r", "/score/x"))
		require.Nil(t, err)
		tries := lines.FilterMessage("Try.").All()
		require.Len(t, tries, sent+1)
		fields = tries[sent].ContextMap()
		require.Equal(t, reply.Server, fields["server"])
	}
	require.Equal(t, []any{"vm-1", "permit: least expected time"}, []any{fields["broker"], fields["picked"]})
	require.Positive(t, fields["waited"])
}
