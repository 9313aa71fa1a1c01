// Package site lays a whole site out on loopback addresses: which processes
// run where, with which settings and which manifest. Every VM gets an address
// of its own in 127.NET.0.0/16. The package starts nothing: bench/run and the
// end-to-end tests start what it lists.
package site

import (
	"fmt"
	"strings"
	"time"

	"dandelionsill.org/manifest"
)

// Deployment is a site's size and what it serves.
type Deployment struct {
	Name     string
	Region   string
	Domains  []string // failure domains
	Model    string
	Engines  int
	Service  string // plain service
	Services int    // its servers
	Scorers  int    // servers of the service "scorer"; 0: samples aren't scored
	Entries  int
	Weigh    manifest.Weigh
	Bound    uint64 // staleness bound of the trainers
	Mixed    bool   // one sample may span weight versions
	Trainers int
}

// Spolek and Lentelar are the sites of today; Small is for tests.
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

// Find returns a deployment by name.
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

// Caller is the name of the one application caller.
const Caller = "app"

// Token is the bearer token of a caller or trainer. It is no secret.
func Token(name string) string { return name + "-token" }

// TrainerName names trainer i, from 1.
func TrainerName(i int) string { return fmt.Sprintf("trainer-%d", i) }

// Grace that a running stream gets before a swap, in model time: the defaults
// of manifests that weigh idle time and staleness.
const (
	graceIdle      = 8 * time.Second
	graceStaleness = time.Second
)

// concurrency is how many requests a plain service's server runs at once.
const concurrency = 8

// ServiceCapacity is how many requests a second the plain service can run.
func (s *Site) ServiceCapacity() float64 {
	return float64(s.Deployment.Services*concurrency) / s.Service.Mean.Seconds()
}

// Manifest is the site's manifest in INI form. The note stands in a comment:
// two notes make two revisions with the same meaning.
func (s *Site) Manifest(note string) []byte {
	grace := graceIdle
	if s.Deployment.Weigh == manifest.WeighStaleness {
		grace = graceStaleness
	}
	return s.Deployment.manifest(note, time.Duration(float64(grace)*s.TimeScale))
}

func (d Deployment) manifest(note string, grace time.Duration) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n[fleet]\nname = %s\nweigh = %s\n", note, d.Name, d.Weigh)
	fmt.Fprintf(&b, "\n[model %s]\nswap_grace = %s\n", d.Model, grace)
	fmt.Fprintf(&b, "\n[service %s]\nconcurrency = %d\nqueue = 64\n", d.Service, concurrency)
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
