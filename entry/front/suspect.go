package front

import (
	"dandelionsill.org/decide/poison"
	"dandelionsill.org/kinds"
	"dandelionsill.org/quarantine"
)

// Guard has the tries stop where servers end under the request. content is what makes
// it the same one when its caller asks again.
func (t *Tries) Guard(q *quarantine.Quarantine, content func() poison.Content) {
	t.subject = q.Track(content)
}

// Stopped tells why the request may go to no server, or to no further one; nil: it
// may.
func (t *Tries) Stopped() *kinds.Error {
	if t.subject.Verdict() != poison.Quarantined {
		return nil
	}
	left := t.subject.RecordRefusal()
	why := "each server that ran request " + string(t.subject.Fingerprint()) + " crashed"
	if t.Held.Sent() {
		return kinds.New(kinds.BackendFailed, "%s", why).WithRetryAfter(left)
	}
	return t.Held.Refuse(kinds.Quarantined, "%s", why).WithRetryAfter(left)
}

// Judge takes in how the request ended: answered by a server that ran it, or given up.
func (t *Tries) Judge(answered bool) {
	if answered {
		t.subject.RecordCompletion()
	} else {
		t.subject.RecordNoAnswer()
	}
}
