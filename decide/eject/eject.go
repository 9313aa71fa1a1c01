// Package eject decides which servers of a pool are outliers: much slower than
// the pool's median, or failing. An outlier gets no work for a while and is then
// on probation. At most a share of a pool is ejected at once, because a slow
// answer is better than none. Time is passed in; the package is not safe for
// concurrent use.
package eject

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Config sets the thresholds and durations of ejection.
type Config struct {
	Alpha       float64       // weight of the newest sample in the moving averages
	MinSamples  int           // samples needed before a server is evaluated
	Factor      float64       // a server slower than Factor times the median is an outlier
	FailureRate float64       // a server whose mean share of failures is at least this is an outlier
	MaxShare    float64       // largest share of a pool that may be ejected at once
	Base        time.Duration // duration of the first ejection; each further one in a row lasts twice as long
	MaxDuration time.Duration // upper bound of the duration of any ejection
	// Probation is how long a server stays on probation after an ejection. An
	// ejection during probation lasts twice as long as the previous one.
	Probation time.Duration
}

// Default is the configuration of entries, before their settings are applied.
var Default = Config{
	Alpha: 0.3, MinSamples: 3, Factor: 3, FailureRate: 0.5, MaxShare: 0.34,
	Base: 5 * time.Second, MaxDuration: 2 * time.Minute, Probation: 30 * time.Second,
}

// minPool is the smallest number of servers whose median is meaningful.
const minPool = 3

// member is the state of one server.
type member struct {
	meanCost, failureRate      float64   // moving averages
	costSamples, resultSamples int       // number of samples in each
	ejectedUntil               time.Time // zero: not ejected
	probationUntil             time.Time // zero: not on probation
	ejections                  int       // in a row
}

// Pool evaluates the servers of one pool.
type Pool struct {
	cfg     Config
	members map[string]*member
}

// New returns a Pool without samples.
func New(cfg Config) *Pool {
	return &Pool{cfg: cfg, members: map[string]*member{}}
}

// AddCost adds a sample of a server's cost: seconds per answer, or seconds per
// token. The unit must be the same for the whole pool.
func (p *Pool) AddCost(name string, cost float64) {
	m := p.member(name)
	m.costSamples++
	m.meanCost += (cost - m.meanCost) * p.alpha(m.costSamples)
}

// AddResult adds a sample of whether a request failed at a server.
func (p *Pool) AddResult(name string, failed bool) {
	m := p.member(name)
	m.resultSamples++
	value := 0.0
	if failed {
		value = 1
	}
	m.failureRate += (value - m.failureRate) * p.cfg.Alpha
}

// Forget drops all state of a server. It is used when the server has restarted.
func (p *Pool) Forget(name string) { delete(p.members, name) }

// alpha returns the weight of the newest of that many samples. It is higher for the
// first ones, so that the first sample counts in full.
func (p *Pool) alpha(samples int) float64 {
	return math.Max(p.cfg.Alpha, 1/float64(samples))
}

// member returns the state of a server and creates it if needed.
func (p *Pool) member(name string) *member {
	m := p.members[name]
	if m == nil {
		m = &member{}
		p.members[name] = m
	}
	return m
}

// Evaluate ends ejections whose time has passed, ejects new outliers and returns
// all ejected servers among members. It forgets servers that are not in members.
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

// forgetAbsent drops the state of servers that are not in members.
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

// readmit ends an ejection or a probation whose time has passed. At the end of an
// ejection it drops the server's samples, which would otherwise eject the server
// again before it has served anything.
func (p *Pool) readmit(m *member, now time.Time) {
	if !m.ejectedUntil.IsZero() && !now.Before(m.ejectedUntil) {
		*m = member{probationUntil: now.Add(p.cfg.Probation), ejections: m.ejections}
	}
	if !m.probationUntil.IsZero() && now.After(m.probationUntil) {
		m.probationUntil, m.ejections = time.Time{}, 0
	}
}

// eject ejects a server: for Base at first, then for twice as long each time in a
// row, up to MaxDuration.
func (p *Pool) eject(m *member, now time.Time) {
	length := p.cfg.Base << min(m.ejections, 16)
	m.ejectedUntil = now.Add(min(length, p.cfg.MaxDuration))
	m.ejections++
}

// outliers returns the names of the servers to eject, the worst first.
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
		if severity := p.outlierSeverity(m, median); severity > 0 {
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

// outlierSeverity returns a value above zero if the server is an outlier, and zero
// otherwise. Failing servers always rank above slow ones.
func (p *Pool) outlierSeverity(m *member, median float64) float64 {
	const failureFactor = 1e6
	if m.resultSamples >= p.cfg.MinSamples && m.failureRate >= p.cfg.FailureRate {
		return failureFactor * (1 + m.failureRate)
	}
	if m.costSamples >= p.cfg.MinSamples && median > 0 && m.meanCost > p.cfg.Factor*median {
		return m.meanCost / median
	}
	return 0
}

// median returns the median of the servers' mean costs; 0 if fewer than minPool
// servers have enough samples.
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
