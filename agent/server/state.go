package server

import (
	"context"
	"time"

	"dandelionsill.org/base/sleep"
	"dandelionsill.org/wire/pb"
)

const (
	minPublishInterval = 50 * time.Millisecond // between two states
	maxPublishInterval = time.Second
)

// TriggerPublish asks for a new state soon.
func (s *Server) TriggerPublish() {
	select {
	case s.publishTrigger <- struct{}{}:
	default:
	}
}

// publish replaces the state on change, at most every minPublish, and at least
// every maxPublish. All watchers share each state.
func (s *Server) publish(ctx context.Context) {
	ticker := time.NewTicker(maxPublishInterval)
	defer ticker.Stop()
	for {
		s.setState(s.buildState())
		if !sleep.For(ctx, minPublishInterval) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-s.publishTrigger:
		case <-ticker.C:
		}
	}
}

func (s *Server) setState(state *pb.AgentState) {
	if s.cfg.OnPublish != nil {
		s.cfg.OnPublish(state)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if isUrgent(s.state, state) {
		close(s.urgentlyReplaced)
		s.urgentlyReplaced = make(chan struct{})
	}
	s.state = state
	close(s.replaced)
	s.replaced = make(chan struct{})
}

// buildState reads the state of this moment.
func (s *Server) buildState() *pb.AgentState {
	set := s.cfg.Settings
	queue := s.cfg.Queue.Stats()
	s.seq++
	state := &pb.AgentState{
		Name:           set.Process.Name,
		Addr:           set.Process.Listen,
		FailureDomain:  set.Process.FailureDomain,
		Region:         set.Process.Region,
		Kind:           set.Backend.Kind,
		Serves:         set.Backend.Serves,
		Incarnation:    s.incarnation,
		Seq:            s.seq,
		Ready:          true,
		Slots:          int32(queue.Slots),
		Running:        int32(queue.Running),
		Queued:         int32(queue.Queued),
		QueueWaitMs:    queue.WaitEstimate.Milliseconds(),
		IgnoresFencing: set.Backend.Fencing == FencingIgnores,
	}
	if view := s.cfg.Viewer.View(); view != nil {
		state.Revision = view.Number
	}
	if s.cfg.Generator != nil {
		s.cfg.Generator.FillState(state)
		// The newest stand last.
		state.WarmPrefixes = state.WarmPrefixes[max(0, len(state.WarmPrefixes)-maxWarmPrefixes):]
	}
	state.Ready = state.Ready && s.health.isUp() && s.caughtUp()
	state.Leaving = s.leaving.Load()
	return state
}

// caughtUp tells whether the agent knows enough to take requests.
func (s *Server) caughtUp() bool {
	view := s.cfg.Viewer.View()
	if view == nil || view.Manifest == nil {
		return false
	}
	return s.cfg.CaughtUp == nil || s.cfg.CaughtUp()
}

// State returns the last published state and a channel that is closed when it
// is replaced. The state is immutable.
func (s *Server) State() (*pb.AgentState, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state, s.replaced
}

// stateAndChanges is State with a second channel that is closed when the state is
// replaced by one that no watcher should wait for.
func (s *Server) stateAndChanges() (state *pb.AgentState, replaced, urgentlyReplaced <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state, s.replaced, s.urgentlyReplaced
}
