package usage_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"dandelionsill.org/base/boottime"
	"dandelionsill.org/decide/lease"
	decide "dandelionsill.org/decide/usage"
	"dandelionsill.org/gateway/duties"
	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/gateway/usage"
	"dandelionsill.org/platform/hosted"
	"dandelionsill.org/platform/hosted/hostedtest"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("net/http.(*persistConn).readLoop"), goleak.IgnoreAnyFunction("net/http.(*persistConn).writeLoop"))
}

const (
	window = time.Second
	turns  = time.Second
)

// site is a store and the platform's interface, with processes that report to it.
type site struct {
	t     *testing.T
	store *hostedtest.Store
	api   *hostedtest.Duties
}

func newSite(t *testing.T) *site {
	s := &site{t: t, store: hostedtest.NewStore(), api: hostedtest.NewDuties(turns)}
	t.Cleanup(s.store.Close)
	t.Cleanup(s.api.Close)
	t.Cleanup(func() { require.Empty(t, s.api.Violations()) })
	return s
}

// process counts, and reports when it has the duty.
type process struct {
	counter *usage.Counter
	keeper  *duties.Keeper
	stop    func()
}

func (s *site) start(node string) *process {
	store := hosted.NewStore(s.store.Addr())
	self := lease.Holder{Node: node, Life: fmt.Sprint(time.Now().UnixNano())}
	two := func() int { return 2 }
	p := &process{counter: usage.NewCounter(store, self.Node+"/"+self.Life, window, time.Now, two, zap.NewNop())}
	p.keeper = duties.New(duties.Config{
		Duty: usage.Duty, First: usage.First(time.Now(), window), Self: self, Store: store, Now: boottime.Now, Logger: zap.NewNop(), Renew: 100 * time.Millisecond,
		Timing: lease.Timing{ValidFor: 1200 * time.Millisecond, TakeOverAfter: 1500 * time.Millisecond},
		Look:   func() time.Duration { return 50 * time.Millisecond },
	})
	reporter := &usage.Reporter{
		Keeper: p.keeper, Store: store, Platform: hosted.NewDutyClient(s.api.Addr()), Node: node, Length: window,
		WaitLimits: decide.WaitLimits{Min: 100 * time.Millisecond, Max: 4 * time.Second}, Now: time.Now, AfterOutage: p.counter.AfterOutage, Log: zap.NewNop(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	for _, run := range []func(context.Context){p.counter.Run, p.keeper.Run, reporter.Run} {
		loops.Go(func() { run(ctx) })
	}
	p.stop = func() { cancel(); loops.Wait() }
	s.t.Cleanup(p.stop)
	return p
}

// request is one that a server has run.
func (p *process) request(organisation string) {
	r := p.counter.Start(organisation)
	r.Began(0)
	r.Began(0) // at a second server, too
	r.Done()
}

func (s *site) holder(p *process) {
	s.t.Helper()
	require.Eventually(s.t, func() bool { _, held := p.keeper.Term(); return held }, gatewaytest.Wait, time.Millisecond)
}

// reported waits until the reports hold so many requests of an organisation.
func (s *site) reported(organisation string, want uint64) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		var n uint64
		for _, u := range s.api.Reports() {
			n += u.Counts[organisation]
		}
		require.LessOrEqual(s.t, n, want)
		return n == want
	}, gatewaytest.Wait, time.Millisecond)
}

// whole tells that no window was left out.
func (s *site) whole() {
	reports := s.api.Reports()
	for i := range reports[1:] {
		require.Equal(s.t, reports[i].Window+1, reports[i+1].Window)
	}
}

// Guards against requests that are not reported, reported twice, or reported by two.
func TestUsageOfAllProcessesIsReportedOnce(t *testing.T) {
	s := newSite(t)
	a, b := s.start("a"), s.start("b")
	require.Eventually(t, func() bool { return len(s.api.Reports()) > 0 }, gatewaytest.Wait, time.Millisecond)
	for range 3 {
		a.request("shop")
		b.request("shop")
		b.request("town")
	}
	a.counter.Start("shop").Done() // ran nowhere
	a.counter.Start("").Done()     // nobody's
	s.reported("shop", 6)
	s.reported("town", 3)
	s.whole()
}

// Guards against a window that is lost, or reported with other counts, when its holder
// dies, the platform's answer is lost, and the dead process had counted as well.
func TestASuccessorReportsTheSame(t *testing.T) {
	s := newSite(t)
	a := s.start("a")
	s.holder(a)
	b := s.start("b")
	s.api.Fail(hostedtest.DutyFaults{LoseAnswers: true})
	a.request("shop")
	b.request("shop")
	calls := s.api.Calls()
	require.Eventually(t, func() bool { return s.api.Calls() >= calls+2 }, gatewaytest.Wait, time.Millisecond, "an answer is lost and the call repeated")
	a.stop()
	b.request("shop")
	s.api.Fail(hostedtest.DutyFaults{})
	s.holder(b)
	s.reported("shop", 3)
	s.whole()
	tokens := map[string]uint64{}
	for _, u := range s.api.Reports() {
		tokens[u.Holder] = u.Token
	}
	require.Greater(t, tokens["b"], tokens["a"])
}

// Guards against a duty that stays with a process that the platform does not answer, and
// against one that is lost with a process that stops as planned.
func TestADutyIsGivenUp(t *testing.T) {
	s := newSite(t)
	a := s.start("a")
	s.holder(a)
	b := s.start("b")
	s.api.Fail(hostedtest.DutyFaults{Status: 503})
	s.holder(b)
	s.api.Fail(hostedtest.DutyFaults{})
	b.request("shop")
	s.reported("shop", 1)
	b.keeper.Leave()
	s.holder(a)
	a.request("shop")
	s.reported("shop", 2)
}

// Guards against windows that the first holder never reports: the store goes away between
// its claim and its look at what was counted.
func TestTheFirstHolderReportsFromItsStart(t *testing.T) {
	s := newSite(t)
	const reports = "keyed.usage-reports"
	s.store.Fail(hostedtest.StoreFaults{UnavailableTopics: []string{reports}})
	a := s.start("a")
	s.holder(a)
	s.store.Fail(hostedtest.StoreFaults{UnavailableTopics: []string{reports}, ReadOnly: true})
	a.request("shop")
	later := time.Now().Add(2 * window)
	require.Eventually(t, func() bool { return time.Now().After(later) }, gatewaytest.Wait, time.Millisecond)
	s.store.Fail(hostedtest.StoreFaults{ReadOnly: true})
	looks := s.store.Calls(hostedtest.PathNewest)
	require.Eventually(t, func() bool { return s.store.Calls(hostedtest.PathNewest) > looks+4 }, gatewaytest.Wait, time.Millisecond)
	s.store.Fail(hostedtest.StoreFaults{})
	s.reported("shop", 1)
	s.whole()
}

// Guards against a lease that is lost with the answers of the store, and against reports
// that stop for good after an outage.
func TestADutyOutlivesTheStoresFaults(t *testing.T) {
	s := newSite(t)
	a := s.start("a")
	s.holder(a)
	term, _ := a.keeper.Term()
	for _, fault := range []hostedtest.StoreFaults{{LoseAppends: true}, {Down: true}, {DelayAppends: 300 * time.Millisecond}} {
		s.store.Fail(fault)
		a.request("shop")
		require.Eventually(t, func() bool { return !a.keeper.MayAct(term, 0) || fault.LoseAppends }, gatewaytest.Wait, time.Millisecond)
	}
	s.store.Fail(hostedtest.StoreFaults{})
	s.reported("shop", 3)
}
