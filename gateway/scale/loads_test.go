package scale_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"dandelionsill.org/decide/members"
	decide "dandelionsill.org/decide/scale"
	"dandelionsill.org/decide/table"
	"dandelionsill.org/gateway/jobs"
	"dandelionsill.org/gateway/scale"
	"dandelionsill.org/gateway/view"
	"dandelionsill.org/wire/pb"
)

// broker answers with a fixed load.
type broker struct {
	pb.PermitBrokerClient
	reply *pb.ServiceLoadReply // nil: it does not answer
}

func (b broker) Load(context.Context, *pb.ServiceLoadRequest, ...grpc.CallOption) (*pb.ServiceLoadReply, error) {
	if b.reply == nil {
		return nil, errors.New("no answer")
	}
	return b.reply, nil
}

// items are fixed counts; a nil map: they are not known.
type items jobs.OpenItems

func (i items) OpenItems(*table.Table, string) (jobs.OpenItems, bool) {
	return jobs.OpenItems(i), i.Running != nil
}

// newLoads returns loads of the service "plain", which takes calls, and of "engines", which takes
// batch jobs and requests of the given other kinds.
func newLoads(t *testing.T, others ...table.Kind) *scale.ServiceLoads {
	routes := []*table.Route{
		{Host: "h", Prefix: "/a/", LatencyObjective: 400 * time.Millisecond, Targets: []table.Target{{Service: "plain", Weight: 1}}},
		{Host: "h", Prefix: "/b/", LatencyObjective: 150 * time.Millisecond, Targets: []table.Target{{Service: "plain", Weight: 1}}},
		{Host: "h", Prefix: "/j/", Kind: table.Batch, Due: 7 * time.Second, Targets: []table.Target{{Service: "engines", Weight: 1}}},
	}
	for _, kind := range others {
		routes = append(routes, &table.Route{Name: "chat", Host: "h", Prefix: "/s/", Kind: kind, Targets: []table.Target{{Service: "engines", Weight: 1}}})
	}
	tb, err := table.New(1, routes, []table.Service{{Name: "plain"}, {Name: "engines", Slots: 6}}, table.Limits{})
	require.NoError(t, err)
	snap := &view.Snapshot{Table: tb, Servers: map[string][]members.Server{
		"plain":   {{ID: "p1", FailureDomain: "x", Slots: 6}, {ID: "p2", FailureDomain: "y", Slots: 6, Leaving: true}, {ID: "p3", FailureDomain: "x", Slots: 6}},
		"engines": {{ID: "e1", FailureDomain: "x", Slots: 6}, {ID: "e2", FailureDomain: "y", Slots: 8}, {ID: "e3", FailureDomain: "y", Slots: 8, Leaving: true}},
	}}
	return &scale.ServiceLoads{Snapshot: func() *view.Snapshot { return snap }, IsFresh: func() bool { return true }}
}

// Load: calls at a service with two brokers. Guards against a load that counts only a part of the
// servers, and against servers that are taken away because a broker was not heard.
func TestLoadOfPlainServiceIsThatOfAllBrokers(t *testing.T) {
	loads := newLoads(t)
	plain := table.Service{Name: "plain"}
	first := &pb.ServiceLoadReply{Known: true, Waiting: 3, Refused: 1, AsksPerS: 30, MeanUs: 20_000,
		Domains: []*pb.DomainLoad{{FailureDomain: "x", Running: 5}, {FailureDomain: "y", Running: 1}}}
	second := &pb.ServiceLoadReply{Known: true, AsksPerS: 10, MeanUs: 60_000, Domains: []*pb.DomainLoad{{FailureDomain: "x", Running: 2}}}
	var brokers []pb.PermitBrokerClient
	loads.Brokers = func(string) []pb.PermitBrokerClient { return brokers }
	load, err := loads.Load(t.Context(), plain)
	require.Error(t, err, "no broker")
	require.Equal(t, map[string]decide.Domain{"x": {Ready: 2, Places: 12}, "y": {Leaving: 1}}, load.Domains, "a number can be fixed all the same")
	brokers = []pb.PermitBrokerClient{broker{reply: first}, broker{reply: second}}
	load, err = loads.Load(t.Context(), plain)
	require.NoError(t, err)
	require.Equal(t, decide.Load{
		Domains: map[string]decide.Domain{"x": {Ready: 2, Places: 12, Running: 7}, "y": {Leaving: 1, Running: 1}},
		Waiting: 3, Refused: 1, AsksPerSecond: 40, MeanTime: 30 * time.Millisecond, Objective: 150 * time.Millisecond,
	}, load)
	for _, lost := range []*pb.ServiceLoadReply{nil, {Known: false}} {
		brokers[1] = broker{reply: lost}
		_, err = loads.Load(t.Context(), plain)
		require.Error(t, err)
	}
}

// Load: batch jobs. Guards against engines that are ordered or taken away by a load that is not
// all of it: jobs that are not known, calls that nobody counts, a store that is gone.
func TestLoadOfEnginesIsThatOfOpenItems(t *testing.T) {
	loads := newLoads(t)
	engines := table.Service{Name: "engines", Slots: 6}
	loads.Items = items{Waiting: 4, Running: map[string]int{"e1": 6, "e3": 2, "gone": 3}}
	load, err := loads.Load(t.Context(), engines)
	require.NoError(t, err)
	require.Equal(t, decide.Load{
		Domains: map[string]decide.Domain{"x": {Ready: 1, Places: 6, Running: 6}, "y": {Ready: 1, Leaving: 1, Places: 8, Running: 2}},
		Waiting: 7, Objective: 7 * time.Second,
	}, load)
	loads.Items = items{}
	_, err = loads.Load(t.Context(), engines)
	require.ErrorContains(t, err, "jobs")
	loads = newLoads(t, table.Stream)
	_, err = loads.Load(t.Context(), engines)
	require.ErrorContains(t, err, "chat")
	loads.IsFresh = func() bool { return false }
	load, err = loads.Load(t.Context(), engines)
	require.ErrorContains(t, err, "behind")
	require.Nil(t, load.Domains)
}

// Failure: a failure domain is evacuated, and one in which the service has no server. Guards against a load
// that looks like a loss of servers, or that says nothing of the evacuation once the servers are switched off.
func TestLoadSaysWhichDomainsAreEvacuated(t *testing.T) {
	loads := newLoads(t)
	loads.Snapshot().Evacuated = map[string]time.Time{"x": time.Now(), "z": time.Now()}
	loads.Items = items{Running: map[string]int{"e1": 6}}
	load, err := loads.Load(t.Context(), table.Service{Name: "engines", Slots: 6})
	require.NoError(t, err)
	require.Equal(t, map[string]decide.Domain{
		"x": {Ready: 1, Places: 6, Running: 6, Evacuated: true}, "y": {Ready: 1, Leaving: 1, Places: 8}, "z": {Evacuated: true},
	}, load.Domains)
}
