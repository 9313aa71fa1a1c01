package server

import (
	"context"
	"time"

	"dandelionsill.org/base/sleep"
	"dandelionsill.org/wire/pb"
)

const (
	minPublishInterval = 50 * time.Millisecond // shortest time between two states
	maxPublishInterval = time.Second           // longest time between two states
)

// TriggerPublish requests that a new state is published soon.
func (s *Server) TriggerPublish() {
	select {
	case s.publishTrigger <- struct{}{}:
	default:
	}
}

// publish replaces the state on change, at most every minPublishInterval, and
// at least every maxPublishInterval. All watchers share each state.
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

// setState publishes a new state and notifies the watchers.
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

// buildState returns the current state.
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
		// The newest are last.
		state.WarmPrefixes = state.WarmPrefixes[max(0, len(state.WarmPrefixes)-maxWarmPrefixes):]
	}
	state.Ready = state.Ready && s.health.isUp() && s.caughtUp()
	state.Leaving = s.leaving.Load()
	return state
}

// caughtUp reports whether the agent has read enough to accept requests.
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

// stateAndChanges returns the same as State and a second channel, which is
// closed when the state is replaced by one that must be sent at once.
func (s *Server) stateAndChanges() (state *pb.AgentState, replaced, urgentlyReplaced <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state, s.replaced, s.urgentlyReplaced
}
