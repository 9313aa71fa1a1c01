package jobs

import (
	"encoding/json"
	"net/http"

	"dandelionsill.org/decide/residency"
	"dandelionsill.org/decide/table"
	"dandelionsill.org/fold/jobs"
)

// PathModelRegions is the path at which a process serves the allowed regions of models.
const PathModelRegions = "/models/regions"

// ModelRegions returns the regions in which the samples of each model may be made, for those models
// all of whose jobs have allowed regions. Engines elsewhere need not load them.
func (x *Index) ModelRegions(t *table.Table) map[string]residency.Regions {
	names := map[string][]string{} // nil: every region
	x.mu.Lock()
	x.state.Each(func(j *jobs.Job) {
		regions := regionsNow(t, j.Regions, j.Host, j.Path, j.Organisation)
		known, seen := names[j.Model]
		switch {
		case !regions.IsRestricted():
			names[j.Model] = nil
		case !seen || known != nil:
			names[j.Model] = append(append([]string{}, known...), regions.Names()...)
		}
	})
	x.mu.Unlock()
	byModel := map[string]residency.Regions{}
	for model, list := range names {
		if len(list) > 0 {
			byModel[model] = residency.Only(list)
		}
	}
	return byModel
}

// ServeModelRegions returns the keys of the allowed regions, by model, under the configuration in
// force. It refuses while this process may not know all jobs.
func (x *Index) ServeModelRegions(current func() *table.Table) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if !x.CaughtUp() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		keys := map[string]string{}
		for model, regions := range x.ModelRegions(current()) {
			keys[model] = regions.Key()
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(keys) // the peer detects a truncated answer
	}
}
