package logs

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

type bufferSink struct{ strings.Builder }

func (*bufferSink) Sync() error { return nil }

// In an outage each failed call is logged: the error field must hold the message
// without the stack, so that lines stay short.
func TestErrorFieldIsTheMessageOnly(t *testing.T) {
	var w bufferSink
	NewTo(&w, "agent", "info").Warn("Failed.", zap.Error(errors.Annotate(errors.New("refused"), "store")))
	require.Contains(t, w.String(), `"error":"store: refused"`)
	require.NotContains(t, w.String(), "errorVerbose")
}

func TestPrefix(t *testing.T) {
	var w bufferSink
	l := NewTo(&w, "agent", "info")
	l.Info("Started.")
	once := Part(l.With(zap.String("key", "k1")), "once")
	once.Info("Claimed.")
	once.Debug("Hidden.")
	require.Contains(t, w.String(), `"msg":"agent: Started."`)
	require.Contains(t, w.String(), `"msg":"agent: once: Claimed.","key":"k1"`)
	require.NotContains(t, w.String(), "Hidden")
}

// While the log service is down every retry logs the same message. It must be
// written once per interval; other messages must still be written, also those of
// loggers that Part derives from the limited one.
func TestLimited(t *testing.T) {
	var w bufferSink
	l := Limited(NewTo(zapcore.Lock(&w), "confsync", "info"), time.Hour)
	for range 100 {
		l.Warn("The log is down.")
		Part(l, "keeper").Warn("Retrying.")
	}
	l.Warn("The log is back.")
	require.Equal(t, 1, strings.Count(w.String(), "The log is down."))
	require.Equal(t, 1, strings.Count(w.String(), "confsync: keeper: Retrying."))
	require.Equal(t, 1, strings.Count(w.String(), "The log is back."))
}

func TestTraceField(t *testing.T) {
	require.Equal(t, zap.Skip(), Trace(context.Background()))
	sc := trace.NewSpanContext(trace.SpanContextConfig{TraceID: trace.TraceID{1}, SpanID: trace.SpanID{2}})
	ctx := trace.ContextWithSpanContext(context.Background(), sc)
	require.Equal(t, zap.String("trace_id", "01000000000000000000000000000000"), Trace(ctx))
}
