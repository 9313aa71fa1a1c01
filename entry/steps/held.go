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

const heldTimeout = 5 * time.Second

// collect asks all agents for the finished samples of a taken-over step. The
// step begins to generate when all have answered or after HeldWait; what
// comes later still counts and ends the run that was begun in its place.
func (s *Steps) collect(st *step) {
	ctx, cancel := context.WithTimeout(st.ctx, heldTimeout)
	defer cancel()
	begin := func() {
		s.mu.Lock()
		st.holding = false
		s.mu.Unlock()
		s.poke()
	}
	early := time.AfterFunc(s.cfg.HeldWait, begin)
	defer early.Stop()
	var asked sync.WaitGroup
	for _, sv := range s.cfg.Fleet.Snapshot().By["model/"+st.trainer.Model] {
		asked.Go(func() { s.collectFrom(ctx, st, sv) })
	}
	asked.Wait()
	begin()
}

func (s *Steps) collectFrom(ctx context.Context, st *step, sv *fleet.Server) {
	held, err := sv.Client.Held(ctx, &pb.HeldRequest{
		Trainer: st.key.Trainer, Step: st.key.Step,
		Epoch: agentEpoch(st.attempt),
	})
	if err != nil {
		return
	}
	for {
		h, err := held.Recv()
		if errors.Is(err, io.EOF) || err != nil {
			return
		}
		s.mu.Lock()
		key := sampleKey{h.GetId().GetGroup(), h.GetId().GetIndex()}
		mine := h.GetId().GetTrainer() == st.key.Trainer && h.GetId().GetStep() == st.key.Step
		if mine && st.stopped == nil && s.adopt(st, key, h.GetPromptHash(), h.GetDone()) {
			adoptedTotal.Add(1)
		}
		s.mu.Unlock()
	}
}

// oldest returns the version of the first token; without one all are fresh.
func oldest(done *pb.GenerateDone) uint64 {
	if len(done.GetSpans()) == 0 {
		return math.MaxUint64
	}
	return done.GetSpans()[0].GetVersion()
}

// adopt uses a finished sample that was found elsewhere, if it is one of this
// step's and still as fresh as a new one would have to be. Steps.mu is held.
func (s *Steps) adopt(st *step, key sampleKey, hash string, done *pb.GenerateDone) bool {
	i, ok := st.byID[key]
	if !ok || st.samples[i].done != nil {
		return false
	}
	sm := st.samples[i]
	if hash != sm.requestHash() || int(done.GetTokens()) > sm.group.spec.MaxTokens {
		return false
	}
	if !labelled(done.GetSpans(), int(done.GetTokens())) {
		return false
	}
	if oldest(done) < st.floor || (!st.trainer.Mixed && len(done.GetSpans()) > 1) {
		return false
	}
	won, cancels := st.plan.FinishedElsewhere(i, int(done.GetTokens()))
	s.act(st, cancels, nil)
	if won {
		s.cfg.Explain.Add(st.ctx, "steps", st.name(sm), "adopted", "an agent held it finished")
		s.finish(st, sm, done)
	}
	return won
}
