package steps

import (
	"context"
	"crypto/sha256"
	"net/http"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/base/logs"
	"dandelionsill.org/entry/auth"
	foldsteps "dandelionsill.org/fold/steps"
	"dandelionsill.org/kinds"
	"dandelionsill.org/manifest"
)

// takeStep makes this entry the owner of a posted step. If it already owns this attempt,
// it returns the same answer again. It returns errSuperseded if there is a newer owner.
func (s *Steps) takeStep(ctx context.Context, t manifest.Trainer, req PostRequest, digest [sha256.Size]byte) (*PostAnswer, error) {
	s.announceVersion(t.Model, req.NewestVersion)
	s.mu.Lock()
	defer s.mu.Unlock()
	key := foldsteps.Key{Trainer: t.Name, Step: req.Step}
	if owner, ok := s.owners.Owner(key); ok && s.isSupersededBy(owner, req.Attempt) {
		return nil, errSuperseded(key, owner)
	}
	old := s.steps[key]
	switch {
	case old == nil:
	case old.attempt > req.Attempt:
		return nil, errSuperseded(key, foldsteps.Owner{Entry: s.cfg.Name, Epoch: old.epoch})
	case old.attempt == req.Attempt:
		if old.digest != digest {
			return nil, badRequest("step %d attempt %d was posted with other groups", req.Step, req.Attempt)
		}
		if old.acked > 0 {
			// A trainer that retries its POST because the answer was lost has
			// acknowledged nothing. This one has restarted: it needs a new attempt,
			// because the groups that it acknowledged before are freed here.
			return nil, errSuperseded(key, foldsteps.Owner{Entry: s.cfg.Name, Epoch: old.epoch})
		}
		old.lastRequestAt = time.Now()
		return old.postAnswer(), nil
	}
	if s.draining {
		return nil, errLeaving()
	}
	st := s.newStep(ctx, t, req, digest)
	if old != nil {
		s.stop(old, errSuperseded(key, foldsteps.Owner{Entry: s.cfg.Name, Epoch: st.epoch}))
		inheritFloor(st, old)
	}
	s.steps[key] = st
	s.raiseFloor(st, req.NewestVersion)
	if s.cfg.Log != nil {
		s.spawn(func() { s.appendClaim(st) })
	}
	if req.Attempt > 1 {
		st.collecting = true
		s.spawn(func() { s.collectHeld(st) })
	}
	s.adoptFinished(st, old)
	s.wakeScheduler()
	s.cfg.Logger.Info("This entry now owns a step.", zap.String("trainer", t.Name), zap.Uint64("step", req.Step),
		zap.Uint64("attempt", req.Attempt), zap.Int("groups", st.groupCount), zap.Int("samples", len(st.samples)), logs.Trace(st.ctx))
	return st.postAnswer(), nil
}

// announceVersion announces a version that this entry first sees in a posted step. The
// trainer may have crashed after it stored the version and before it announced it;
// without the announcement no engine would load the version that the step's floor
// requires.
func (s *Steps) announceVersion(model string, version uint64) {
	if v := s.cfg.View.View(); v != nil && version > v.Versions[model] {
		s.cfg.View.Announce(model, version)
	}
}

// isSupersededBy reports whether the owner in the log excludes an attempt at this entry.
func (s *Steps) isSupersededBy(owner foldsteps.Owner, attempt uint64) bool {
	if owner.Epoch.Attempt == attempt {
		return owner.Entry != s.cfg.Name
	}
	return owner.Epoch.Attempt > attempt
}

// inheritFloor keeps the floor of an earlier attempt.
func inheritFloor(st, old *step) { st.floor = max(st.floor, old.floor) }

// adoptFinished adopts the samples that an earlier attempt at this entry had finished.
func (s *Steps) adoptFinished(st, old *step) {
	if old == nil {
		return
	}
	for _, sm := range old.samples {
		if sm.done != nil {
			s.adopt(st, sampleKey{sm.group.wireID, sm.index}, sm.requestHash(), sm.done)
		}
	}
}

func (st *step) postAnswer() *PostAnswer {
	return &PostAnswer{Epoch: Epoch(st.epoch), Step: st.key.Step, Groups: st.groupCount}
}

// releaseStep ends a step that its trainer no longer needs.
func (s *Steps) releaseStep(key foldsteps.Key, attempt uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.steps[key]
	if st == nil {
		return nil
	}
	if attempt < st.attempt {
		return errSuperseded(key, foldsteps.Owner{Entry: s.cfg.Name, Epoch: st.epoch})
	}
	s.stop(st, kinds.New(kinds.Cancelled, "the trainer released the step"))
	return nil
}

// answerPull answers one pull. It waits for a complete group for up to wait_ms.
func (s *Steps) answerPull(r *http.Request) (*GroupsAnswer, error) {
	trainer, refusal := auth.Trainer(s.cfg.View.View(), r)
	if refusal != nil {
		return nil, refusal
	}
	id, attempt, err := stepAndAttempt(r)
	if err != nil {
		return nil, err
	}
	cursor, err := queryNumber(r, "cursor")
	if err != nil {
		return nil, err
	}
	waitMS, err := queryNumber(r, "wait_ms")
	if err != nil {
		return nil, err
	}
	wait := min(time.Duration(min(waitMS, uint64(maxPullWait.Milliseconds())))*time.Millisecond, maxPullWait)
	st, err := s.findStep(foldsteps.Key{Trainer: trainer.Name, Step: id}, attempt)
	if err != nil {
		return nil, err
	}
	return s.waitForGroups(r.Context(), st, int(cursor), wait)
}

func (s *Steps) findStep(key foldsteps.Key, attempt uint64) (*step, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	owner, known := s.owners.Owner(key)
	if known && owner.Epoch.Attempt > attempt {
		return nil, errSuperseded(key, owner)
	}
	st := s.steps[key]
	if st == nil || st.attempt < attempt {
		return nil, kinds.Hold().Refuse(kinds.NotFound,
			"step %d attempt %d is not here; post it with a greater attempt", key.Step, attempt)
	}
	if st.attempt > attempt {
		return nil, errSuperseded(key, foldsteps.Owner{Entry: s.cfg.Name, Epoch: st.epoch})
	}
	return st, nil
}

func (s *Steps) waitForGroups(ctx context.Context, st *step, cursor int, wait time.Duration) (*GroupsAnswer, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	if cursor > len(st.ready) || cursor < st.acked {
		return nil, badRequest("cursor %d: this owner has acknowledged %d and %d are ready", cursor, st.acked, len(st.ready))
	}
	st.acknowledge(cursor)
	st.waitingPulls++
	defer func() {
		st.waitingPulls--
		st.lastRequestAt = time.Now()
	}()
	timedOut := wait == 0
	for {
		if st.stopReason != nil {
			return nil, st.stopReason
		}
		if cursor < st.acked {
			return nil, badRequest("cursor %d: another pull has acknowledged %d meanwhile", cursor, st.acked)
		}
		if cursor < len(st.ready) || st.isComplete() {
			return st.page(cursor), nil
		}
		if s.redirecting {
			return nil, errLeaving()
		}
		if timedOut {
			return st.page(cursor), nil
		}
		changed := st.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-ctx.Done():
			timedOut = true
		}
		s.mu.Lock()
	}
}

// acknowledge frees the groups before the cursor, which the trainer has received.
func (st *step) acknowledge(cursor int) {
	for ; st.acked < cursor; st.acked++ {
		for _, sm := range st.ready[st.acked].samples {
			sm.done = nil
		}
		st.ready[st.acked] = nil
	}
	st.lastRequestAt = time.Now()
}

// page builds the answer for a cursor. The same cursor returns the same groups again, so
// an answer that is lost on its way costs a retry but no sample.
func (st *step) page(cursor int) *GroupsAnswer {
	a := &GroupsAnswer{Epoch: Epoch(st.epoch), Cursor: cursor, Groups: []Group{}}
	bytes := 0
	for _, g := range st.ready[cursor:] {
		if len(a.Groups) == maxAnswerGroups || bytes > targetAnswerBytes {
			break
		}
		out := Group{ID: g.id, Samples: make([]Sample, 0, len(g.samples))}
		for _, sm := range g.samples {
			out.Samples = append(out.Samples, deliver(sm))
			bytes += len(sm.done.GetText())
		}
		a.Groups = append(a.Groups, out)
		a.Cursor++
	}
	a.Done = st.isComplete() && a.Cursor == st.groupCount
	return a
}

// deliver returns a finished sample in the form of an answer.
func deliver(sm *sample) Sample {
	out := Sample{Index: sm.index, Text: sm.done.GetText(), Tokens: sm.done.GetTokens(), Score: sm.score}
	for _, sp := range sm.done.GetSpans() {
		out.Spans = append(out.Spans, Span{Version: sp.GetVersion(), From: sp.GetFrom(), To: sp.GetTo()})
	}
	return out
}
