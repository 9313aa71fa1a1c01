package logscan

import "strings"

// slowAnswers is the request kind of answers that were cut off because their callers read too
// slowly: the lines have no path.
const slowAnswers = "answers"

// permitRefused records why a request got no place at a server. The refusal of a second copy
// is no failure: the first one runs.
func (s *Losses) permitRefused(l *Line) {
	if l.Hedge {
		return
	}
	cause := CauseNoPlace
	if s.places.hasEjected(l.Service) {
		cause = CauseEjectedServers
	}
	s.setLastFailure(l, cause)
}

func (s *Losses) slowReader(l *Line) {
	s.addLoss(l.At, slowAnswers, OutcomeFailed, CauseSlowReader, l.ID)
	s.setLastFailure(l, CauseSlowReader)
}

// overloadCause returns why a request was refused as overloaded.
func overloadCause(l *Line, last Cause) Cause {
	switch {
	case strings.HasPrefix(l.Why, "no room for"):
		return CauseMemory
	case last == CauseNoPlace, last == CauseEjectedServers, last == CauseNoBroker:
		return last
	}
	return CauseRefused
}

// hasEjected reports whether a server of the service is ejected.
func (p *Places) hasEjected(service string) bool {
	for key, s := range p.ejected {
		if s.State == stateEjected && serviceOf(key.service) == service {
			return true
		}
	}
	return false
}
