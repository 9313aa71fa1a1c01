package e2e

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Users copy the demo's settings, so each file must pass the check of the binary that it
// configures.
func TestDemoSettingsAreValid(t *testing.T) {
	files, err := filepath.Glob("../examples/demo/*.ini")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		binary := "dandelion-agent"
		if strings.HasPrefix(filepath.Base(file), "entry") {
			binary = "dandelion-entry"
		}
		cmd := exec.Command(filepath.Join(binDir, binary), "--check", "--config", file)
		cmd.Env = append(os.Environ(), "DANDELION_KEYS_MANIFEST_PUBLIC="+publicKey()) // as examples/demo.sh does
		out, err := cmd.CombinedOutput()
		require.NoError(t, err, "%s: %s", file, out)
	}
}
