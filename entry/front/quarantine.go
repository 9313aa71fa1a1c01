package front

import (
	"dandelionsill.org/decide/poison"
	"dandelionsill.org/kinds"
	"dandelionsill.org/quarantine"
)

// UseQuarantine has the tries stop where servers end under the request. content is what makes
// it the same one when its caller asks again.
func (a *Attempts) UseQuarantine(q *quarantine.Quarantine, content func() poison.Content) {
	a.tracked = q.Track(content)
}

// CheckQuarantine tells why the request may go to no server, or to no further one; nil: it
// may.
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

// RecordResult takes in how the request ended: answered by a server that ran it, or given up.
func (a *Attempts) RecordResult(answered bool) {
	if answered {
		a.tracked.RecordCompletion()
	} else {
		a.tracked.RecordNoAnswer()
	}
}
