package scale_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"dandelionsill.org/base/boottime"
	"dandelionsill.org/decide/lease"
	decide "dandelionsill.org/decide/scale"
	"dandelionsill.org/decide/table"
	"dandelionsill.org/gateway/duties"
	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/gateway/scale"
	"dandelionsill.org/platform"
	"dandelionsill.org/platform/hosted"
	"dandelionsill.org/platform/hosted/hostedtest"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("net/http.(*persistConn).readLoop"), goleak.IgnoreAnyFunction("net/http.(*persistConn).writeLoop"))
}

// speed is how much faster decisions see time pass, so that a hold time takes seconds only.
const speed = 20

// site is a store, a stand-in for the platform's duty interface and the load that all processes
// measure.
type site struct {
	t     *testing.T
	store *hostedtest.Store
	api   *hostedtest.Duties

	mu      sync.Mutex
	scaling *table.Scaling
	demand  float64 // places
	unknown bool
}

func newSite(t *testing.T) *site {
	s := &site{t: t, store: hostedtest.NewStore(), api: hostedtest.NewDuties(time.Second), scaling: &table.Scaling{Min: 1, Max: 9, Boot: 5 * time.Second}, demand: 15}
	t.Cleanup(s.store.Close)
	t.Cleanup(s.api.Close)
	t.Cleanup(func() { require.Empty(t, s.api.Violations()) })
	return s
}

// set changes the demand and the bounds.
func (s *site) set(change func(*site)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *site) table() *table.Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &table.Table{Services: map[string]table.Service{"plain": {Name: "plain", Scaling: s.scaling}, "fixed": {Name: "fixed"}}}
}

// Load implements scale.Loads: three servers with six places in each of two failure domains.
func (s *site) Load(context.Context, table.Service) (decide.Load, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unknown {
		return decide.Load{}, fmt.Errorf("no broker")
	}
	d := decide.Domain{Ready: 3, Places: 18}
	return decide.Load{Domains: map[string]decide.Domain{"x": d, "y": d}, AsksPerSecond: 10 * s.demand, MeanTime: 100 * time.Millisecond}, nil
}

// process is one process of the site.
type process struct {
	*scale.Scaler
	frozen sync.RWMutex // held while the process is frozen
	stop   func()
}

// frozenStore and frozenPlatform are used by a process that may be frozen before each call.
type frozenStore struct {
	platform.ConditionalKeyedStore
	p *process
}

func (f frozenStore) PutAt(ctx context.Context, stream string, records []platform.KeyedRecord, at uint64) (uint64, error) {
	f.p.frozen.RLock()
	defer f.p.frozen.RUnlock()
	return f.ConditionalKeyedStore.PutAt(ctx, stream, records, at)
}

type frozenPlatform struct {
	platform.ServerOrderer
	p       *process
	waiting *atomic.Int64 // orders that were decided and not yet sent
}

func (f frozenPlatform) OrderServers(ctx context.Context, call platform.DutyCall, order platform.ServerOrder) error {
	f.waiting.Add(1)
	f.p.frozen.RLock()
	defer f.p.frozen.RUnlock()
	f.waiting.Add(-1)
	return f.ServerOrderer.OrderServers(ctx, call, order)
}

func (s *site) start(vm string) (*process, *atomic.Int64) {
	p, waiting := &process{}, &atomic.Int64{}
	keeper := duties.New(duties.Config{
		Duty: scale.Duty, Self: lease.Holder{VM: vm, Incarnation: "1"}, Store: frozenStore{hosted.NewStore(s.store.Addr()), p}, Now: boottime.Now, Logger: zap.NewNop(),
		Timing:        lease.Timing{ValidFor: 1200 * time.Millisecond, TakeOverAfter: 1500 * time.Millisecond},
		RenewInterval: 100 * time.Millisecond, PollInterval: func() time.Duration { return 50 * time.Millisecond },
	})
	p.Scaler = &scale.Scaler{
		Keeper: keeper, Platform: frozenPlatform{hosted.NewDutyClient(s.api.Addr()), p, waiting}, Loads: s, Table: s.table, VM: vm,
		Interval: time.Second / speed, Now: func() time.Duration { return speed * boottime.Now() }, Log: zap.NewNop(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var loop sync.WaitGroup
	loop.Go(func() { p.Run(ctx) })
	p.stop = func() { cancel(); loop.Wait() }
	s.t.Cleanup(p.stop)
	return p, waiting
}

func (s *site) eventually(holds func() bool, what string) {
	s.t.Helper()
	require.Eventually(s.t, holds, gatewaytest.MaxWait, time.Millisecond, what)
}

// waitOrdered waits until the platform's newest orders of both failure domains are a number of
// servers, as told by a process.
func (s *site) waitOrdered(vm string, servers int) {
	s.t.Helper()
	s.eventually(func() bool {
		newest := map[string]hostedtest.ServerOrder{}
		for _, o := range s.api.Orders() {
			newest[o.Domain] = o
		}
		for _, domain := range []string{"x", "y"} {
			if o := newest[domain]; o.Holder != vm || o.Servers != servers || o.Service != "plain" {
				return false
			}
		}
		return true
	}, fmt.Sprintf("%s orders %d", vm, servers))
}

// Load: a step up and down. Guards against orders that are not sent, that are sent again although
// they were acknowledged, and that concern a service without bounds.
func TestChangedNumbersAreOrderedOnce(t *testing.T) {
	s := newSite(t)
	s.start("a")
	s.set(func(s *site) { s.demand = 45 })
	s.waitOrdered("a", 8)
	s.set(func(s *site) { s.demand = 30 })
	s.waitOrdered("a", 6)
	s.set(func(s *site) { s.scaling = &table.Scaling{Min: 7, Max: 7} })
	s.waitOrdered("a", 7)
	seen := map[string]map[int]bool{"x": {}, "y": {}}
	for _, o := range s.api.Orders() {
		require.False(t, seen[o.Domain][o.Servers], "%v", s.api.Orders())
		seen[o.Domain][o.Servers] = true
	}
}

// Guards against a process that takes or polls a lease, or calls the platform, where no service
// has bounds, and against one that goes on once the bounds are gone.
func TestNothingIsCalledWithoutBounds(t *testing.T) {
	s := newSite(t)
	s.scaling = nil
	p, _ := s.start("a")
	rounds := func() {
		later := time.Now().Add(10 * p.Interval)
		s.eventually(func() bool { return time.Now().After(later) }, "")
	}
	rounds()
	require.Zero(t, s.store.Calls(hostedtest.PathNewest))
	s.set(func(s *site) { s.scaling, s.demand = &table.Scaling{Min: 1, Max: 9}, 45 })
	s.waitOrdered("a", 8)
	s.set(func(s *site) { s.scaling = nil })
	s.eventually(func() bool { return len(p.Targets()) == 0 }, "no targets")
	calls := s.store.Calls(hostedtest.PathAppend)
	rounds()
	require.Equal(t, calls, s.store.Calls(hostedtest.PathAppend))
	s.set(func(s *site) { s.scaling, s.demand = &table.Scaling{Min: 1, Max: 9}, 30 })
	s.waitOrdered("a", 6)
}

// Guards against an order that a holder decided before it froze and sends after another process
// has the duty: the platform would see two holders.
func TestThawedHolderSendsNothing(t *testing.T) {
	s := newSite(t)
	a, waiting := s.start("a")
	s.eventually(func() bool { return len(a.Targets()) == 2 }, "a has the duty")
	a.frozen.Lock()
	thaw := sync.OnceFunc(a.frozen.Unlock)
	defer thaw()
	s.set(func(s *site) { s.demand = 45 })
	s.eventually(func() bool { return waiting.Load() == 1 }, "decided and not sent")
	s.start("b")
	s.waitOrdered("b", 8)
	thaw()
	s.eventually(func() bool { return waiting.Load() == 0 && len(a.Targets()) == 0 }, "a knows that its term is over")
	for _, o := range s.api.Orders() {
		require.Equal(t, "b", o.Holder)
	}
}

// Guards against orders that are lost with an answer, a call that is refused for now, or a
// platform that is down, slow or silent, and against other numbers in a repeated order.
func TestUnansweredOrderIsRepeated(t *testing.T) {
	for name, fault := range map[string]hostedtest.DutyFaults{
		"too many calls": {Status: 429}, "down": {Status: 503}, "answers lost": {LoseAnswers: true}, "cut off": {DropCalls: true},
		"silent": {Delay: time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.api.Fail(fault)
			s.set(func(s *site) { s.demand = 45 })
			s.start("a")
			s.eventually(func() bool { return s.api.Calls() >= 2 }, "repeated")
			for _, o := range s.api.Orders() {
				require.Equal(t, 8, o.Servers)
			}
			s.api.Fail(hostedtest.DutyFaults{Delay: 20 * time.Millisecond}) // slow
			s.waitOrdered("a", 8)
		})
	}
}

// Guards against a duty that stays with a process that can't reach the platform while another one
// could, and against servers that the new holder takes away at once.
func TestUnansweredHolderReleasesDuty(t *testing.T) {
	s := newSite(t)
	s.api.Fail(hostedtest.DutyFaults{DropCalls: true})
	s.set(func(s *site) { s.demand = 45 })
	a, _ := s.start("a")
	s.eventually(func() bool { _, held := a.Keeper.Term(); return held }, "a has the duty")
	b, _ := s.start("b")
	s.eventually(func() bool { _, held := b.Keeper.Term(); return held }, "b has the duty")
	s.api.Fail(hostedtest.DutyFaults{})
	s.eventually(func() bool { return len(s.api.Orders()) >= 2 }, "ordered")
	for _, o := range s.api.Orders() {
		require.Equal(t, 8, o.Servers)
	}
}

// Guards against orders by a holder that has lost the store, and against servers that are taken
// away although the load is unknown.
func TestNothingIsOrderedWithoutStoreOrLoad(t *testing.T) {
	s := newSite(t)
	a, _ := s.start("a")
	s.eventually(func() bool { return len(a.Targets()) == 2 }, "a has the duty")
	s.set(func(s *site) { s.unknown = true })
	term, _ := a.Keeper.Term()
	s.store.Fail(hostedtest.StoreFaults{Down: true})
	s.eventually(func() bool { return !a.Keeper.MayAct(term, 0) }, "the lease has expired")
	s.set(func(s *site) { s.unknown, s.demand = false, 45 })
	s.eventually(func() bool { return a.Targets()["plain/x"] == 8 }, "decided")
	require.Zero(t, s.api.Calls())
	s.store.Fail(hostedtest.StoreFaults{})
	s.waitOrdered("a", 8)
}
