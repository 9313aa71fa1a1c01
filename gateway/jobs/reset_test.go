package jobs_test

import (
	"net/http"
	"testing"

	"dandelionsill.org/base/outbound/outboundtest"
	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// Failure: an engine ends a sample's text before its first event, and the server of scores its answer, with a reset. Guards against a
// text or a score that counts as whole.
func TestResetSamplesAndScoresAreRunElsewhere(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 2, 2)
	signed := func(body string) hostedtest.ServerFaults {
		answer := outboundtest.Answer{Status: http.StatusOK, Fields: hostedtest.SignedFields(), Body: body}
		return hostedtest.ServerFaults{Raw: answer.WithoutLength(), Reset: true}
	}
	pf.Engines[0].Fail(signed(""))
	pf.Servers[0].Fail(signed("0.5"))
	e := newEntry(t, pf, "a")
	e.submit(t, "j", 6, 1)
	requireComplete(t, e.results(t, "j", 6), pf.Engines[1].Events)
}
