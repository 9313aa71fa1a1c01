package e2e

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Invalid input must stop a process at its start, before it listens or connects to
// anything. Its output must contain a line that says what is wrong, where it was set and which
// name was probably meant. The exit code is 2, as for dandelionctl.
func TestInvalidInputStopsStart(t *testing.T) {
	settings := func(name string) []string {
		return []string{"--config", filepath.Join("..", "examples", "settings", name)}
	}
	entry, agent := settings("entry-small.ini"), settings("agent-service.ini")
	for name, c := range map[string]struct {
		binary    string
		args      []string
		env, want string
	}{
		"flag":         {"dandelion-entry", append(entry, "--entry.max_bdy", "3"), "", `unknown flag --entry.max_bdy; did you mean "entry.max_body"?`},
		"variable":     {"dandelion-agent", agent, "DANDELION_PROCESS_NMAE=x", `unknown environment variable DANDELION_PROCESS_NMAE; did you mean "DANDELION_PROCESS_NAME"?`},
		"range":        {"dandelion-entry", entry, "DANDELION_ENTRY_MAX_ATTEMPTS=99", "entry.max_attempts (from env DANDELION_ENTRY_MAX_ATTEMPTS): 99 is above the highest value, 16"},
		"host name":    {"dandelion-agent", append(agent, "--backend.addr", "app:80"), "", "backend.addr (from flag --backend.addr): \"app:80\" is not IP:port"},
		"key":          {"dandelion-entry", append(entry, "--keys.manifest_public", "x"), "", "keys.manifest_public"},
		"no file":      {"dandelion-entry", settings("none.ini"), "", "none.ini"},
		"ctl command":  {"dandelionctl", []string{"comit"}, "", `there is no command "comit"; did you mean "commit"?`},
		"ctl variable": {"dandelionctl", []string{"version"}, "DANDELIONCTL_LGO=x", `did you mean "DANDELIONCTL_LOG"?`},
	} {
		t.Run(name, func(t *testing.T) {
			cmd := exec.Command(filepath.Join(binDir, c.binary), c.args...)
			cmd.Env = append(os.Environ(), c.env)
			out, err := cmd.CombinedOutput()
			require.Error(t, err)
			require.Equal(t, 2, cmd.ProcessState.ExitCode(), "%s", out)
			require.Contains(t, string(out), c.want)
		})
	}
}
