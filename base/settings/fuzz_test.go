package settings

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzFile checks that a settings file is either rejected with an error or loaded
// such that the output of --print-config, read again, yields the same settings.
func FuzzFile(f *testing.F) {
	for _, seed := range []string{
		namedProcess,
		namedProcess + "[limits]\nqueue = 20\nshare = 0.75\nstrict = true\n",
		namedProcess + "[limits]\ntoken = \"a;b # c\"\n[keys]\nmanifest_public = a:x, b:y\n",
		namedProcess + "[limits]\nqueue = 1000\n",
		"[process]\nname = \"\"\"a\"\"\"\nname=b\n",
		"[process]\nname = `x\ny`\n", "[proces]\nname=a", "name = 1", "[process\n", "\xff\xfe", "[process]\r\nname=\\\r\nx",
		"[process]\nname = a\nregion = '''b'''", "[process]\nname = a\nregion = \"\"\"'`\"\"\"", "[process]\nname=%(region)s\nregion=r",
		"[process]\nname = a\n[limits]\nshare = NaN\n",
	} {
		f.Add([]byte(seed))
	}
	dir := f.TempDir()
	f.Fuzz(func(t *testing.T, text []byte) {
		if bytes.Contains(text, []byte("token")) {
			return // a secret is not printed
		}
		file := filepath.Join(dir, "f.ini")
		require.NoError(t, os.WriteFile(file, text, 0o600))
		var first, second testSettings
		if _, err := Load("x", []string{"--config", file}, &first, nil); err != nil {
			require.NotEmpty(t, err.Error())
			return
		}
		require.NoError(t, first.Validate())
		var printed bytes.Buffer
		_, err := Load("x", []string{"--config", file, "--print-config"}, &first, &printed)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(file, printed.Bytes(), 0o600))
		_, err = Load("x", []string{"--config", file}, &second, nil)
		require.NoError(t, err, "%q", printed.String())
		require.Equal(t, first, second, "%q", printed.String())
	})
}
