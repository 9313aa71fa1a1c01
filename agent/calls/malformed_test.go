package calls

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/base/outbound/outboundtest"
)

// Failure: the backend server answers with a head that is none. Guards against an entry that gets it as an answer, or is told that
// the request did not run, and against a request that is sent again.
func TestMalformedAnswerIsNoAnswer(t *testing.T) {
	for name, raw := range outboundtest.OK("answer").Malformed() {
		t.Run(name, func(t *testing.T) {
			server := outboundtest.NewServer(t, raw)
			r := newHarnessAt(t, server.Addr)
			read := newOrder()
			read.Idempotent = true
			r.call(t, read).requireRefusal(t, "backend_failed", false)
			r.call(t, newOrder()).requireRefusal(t, "outcome_unknown", false)
			keyed := newKeyedOrder()
			r.call(t, keyed).requireRefusal(t, "outcome_unknown", false)
			r.call(t, keyed).requireRefusal(t, "outcome_unknown", false)
			require.Equal(t, 3, server.Requests(), "the repeat of a key whose outcome is unknown must not be sent")
			server.RequireClosed(t)
			r.waitIdle(t)
		})
	}
}

// Failure: the backend server answers a long request at once and resets the connection. Guards against an entry that gets a part as
// the answer, whether the write or the read learns of the reset.
func TestResetAnswerIsNoAnswer(t *testing.T) {
	server := outboundtest.NewResettingServer(t, outboundtest.OK("part").WithoutLength())
	r := newHarnessAt(t, server.Addr)
	for range outboundtest.ResetRounds {
		write := newOrder()
		write.Body = make([]byte, outboundtest.UploadBytes)
		r.call(t, write).requireRefusal(t, "outcome_unknown", false)
	}
	read := newOrder()
	read.Idempotent = true
	r.call(t, read).requireRefusal(t, "backend_failed", false)
	r.waitIdle(t)
}
