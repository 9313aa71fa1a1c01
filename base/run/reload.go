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

// checkInterval is how often the settings file's modification time is checked: the
// file may change without a signal, and the check takes microseconds.
const checkInterval = 2 * time.Second

// notifyHangups returns a channel that receives SIGHUP and a function that stops
// this. SIGHUP means that the settings file has changed. The function must be called
// before anything else in main, because an unhandled SIGHUP terminates the process and
// every request in flight.
func notifyHangups() (<-chan os.Signal, func()) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups, func() { signal.Stop(hangups) }
}

// reloader reloads a daemon's settings when they may have changed.
type reloader[S any] struct {
	name         string
	args         []string
	file         string
	current      S
	lastModified time.Time // modification time of the file when it was last read
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

// run reloads the settings at each SIGHUP and, checked every checkInterval, when the
// file's modification time has changed. It returns when ctx ends.
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

// fileModTime returns the settings file's modification time, or false if there is no
// file or it can't be read.
func (r *reloader[S]) fileModTime() (time.Time, bool) {
	if r.file == "" {
		return time.Time{}, false
	}
	info, err := os.Stat(r.file)
	if err != nil {
		return time.Time{}, false // the next check or SIGHUP tries again
	}
	return info.ModTime(), true
}

// reload loads the settings and applies what has changed. Invalid settings are logged
// and change nothing.
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

// load returns the names of the changed settings and the new settings.
func (r *reloader[S]) load() ([]string, S, error) {
	var next S
	if _, err := settings.Load(r.name, r.args, &next, io.Discard); err != nil {
		return nil, next, errors.Trace(err)
	}
	changed, err := settings.Changed(&r.current, &next)
	return changed, next, errors.Trace(err)
}
