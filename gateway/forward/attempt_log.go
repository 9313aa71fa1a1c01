package forward

import (
	"net/http"

	"go.uber.org/zap"
)

// logAttempt logs why the server of an attempt was picked and how the attempt ended.
func (f *Forwarder) logAttempt(call *Call, service string, o *outcome) {
	status := 0
	if o.reply != nil {
		status = o.reply.Status
	}
	message := "Try."
	if o.err != nil || status >= http.StatusMultipleChoices {
		message = "Try failed."
	}
	fields := []zap.Field{zap.String("id", call.ID), zap.String("service", service), zap.String("server", o.server.ID),
		zap.Uint64("config", f.View.Current().Table.Version), zap.Int("listed", o.listed), zap.Int("left", o.eligible), zap.Int("load", o.load),
		zap.String("picked", o.reason), zap.Bool("outliers_too", o.skippedEjection), zap.Int("status", status), zap.Bool("not_run", o.notRun),
		zap.Duration("took", o.took), zap.Error(o.err)}
	f.log.Info(message, append(fields, permitFields(&o.choice)...)...)
}
