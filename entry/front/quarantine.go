package front

import (
	"dandelionsill.org/decide/poison"
	"dandelionsill.org/kinds"
	"dandelionsill.org/quarantine"
)

// UseQuarantine stops further attempts if the request crashes servers. content returns
// what identifies the request when its caller sends it again.
func (a *Attempts) UseQuarantine(q *quarantine.Quarantine, content func() poison.Content) {
	a.tracked = q.Track(content)
}

// CheckQuarantine returns an error if the request must not be sent to a server, or to
// another one, because it crashes them; nil otherwise.
func (a *Attempts) CheckQuarantine() *kinds.Error {
	if a.tracked.Verdict() != poison.Quarantined {
		return nil
	}
	retryAfter := a.tracked.RecordRefusal()
	reason := "each server that ran request " + string(a.tracked.Fingerprint()) + " crashed"
	if a.Held.Sent() {
		return kinds.New(kinds.BackendFailed, "%s", reason).WithRetryAfter(retryAfter)
	}
	return a.Held.Refuse(kinds.Quarantined, "%s", reason).WithRetryAfter(retryAfter)
}

// RecordResult records how the request ended: answered by a server that ran it, or
// without such an answer.
func (a *Attempts) RecordResult(answered bool) {
	if answered {
		a.tracked.RecordCompletion()
	} else {
		a.tracked.RecordNoAnswer()
	}
}
