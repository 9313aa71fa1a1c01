// Package table holds the routing table that the operator declares: which
// requests go to which service, how long they may take and what may be
// repeated. A Table never changes once built, so that the path of a request
// reads it without a lock.
package table

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Kind says what may be repeated of a route's requests.
type Kind uint8

const (
	// Safe requests may run any number of times.
	Safe Kind = iota
	// Unsafe requests run at most once for each attempt of a caller.
	Unsafe
	// Stream requests are answered by a series of events. They count as
	// Unsafe unless the route is Resumable.
	Stream
	// Batch requests submit a batch job whose items run later.
	Batch
)

// Target is a service with its share of a route's requests.
type Target struct {
	Service string
	Weight  int // relative to the route's other targets
}

// Route sends the requests of a host and a path prefix to services.
type Route struct {
	Name    string
	Host    string
	Prefix  string // begins and ends with a slash
	Kind    Kind
	Targets []Target

	MaxAttempts      int           // servers that one attempt of a caller may reach
	Timeout          time.Duration // longest time that a caller is kept waiting
	LatencyObjective time.Duration // latency within which an answer is worth most
	Priority         int           // 0 is the most urgent
	Public           bool          // callers need no key

	Resumable     bool          // a broken stream may go on at another server
	SingleVersion bool          // a sample is made by one weight version only
	DueAfter      time.Duration // batch jobs: results are due so long after submission
	AbandonAfter  time.Duration // batch jobs: items may be given up so long after submission
}

// Repeatable tells whether an attempt may reach a second server after the
// first may have run it.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Pick returns the service for a request; spread is any evenly distributed
// number of it.
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

// Service is a set of alike backend servers.
type Service struct {
	Name string
	// MaxConns bounds the connections of all callers to one server; 0: unknown.
	MaxConns int
	// Slots is how many streams an engine batches; 0 for plain services.
	Slots int
}

// Limits bound what a caller may send.
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
	// Organisations tells whose callers' keys are; nil: callers need none.
	Organisations *Directory
	// Ignored tells which parts of the configuration can't be used, and why.
	Ignored []string

	byHost map[string][]*Route // longest prefix first
}

// New builds a table and checks that its routes can be served.
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
	}
	for _, hostRoutes := range t.byHost {
		slices.SortStableFunc(hostRoutes, func(a, b *Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	return t, nil
}

func (t *Table) validate(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return errors.Errorf("prefix %q does not begin and end with a slash", r.Prefix)
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

// Match returns the route of a request: the longest prefix of path among the
// routes of host, which may carry a port. nil: no route.
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
