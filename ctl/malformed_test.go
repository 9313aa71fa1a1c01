package ctl

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/base/outbound"
	"dandelionsill.org/base/outbound/outboundtest"
)

// Failure: a process, or what has its address now, answers a query with a head that is none. Guards against an operator who is shown it.
func TestMalformedAnswerOfAProcessIsAnError(t *testing.T) {
	for name, raw := range outboundtest.OK(`{"revision":7}`).Malformed() {
		server := outboundtest.NewServer(t, raw)
		var report processReport
		require.ErrorIs(t, getJSON(t.Context(), server.Addr, "/v1/status", "", &report), outbound.ErrMalformed, name)
		require.Zero(t, report.Revision)
		server.RequireClosed(t)
	}
}

// Failure: a process resets the connection after an answer without a length. Guards against an operator who is shown a part of it.
func TestResetAnswerOfAProcessIsAnError(t *testing.T) {
	server := outboundtest.NewResettingServer(t, outboundtest.OK(`{"revision":7}`).WithoutLength())
	var report processReport
	require.Error(t, getJSON(t.Context(), server.Addr, "/v1/status", "", &report))
	require.Zero(t, report.Revision)
}
