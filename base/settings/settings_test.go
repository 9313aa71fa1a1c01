package settings

import (
	"bytes"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

type testSettings struct {
	Common
	Limits struct {
		Queue  int           `ini:"limits.queue" default:"10" min:"1" max:"100" help:"waiting requests"`
		Share  float64       `ini:"limits.share" default:"0.5"`
		Wait   time.Duration `ini:"limits.wait" default:"2s" min:"1s"`
		Strict bool          `ini:"limits.strict"`
		Token  string        `ini:"limits.token" secret:"true"`
	}
}

// load runs Load with a settings file that contains text. Its third result is the
// printed output.
func load(t require.TestingT, dir, text string, args ...string) (testSettings, Result, string, error) {
	file := filepath.Join(dir, "entry.ini")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	var got testSettings
	var out bytes.Buffer
	result, err := Load("dandelion-entry", append([]string{"--config", file}, args...), &got, &out)
	return got, result, out.String(), err
}

const namedProcess = "[process]\nname = e1\n"

func TestPrecedence(t *testing.T) {
	t.Setenv("DANDELION_LIMITS_SHARE", "0.25")
	t.Setenv("DANDELION_LIMITS_QUEUE", "30")
	got, result, _, err := load(t, t.TempDir(),
		namedProcess+"[limits]\nqueue = 20\nshare = 0.75\nstrict = true\n[keys]\nmanifest_public = a:x, b:y\n", "--limits.queue", "40")
	require.NoError(t, err)
	require.Equal(t, 40, got.Limits.Queue, "flag before env and file")
	require.Equal(t, 0.25, got.Limits.Share, "env before file")
	require.True(t, got.Limits.Strict, "file before default")
	require.Equal(t, 2*time.Second, got.Limits.Wait)
	require.Equal(t, []string{"a:x", "b:y"}, got.Keys.ManifestPublic)
	require.Equal(t, time.Hour, got.Process.DrainTimeout)
	require.Equal(t, FromFlag, result.Sources["limits.queue"])
	require.Equal(t, FromEnv, result.Sources["limits.share"])
	require.Equal(t, FromFile, result.Sources["limits.strict"])
	require.Equal(t, FromDefault, result.Sources["limits.wait"])
	require.False(t, result.Done)
}

// A mistyped setting must fail the start instead of leaving the default in force.
// The error names the source, the setting and, for an unknown name, the nearest
// valid one.
func TestInvalidSettingsAreRejected(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		args []string
		want []string
	}{
		"unknown section":  {namedProcess + "[limit]\nqueue = 2\n", nil, []string{"entry.ini", "[limit]", `"limits"`}},
		"unknown key":      {namedProcess + "[limits]\nqeue = 2\n", nil, []string{"entry.ini", "[limits]", `"qeue"`, `"queue"`}},
		"key twice":        {namedProcess + "[limits]\nqueue = 2\n[process]\n[limits]\nqueue = 2\n", nil, []string{"entry.ini", "[limits]", `"queue"`, "twice"}},
		"no section":       {"queue = 2\n" + namedProcess, nil, []string{"entry.ini", `"queue"`, "before any section"}},
		"unknown flag":     {namedProcess, []string{"--limits.qeue=2"}, []string{"--limits.qeue", `"limits.queue"`}},
		"flag's section":   {namedProcess, []string{"--region=x"}, []string{"--region", `"process.region"`}},
		"argument":         {namedProcess, []string{"limits.queue=2"}, []string{"unexpected argument"}},
		"no number at all": {namedProcess + "[limits]\nshare = NaN\n", nil, []string{"entry.ini", `"share"`, "not a number"}},
		"not a number":     {namedProcess + "[limits]\nqueue = many\n", nil, []string{"entry.ini", `"queue"`, "whole number"}},
		"too low":          {namedProcess + "[limits]\nqueue = 0\n", nil, []string{"limits.queue", "entry.ini", "lowest value, 1"}},
		"too high":         {namedProcess, []string{"--limits.queue=101"}, []string{"flag --limits.queue", "highest value, 100"}},
		"duration low":     {namedProcess, []string{"--limits.wait=10ms"}, []string{"limits.wait", "lowest value, 1s"}},
		"host name":        {namedProcess + "listen = localhost:80\n", nil, []string{"process.listen", "host names"}},
		"host in URL":      {namedProcess + "[platform]\nlog = http://log.local:80\n", nil, []string{"platform.log", "host names"}},
		"no name":          {"", nil, []string{"process.name"}},
		"log level":        {namedProcess, []string{"--process.log_level=loud"}, []string{"process.log_level", "loud"}},
		"exporter":         {namedProcess + "[trace]\nexporter = file\n", nil, []string{"trace.file"}},
	} {
		t.Run(name, func(t *testing.T) {
			_, result, out, err := load(t, t.TempDir(), c.text, c.args...)
			require.Error(t, err)
			require.False(t, result.Done)
			require.Empty(t, out)
			for _, want := range c.want {
				require.ErrorContains(t, err, want)
			}
		})
	}
}

// An environment variable that is mistyped, or that a newer release no longer
// knows, must fail the start with an error that names it, as an unknown key in the
// file does.
func TestUnknownEnvironmentVariableIsRejected(t *testing.T) {
	for name, want := range map[string]string{
		"DANDELION_LIMITS_QEUE": `unknown environment variable DANDELION_LIMITS_QEUE; did you mean "DANDELION_LIMITS_QUEUE"?`,
		"DANDELION_":            "unknown environment variable DANDELION_",
		"DANDELION_limits_wait": `"DANDELION_LIMITS_WAIT"`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Setenv(name, "1")
			_, _, _, err := load(t, t.TempDir(), namedProcess)
			require.ErrorContains(t, err, want)
		})
	}
	t.Setenv("DANDELIONCTL_LOG", "another program's")
	t.Setenv("DANDELION_CHECK", "true")
	_, result, _, err := load(t, t.TempDir(), namedProcess)
	require.NoError(t, err)
	require.True(t, result.Done)
}

func TestMissingFile(t *testing.T) {
	var got testSettings
	_, err := Load("x", []string{"--config", "/nonexistent/x.ini"}, &got, &bytes.Buffer{})
	require.ErrorContains(t, err, "/nonexistent/x.ini")
}

func TestControlFlags(t *testing.T) {
	for flag, want := range map[string]string{
		"--check":   "settings are valid",
		"--version": "dandelion-entry ",
		"--help":    "waiting requests",
	} {
		_, result, out, err := load(t, t.TempDir(), namedProcess, flag)
		require.NoError(t, err)
		require.True(t, result.Done)
		require.Contains(t, out, want)
	}
}

func TestPrintConfig(t *testing.T) {
	_, result, out, err := load(t, t.TempDir(), namedProcess+"[limits]\ntoken = hunter2\n", "--print-config", "--limits.queue=7")
	require.NoError(t, err)
	require.True(t, result.Done)
	require.Contains(t, out, "; flag --limits.queue\nqueue = 7\n")
	require.Contains(t, out, "; default\nwait = 2s\n")
	require.Contains(t, out, "entry.ini\nname = e1\n")
	require.NotContains(t, out, "hunter2")
}

// The output of --print-config, read as a settings file, yields the same settings.
func TestPrintedConfigReadsBack(t *testing.T) {
	dir := t.TempDir()
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`[a-z0-9 ;#=:%$(){}/\\,'-]{1,20}`)
		region := strings.TrimSpace(text.Draw(t, "region"))
		queue := rapid.IntRange(1, 100).Draw(t, "queue")
		want, _, out, err := load(t, dir, namedProcess, "--print-config", "--process.region", region,
			"--limits.queue", strconv.Itoa(queue))
		require.NoError(t, err)
		got, _, _, err := load(t, dir, out)
		require.NoError(t, err, out)
		require.Equal(t, want, got, out)
	})
}
