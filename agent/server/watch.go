package server

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"dandelionsill.org/wire/pb"
)

const (
	// heartbeatInterval is the longest time between two messages of a Watch. A
	// watcher regards an agent as gone after 3 s without a message
	// (entry.silent), so two heartbeats may be late.
	heartbeatInterval = time.Second
	// Warm prefixes are by far the largest part of a state and only hints: a
	// watcher gets them at most once per warmPrefixIntervals of its intervals.
	warmPrefixIntervals = 32
	maxWarmPrefixes     = 64
)

// Watch streams the agent's state. A slow watcher skips states. A watcher that
// gives no interval runs an older release and gets complete states at each
// change.
func (s *Server) Watch(req *pb.WatchRequest, stream pb.Agent_WatchServer) error {
	if req.MinIntervalMs == 0 {
		return s.watchFull(stream)
	}
	return s.watchPartial(time.Duration(req.MinIntervalMs)*time.Millisecond, stream)
}

func (s *Server) watchFull(stream pb.Agent_WatchServer) error {
	for {
		state, replaced := s.State()
		if err := stream.Send(state); err != nil {
			return err
		}
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-replaced:
		}
	}
}

func (s *Server) watchPartial(interval time.Duration, stream pb.Agent_WatchServer) error {
	watcher := watcherState{interval: interval}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		state, replaced, urgentlyReplaced := s.stateAndChanges()
		now := time.Now()
		if msg := watcher.message(state, now); msg != nil {
			if err := stream.Send(msg); err != nil {
				return err
			}
		}
		hasTimer, wait := watcher.nextWait(now)
		changed := replaced
		if !watcher.mayReport(now) {
			changed = urgentlyReplaced
		}
		timer.Stop()
		if hasTimer {
			timer.Reset(wait)
		}
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-changed:
		case <-timer.C:
		}
	}
}

// watcherState records what was sent to one watcher.
type watcherState struct {
	interval       time.Duration
	seq            uint64         // of the last state considered when something was sent
	lastPartial    *pb.AgentState // last sent, without seq and warm prefixes; nil means nothing yet
	partialAt      time.Time
	sentAt         time.Time // of the last message of any kind
	warmPrefixes   []uint64  // last sent, sorted
	warmPrefixesAt time.Time
}

// message returns what must be sent to the watcher now, or nil.
func (w *watcherState) message(state *pb.AgentState, now time.Time) *pb.AgentState {
	if w.lastPartial == nil {
		w.recordSent(state, partialState(state), now)
		w.warmPrefixes, w.warmPrefixesAt = sorted(state.WarmPrefixes), now
		return state
	}
	if state.Seq == w.seq {
		// Nothing was published since. Not even a heartbeat is sent: to its
		// watchers, an agent whose publisher hangs must look like a frozen
		// process.
		return nil
	}
	if w.mayReport(now) || isUrgent(w.lastPartial, state) {
		if msg := w.changeMessage(state, now); msg != nil {
			return msg
		}
	}
	if now.Sub(w.sentAt) < heartbeatInterval {
		return nil
	}
	w.seq, w.sentAt = state.Seq, now
	return &pb.AgentState{Partial: true}
}

// changeMessage returns a message with what changed, or nil.
func (w *watcherState) changeMessage(state *pb.AgentState, now time.Time) *pb.AgentState {
	partial := partialState(state)
	warm := w.changedWarmPrefixes(state, now)
	if warm == nil && proto.Equal(partial, w.lastPartial) {
		return nil
	}
	w.recordSent(state, partial, now)
	msg := proto.CloneOf(partial)
	msg.Seq = state.Seq
	if warm != nil {
		w.warmPrefixes, w.warmPrefixesAt = warm, now
		msg.WarmPrefixes, msg.WarmChanged = warm, true
	}
	return msg
}

// recordSent records that state was sent at now.
func (w *watcherState) recordSent(state, partial *pb.AgentState, now time.Time) {
	w.seq, w.lastPartial, w.partialAt, w.sentAt = state.Seq, partial, now, now
}

// changedWarmPrefixes returns the warm prefixes if they changed and may be sent
// now, otherwise nil.
func (w *watcherState) changedWarmPrefixes(state *pb.AgentState, now time.Time) []uint64 {
	if now.Sub(w.warmPrefixesAt) < warmPrefixIntervals*w.interval {
		return nil
	}
	warm := sorted(state.WarmPrefixes)
	if slices.Equal(warm, w.warmPrefixes) {
		return nil
	}
	return warm
}

// mayReport reports whether the load may be sent to the watcher again.
func (w *watcherState) mayReport(now time.Time) bool { return now.Sub(w.partialAt) >= w.interval }

// nextWait returns the time until more may be sent to the watcher, or false if
// it may already.
func (w *watcherState) nextWait(now time.Time) (ok bool, wait time.Duration) {
	for _, at := range []time.Time{w.partialAt.Add(w.interval), w.sentAt.Add(heartbeatInterval)} {
		if remaining := at.Sub(now); remaining > 0 && (!ok || remaining < wait) {
			ok, wait = true, remaining
		}
	}
	return ok, wait
}

// isUrgent reports whether a change must be sent without waiting for the
// watcher's interval.
func isUrgent(last, state *pb.AgentState) bool {
	return last.Ready != state.Ready || last.Leaving != state.Leaving ||
		last.Version != state.Version || last.Swapping != state.Swapping
}

// partialState returns a state without the fields that can't change during one
// incarnation, its sequence number and the warm prefixes. A new field is
// included unless it is removed here.
func partialState(state *pb.AgentState) *pb.AgentState {
	partial := proto.CloneOf(state)
	partial.Name, partial.Addr, partial.FailureDomain, partial.Region = "", "", "", ""
	partial.Kind, partial.Serves, partial.Incarnation, partial.IgnoresFencing = "", "", 0, false
	partial.Seq, partial.WarmPrefixes, partial.Partial = 0, nil, true
	return partial
}

// sorted returns a sorted copy that is never nil; the order of the prefixes has
// no meaning.
func sorted(warm []uint64) []uint64 {
	out := append([]uint64{}, warm...)
	slices.Sort(out)
	return out
}
