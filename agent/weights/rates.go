package weights

import (
	"sync"
	"time"

	"dandelionsill.org/confsync"
)

// spreadTime is how long after its announcement a new version is assumed to
// load the weight store.
const spreadTime = 30 * time.Second

// lateShares is how many shares of the store's rate an agent takes if it
// fetches long after the announcement: a failure domain holds about a fourth of
// the agents.
const lateShares = 4

// storeRates computes how much of the weight store's rate this agent's model
// may use. The agents of other models use the same store and can't be seen from
// here, but the announcements that make them fetch can.
type storeRates struct {
	view confsync.Viewer
	now  func() time.Time

	mu        sync.Mutex
	announced map[string]announcement // by model
}

// observe records the announced versions and when they were first seen. When an
// agent starts, all of them count as new.
func (r *storeRates) observe() {
	v := r.view.View()
	if v == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.announced == nil {
		r.announced = map[string]announcement{}
	}
	for model, version := range v.Versions {
		if r.announced[model].version != version {
			r.announced[model] = announcement{version, r.now()}
		}
	}
}

// modelBytesPerSecond returns the rate for all agents of a model together: the
// store's rate, divided evenly among the models that have a new version; 0
// means unknown.
func (r *storeRates) modelBytesPerSecond(model string) float64 {
	v := r.view.View()
	if v == nil || v.Manifest == nil {
		return 0
	}
	r.observe()
	spreading := 1
	r.mu.Lock()
	defer r.mu.Unlock()
	for other := range r.announced {
		if other != model && r.isSpreading(other) {
			spreading++
		}
	}
	return v.Manifest.Fleet.StoreBytesPS / float64(spreading)
}

// activeFetchers returns how many agents of the model are assumed to share its
// rate. Long after an announcement only an engine that has restarted fetches,
// alone or with others of its failure domain, and it serves nothing until it
// has its weights.
func (r *storeRates) activeFetchers(model string, planned int) int {
	r.observe()
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.announced[model]; !known || r.isSpreading(model) {
		return planned
	}
	return max(1, planned/lateShares)
}

// isSpreading reports whether the model's newest version is still being fetched
// by its agents.
func (r *storeRates) isSpreading(model string) bool {
	return r.now().Sub(r.announced[model].seenAt) < spreadTime
}
