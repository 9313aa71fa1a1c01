package manifest

import (
	"fmt"
	"strings"

	"github.com/agnivade/levenshtein"
)

// Problem is one mistake in a manifest.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line,omitempty"` // starts at 1; 0: the problem belongs to no single line
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Message string `json:"message"`
	Nearest string `json:"nearest,omitempty"` // the valid name that is most similar to the wrong one
}

// Error returns `file:line: [section] key: message (did you mean "nearest"?)`,
// without the parts that are empty.
func (p Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	b.WriteString(": ")
	if p.Section != "" {
		fmt.Fprintf(&b, "[%s] ", p.Section)
	}
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	b.WriteString(p.Message)
	if p.Nearest != "" {
		fmt.Fprintf(&b, " (did you mean %q?)", p.Nearest)
	}
	return b.String()
}

// Problems holds every problem that Parse found, in file order.
type Problems []Problem

// Error returns the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// nearest returns the candidate with the smallest edit distance to name. Of
// several, it returns the first; without candidates, "".
func nearest(name string, candidates []string) string {
	best, bestDistance := "", -1
	for _, c := range candidates {
		d := levenshtein.ComputeDistance(name, c)
		if bestDistance < 0 || d < bestDistance {
			best, bestDistance = c, d
		}
	}
	return best
}
