package server

import (
	"time"

	"github.com/juju/errors"

	"dandelionsill.org/base/settings"
	"dandelionsill.org/manifest"
)

// Kinds of backend servers.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// What an engine does with an order that carries an old fencing token.
const (
	FencingObeys   = "obeys"
	FencingIgnores = "ignores"
)

// Settings of an agent.
type Settings struct {
	settings.Common
	Backend Backend
	Queue   Queue
	Once    Once
	Weights Weights
	Explain Explain
}

// Backend describes the backend server that the agent is responsible for.
type Backend struct {
	Kind           string        `ini:"backend.kind" default:"service" help:"engine or service"`
	Addr           string        `ini:"backend.addr" kind:"ip:port" help:"IP:port of the backend server"`
	Serves         string        `ini:"backend.serves" help:"name of the model or service that it serves"`
	Slots          int           `ini:"backend.slots" default:"0" min:"0" max:"100000" help:"requests at once; 0: from the manifest (service) or from the engine's load reports"`
	Fencing        string        `ini:"backend.fencing" default:"obeys" help:"whether the engine refuses orders with an old fencing token: obeys or ignores"`
	HealthPath     string        `ini:"backend.health_path" help:"path that answers 2xx while the server is well; empty: a TCP connection is enough"`
	HealthInterval time.Duration `ini:"backend.health_interval" default:"1s" min:"100ms" max:"1m" help:"between two health checks"`
}

// Queue limits what waits for the backend server.
type Queue struct {
	Max int `ini:"queue.max" default:"256" min:"0" max:"100000" help:"requests that may wait; a service's own bound in the manifest goes first"`
}

// Once limits the handling of idempotency keys.
type Once struct {
	HeldBytes    int           `ini:"once.held_bytes" default:"16777216" min:"0" help:"bytes of answers held for callers that repeat a request"`
	ClaimTimeout time.Duration `ini:"once.claim_timeout" default:"2s" min:"10ms" max:"1m" help:"longest wait for the claim of a key"`
	MinInterval  time.Duration `ini:"once.min_interval" default:"5ms" min:"0s" max:"10s" help:"shortest time between two appends of claims"`
	AppendShare  float64       `ini:"once.append_share" default:"0.5" min:"0.01" max:"1" help:"share of the fleet's append rate that all claims together may use"`
}

// Weights holds the times and sizes of weight orders. All agents of a model
// should have the same slot, or their swaps overlap.
type Weights struct {
	Lease        time.Duration `ini:"weights.lease" default:"5s" min:"500ms" max:"5m" help:"how long an agent that stood still may trust what it held; a successor waits it out where the engine ignores fencing tokens"`
	MaxOrderTime time.Duration `ini:"weights.longest_order" default:"15s" min:"1s" max:"10m" help:"longest time that one weight order may take"`
	SlotLength   time.Duration `ini:"weights.slot" default:"4s" min:"10ms" max:"5m" help:"from one wave of weight swaps to the next until this agent has measured a swap; alike on all agents of a model"`
	MaxCopyBytes int           `ini:"weights.max_copy_bytes" default:"268435456" min:"0" help:"largest weight version that is fetched before its order begins and relayed to other agents; a larger one streams from the store into the engine"`
	NoWaves      bool          `ini:"weights.no_waves" default:"false" help:"swap at once, without waves or grace, all agents from the store: the baseline of benchmarks, not for service"`
}

// Explain limits the decision records.
type Explain struct {
	Records int `ini:"explain.records" default:"4096" min:"16" max:"1000000" help:"decision records kept for dandelionctl explain"`
}

// Validate checks what the tags of the single fields can't express.
func (s Settings) Validate() error {
	if s.Process.Name == "" {
		return errors.New("process.name is empty; it must be the VM's name in the VM list")
	}
	if s.Process.Listen == "" || s.Process.HTTP == "" {
		return errors.New("process.listen and process.http must be set")
	}
	if s.Backend.Addr == "" || s.Backend.Serves == "" {
		return errors.New("backend.addr and backend.serves must be set")
	}
	if s.Backend.Kind != KindEngine && s.Backend.Kind != KindService {
		return errors.Errorf("backend.kind is %q; it must be engine or service", s.Backend.Kind)
	}
	if s.Backend.Fencing != FencingObeys && s.Backend.Fencing != FencingIgnores {
		return errors.Errorf("backend.fencing is %q; it must be obeys or ignores", s.Backend.Fencing)
	}
	if s.Platform.Log == "" || s.Platform.VMs == "" {
		return errors.New("platform.log and platform.vms must be set")
	}
	if len(s.Keys.ManifestPublic) == 0 {
		return errors.New("keys.manifest_public is empty; no manifest could be verified")
	}
	if _, err := manifest.ParseKeys(s.Keys.ManifestPublic); err != nil {
		return errors.Annotate(err, "keys.manifest_public")
	}
	if s.Backend.Kind == KindEngine && s.Platform.Weights == "" {
		return errors.New("platform.weights must be set for an engine")
	}
	return nil
}
