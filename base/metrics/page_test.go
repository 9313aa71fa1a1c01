package metrics

import (
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const root = "../.."

var (
	metricCall = regexp.MustCompile(`metrics\.(?:Counter|Gauge|NewHistogram)\(\s*"([^"]*)"`)
	backquoted = regexp.MustCompile("`([^`]+)`")
)

// Operators configure alerts from docs/METRICS.md, so it must list every metric
// that the code publishes and no other.
func TestPageNamesEveryMetric(t *testing.T) {
	inCode := map[string]bool{}
	require.NoError(t, filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, m := range metricCall.FindAllSubmatch(text, -1) {
			inCode[string(m[1])] = true
		}
		return err
	}))
	page, err := os.ReadFile(filepath.Join(root, "docs", "METRICS.md"))
	require.NoError(t, err)
	onPage := map[string]bool{}
	for line := range strings.SplitSeq(string(page), "\n") {
		if cells := strings.Split(line, "|"); len(cells) > 1 {
			for _, m := range backquoted.FindAllStringSubmatch(cells[1], -1) {
				onPage[m[1]] = true
			}
		}
	}
	require.NotEmpty(t, inCode)
	require.Equal(t, slices.Sorted(maps.Keys(inCode)), slices.Sorted(maps.Keys(onPage)))
}
