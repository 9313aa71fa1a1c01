// Package vms is a stand-in for the platform's list of VMs, which lags.
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
	Lag time.Duration // age of what a reader gets
}

// AddFlags adds the configuration to fs.
func (c *Config) AddFlags(fs *flag.FlagSet) {
	fs.DurationVar(&c.Lag, "lag", 0, "age of the list that a reader gets")
}

// Faults are the switches at POST /admin/faults.
type Faults struct {
	Down   bool `json:"down"`    // 503
	SlowMS int  `json:"slow_ms"` // wait before each answer
	Stuck  bool `json:"stuck"`   // the list shows no further change
}

// snapshot is the list from a moment on.
type snapshot struct {
	at  time.Time
	vms []platform.VM
}

// VMs is the stand-in; it is an http.Handler.
type VMs struct {
	Faults web.Faults[Faults]

	cfg Config
	mux *http.ServeMux

	mu      sync.Mutex
	history []snapshot // oldest first; the last is the truth
	stuckAt time.Time  // zero: not stuck
}

// New makes an empty list.
func New(cfg Config) *VMs {
	v := &VMs{cfg: cfg, mux: http.NewServeMux(), history: []snapshot{{}}}
	v.Faults.OnApply = v.applied
	v.mux.HandleFunc("GET /vms", v.list)
	v.mux.HandleFunc("PUT /vms/{name}", v.put)
	v.mux.HandleFunc("DELETE /vms/{name}", v.remove)
	v.mux.HandleFunc("GET /truth", v.truth)
	v.mux.HandleFunc("GET /livez", web.Livez)
	v.mux.Handle("/admin/faults", &v.Faults)
	return v
}

func (v *VMs) ServeHTTP(w http.ResponseWriter, r *http.Request) { v.mux.ServeHTTP(w, r) }

func (v *VMs) applied(f Faults) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case !f.Stuck:
		v.stuckAt = time.Time{}
	case v.stuckAt.IsZero():
		v.stuckAt = time.Now().Add(-v.cfg.Lag)
	}
}

// Put adds or replaces a VM.
func (v *VMs) Put(vm platform.VM) { v.change(vm.Name, &vm) }

// Delete removes a VM.
func (v *VMs) Delete(name string) { v.change(name, nil) }

func (v *VMs) change(name string, vm *platform.VM) {
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

// seen returns the list as a reader gets it now.
func (v *VMs) seen() []platform.VM {
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

func (v *VMs) list(w http.ResponseWriter, r *http.Request) {
	f := v.Faults.Get()
	web.Sleep(r.Context(), time.Duration(f.SlowMS)*time.Millisecond)
	if f.Down {
		web.Error(w, http.StatusServiceUnavailable, "down")
		return
	}
	web.JSON(w, http.StatusOK, nonNil(v.seen()))
}

func nonNil(list []platform.VM) []platform.VM {
	if list == nil {
		return []platform.VM{}
	}
	return list
}

func (v *VMs) put(w http.ResponseWriter, r *http.Request) {
	var vm platform.VM
	if err := web.ReadJSON(r, &vm); err != nil {
		web.Error(w, http.StatusBadRequest, err.Error())
		return
	}
	vm.Name = r.PathValue("name")
	v.Put(vm)
	w.WriteHeader(http.StatusNoContent)
}

func (v *VMs) remove(w http.ResponseWriter, r *http.Request) {
	v.Delete(r.PathValue("name"))
	w.WriteHeader(http.StatusNoContent)
}

// truth answers with the list without its lag.
func (v *VMs) truth(w http.ResponseWriter, _ *http.Request) {
	v.mu.Lock()
	now := v.history[len(v.history)-1].vms
	v.mu.Unlock()
	web.JSON(w, http.StatusOK, nonNil(now))
}
