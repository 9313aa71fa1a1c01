// Package vms is a stand-in for the platform's list of VMs. Readers see changes of
// the list after a delay.
package vms

import (
	"flag"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"dandelionsill.org/platform"
	"dandelionsill.org/standin/web"
)

// Config configures the list.
type Config struct {
	Lag time.Duration // age of the list that readers get
}

// AddFlags defines a flag in fs for each setting.
func (c *Config) AddFlags(fs *flag.FlagSet) {
	fs.DurationVar(&c.Lag, "lag", 0, "age of the list that a reader gets")
}

// Faults are the fault switches set by POST /admin/faults.
type Faults struct {
	Down   bool `json:"down"`    // reads are refused with 503
	SlowMS int  `json:"slow_ms"` // delay before each answer to a read
	Stuck  bool `json:"stuck"`   // readers see no further changes of the list
}

// snapshot is the list of VMs as it is from a point in time on.
type snapshot struct {
	at  time.Time
	vms []platform.VM
}

// VMs is a simulated VM list that serves its API as an http.Handler.
type VMs struct {
	Faults web.Faults[Faults]

	cfg Config
	mux *http.ServeMux

	mu      sync.Mutex
	history []snapshot // oldest first; the last is the current list
	stuckAt time.Time  // point in time whose list readers get; zero: not stuck
}

// New returns an empty list.
func New(cfg Config) *VMs {
	v := &VMs{cfg: cfg, mux: http.NewServeMux(), history: []snapshot{{}}}
	v.Faults.OnApply = v.setStuck
	v.mux.HandleFunc("GET /vms", v.getVMs)
	v.mux.HandleFunc("PUT /vms/{name}", v.putVM)
	v.mux.HandleFunc("DELETE /vms/{name}", v.deleteVM)
	v.mux.HandleFunc("GET /truth", v.getTruth)
	v.mux.HandleFunc("GET /livez", web.Livez)
	v.mux.Handle("/admin/faults", &v.Faults)
	return v
}

func (v *VMs) ServeHTTP(w http.ResponseWriter, r *http.Request) { v.mux.ServeHTTP(w, r) }

// setStuck freezes the list that readers get, or releases it.
func (v *VMs) setStuck(f Faults) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case !f.Stuck:
		v.stuckAt = time.Time{}
	case v.stuckAt.IsZero():
		v.stuckAt = time.Now().Add(-v.cfg.Lag)
	}
}

// Put adds a VM or replaces the one of the same name.
func (v *VMs) Put(vm platform.VM) { v.replace(vm.Name, &vm) }

// Delete removes a VM.
func (v *VMs) Delete(name string) { v.replace(name, nil) }

// replace removes the VM of a name and adds vm unless it is nil.
func (v *VMs) replace(name string, vm *platform.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.history[len(v.history)-1].vms
	next := make([]platform.VM, 0, len(now)+1)
	for _, old := range now {
		if old.Name != name {
			next = append(next, old)
		}
	}
	if vm != nil {
		next = append(next, *vm)
	}
	slices.SortFunc(next, func(a, b platform.VM) int { return strings.Compare(a.Name, b.Name) })
	v.history = append(v.history, snapshot{time.Now(), next})
}

// visibleVMs returns the list that a reader gets now, and discards snapshots that
// are no longer needed.
func (v *VMs) visibleVMs() []platform.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	at := time.Now().Add(-v.cfg.Lag)
	if !v.stuckAt.IsZero() {
		at = v.stuckAt
	}
	i := len(v.history) - 1
	for i > 0 && v.history[i].at.After(at) {
		i--
	}
	if v.stuckAt.IsZero() {
		v.history = v.history[i:]
		i = 0
	}
	return v.history[i].vms
}

func (v *VMs) getVMs(w http.ResponseWriter, r *http.Request) {
	f := v.Faults.Get()
	web.Sleep(r.Context(), time.Duration(f.SlowMS)*time.Millisecond)
	if f.Down {
		web.Error(w, http.StatusServiceUnavailable, "down")
		return
	}
	web.JSON(w, http.StatusOK, emptyIfNil(v.visibleVMs()))
}

// emptyIfNil makes a nil list encode as [] instead of null.
func emptyIfNil(list []platform.VM) []platform.VM {
	if list == nil {
		return []platform.VM{}
	}
	return list
}

func (v *VMs) putVM(w http.ResponseWriter, r *http.Request) {
	var vm platform.VM
	if err := web.ReadJSON(r, &vm); err != nil {
		web.Error(w, http.StatusBadRequest, err.Error())
		return
	}
	vm.Name = r.PathValue("name")
	v.Put(vm)
	w.WriteHeader(http.StatusNoContent)
}

func (v *VMs) deleteVM(w http.ResponseWriter, r *http.Request) {
	v.Delete(r.PathValue("name"))
	w.WriteHeader(http.StatusNoContent)
}

// getTruth answers with the current list, without the lag.
func (v *VMs) getTruth(w http.ResponseWriter, _ *http.Request) {
	v.mu.Lock()
	now := v.history[len(v.history)-1].vms
	v.mu.Unlock()
	web.JSON(w, http.StatusOK, emptyIfNil(now))
}
