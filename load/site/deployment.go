// Package site plans a complete site on loopback addresses: which processes run
// where, with which settings and which manifest. Each VM has an address of its own
// in 127.NET.0.0/16. The package starts no process: bench/run and the end-to-end
// tests start the processes that it lists.
package site

import (
	"fmt"
	"strings"
	"time"

	"dandelionsill.org/manifest"
)

// Deployment defines the size of a site and what it serves.
type Deployment struct {
	Name     string
	Region   string
	Domains  []string // failure domains
	Model    string
	Engines  int
	Service  string // plain service
	Services int    // number of the service's backend servers
	Scorers  int    // backend servers of the service "scorer"; 0: samples are not scored
	Entries  int
	Weigh    manifest.Weigh
	Bound    uint64 // staleness bound of the trainers, in versions
	Mixed    bool   // a sample may span several weight versions
	Trainers int
}

// Spolek and Lentelar match the existing sites; Small is for tests.
var (
	Spolek = Deployment{
		Name: "spolek", Region: "brno", Domains: []string{"brno-a", "brno-b", "brno-c"},
		Model: "drafter-lm", Engines: 8, Service: "registry", Services: 3, Entries: 3,
		Weigh: manifest.WeighIdle, Bound: 2, Mixed: true, Trainers: 2,
	}
	Lentelar = Deployment{
		Name: "lentelar", Region: "santiago", Domains: []string{"scl-a", "scl-b", "scl-c", "scl-d"},
		Model: "assistant-llm", Engines: 9, Service: "ordering", Services: 4, Entries: 4,
		Weigh: manifest.WeighStaleness, Bound: 1, Mixed: true, Trainers: 2,
	}
	Small = Deployment{
		Name: "small", Region: "here", Domains: []string{"here-a", "here-b"},
		Model: "demo-lm", Engines: 2, Service: "orders", Services: 2, Scorers: 1, Entries: 2,
		Weigh: manifest.WeighIdle, Bound: 2, Mixed: true, Trainers: 1,
	}
)

// Find returns the deployment with the given name. The error for an unknown name
// lists the known ones.
func Find(name string) (Deployment, error) {
	var names []string
	for _, d := range []Deployment{Spolek, Lentelar, Small} {
		if d.Name == name {
			return d, nil
		}
		names = append(names, d.Name)
	}
	return Deployment{}, fmt.Errorf("deployment %q: want one of %s", name, strings.Join(names, ", "))
}

// Caller is the name of the only application caller.
const Caller = "app"

// Token returns the bearer token of a caller or trainer. It is not secret.
func Token(name string) string { return name + "-token" }

// TrainerName returns the name of trainer i, counted from 1.
func TrainerName(i int) string { return fmt.Sprintf("trainer-%d", i) }

// Grace period for running streams before a weight swap, in model time: the
// defaults of manifests that prefer less idle time and less staleness.
const (
	idleSwapGrace      = 8 * time.Second
	stalenessSwapGrace = time.Second
)

// serviceConcurrency is how many requests a backend server of the plain service
// runs concurrently.
const serviceConcurrency = 8

// ServiceCapacity returns how many requests per second the plain service can run.
func (s *Site) ServiceCapacity() float64 {
	return float64(s.Deployment.Services*serviceConcurrency) / s.Service.Mean.Seconds()
}

// Manifest returns the site's manifest as INI. The note is written into a comment:
// two notes give two different revisions with the same meaning.
func (s *Site) Manifest(note string) []byte {
	grace := idleSwapGrace
	if s.Deployment.Weigh == manifest.WeighStaleness {
		grace = stalenessSwapGrace
	}
	return s.Deployment.manifest(note, time.Duration(float64(grace)*s.TimeScale))
}

func (d Deployment) manifest(note string, grace time.Duration) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n[fleet]\nname = %s\nweigh = %s\n", note, d.Name, d.Weigh)
	fmt.Fprintf(&b, "\n[model %s]\nswap_grace = %s\n", d.Model, grace)
	fmt.Fprintf(&b, "\n[service %s]\nconcurrency = %d\nqueue = 64\n", d.Service, serviceConcurrency)
	fmt.Fprintf(&b, "\n[route %s.read]\nmethods = GET, HEAD\nrepeat = always\n", d.Service)
	fmt.Fprintf(&b, "\n[route %s.write]\nrepeat = never\n", d.Service)
	if d.Scorers > 0 {
		b.WriteString("\n[service scorer]\n\n[route scorer.score]\nmethods = POST\nprefix = /score\nrepeat = always\n")
	}
	for i := 1; i <= d.Trainers; i++ {
		name := TrainerName(i)
		fmt.Fprintf(&b, "\n[trainer %s]\ntoken_sha256 = %s\nmodel = %s\nstaleness_bound = %d\nmixed = %t\n",
			name, manifest.Hash([]byte(Token(name))), d.Model, d.Bound, d.Mixed)
		if d.Scorers > 0 {
			b.WriteString("scorer = scorer\n")
		}
	}
	fmt.Fprintf(&b, "\n[caller %s]\ntoken_sha256 = %s\nallow = %s, %s\npriority = 1\n",
		Caller, manifest.Hash([]byte(Token(Caller))), d.Model, d.Service)
	return []byte(b.String())
}
