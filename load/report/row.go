// Package report defines the rows of the benchmark's summary.json and writes them
// as tables and plots.
package report

import (
	"encoding/json"
	"os"

	"github.com/juju/errors"

	"dandelionsill.org/load/judge"
)

// Row is the result of one run of one policy. Times are wall times of the run;
// the time scale is in bench-out/bench.json.
type Row struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	Policy     string `json:"policy"`
	Seed       uint64 `json:"seed"`

	StepP50MS             float64 `json:"step_p50_ms"`
	StepP99MS             float64 `json:"step_p99_ms"`
	TrainerIdleShare      float64 `json:"trainer_idle_share"`
	StalenessMeanVersions float64 `json:"staleness_mean_versions"`
	StalenessMaxVersions  float64 `json:"staleness_max_versions"`
	IdealStepMS           float64 `json:"ideal_step_ms"`
	IdealRatio            float64 `json:"ideal_ratio"` // step_p50_ms / ideal_step_ms
	WastedTokenShare      float64 `json:"wasted_token_share"`
	AppP50MS              float64 `json:"app_p50_ms"`
	AppP99MS              float64 `json:"app_p99_ms"`
	AppOKShare            float64 `json:"app_ok_share"`

	judge.Counts

	ConfigSeconds float64 `json:"config_seconds"`
}

// Read reads the rows that Write wrote to file.
func Read(file string) ([]Row, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var rows []Row
	return rows, errors.Annotate(json.Unmarshal(data, &rows), file)
}

// Write writes rows to file as a JSON array.
func Write(file string, rows []Row) error {
	data, err := json.MarshalIndent(rows, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.WriteFile(file, append(data, '\n'), 0o644))
}
