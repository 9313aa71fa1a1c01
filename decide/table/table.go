// Package table implements the routing table that the operator configures: which
// requests go to which service, how long they may take and which of them may be
// repeated. A Table is immutable once built, so that requests read it without a lock.
package table

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"dandelionsill.org/decide/residency"
)

// Kind is the kind of a route's requests; it determines which of them may be repeated.
type Kind uint8

const (
	// Safe requests may run any number of times.
	Safe Kind = iota
	// Unsafe requests run at most once for each attempt of a caller.
	Unsafe
	// Stream requests are answered by a series of events. They are treated as
	// Unsafe unless the route is Resumable.
	Stream
	// Batch requests submit a batch job whose items run later.
	Batch
)

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	Weight  int // relative to the route's other targets
}

// Route maps requests with a host and a path prefix to services.
type Route struct {
	Name    string
	Host    string
	Prefix  string // starts and ends with a slash
	Kind    Kind
	Targets []Target

	MaxAttempts      int           // maximum number of servers that one attempt of a caller may be sent to
	Timeout          time.Duration // maximum time until a caller is answered
	LatencyObjective time.Duration // an answer that takes longer is worth less to the caller
	Priority         int           // 0 is the most urgent
	Public           bool          // callers need no key
	// Regions are the regions in which the route's requests may be served.
	Regions residency.Regions

	Resumable     bool          // a broken stream may be resumed at another server
	SingleVersion bool          // all of a sample is made with the same weight version
	Due           time.Duration // batch jobs: time from submission until results are due
	AbandonAfter  time.Duration // batch jobs: time from submission after which items may be abandoned
}

// Repeatable reports whether an attempt may be sent to a second server after the
// first one may have run it.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Pick returns the service for a request, by the weights of the targets; "" if there is
// none. hash is a number derived from the request, evenly distributed over all requests.
func (r *Route) Pick(hash uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total == 0 {
		return ""
	}
	offset := int(hash % uint64(total))
	for _, t := range r.Targets {
		if offset < t.Weight {
			return t.Service
		}
		offset -= t.Weight
	}
	return ""
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string
	// MaxConns is the maximum number of connections of all callers to one server;
	// 0: unknown.
	MaxConns int
	// Slots is how many streams an engine batches; 0 for services that are not engines.
	Slots int
	// Scaling bounds the number of servers that this system may order; nil: the number
	// is not changed.
	Scaling *Scaling
	// Cold describes servers that have just started; nil: they need no care.
	Cold *Cold
}

// Cold bounds what a server takes that is cold: one that has just started, or has lost what it had
// warmed up. It ends at a much higher rate.
type Cold struct {
	Duration time.Duration // for which a server is cold after its start
	Rate     float64       // requests a second that a cold server takes, of all processes together
}

// Scaling bounds the number of a service's servers. Min equal to Max fixes it.
type Scaling struct {
	Min, Max int           // servers in each failure domain
	Boot     time.Duration // from the order of a server until it serves
}

// Validate returns an error if no number of servers satisfies the bounds, or if they
// would leave the service without any server for good.
func (s *Scaling) Validate() error {
	switch {
	case s.Min < 0 || s.Max <= 0 || s.Boot < 0:
		return errors.Errorf("bounds %d to %d, boot time %v: not positive", s.Min, s.Max, s.Boot)
	case s.Min > s.Max:
		return errors.Errorf("the minimum %d is above the maximum %d", s.Min, s.Max)
	}
	return nil
}

// Limits are the limits on the requests and connections of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the operator's configuration.
type Table struct {
	Version  uint64
	Routes   []*Route
	Services map[string]Service
	Limits   Limits
	// Organisations maps the keys of callers to organisations; nil: callers need no key.
	Organisations *Directory
	// Ignored describes each part of the configuration that is ignored because it is
	// invalid.
	Ignored []string

	byHost map[string][]*Route // longest prefix first
	// hasRegions: some route has allowed regions.
	hasRegions bool
	// hasPublicBatch: some batch route is public.
	hasPublicBatch bool
}

// New builds a table. It returns an error if a route has an invalid prefix, no target, or a
// target that is not among the services.
func New(version uint64, routes []*Route, services []Service, limits Limits) (*Table, error) {
	t := &Table{
		Version:  version,
		Routes:   routes,
		Services: make(map[string]Service, len(services)),
		Limits:   limits,
		byHost:   map[string][]*Route{},
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for _, r := range routes {
		if err := t.validate(r); err != nil {
			return nil, errors.Annotatef(err, "route %q", r.Name)
		}
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
		t.hasRegions = t.hasRegions || r.Regions.IsRestricted()
		t.hasPublicBatch = t.hasPublicBatch || r.Kind == Batch && r.Public
	}
	for _, hostRoutes := range t.byHost {
		slices.SortStableFunc(hostRoutes, func(a, b *Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	return t, nil
}

// ColdOf returns what cold servers of a service need; nil: no care, or there is no table or service.
func (t *Table) ColdOf(service string) *Cold {
	if t == nil {
		return nil
	}
	return t.Services[service].Cold
}

func (t *Table) validate(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return errors.Errorf("prefix %q does not start and end with a slash", r.Prefix)
	}
	if len(r.Targets) == 0 {
		return errors.New("no service")
	}
	for _, target := range r.Targets {
		if _, ok := t.Services[target.Service]; !ok {
			return errors.Errorf("unknown service %q", target.Service)
		}
	}
	return nil
}

// Match returns the route of a request: of the routes of host, the one with the longest
// prefix of path; nil: there is none. host may include a port.
func (t *Table) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// HasPublicBatchRoute reports whether callers without a key may submit batch jobs.
func (t *Table) HasPublicBatchRoute() bool { return t.hasPublicBatch }

// HasRegions reports whether any route or organisation has allowed regions.
func (t *Table) HasRegions() bool { return t.hasRegions || t.Organisations.HasRegions() }

// RegionsOf returns the regions in which a request of an organisation may be served: those of its
// route and of the organisation, both. An empty or unknown organisation has no allowed regions.
func (t *Table) RegionsOf(host, path, organisation string) residency.Regions {
	var regions residency.Regions
	if t.hasRegions {
		if r := t.Match(host, path); r != nil {
			regions = r.Regions
		}
	}
	return regions.And(t.Organisations.RegionsOf(organisation))
}
