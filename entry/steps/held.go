package steps

import (
	"context"
	"errors"
	"io"
	"math"
	"sync"
	"time"

	"dandelionsill.org/entry/fleet"
	"dandelionsill.org/wire/pb"
)

const collectTimeout = 5 * time.Second

// collectHeld asks all agents for the finished samples of a step that this entry took
// over. The step starts to generate when all agents have answered or after MaxHeldWait.
// A sample that arrives later is still adopted, and the run that was started for it is
// cancelled.
func (s *Steps) collectHeld(st *step) {
	ctx, cancel := context.WithTimeout(st.ctx, collectTimeout)
	defer cancel()
	startGenerating := func() {
		s.mu.Lock()
		st.collecting = false
		s.mu.Unlock()
		s.wakeScheduler()
	}
	timer := time.AfterFunc(s.cfg.MaxHeldWait, startGenerating)
	defer timer.Stop()
	var wg sync.WaitGroup
	for _, sv := range s.cfg.Fleet.Snapshot().ByPool["model/"+st.trainer.Model] {
		wg.Go(func() { s.collectHeldFrom(ctx, st, sv) })
	}
	wg.Wait()
	startGenerating()
}

func (s *Steps) collectHeldFrom(ctx context.Context, st *step, sv *fleet.Server) {
	stream, err := sv.Client.Held(ctx, &pb.HeldRequest{
		Trainer: st.key.Trainer, Step: st.key.Step,
		Epoch: agentEpoch(st.attempt),
	})
	if err != nil {
		return
	}
	for {
		heldSample, err := stream.Recv()
		if errors.Is(err, io.EOF) || err != nil {
			return
		}
		s.mu.Lock()
		key := sampleKey{heldSample.GetId().GetGroup(), heldSample.GetId().GetIndex()}
		ofThisStep := heldSample.GetId().GetTrainer() == st.key.Trainer && heldSample.GetId().GetStep() == st.key.Step
		if ofThisStep && st.stopReason == nil && s.adopt(st, key, heldSample.GetPromptHash(), heldSample.GetDone()) {
			adoptedTotal.Add(1)
		}
		s.mu.Unlock()
	}
}

// oldestVersion returns the version of the first token. An empty sample counts as fresh:
// its oldest version is the maximum.
func oldestVersion(done *pb.GenerateDone) uint64 {
	if len(done.GetSpans()) == 0 {
		return math.MaxUint64
	}
	return done.GetSpans()[0].GetVersion()
}

// adopt uses a finished sample that was found elsewhere, and reports whether it did. The
// sample must belong to this step and be as fresh as a new one would have to be. Steps.mu
// is held.
func (s *Steps) adopt(st *step, key sampleKey, hash string, done *pb.GenerateDone) bool {
	i, ok := st.indexByKey[key]
	if !ok || st.samples[i].done != nil {
		return false
	}
	sm := st.samples[i]
	if hash != sm.requestHash() || int(done.GetTokens()) > sm.group.spec.MaxTokens {
		return false
	}
	if !spansCover(done.GetSpans(), int(done.GetTokens())) {
		return false
	}
	if oldestVersion(done) < st.floor || (!st.trainer.AllowMixed && len(done.GetSpans()) > 1) {
		return false
	}
	won, cancels := st.plan.FinishedElsewhere(i, int(done.GetTokens()))
	s.execute(st, cancels, nil)
	if won {
		s.cfg.Explain.Add(st.ctx, "steps", st.sampleName(sm), "adopted", "an agent held it finished")
		s.recordResult(st, sm, done)
	}
	return won
}
