package run

import (
	"fmt"

	klog "github.com/go-kratos/kratos/v2/log"
	"go.uber.org/zap"
)

// kratosLogger writes kratos's own log messages to zap. Messages below warn are
// logged at debug.
type kratosLogger struct{ l *zap.Logger }

// Log implements kratos's log.Logger.
func (k kratosLogger) Log(level klog.Level, keyvals ...any) error {
	message := fmt.Sprint(keyvals...)
	switch {
	case level >= klog.LevelError:
		k.l.Error(message)
	case level == klog.LevelWarn:
		k.l.Warn(message)
	default:
		k.l.Debug(message)
	}
	return nil
}
