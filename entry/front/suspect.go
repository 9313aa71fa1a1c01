package front

import (
	"dandelionsill.org/decide/poison"
	"dandelionsill.org/kinds"
	"dandelionsill.org/quarantine"
)

// guard keeps a request from ending one backend server after the other.
type guard struct {
	quarantine *quarantine.Quarantine // nil: nothing is kept
	content    func() poison.Content
	name       poison.Name // empty: not needed yet
	ended      bool        // a backend server ended under this request
}

// Guard has the tries stop where servers end under the request. content is what makes
// it the same one when its caller asks again.
func (t *Tries) Guard(q *quarantine.Quarantine, content func() poison.Content) {
	t.guard = guard{quarantine: q, content: content}
}

func (g *guard) request() poison.Name {
	if g.name == "" {
		content := g.content()
		g.name = content.Name()
	}
	return g.name
}

func (g *guard) verdict() poison.Verdict {
	if g.quarantine == nil || g.quarantine.Empty() {
		return poison.Clear
	}
	return g.quarantine.Verdict(g.request())
}

// Stopped tells why the request may go to no server, or to no further one; nil: it
// may. It is asked before each try: what another entry saw may have come since the
// last.
func (t *Tries) Stopped() *kinds.Error {
	if t.guard.verdict() != poison.Quarantined {
		return nil
	}
	left := t.guard.quarantine.Refused(t.guard.request())
	why := "each server that ran request " + string(t.guard.request()) + " crashed"
	if t.Held.Sent() {
		return kinds.New(kinds.BackendFailed, "%s", why).WithRetryAfter(left)
	}
	return t.Held.Refuse(kinds.Quarantined, "%s", why).WithRetryAfter(left)
}

// noteEnd takes in that a server ended under the request, where err says so.
func (g *guard) noteEnd(err *kinds.Error) {
	if g.quarantine == nil || err.Ended() == "" {
		return
	}
	g.ended = true
	g.quarantine.Ended(g.request(), err.Ended())
}

// Judge takes in how the request ended: answered by a server that ran it, or given up.
func (t *Tries) Judge(answered bool) {
	g := &t.guard
	switch {
	case g.quarantine == nil || g.quarantine.Empty():
	case answered:
		g.quarantine.Survived(g.request())
	case g.ended:
		g.quarantine.GaveUp(g.request())
	}
}
