package permits

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	zapobserver "go.uber.org/zap/zaptest/observer"

	"dandelionsill.org/decide/evidence"
	"dandelionsill.org/decide/members"
	decide "dandelionsill.org/decide/permits"
	"dandelionsill.org/wire/pb"
)

// observed is a broker with true decisions whose log lines are kept, and a clock.
type observed struct {
	*broker
	lines *zapobserver.ObservedLogs
	subs  []*subscriber
	now   time.Time
	next  uint64
}

func newObserved(servers, slots int) *observed {
	core, lines := zapobserver.New(zap.InfoLevel)
	var list []members.Server
	for i := range servers {
		list = append(list, members.Server{ID: fmt.Sprintf("i-%d", i), Name: fmt.Sprintf("s-%d", i), Slots: slots})
	}
	o := &observed{lines: lines, now: time.Unix(1_000_000, 0)}
	o.broker = newBroker(shardKey{service: "ledger", shards: 1}, ServerConfig{
		Servers: func(string) []members.Server { return list }, Now: func() time.Time { return o.now }, Logger: zap.New(core),
		NewBroker: func(string) Broker { return decide.New(decide.Config{}, evidence.New(evidence.Default)) },
	})
	for i := range 2 {
		o.subs = append(o.subs, o.open(o.now, &pb.PermitRequest{Gateway: fmt.Sprint("g", i)}))
	}
	return o
}

// ask asks on behalf of both gateways and keeps the permits that are granted.
func (o *observed) ask(organisation string, n int) {
	for i := range n {
		o.next++
		sub := o.subs[i%len(o.subs)]
		o.receive(o.now, sub, &pb.PermitRequest{Asks: []*pb.PermitAsk{{Id: o.next, Route: "lookup", Organisation: organisation, ObjectiveMs: 60_000, DeadlineMs: 60_000}}})
	}
}

// end ends all requests in use.
func (o *observed) end(outcome func(server string) pb.PermitOutcome) {
	for _, sub := range o.subs {
		var req pb.PermitRequest
		for _, d := range sub.take(o.now) {
			if d.Kind == decide.Granted {
				req.Reports = append(req.Reports, &pb.PermitReport{Id: d.ID.Number, Server: d.Server, Route: "lookup", TookUs: 20_000, Outcome: outcome(d.Server)})
			}
		}
		o.receive(o.now, sub, &req)
	}
}

// pass lets time pass.
func (o *observed) pass(d time.Duration) {
	for until := o.now.Add(d); o.now.Before(until); {
		o.now = o.now.Add(tickInterval)
		o.tick(o.now)
		o.observe(o.now)
	}
}

// messages returns the messages so far and forgets them.
func (o *observed) messages() (messages []string) {
	for _, line := range o.lines.TakeAll() {
		messages = append(messages, line.Message)
	}
	return messages
}

// Load: one organisation has many asks that wait, thousands have one each. One short line a
// second tells it, and none is written once nobody waits.
func TestLineOnLoadIsBounded(t *testing.T) {
	o := newObserved(2, 3)
	o.ask("large", 60)
	for i := range 2000 {
		o.ask(fmt.Sprintf("small-%04d-%s", i, strings.Repeat("x", 100)), 1)
	}
	o.pass(3 * time.Second)
	lines := o.lines.TakeAll()
	require.Len(t, lines, 3)
	fields := lines[0].ContextMap()
	require.EqualValues(t, "ledger", fields["service"])
	require.EqualValues(t, 60+2000, fields["in_use"].(int64)+fields["waiting"].(int64))
	require.EqualValues(t, 2001, fields["organisations"])
	require.True(t, strings.HasPrefix(fields["top"].(string), "large "), fields["top"])
	require.Less(t, len(fields["top"].(string)), 300)

	for _, sub := range o.subs {
		o.close(o.now, sub)
	}
	o.messages()
	o.pass(3 * time.Second)
	require.Empty(t, o.messages(), "nobody waits")
}

// Failure: a server fails each request of two gateways, and recovers. Each change of belief is
// one line, which says why.
func TestEjectionIsLogged(t *testing.T) {
	o := newObserved(3, 2)
	outcome := func(server string) pb.PermitOutcome {
		if server == "i-1" {
			return pb.PermitOutcome_PERMIT_FAILED
		}
		return pb.PermitOutcome_PERMIT_ANSWERED
	}
	step := func() {
		o.ask("o", 7) // as many as the two other servers and one on probation take
		o.pass(100 * time.Millisecond)
		o.end(outcome)
	}
	for range 15 {
		step()
	}
	lines := o.lines.FilterMessage("A server is ejected.").All()
	require.NotEmpty(t, lines)
	fields := lines[0].ContextMap()
	require.Equal(t, []any{"i-1", "failing"}, []any{fields["server"], fields["why"]})
	require.Positive(t, fields["samples"])
	require.EqualValues(t, 2, fields["reporters"])
	require.Positive(t, fields["left"])
	for _, line := range o.lines.All() {
		require.NotEqual(t, "i-0", line.ContextMap()["server"], line.Message)
	}

	o.pass(changeInterval)
	o.messages()
	outcome = func(string) pb.PermitOutcome { return pb.PermitOutcome_PERMIT_ANSWERED }
	for range 200 {
		step()
	}
	told := slices.DeleteFunc(o.messages(), func(message string) bool { return message == "Load of a service." })
	require.Equal(t, []string{"A server is on probation.", "A server is trusted again."}, told)
}
