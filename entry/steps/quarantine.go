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

// quarantineRetryDelay is how long a sample in quarantine waits until it is looked at again.
const quarantineRetryDelay = 5 * time.Second

// subject is a sample as the quarantine sees it, in whatever step. Steps.mu is held.
func (s *Steps) subject(st *step, sm *sample) *quarantine.Subject {
	if sm.subject == nil {
		sm.subject = s.cfg.Quarantine.Subject(func() poison.Content {
			return poison.Content{
				Caller: st.key.Trainer, Method: http.MethodPost, Host: st.trainer.Model,
				URI: fmt.Sprintf("sample/%d/%d", sm.seed(), sm.group.spec.MaxTokens), Body: []byte(sm.group.spec.Prompt),
			}
		})
	}
	return sm.subject
}

// isHeldBack tells whether a run must not begin: each engine that ran the sample crashed, or
// one did and another has it now. A step has no answer but its samples, so that such a
// one waits for as long as its quarantine lasts.
func (s *Steps) isHeldBack(st *step, a straggle.Action) bool {
	sm := st.samples[a.Sample]
	subject := s.subject(st, sm)
	switch subject.Verdict() {
	case poison.Quarantined:
		s.cfg.Explain.Add(st.ctx, "steps", st.sampleName(sm), "held back", "each engine that ran it crashed")
		if !sm.heldBackLogged {
			sm.heldBackLogged = true
			s.cfg.Logger.Warn("A sample is held back: each engine that ran it crashed.", zap.String("sample", st.sampleName(sm)),
				zap.String("request", string(subject.Name())))
		}
		return true
	case poison.Suspect:
		return a.Kind == straggle.Hedge
	default:
		return false
	}
}

// recordServerEnd takes in that a server ended under a sample or the call for its score, where
// err says so.
func (s *Steps) recordServerEnd(subject *quarantine.Subject, name string, err error) {
	e, ok := kinds.As(err)
	if !ok || e.Ended() == "" {
		return
	}
	s.cfg.Logger.Warn("A server ended under a sample.", zap.String("sample", name), zap.String("request", string(subject.Name())), zap.String("server", e.Ended()))
	subject.Ended(e.Ended())
}
