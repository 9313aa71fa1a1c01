package trace

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"dandelionsill.org/base/outbound"
	"dandelionsill.org/base/outbound/outboundtest"
)

// Failure: the collector of spans answers with a head that is none. Guards against spans that count as exported.
func TestMalformedAnswerOfACollectorIsAnError(t *testing.T) {
	for name, raw := range outboundtest.OK("").Malformed() {
		server := outboundtest.NewServer(t, raw)
		exporter, _, err := newExporter(t.Context(), Config{Exporter: ExporterOTLP, Endpoint: server.Addr})
		require.NoError(t, err)
		require.ErrorIs(t, exporter.ExportSpans(t.Context(), tracetest.SpanStubs{{Name: "x"}}.Snapshots()), outbound.ErrMalformed, name)
		require.Equal(t, 1, server.Requests(), name)
		server.RequireClosed(t)
	}
}

// Failure: the collector answers a long upload at once and resets the connection. Guards against spans that count as exported,
// whether the write or the read learns of the reset.
func TestResetAnswerOfACollectorIsAnError(t *testing.T) {
	server := outboundtest.NewResettingServer(t, outboundtest.OK("").WithoutLength())
	exporter, _, err := newExporter(t.Context(), Config{Exporter: ExporterOTLP, Endpoint: server.Addr})
	require.NoError(t, err)
	spans := tracetest.SpanStubs{{Name: strings.Repeat("x", outboundtest.UploadBytes)}}.Snapshots()
	for round := range outboundtest.ResetRounds {
		require.Error(t, exporter.ExportSpans(t.Context(), spans), "round %d", round)
	}
}
