package run

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"dandelionsill.org/base/logs"
	"dandelionsill.org/base/settings"
)

// checkInterval is how often the settings file is looked at: it may change
// without a signal, and a reading of it costs microseconds.
const checkInterval = 2 * time.Second

// notifyHangups keeps SIGHUP from ending the process, from its first moment on.
// A hang-up means that the settings file has changed; unhandled it kills the
// process with every request in flight.
func notifyHangups() (<-chan os.Signal, func()) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups, func() { signal.Stop(hangups) }
}

// reloader reads a daemon's settings anew when they may have changed.
type reloader[S any] struct {
	name         string
	args         []string
	file         string
	current      S
	lastModified time.Time // of the file as it was read last
	process      *Process
	log          *zap.Logger
}

func newReloader[S any](name string, args []string, file string, current S, p *Process) *reloader[S] {
	log := p.Logger
	if log == nil {
		log = logs.New(name, "info")
	}
	r := &reloader[S]{name: name, args: args, file: file, current: current, process: p, log: logs.Part(log, "settings")}
	r.lastModified, _ = r.fileModTime()
	return r
}

// run looks at the file at each hang-up and every reloadEvery until ctx ends.
func (r *reloader[S]) run(ctx context.Context, hangups <-chan os.Signal) {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			r.reload("hang-up")
		case <-tick.C:
			if modTime, ok := r.fileModTime(); ok && !modTime.Equal(r.lastModified) {
				r.lastModified = modTime
				r.reload("file changed")
			}
		}
	}
}

func (r *reloader[S]) fileModTime() (time.Time, bool) {
	if r.file == "" {
		return time.Time{}, false
	}
	info, err := os.Stat(r.file)
	if err != nil {
		return time.Time{}, false // the next look or hang-up finds it again
	}
	return info.ModTime(), true
}

// reload takes new settings over; ones that can't be right change nothing.
func (r *reloader[S]) reload(why string) {
	changed, next, err := r.load()
	switch {
	case err != nil:
		r.log.Error("Settings can't be read and stay as they are.", zap.String("why", why), zap.Error(err))
	case len(changed) == 0:
		r.log.Info("Settings are unchanged.", zap.String("why", why))
	case r.process.Reload == nil:
		r.log.Warn("Changed settings are in force after a restart only.", zap.String("why", why), zap.Strings("changed", changed))
	default:
		r.current = next
		afterRestart := r.process.Reload(&next, changed)
		r.log.Info("Settings reloaded.", zap.String("why", why), zap.Strings("changed", changed), zap.Strings("after_restart", afterRestart))
	}
}

func (r *reloader[S]) load() ([]string, S, error) {
	var next S
	if _, err := settings.Load(r.name, r.args, &next, io.Discard); err != nil {
		return nil, next, errors.Trace(err)
	}
	changed, err := settings.Changed(&r.current, &next)
	return changed, next, errors.Trace(err)
}
