package server

import (
	"context"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/base/sleep"
	"dandelionsill.org/platform"
)

// drainPollInterval is how often Drain checks for streams that hold no slot
// (answers that are being transferred).
const drainPollInterval = 10 * time.Millisecond

// followConfig applies each change of the manifest and the VM list, and stops
// the agent if another incarnation claims the backend server.
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
			s.log.Warn("Another incarnation of this agent has claimed the backend server; refusing new work.")
			s.Stop()
			<-ctx.Done()
			return
		}
	}
}

// applyServiceLimits sets the queue's limits to those of the service in the
// manifest.
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

// Stop makes the agent leave; it does not rejoin.
func (s *Server) Stop() {
	s.stopping.Store(true)
	s.applyLeaving()
}

// applyLeaving starts or stops refusing new work. The agent itself refuses, so
// this takes effect at once: an entry that has not received the new state yet
// gets "not run" and sends the request elsewhere.
func (s *Server) applyLeaving() {
	// The decision and its effect are one step under the mutex: otherwise a
	// reader of the VM list could revoke in between what SIGTERM decided.
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
	s.log.Info("The agent started or stopped leaving.", zap.Bool("leaving", leaving), zap.String("why", reason))
	s.TriggerPublish()
}

// leavingReason returns why the agent is leaving, or "" if it is not.
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
// being transferred. It returns ctx's error if ctx ends first. Until Drain
// returns, answers that are held for repeated requests can still be fetched.
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

// drainWork waits until the generator or the queue has no work in progress.
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
