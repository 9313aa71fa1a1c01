package steps

import (
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/decide/poison"
	"dandelionsill.org/decide/straggle"
	"dandelionsill.org/kinds"
)

// heldFor is how long a sample in quarantine waits until it is looked at again.
const heldFor = 5 * time.Second

// request names what a sample asks of an engine, in whatever step.
func (st *step) request(sm *sample) poison.Name {
	if sm.request == "" {
		content := poison.Content{
			Caller: st.key.Trainer, Method: http.MethodPost, Host: st.trainer.Model,
			URI: fmt.Sprintf("sample/%d/%d", sm.seed(), sm.group.spec.MaxTokens), Body: []byte(sm.group.spec.Prompt),
		}
		sm.request = content.Name()
	}
	return sm.request
}

func (s *Steps) verdict(st *step, sm *sample) poison.Verdict {
	q := s.cfg.Quarantine
	if q == nil || q.Empty() {
		return poison.Clear
	}
	return q.Verdict(st.request(sm))
}

// held tells whether a run must not begin: each engine that ran the sample crashed, or
// one did and another has it now. A step has no answer but its samples, so that such a
// one waits for as long as its quarantine lasts.
func (s *Steps) held(st *step, a straggle.Action) bool {
	sm := st.samples[a.Sample]
	switch s.verdict(st, sm) {
	case poison.Quarantined:
		s.cfg.Explain.Add(st.ctx, "steps", st.name(sm), "held back", "each engine that ran it crashed")
		if !sm.held {
			sm.held = true
			s.cfg.Logger.Warn("A sample is held back: each engine that ran it crashed.", zap.String("sample", st.name(sm)),
				zap.String("request", string(st.request(sm))))
		}
		return true
	case poison.Suspect:
		return a.Kind == straggle.Hedge
	default:
		return false
	}
}

// noteEnd takes in that an engine ended under a sample, where err says so.
func (s *Steps) noteEnd(requestOf func() poison.Name, what string, err error) {
	e, ok := kinds.As(err)
	if !ok || e.Ended() == "" || s.cfg.Quarantine == nil {
		return
	}
	request := requestOf()
	s.cfg.Logger.Warn("A server ended under a sample.", zap.String("sample", what), zap.String("request", string(request)), zap.String("server", e.Ended()))
	s.cfg.Quarantine.Ended(request, e.Ended())
}

// survived takes in that an engine made a sample whole, or a scorer scored it.
func (s *Steps) survived(requestOf func() poison.Name) {
	if q := s.cfg.Quarantine; q != nil && !q.Empty() {
		q.Survived(requestOf())
	}
}
