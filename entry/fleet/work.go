package fleet

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dandelionsill.org/decide/eject"
	"dandelionsill.org/wire/pb"
)

// rateSampleInterval is the shortest time between two samples of an engine's
// stream rate. Reports arrive many times a second and would otherwise count as
// independent samples.
const rateSampleInterval = time.Second

// counter counts this entry's work in flight at one server.
type counter struct{ value atomic.Int64 }

// workTracker counts the work in flight at each server and evaluates which
// servers are outliers of their pool.
type workTracker struct {
	cfg      eject.Config
	counters sync.Map // VM name -> *counter

	mu        sync.Mutex // guards the fields below
	pools     map[string]*eject.Pool
	ejected   map[string]bool // ejected at the last evaluation
	sampledAt map[string]time.Time
}

func newWorkTracker(cfg eject.Config) *workTracker {
	return &workTracker{cfg: cfg, pools: map[string]*eject.Pool{}, ejected: map[string]bool{}, sampledAt: map[string]time.Time{}}
}

func (t *workTracker) counter(name string) *counter {
	if c, ok := t.counters.Load(name); ok {
		return c.(*counter)
	}
	c, _ := t.counters.LoadOrStore(name, &counter{})
	return c.(*counter)
}

// Begin counts a piece of work at a server as in flight. The returned function
// ends it; calls after the first do nothing.
func (a *Agents) Begin(name string) (end func(Outcome)) {
	c := a.work.counter(name)
	c.value.Add(1)
	start := time.Now()
	var once sync.Once
	return func(outcome Outcome) {
		once.Do(func() {
			c.value.Add(-1)
			if server := a.Snapshot().ByName[name]; server != nil {
				a.work.recordOutcome(server, outcome, time.Since(start))
			}
			a.changed.notify()
		})
	}
}

// InFlightNow returns the current number of pieces of work that this entry has
// in flight at a server.
func (a *Agents) InFlightNow(name string) int {
	return int(a.work.counter(name).value.Load())
}

// recordOutcome records the outcome of a piece of work for the evaluation of
// outliers. It ignores refused and abandoned work, which gives no evidence of a
// server's health.
func (t *workTracker) recordOutcome(server *Server, outcome Outcome, duration time.Duration) {
	if outcome != OK && outcome != Failed {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	pool := t.pool(poolOf(server.State))
	pool.AddResult(server.Name, outcome == Failed)
	// An engine's answers differ in length, so its time per answer is a poor
	// measure. Its stream rate is evaluated instead (recordStreamRate).
	if outcome == OK && server.Kind != kindEngine {
		pool.AddCost(server.Name, duration.Seconds())
	}
}

// recordStreamRate records the stream rate of an engine's report, at most one
// sample per rateSampleInterval.
func (t *workTracker) recordStreamRate(report *pb.AgentState) {
	if report.Kind != kindEngine || report.StreamTokensPerS <= 0 || report.Running == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if now.Sub(t.sampledAt[report.Name]) < rateSampleInterval {
		return
	}
	t.sampledAt[report.Name] = now
	t.pool(poolOf(report)).AddCost(report.Name, 1/report.StreamTokensPerS)
}

func (t *workTracker) pool(name string) *eject.Pool {
	p := t.pools[name]
	if p == nil {
		p = eject.New(t.cfg)
		t.pools[name] = p
	}
	return p
}

// evaluate evaluates the outliers of all pools. It returns the names of the
// servers that are newly ejected and of those whose ejection has ended. members
// maps a pool to its servers.
func (t *workTracker) evaluate(now time.Time, members map[string][]string) (ejected, readmitted []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := map[string]bool{}
	for name, pool := range t.pools {
		for server := range pool.Evaluate(now, members[name]) {
			current[server] = true
		}
	}
	ejected, readmitted = onlyIn(current, t.ejected), onlyIn(t.ejected, current)
	t.ejected = current
	return ejected, readmitted
}

func (t *workTracker) isEjected(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ejected[name]
}

// forget deletes the results of a server that was restarted, and reports
// whether that ended an ejection.
func (t *workTracker) forget(pool, name string) (readmitted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pool(pool).Forget(name)
	readmitted = t.ejected[name]
	delete(t.sampledAt, name)
	delete(t.ejected, name)
	return readmitted
}

// remove deletes the state of a server that is no longer watched. Work that is
// still in flight there ends on the counter on which it started.
func (t *workTracker) remove(name string) {
	t.counters.Delete(name)
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.sampledAt, name)
	delete(t.ejected, name)
}

// onlyIn returns the names in set that are not in other, sorted.
func onlyIn(set, other map[string]bool) []string {
	var names []string
	for name := range set {
		if !other[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
