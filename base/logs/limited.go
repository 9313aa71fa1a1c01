package logs

import (
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// maxMessages is how many distinct messages a logger of Limited remembers. At the bound it forgets all of them.
const maxMessages = 256

// Limited returns a logger that writes each distinct message at most once per
// interval. It is meant for messages about failures: an outage of the log service
// would otherwise cause one line per retry on every VM.
//
// zap's sampler would do the same, but holds thousands of counters for each logger.
func Limited(l *zap.Logger, interval time.Duration) *zap.Logger {
	written := &lastWritten{interval: interval, times: map[message]time.Time{}}
	return l.WithOptions(zap.WrapCore(func(c zapcore.Core) zapcore.Core { return limitedCore{c, written} }))
}

type message struct {
	level zapcore.Level
	text  string
}

// lastWritten remembers when messages were last written.
type lastWritten struct {
	interval time.Duration

	mu    sync.Mutex
	times map[message]time.Time
}

// allow reports whether a message may be written now. If so, it counts as written.
func (w *lastWritten) allow(m message, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	last, ok := w.times[m]
	if ok && now.Sub(last) < w.interval {
		return false
	}
	if !ok && len(w.times) >= maxMessages {
		clear(w.times)
	}
	w.times[m] = now
	return true
}

// limitedCore drops lines whose message was written less than an interval ago.
type limitedCore struct {
	zapcore.Core
	written *lastWritten
}

// With implements zapcore.Core.
func (c limitedCore) With(fields []zapcore.Field) zapcore.Core {
	return limitedCore{c.Core.With(fields), c.written}
}

// Check implements zapcore.Core.
func (c limitedCore) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(e.Level) || !c.written.allow(message{e.Level, e.Message}, e.Time) {
		return ce
	}
	return c.Core.Check(e, ce)
}
