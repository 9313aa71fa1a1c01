// Package logs creates the loggers of a process's parts. Every message starts
// with the fixed prefix of its part ("entry: ", "agent: once: "), so that one
// grep finds all lines of a part.
package logs

import (
	"context"
	"os"

	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"
	"go.uber.org/zap/buffer"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes JSON lines to standard error and prefixes each
// message with the part. An unknown level means info.
func New(part, level string) *zap.Logger {
	return NewTo(zapcore.Lock(os.Stderr), part, level)
}

// NewTo is like New but writes to w.
func NewTo(w zapcore.WriteSyncer, part, level string) *zap.Logger {
	lvl, err := zapcore.ParseLevel(level)
	if err != nil {
		lvl = zapcore.InfoLevel
	}
	core := zapcore.NewCore(shortErrorEncoder{zapcore.NewJSONEncoder(encoderConfig())}, w, lvl)
	return zap.New(prefixCore{core, part + ": "})
}

// Part returns a logger for a part within l's part; its prefix follows l's.
func Part(l *zap.Logger, part string) *zap.Logger {
	return l.WithOptions(zap.WrapCore(func(c zapcore.Core) zapcore.Core {
		return prefixCore{c, part + ": "}
	}))
}

// Trace returns a field with the trace ID of ctx, or a skipped field if ctx has
// none.
func Trace(ctx context.Context) zap.Field {
	sc := trace.SpanContextFromContext(ctx)
	if !sc.HasTraceID() {
		return zap.Skip()
	}
	return zap.String("trace_id", sc.TraceID().String())
}

func encoderConfig() zapcore.EncoderConfig {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.ISO8601TimeEncoder
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	return cfg
}

// shortErrorEncoder encodes an error as its message only. Errors with a verbose
// format (juju/errors) would add their stack to each line, and in an outage the
// line of each failed call would be four times as long.
type shortErrorEncoder struct{ zapcore.Encoder }

// Clone implements zapcore.Encoder.
func (t shortErrorEncoder) Clone() zapcore.Encoder { return shortErrorEncoder{t.Encoder.Clone()} }

// EncodeEntry implements zapcore.Encoder.
func (t shortErrorEncoder) EncodeEntry(e zapcore.Entry, fields []zapcore.Field) (*buffer.Buffer, error) {
	shortened := make([]zapcore.Field, len(fields))
	for i, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			f = zap.String(f.Key, err.Error())
		}
		shortened[i] = f
	}
	return t.Encoder.EncodeEntry(e, shortened)
}

// prefixCore adds a part's prefix to each message. It does so in Check, before the
// inner core, which may limit them, decides whether to write the message.
type prefixCore struct {
	zapcore.Core
	prefix string
}

// With implements zapcore.Core.
func (p prefixCore) With(fields []zapcore.Field) zapcore.Core {
	return prefixCore{p.Core.With(fields), p.prefix}
}

// Check implements zapcore.Core.
func (p prefixCore) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !p.Enabled(e.Level) {
		return ce
	}
	e.Message = p.prefix + e.Message
	return p.Core.Check(e, ce)
}
