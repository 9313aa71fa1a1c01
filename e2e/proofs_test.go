package e2e

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	quoted   = regexp.MustCompile("`([^`]+)`")
	testFunc = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)\w+)\(`)
)

// testsOf returns the names of the tests and fuzz tests of a package in the workspace.
func testsOf(t *testing.T, pkg string) map[string]bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", pkg, "*_test.go"))
	require.NoError(t, err)
	found := map[string]bool{}
	for _, file := range files {
		src, err := os.ReadFile(file)
		require.NoError(t, err)
		for _, name := range testFunc.FindAllStringSubmatch(string(src), -1) {
			found[name[1]] = true
		}
	}
	return found
}

// docs/PROOFS.md names tests, each after its package. Every one must exist: without
// this check a guarantee could lose its test unnoticed when the test is renamed or
// removed.
func TestProofsNameRealTests(t *testing.T) {
	page, err := os.ReadFile("../docs/PROOFS.md")
	require.NoError(t, err)
	checked := 0
	for _, line := range strings.Split(string(page), "\n") {
		pkg := ""
		for _, q := range quoted.FindAllStringSubmatch(line, -1) {
			name := q[1]
			if dir, err := os.Stat(filepath.Join("..", name)); err == nil && dir.IsDir() {
				pkg = name
			}
			if !strings.HasPrefix(name, "Test") && !strings.HasPrefix(name, "Fuzz") {
				continue
			}
			require.NotEmpty(t, pkg, "no package is named before %s: %s", name, line)
			require.True(t, testsOf(t, pkg)[name], "%s has no %s: %s", pkg, name, line)
			checked++
		}
	}
	const rows = 60 // far fewer than the page has; guards against a page that can't be parsed
	require.Greater(t, checked, rows)
}
