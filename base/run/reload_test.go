package run

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

type reloadSettings struct {
	Addr string `ini:"store.address" default:"a"`
	Name string `ini:"process.name" default:"n"`
}

func writeSettings(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "settings.ini")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func newTestReloader(t *testing.T, path string, p *Process) (*reloader[reloadSettings], *observer.ObservedLogs) {
	core, lines := observer.New(zap.InfoLevel)
	p.Logger = zap.New(core)
	return newReloader("test", []string{"--config", path}, path, reloadSettings{Addr: "a", Name: "n"}, p), lines
}

// The platform changes the settings file and sends SIGHUP. The process must reload
// the settings; without a handler the signal would terminate it together with its
// requests in flight.
func TestHangupReloadsSettings(t *testing.T) {
	hangups, stopHangups := notifyHangups()
	defer stopHangups()
	path := writeSettings(t, "[store]\naddress = b\n")
	reloaded := make(chan []string, 1)
	p := &Process{Reload: func(next any, changed []string) []string {
		require.Equal(t, "b", next.(*reloadSettings).Addr)
		reloaded <- changed
		return nil
	}}
	r, _ := newTestReloader(t, path, p)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); r.run(ctx, hangups) }()
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	require.Equal(t, []string{"store.address"}, <-reloaded)
	cancel()
	<-done
}

// Invalid settings must be logged and must change nothing.
func TestInvalidSettingsAreNotApplied(t *testing.T) {
	path := writeSettings(t, "[store]\nadress = b\n")
	p := &Process{Reload: func(any, []string) []string { t.Fatal("reloaded"); return nil }}
	r, lines := newTestReloader(t, path, p)
	r.reload("hang-up")
	require.Equal(t, 1, lines.FilterMessage("settings: Settings can't be read and stay as they are.").Len())
	require.NoError(t, os.WriteFile(path, nil, 0o600))
	r.reload("file changed")
	require.Equal(t, 1, lines.FilterMessage("settings: Settings are unchanged.").Len())
}

// A process that can't apply new settings while it runs must log which ones need a
// restart.
func TestSettingsThatNeedARestartAreLogged(t *testing.T) {
	r, lines := newTestReloader(t, writeSettings(t, "[process]\nname = other\n"), &Process{})
	r.reload("hang-up")
	require.Equal(t, 1, lines.FilterMessage("settings: Changed settings are in force after a restart only.").Len())
}
