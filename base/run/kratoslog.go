package run

import (
	"fmt"

	klog "github.com/go-kratos/kratos/v2/log"
	"go.uber.org/zap"
)

// kratosLogger sends kratos's own lines to zap.
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
