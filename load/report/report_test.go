package report

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/load/judge"
)

// rowKeys are exactly the keys that readers of summary.json rely on.
const rowKeys = `deployment scenario policy seed step_p50_ms step_p99_ms trainer_idle_share staleness_mean_versions
staleness_max_versions ideal_step_ms ideal_ratio wasted_token_share app_p50_ms app_p99_ms app_ok_share samples_lost
samples_duplicated labels_wrong over_bound writes_doubled false_not_run cut_in_flight answers_wrong config_seconds`

func TestRowKeys(t *testing.T) {
	data, err := json.Marshal(Row{})
	require.NoError(t, err)
	var fields map[string]any
	require.NoError(t, json.Unmarshal(data, &fields))
	var have []string
	for k := range fields {
		have = append(have, k)
	}
	require.ElementsMatch(t, strings.Fields(rowKeys), have)
}

func TestSummary(t *testing.T) {
	dir := t.TempDir()
	rows := []Row{
		{Deployment: "b", Scenario: "steady", Policy: "dandelionsill", StepP50MS: 2},
		{Deployment: "a", Scenario: "leave", Policy: "dandelionsill", StepP50MS: 3, Counts: judge.Counts{SamplesLost: 1}},
		{Deployment: "a", Scenario: "steady", Policy: "dandelionsill", StepP50MS: 1},
		{Deployment: "a", Scenario: "steady", Policy: "baseline", StepP50MS: 4},
	}
	Sort(rows)
	order := slices.Collect(func(yield func(float64) bool) {
		for _, r := range rows {
			yield(r.StepP50MS)
		}
	})
	require.Equal(t, []float64{4, 1, 3, 2}, order)
	file := filepath.Join(dir, "summary.json")
	require.NoError(t, Write(file, rows))
	reread, err := Read(file)
	require.NoError(t, err)
	require.Equal(t, rows, reread)

	var table strings.Builder
	require.NoError(t, Table(&table, rows))
	require.Contains(t, table.String(), "lost:1")
	require.NoError(t, Plots(dir, rows))
	_, err = os.Stat(filepath.Join(dir, "a-step_p50.svg"))
	require.NoError(t, err)
}
