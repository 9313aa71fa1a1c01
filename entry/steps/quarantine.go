package steps

import (
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/decide/poison"
	"dandelionsill.org/decide/straggle"
	"dandelionsill.org/kinds"
	"dandelionsill.org/quarantine"
)

// quarantineRetryDelay is the time until a held-back sample is checked again.
const quarantineRetryDelay = 5 * time.Second

// subject returns the identity of a sample in the quarantine, which is the same in every
// step. Steps.mu is held.
func (s *Steps) subject(st *step, sm *sample) *quarantine.TrackedRequest {
	if sm.subject == nil {
		sm.subject = s.cfg.Quarantine.Track(func() poison.Content {
			return poison.Content{
				Caller: st.key.Trainer, Method: http.MethodPost, Host: st.trainer.Model,
				URI: fmt.Sprintf("sample/%d/%d", sm.seed(), sm.group.spec.MaxTokens), Body: []byte(sm.group.spec.Prompt),
			}
		})
	}
	return sm.subject
}

// isHeldBack reports whether a run must not start: each engine that ran the sample
// crashed, or one crashed and the action would run a second copy. A step can't end
// without all its samples, so a held-back sample waits until its quarantine ends.
func (s *Steps) isHeldBack(st *step, a straggle.Action) bool {
	sm := st.samples[a.Sample]
	subject := s.subject(st, sm)
	switch subject.Verdict() {
	case poison.Quarantined:
		s.cfg.Explain.Add(st.ctx, "steps", st.sampleName(sm), "held back", "each engine that ran it crashed")
		if !sm.heldBackLogged {
			sm.heldBackLogged = true
			s.cfg.Logger.Warn("A sample is held back: each engine that ran it crashed.", zap.String("sample", st.sampleName(sm)),
				zap.String("request", string(subject.Fingerprint())))
		}
		return true
	case poison.Suspect:
		return a.Kind == straggle.Hedge
	default:
		return false
	}
}

// recordServerEnd reports to the quarantine that a server ended while it ran a sample or
// the call for its score, if err says so.
func (s *Steps) recordServerEnd(subject *quarantine.TrackedRequest, name string, err error) {
	e, ok := kinds.As(err)
	if !ok || e.EndedServer() == "" {
		return
	}
	s.cfg.Logger.Warn("A server ended while it ran a request.", zap.String("sample", name), zap.String("request", string(subject.Fingerprint())), zap.String("server", e.EndedServer()))
	subject.RecordCrash(e.EndedServer())
}
