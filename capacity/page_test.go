package capacity

import (
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const pagePath = "../docs/CAPACITY.md"

var update = flag.Bool("update", false, "write the tables of docs/CAPACITY.md anew")

// pageTables returns the page's computed tables by the names in their markers.
func pageTables() map[string]string {
	s := Measured
	return map[string]string{
		"entry 1 pool":   Table(ControlCosts(Entry, s, Scenario{Watched: 46})),
		"owner":          Table(ControlCosts(Entry, s, Scenario{Watched: 146, Steps: 1})),
		"entry 12 pools": Table(ControlCosts(Entry, s, Scenario{Watched: 342})),
		"engine":         Table(ControlCosts(EngineAgent, s, Scenario{Watched: 46, Watchers: 11})),
		"engine 82":      Table(ControlCosts(EngineAgent, s, Scenario{Watched: 342, Watchers: 82})),
		"service":        Table(ControlCosts(ServiceAgent, s, Scenario{Watched: 342, Watchers: 82})),
		"log":            LogTable(LogReaders(s, 100, 285)),
	}
}

// The page's tables must be those computed from the measured slopes, so that a new
// measurement leaves no outdated sums on the page.
func TestPage(t *testing.T) {
	data, err := os.ReadFile(pagePath)
	require.NoError(t, err)
	page := string(data)
	for name, table := range pageTables() {
		begin, end := "<!-- sums: "+name+" -->\n", "<!-- end -->"
		head, rest, ok := strings.Cut(page, begin)
		require.True(t, ok, "the page lacks %q", begin)
		old, tail, ok := strings.Cut(rest, end)
		require.True(t, ok, "%q has no end", begin)
		if *update {
			page = head + begin + table + end + tail
			continue
		}
		require.Equal(t, table, old, "%s: run `go test ./capacity -run TestPage -update`", name)
	}
	if *update {
		require.NoError(t, os.WriteFile(pagePath, []byte(page), 0o644))
	}
}

// The sums must equal ones that were computed by hand.
func TestSums(t *testing.T) {
	s := Slopes{
		Base:     map[Role]Cost{Entry: {CPU: 0.001, Memory: 20e6, BytesPerSecond: 1}},
		Change:   Cost{BytesPerSecond: 86400}, // 4,300 a day: 4,300 B/s
		VMList:   Cost{BytesPerSecond: 1860 * 150},
		Watch:    map[int]Cost{10: {CPU: 0.001, Memory: 1e6, BytesPerSecond: 1000}},
		StepPass: Cost{CPU: 0.01},
	}
	sum := Total(ControlCosts(Entry, s, Scenario{Watched: 10, Steps: 2}))
	require.InDelta(t, 0.001+0.001+0.02, sum.CPU, 1e-9)
	require.InDelta(t, 21e6, sum.Memory, 1)
	require.InDelta(t, 1+4300+5120+1000, sum.BytesPerSecond, 0.01)

	require.InDelta(t, 326, MinStepSeconds(46), 0.1) // 62.5 engines for 240 s
	require.InDelta(t, 240, MinStepSeconds(62)*62/62.5, 0.1)
	require.InDelta(t, 287.5e6, MaxVersionBytes(15, 1e9, 750e6), 1e3)
	require.InDelta(t, 1000, MaxKeyWindow(100e6, 100, 1000), 1e-6)
	require.Equal(t, "1 | – | 0.5", Cost{CPU: 0.01, BytesPerSecond: 500}.tableCells())
	require.Equal(t, "**4** | <0.01 | **18**", Cost{CPU: 0.04, Memory: 1e3, BytesPerSecond: 18e3}.tableCells())
}
