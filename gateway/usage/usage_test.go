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
	window          = time.Second
	minTurnInterval = time.Second
)

// cluster is a store and a stand-in for the platform's duty interface, used by the processes of
// a test.
type cluster struct {
	t     *testing.T
	store *hostedtest.Store
	api   *hostedtest.Duties
}

func newCluster(t *testing.T) *cluster {
	s := &cluster{t: t, store: hostedtest.NewStore(), api: hostedtest.NewDuties(minTurnInterval)}
	t.Cleanup(s.store.Close)
	t.Cleanup(s.api.Close)
	t.Cleanup(func() { require.Empty(t, s.api.Violations()) })
	return s
}

// process counts requests, and reports usage while it has the duty.
type process struct {
	counter *usage.Counter
	keeper  *duties.Keeper
	stop    func()
}

func (s *cluster) startProcess(vm string) *process {
	store := hosted.NewStore(s.store.Addr())
	self := lease.Holder{VM: vm, Incarnation: fmt.Sprint(time.Now().UnixNano())}
	processCount := func() int { return 2 }
	p := &process{counter: usage.NewCounter(store, self.VM+"/"+self.Incarnation, window, time.Now, processCount, zap.NewNop())}
	p.keeper = duties.New(duties.Config{
		Duty: usage.Duty, InitialProgress: usage.InitialProgress(time.Now(), window), Self: self, Store: store, Now: boottime.Now, Logger: zap.NewNop(), RenewInterval: 100 * time.Millisecond,
		Timing:       lease.Timing{ValidFor: 1200 * time.Millisecond, TakeOverAfter: 1500 * time.Millisecond},
		PollInterval: func() time.Duration { return 50 * time.Millisecond },
	})
	reporter := &usage.Reporter{
		Keeper: p.keeper, Store: store, Platform: hosted.NewDutyClient(s.api.Addr()), VM: vm, WindowLength: window,
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

// runRequest counts a request that ran on two servers.
func (p *process) runRequest(organisation string) {
	r := p.counter.Start(organisation)
	r.RecordExecution(0)
	r.RecordExecution(0) // on a second server; counts once
	r.Done()
}

// waitHolds waits until a process has the duty.
func (s *cluster) waitHolds(p *process) {
	s.t.Helper()
	require.Eventually(s.t, func() bool { _, held := p.keeper.Term(); return held }, gatewaytest.MaxWait, time.Millisecond)
}

// waitReported waits until the reports contain a number of requests of an organisation. It fails
// if they contain more.
func (s *cluster) waitReported(organisation string, want uint64) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		var n uint64
		for _, u := range s.api.Reports() {
			n += u.Counts[organisation]
		}
		require.LessOrEqual(s.t, n, want)
		return n == want
	}, gatewaytest.MaxWait, time.Millisecond)
}

// requireContiguous checks that the reports contain every window between the first and the last.
func (s *cluster) requireContiguous() {
	reports := s.api.Reports()
	for i := range reports[1:] {
		require.Equal(s.t, reports[i].Window+1, reports[i+1].Window)
	}
}

// Guards against requests that are not reported, are reported twice, or are reported by two
// processes.
func TestUsageOfAllProcessesIsReportedOnce(t *testing.T) {
	s := newCluster(t)
	a, b := s.startProcess("a"), s.startProcess("b")
	require.Eventually(t, func() bool { return len(s.api.Reports()) > 0 }, gatewaytest.MaxWait, time.Millisecond)
	for range 3 {
		a.runRequest("shop")
		b.runRequest("shop")
		b.runRequest("town")
	}
	a.counter.Start("shop").Done() // never ran
	a.counter.Start("").Done()     // belongs to no organisation
	s.waitReported("shop", 6)
	s.waitReported("town", 3)
	s.requireContiguous()
}

// Guards against a window that is lost or reported with different counts when the platform's
// answer is lost, the holder crashes, and the crashed process had counted requests as well.
func TestSuccessorReportsSameCounts(t *testing.T) {
	s := newCluster(t)
	a := s.startProcess("a")
	s.waitHolds(a)
	b := s.startProcess("b")
	s.api.Fail(hostedtest.DutyFaults{LoseAnswers: true})
	a.runRequest("shop")
	b.runRequest("shop")
	calls := s.api.Calls()
	require.Eventually(t, func() bool { return s.api.Calls() >= calls+2 }, gatewaytest.MaxWait, time.Millisecond, "an answer is lost and the call repeated")
	a.stop()
	b.runRequest("shop")
	s.api.Fail(hostedtest.DutyFaults{})
	s.waitHolds(b)
	s.waitReported("shop", 3)
	s.requireContiguous()
	tokens := map[string]uint64{}
	for _, u := range s.api.Reports() {
		tokens[u.Holder] = u.Token
	}
	require.Greater(t, tokens["b"], tokens["a"])
}

// Guards against a duty that stays with a process that gets no answers from the platform, and
// against a duty that no process takes over after its holder was stopped.
func TestDutyIsReleased(t *testing.T) {
	s := newCluster(t)
	a := s.startProcess("a")
	s.waitHolds(a)
	b := s.startProcess("b")
	s.api.Fail(hostedtest.DutyFaults{Status: 503})
	s.waitHolds(b)
	s.api.Fail(hostedtest.DutyFaults{})
	b.runRequest("shop")
	s.waitReported("shop", 1)
	b.keeper.Resign()
	s.waitHolds(a)
	a.runRequest("shop")
	s.waitReported("shop", 2)
}

// Guards against windows that the first holder never reports: the store becomes unavailable
// after the holder's claim and before it reads the tallies.
func TestFirstHolderReportsFromItsStart(t *testing.T) {
	s := newCluster(t)
	const reports = "keyed.usage-reports"
	s.store.Fail(hostedtest.StoreFaults{UnavailableTopics: []string{reports}})
	a := s.startProcess("a")
	s.waitHolds(a)
	s.store.Fail(hostedtest.StoreFaults{UnavailableTopics: []string{reports}, ReadOnly: true})
	a.runRequest("shop")
	later := time.Now().Add(2 * window)
	require.Eventually(t, func() bool { return time.Now().After(later) }, gatewaytest.MaxWait, time.Millisecond)
	s.store.Fail(hostedtest.StoreFaults{ReadOnly: true})
	calls := s.store.Calls(hostedtest.PathNewest)
	require.Eventually(t, func() bool { return s.store.Calls(hostedtest.PathNewest) > calls+4 }, gatewaytest.MaxWait, time.Millisecond)
	s.store.Fail(hostedtest.StoreFaults{})
	s.waitReported("shop", 1)
	s.requireContiguous()
}

// Guards against a lease that is lost because the store's answers are lost, and against reports
// that never resume after an outage.
func TestDutySurvivesStoreFaults(t *testing.T) {
	s := newCluster(t)
	a := s.startProcess("a")
	s.waitHolds(a)
	term, _ := a.keeper.Term()
	for _, fault := range []hostedtest.StoreFaults{{LoseAppends: true}, {Down: true}, {DelayAppends: 300 * time.Millisecond}} {
		s.store.Fail(fault)
		a.runRequest("shop")
		require.Eventually(t, func() bool { return !a.keeper.MayAct(term, 0) || fault.LoseAppends }, gatewaytest.MaxWait, time.Millisecond)
	}
	s.store.Fail(hostedtest.StoreFaults{})
	s.waitReported("shop", 3)
}
