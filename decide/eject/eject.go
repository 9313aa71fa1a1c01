// Package eject decides which servers of a pool are outliers: much slower than
// the pool's median, or failing. An outlier gets no work for a while, then a
// probation. At most a share of a pool is ejected, for a slow answer is better
// than none. Time is passed in; the package is not safe for concurrent use.
package eject

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Config tunes ejection.
type Config struct {
	Alpha       float64       // weight of the newest sample in the moving averages
	MinSamples  int           // samples before a server is judged
	Factor      float64       // slower than Factor times the median is an outlier
	FailureRate float64       // average failure share of an outlier
	MaxShare    float64       // largest share of a pool that is ejected at once
	Base        time.Duration // length of a first ejection
	MaxDuration time.Duration // bound of any ejection
	// Probation follows an ejection: an outlier in it is ejected for twice as long.
	Probation time.Duration
}

// Default is what entries use unless their settings say otherwise.
var Default = Config{
	Alpha: 0.3, MinSamples: 3, Factor: 3, FailureRate: 0.5, MaxShare: 0.34,
	Base: 5 * time.Second, MaxDuration: 2 * time.Minute, Probation: 30 * time.Second,
}

// minPool is the smallest pool with a median that means anything.
const minPool = 3

type member struct {
	meanCost, failureRate      float64 // moving averages
	costSamples, resultSamples int
	ejectedUntil               time.Time // ejected until; zero: not ejected
	probationUntil             time.Time
	ejections                  int // ejections in a row
}

// Pool judges the servers of one pool.
type Pool struct {
	cfg     Config
	members map[string]*member
}

// New returns an empty pool.
func New(cfg Config) *Pool {
	return &Pool{cfg: cfg, members: map[string]*member{}}
}

// AddCost adds a sample of a server's cost: seconds an answer, or seconds a
// token. Any unit will do as long as the pool shares it.
func (p *Pool) AddCost(name string, cost float64) {
	m := p.member(name)
	m.costSamples++
	m.meanCost += (cost - m.meanCost) * p.alpha(m.costSamples)
}

// AddResult adds how a piece of work ended.
func (p *Pool) AddResult(name string, failed bool) {
	m := p.member(name)
	m.resultSamples++
	value := 0.0
	if failed {
		value = 1
	}
	m.failureRate += (value - m.failureRate) * p.cfg.Alpha
}

// Forget drops what is known of a server, for one that was started anew.
func (p *Pool) Forget(name string) { delete(p.members, name) }

// alpha makes the first sample count in full.
func (p *Pool) alpha(samples int) float64 {
	return math.Max(p.cfg.Alpha, 1/float64(samples))
}

func (p *Pool) member(name string) *member {
	m := p.members[name]
	if m == nil {
		m = &member{}
		p.members[name] = m
	}
	return m
}

// Evaluate returns the ejected ones of the pool's present members. Servers that
// are no longer members are forgotten.
func (p *Pool) Evaluate(now time.Time, members []string) map[string]bool {
	p.forgetAbsent(members)
	for _, name := range members {
		p.readmit(p.member(name), now)
	}
	ejected := map[string]bool{}
	for _, name := range members {
		if !p.members[name].ejectedUntil.IsZero() {
			ejected[name] = true
		}
	}
	maxEjected := int(p.cfg.MaxShare * float64(len(members)))
	if len(members) < minPool {
		return ejected
	}
	for _, name := range p.outliers(members) {
		if len(ejected) >= maxEjected {
			break
		}
		p.eject(p.members[name], now)
		ejected[name] = true
	}
	return ejected
}

func (p *Pool) forgetAbsent(members []string) {
	present := make(map[string]bool, len(members))
	for _, name := range members {
		present[name] = true
	}
	for name := range p.members {
		if !present[name] {
			delete(p.members, name)
		}
	}
}

// readmit ends an ejection whose time is over. The old samples go, or they
// would eject the server again before it had served anything.
func (p *Pool) readmit(m *member, now time.Time) {
	if !m.ejectedUntil.IsZero() && !now.Before(m.ejectedUntil) {
		*m = member{probationUntil: now.Add(p.cfg.Probation), ejections: m.ejections}
	}
	if !m.probationUntil.IsZero() && now.After(m.probationUntil) {
		m.probationUntil, m.ejections = time.Time{}, 0
	}
}

func (p *Pool) eject(m *member, now time.Time) {
	length := p.cfg.Base << min(m.ejections, 16)
	m.ejectedUntil = now.Add(min(length, p.cfg.MaxDuration))
	m.ejections++
}

// outliers returns the members to eject, the worst first.
func (p *Pool) outliers(members []string) []string {
	median := p.median(members)
	type outlier struct {
		name     string
		severity float64
	}
	var found []outlier
	for _, name := range members {
		m := p.members[name]
		if !m.ejectedUntil.IsZero() {
			continue
		}
		if severity := p.severity(m, median); severity > 0 {
			found = append(found, outlier{name, severity})
		}
	}
	slices.SortFunc(found, func(a, b outlier) int {
		return cmp.Or(cmp.Compare(b.severity, a.severity), cmp.Compare(a.name, b.name))
	})
	out := make([]string, len(found))
	for i, o := range found {
		out[i] = o.name
	}
	return out
}

// severity is above zero for an outlier; failing ranks above slow.
func (p *Pool) severity(m *member, median float64) float64 {
	const failureFactor = 1e6
	if m.resultSamples >= p.cfg.MinSamples && m.failureRate >= p.cfg.FailureRate {
		return failureFactor * (1 + m.failureRate)
	}
	if m.costSamples >= p.cfg.MinSamples && median > 0 && m.meanCost > p.cfg.Factor*median {
		return m.meanCost / median
	}
	return 0
}

// median is the pool's median cost; 0: too few members are known.
func (p *Pool) median(members []string) float64 {
	var costs []float64
	for _, name := range members {
		if m := p.members[name]; m.costSamples >= p.cfg.MinSamples {
			costs = append(costs, m.meanCost)
		}
	}
	if len(costs) < minPool {
		return 0
	}
	slices.Sort(costs)
	return costs[(len(costs)-1)/2]
}
