package manifest

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	docSection = regexp.MustCompile(`^## \[(\w+)`)
	docKey     = regexp.MustCompile("^\\| `(\\w+)` \\| ([^|]+) \\|")
)

// docKeys parses the tables of the docs page: kind of section -> key -> default.
func docKeys(t *testing.T) map[string]map[string]string {
	page, err := os.ReadFile("../docs/MANIFEST.md")
	require.NoError(t, err)
	keys := map[string]map[string]string{}
	kind := ""
	for _, line := range strings.Split(string(page), "\n") {
		if m := docSection.FindStringSubmatch(line); m != nil {
			kind = m[1]
			keys[kind] = map[string]string{}
		}
		if m := docKey.FindStringSubmatch(line); m != nil && kind != "" {
			keys[kind][m[1]] = strings.Trim(m[2], " `")
		}
	}
	return keys
}

// The docs page must list every key with its default: a manifest that sets each
// key to the listed default has the same settings as one that sets none.
func TestDocsListEveryKeyAndDefault(t *testing.T) {
	required := []string{
		"fleet", "name = f",
		"model m", "",
		"service s", "",
		"route s.r", "repeat = always",
		"trainer t", "token_sha256 = " + hashA + "\nmodel = m\nstaleness_bound = 1\nscorer = s",
		"caller c", "token_sha256 = " + hashB + "\nallow = s",
		"leaving", "",
	}
	keys := docKeys(t)
	var implicit, explicit strings.Builder
	for i := 0; i < len(required); i += 2 {
		kind, _, _ := strings.Cut(required[i], " ")
		fmt.Fprintf(&implicit, "[%s]\n%s\n", required[i], required[i+1])
		fmt.Fprintf(&explicit, "[%s]\n%s\n", required[i], required[i+1])
		for key, value := range keys[kind] {
			if !slices.Contains([]string{"required", "none", "any", "never"}, value) {
				fmt.Fprintf(&explicit, "%s = %s\n", key, value)
			}
		}
	}
	implicitManifest, err := Parse("implicit", []byte(implicit.String()))
	require.NoError(t, err)
	explicitManifest, err := Parse("explicit", []byte(explicit.String()))
	require.NoError(t, err)
	require.Equal(t, implicitManifest.Settings(), explicitManifest.Settings())
	count := 0
	for _, s := range implicitManifest.Settings() {
		kind, _, _ := strings.Cut(s.Section, " ")
		require.Contains(t, keys[kind], s.Key, s.Section)
		count++
	}
	for _, documented := range keys {
		count -= len(documented)
	}
	require.Zero(t, count, "the page lists a key that does not exist")
}
