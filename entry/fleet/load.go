package fleet

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dandelionsill.org/decide/eject"
	"dandelionsill.org/wire/pb"
)

// rateInterval spaces the samples of an engine's stream rate: reports come
// many times a second and would count as independent samples.
const rateInterval = time.Second

// counter counts this entry's work at one server.
type counter struct{ value atomic.Int64 }

// loads counts work in flight and keeps how servers do.
type loads struct {
	cfg      eject.Config
	counters sync.Map // VM name -> *counter

	mu      sync.Mutex // guards what follows
	pools   map[string]*eject.Pool
	out     map[string]bool // ejected at the last judgement
	sampled map[string]time.Time
}

func newLoads(cfg eject.Config) *loads {
	return &loads{cfg: cfg, pools: map[string]*eject.Pool{}, out: map[string]bool{}, sampled: map[string]time.Time{}}
}

func (l *loads) counter(name string) *counter {
	if c, ok := l.counters.Load(name); ok {
		return c.(*counter)
	}
	c, _ := l.counters.LoadOrStore(name, &counter{})
	return c.(*counter)
}

// Begin counts a piece of work at a server.
func (a *Agents) Begin(name string) (end func(Outcome)) {
	c := a.load.counter(name)
	c.value.Add(1)
	start := time.Now()
	var once sync.Once
	return func(outcome Outcome) {
		once.Do(func() {
			c.value.Add(-1)
			if server := a.Snapshot().ByName[name]; server != nil {
				a.load.ended(server, outcome, time.Since(start))
			}
			a.tell.send()
		})
	}
}

// InFlightNow reads the live count of this entry's work at a server.
func (a *Agents) InFlightNow(name string) int {
	return int(a.load.counter(name).value.Load())
}

// ended feeds ejection. A refusal and a cancelled piece of work say nothing
// of a server's health.
func (l *loads) ended(server *Server, outcome Outcome, took time.Duration) {
	if outcome != OK && outcome != Failed {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	pool := l.pool(poolOf(server.State))
	pool.AddResult(server.Name, outcome == Failed)
	// An engine's answers differ in length, so that its time per answer says
	// little; its stream rate is judged instead (heard).
	if outcome == OK && server.Kind != kindEngine {
		pool.AddCost(server.Name, took.Seconds())
	}
}

// heard takes the stream rate out of an engine's report.
func (l *loads) heard(report *pb.AgentState) {
	if report.Kind != kindEngine || report.StreamTokensPerS <= 0 || report.Running == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Sub(l.sampled[report.Name]) < rateInterval {
		return
	}
	l.sampled[report.Name] = now
	l.pool(poolOf(report)).AddCost(report.Name, 1/report.StreamTokensPerS)
}

func (l *loads) pool(name string) *eject.Pool {
	p := l.pools[name]
	if p == nil {
		p = eject.New(l.cfg)
		l.pools[name] = p
	}
	return p
}

// judge judges all pools and returns the names of the servers that it ejected
// and of those whose ejection is over.
func (l *loads) judge(now time.Time, members map[string][]string) (ejected, readmitted []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]bool{}
	for name, pool := range l.pools {
		for server := range pool.Evaluate(now, members[name]) {
			out[server] = true
		}
	}
	ejected, readmitted = missing(out, l.out), missing(l.out, out)
	l.out = out
	return ejected, readmitted
}

func (l *loads) ejected(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out[name]
}

// forget drops what is known of a server that was started anew, and tells
// whether that ended an ejection.
func (l *loads) forget(pool, name string) (readmitted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pool(pool).Forget(name)
	readmitted = l.out[name]
	delete(l.sampled, name)
	delete(l.out, name)
	return readmitted
}

// remove drops what is kept of a server that is no longer watched. Work that
// is still in flight there ends on the counter that it began on.
func (l *loads) remove(name string) {
	l.counters.Delete(name)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.sampled, name)
	delete(l.out, name)
}

// missing lists the names of set that are not in other, in order.
func missing(set, other map[string]bool) []string {
	var names []string
	for name := range set {
		if !other[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
