package server

import (
	"context"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/base/sleep"
	"dandelionsill.org/platform"
)

// drainPollInterval is the interval at which the drain looks at streams that hold no
// slot (answers being handed over).
const drainPollInterval = 10 * time.Millisecond

// followConfig keeps the agent in step with the manifest and the VM list.
func (s *Server) followConfig(ctx context.Context) {
	for {
		viewChanged, vmsChanged := s.cfg.Viewer.Changed(), s.cfg.VMs.Changed()
		s.applyServiceLimits()
		s.applyLeaving()
		s.TriggerPublish()
		select {
		case <-ctx.Done():
			return
		case <-viewChanged:
		case <-vmsChanged:
		case <-s.cfg.SteppedDown:
			s.log.Warn("Another incarnation of this agent has the backend server; taking no more work.")
			s.Stop()
			<-ctx.Done()
			return
		}
	}
}

// applyServiceLimits takes a service's bounds from the manifest.
func (s *Server) applyServiceLimits() {
	view := s.cfg.Viewer.View()
	if s.cfg.Calls == nil || view == nil || view.Manifest == nil {
		return
	}
	service, ok := view.Manifest.Services[s.cfg.Settings.Backend.Serves]
	if !ok {
		return
	}
	slots := service.Concurrency
	if ownSlots := s.cfg.Settings.Backend.Slots; ownSlots > 0 && (slots <= 0 || ownSlots < slots) {
		slots = ownSlots
	}
	s.cfg.Queue.SetSlots(max(1, slots))
	if service.Queue > 0 {
		s.cfg.Queue.SetMaxQueue(service.Queue)
	}
}

// Stop makes the agent leave for good.
func (s *Server) Stop() {
	s.stopping.Store(true)
	s.applyLeaving()
}

// applyLeaving starts or stops refusing new work. The agent refuses by itself,
// and so within moments: an entry that has not heard yet gets "not run" and
// goes elsewhere.
func (s *Server) applyLeaving() {
	// Deciding and acting are one step: a reader of the VM list must not take
	// back what SIGTERM decided in between.
	s.leaveMu.Lock()
	defer s.leaveMu.Unlock()
	reason := s.leavingReason()
	leaving := reason != ""
	if s.leaving.Swap(leaving) == leaving {
		return
	}
	if leaving {
		s.cfg.Queue.Leave()
	} else {
		s.cfg.Queue.Rejoin()
	}
	s.log.Info("Leaving changed.", zap.Bool("leaving", leaving), zap.String("why", reason))
	s.TriggerPublish()
}

func (s *Server) leavingReason() string {
	name := s.cfg.Settings.Process.Name
	if s.stopping.Load() {
		return "the process is stopping"
	}
	if view := s.cfg.Viewer.View(); view != nil && view.Manifest != nil && view.Manifest.Leaving[name] {
		return "the manifest says so"
	}
	for _, vm := range s.cfg.VMs.VMs() {
		if vm.Name == name && vm.State == platform.VMLeaving {
			return "the VM list says so"
		}
	}
	return ""
}

// Drain waits until nothing is in flight: no slot is taken and no answer is
// being handed over. It returns ctx's error if that takes too long. Until then
// answers that are held for repeats can still be fetched.
func (s *Server) Drain(ctx context.Context) error {
	s.Stop()
	for {
		if err := s.drainWork(ctx); err != nil {
			return err
		}
		if s.activeStreams.Load() == 0 {
			return nil
		}
		if !sleep.For(ctx, drainPollInterval) {
			return ctx.Err()
		}
	}
}

func (s *Server) drainWork(ctx context.Context) error {
	if s.cfg.Generator != nil {
		return s.cfg.Generator.Drain(ctx)
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-s.cfg.Queue.Idle():
		return nil
	}
}
