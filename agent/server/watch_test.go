package server

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"dandelionsill.org/wire/pb"
)

func engineState(seq uint64, change func(*pb.AgentState)) *pb.AgentState {
	s := &pb.AgentState{Name: "vm-1", Addr: "10.0.0.1:1", Kind: "engine", Incarnation: 7, Slots: 4, Ready: true, Seq: seq}
	if change != nil {
		change(s)
	}
	return s
}

// Callers are routed by the state that the watcher assembles from partial ones.
// A field that partial states omit would keep its first value for ever. Only
// the fields that PROTOCOLS.md calls unchanging may be omitted, which must hold
// for new fields as well.
func TestPartialStatesOmitNothing(t *testing.T) {
	unchanging := map[protoreflect.Name]bool{
		"name": true, "addr": true, "failure_domain": true, "region": true, "kind": true, "serves": true,
		"incarnation": true, "ignores_fencing": true,
	}
	fields := new(pb.AgentState).ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		state := engineState(2, nil)
		message := state.ProtoReflect()
		switch field.Kind() {
		case protoreflect.StringKind:
			message.Set(field, protoreflect.ValueOfString("x"))
		case protoreflect.BoolKind:
			message.Set(field, protoreflect.ValueOfBool(true))
		case protoreflect.DoubleKind:
			message.Set(field, protoreflect.ValueOfFloat64(3))
		case protoreflect.Int32Kind:
			message.Set(field, protoreflect.ValueOfInt32(3))
		case protoreflect.Int64Kind:
			message.Set(field, protoreflect.ValueOfInt64(3))
		case protoreflect.Uint64Kind:
			if field.IsList() {
				message.Mutable(field).List().Append(protoreflect.ValueOfUint64(3))
			} else {
				message.Set(field, protoreflect.ValueOfUint64(3))
			}
		default:
			require.Fail(t, "a field of a new kind", field.Name())
		}
		start := time.Now()
		w := watcherState{interval: time.Second}
		require.False(t, w.message(engineState(1, func(s *pb.AgentState) { s.Ready = false }), start).Partial, "the first state is complete")
		part := w.message(state, start.Add(time.Hour))
		require.True(t, part.Partial)
		if unchanging[field.Name()] {
			require.False(t, part.ProtoReflect().Has(field), field.Name())
			continue
		}
		require.True(t, field.IsList() || part.ProtoReflect().Get(field).Equal(message.Get(field)) || field.Name() == "partial", field.Name())
		require.Equal(t, field.IsList(), part.WarmChanged && len(part.WarmPrefixes) == 1 && field.Name() == "warm_prefixes")
	}
}

// An entry with 146 busy engines spent 2.3 MB/s and 18% of a core on their
// states, 130 times its budget. The watcher's interval limits how often load is
// sent, and 32 intervals how often warm prefixes are. Changes that callers
// would notice are still sent immediately: a request sent to a server that has
// gone is lost, one sent to a swapping engine waits.
func TestWatchIntervals(t *testing.T) {
	start := time.Now()
	const interval = 400 * time.Millisecond
	w := watcherState{interval: interval}
	at := func(d time.Duration, s *pb.AgentState) *pb.AgentState { return w.message(s, start.Add(d)) }
	require.False(t, at(0, engineState(1, nil)).Partial)

	load := func(s *pb.AgentState) { s.Running = 3; s.WarmPrefixes = []uint64{9, 8} }
	require.Nil(t, at(interval-1, engineState(2, load)), "load before the interval has passed")
	part := at(interval, engineState(2, load))
	require.True(t, proto.Equal(&pb.AgentState{Partial: true, Ready: true, Slots: 4, Running: 3, Seq: 2}, part), part.String())
	for i, urgent := range []func(*pb.AgentState){
		func(s *pb.AgentState) { s.Ready = false }, func(s *pb.AgentState) { s.Leaving = true },
		func(s *pb.AgentState) { s.Version = 8 }, func(s *pb.AgentState) { s.Swapping = true },
	} {
		require.NotNil(t, at(interval+1, engineState(uint64(3+i), urgent)), i)
	}
	loadAndSwapping := func(s *pb.AgentState) { load(s); s.Swapping = true }
	require.Nil(t, at(2*interval, engineState(7, loadAndSwapping)), "the urgent messages count as reports of load")

	busy, sent, warm := start.Add(interval+1), 0, 0
	for i := range 20 * 60 { // a state every 50 ms for a minute; the prefixes change with each
		state := engineState(uint64(10+i), func(s *pb.AgentState) { s.Running = int32(i); s.WarmPrefixes = []uint64{uint64(i)} })
		if msg := w.message(state, busy.Add(time.Duration(i)*50*time.Millisecond)); msg != nil {
			sent++
			if msg.WarmChanged {
				warm++
			}
		}
	}
	require.InDelta(t, time.Minute/interval, sent, 1)
	require.InDelta(t, time.Minute/(warmPrefixIntervals*interval), warm, 1)

	idle := busy.Add(time.Minute)
	beat := func(d time.Duration, seq uint64) *pb.AgentState { return w.message(engineState(seq, nil), idle.Add(d)) }
	require.NotNil(t, beat(time.Hour, 5000))
	require.Nil(t, beat(time.Hour+heartbeatInterval-1, 5001))
	require.True(t, proto.Equal(&pb.AgentState{Partial: true}, beat(time.Hour+heartbeatInterval, 5001)))
	require.Nil(t, beat(time.Hour+time.Hour, 5001), "nothing was published since, as by an agent that hangs")
}

// An entry of this release, one of the previous release and one with a long
// interval watch side by side. The old one does not know partial states and
// must get complete ones; the slow one gets the leaving state at once, long
// before its interval ends.
func TestWatchersOfAllReleases(t *testing.T) {
	r := newTestAgent(t, http.NotFoundHandler())
	r.awaitReady(t)
	watchers := map[string]pb.Agent_WatchClient{}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	for name, ms := range map[string]uint32{"old": 0, "new": 50, "slow": 3_600_000} {
		stream, err := r.client.Watch(ctx, &pb.WatchRequest{Watcher: name, MinIntervalMs: ms})
		require.NoError(t, err)
		first, err := stream.Recv()
		require.NoError(t, err)
		require.Equal(t, "agent-1", first.Name)
		require.False(t, first.Partial)
		watchers[name] = stream
	}
	_, _, urgent := r.server.stateAndChanges()
	r.viewer.set(revision(2, "agent-1"))
	for name, stream := range watchers {
		for leaving := false; !leaving; {
			state, err := stream.Recv()
			require.NoError(t, err, name)
			require.Equal(t, name != "old", state.Partial, name)
			require.Equal(t, name == "old", state.Name == "agent-1", name)
			leaving = state.Leaving
		}
	}
	select {
	case <-urgent:
	default:
		require.Fail(t, "the slow watcher was not notified but got the state with its heartbeat")
	}
}
