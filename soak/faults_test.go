package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"dandelionsill.org/platform/hosted/hostedtest"
)

// injector injects random faults, determined by a seed. Several may overlap.
type injector struct {
	sys    *system
	rng    *rand.Rand
	log    func(format string, args ...any)
	active sync.WaitGroup
}

// run injects a fault every 0.1 to 0.7 s until ctx ends, and waits until all of
// them have been repaired.
func (in *injector) run(ctx context.Context) {
	for ctx.Err() == nil {
		in.inject(ctx)
		in.sleepRandom(ctx, 100*time.Millisecond, 700*time.Millisecond)
	}
	in.active.Wait()
}

// runPermitFaults injects a fault of the broker of permits or of a server whose places it grants
// every 0.3 to 1.5 s until ctx ends, and waits until all of them have been repaired.
func (in *injector) runPermitFaults(ctx context.Context) {
	for ctx.Err() == nil {
		in.sleepRandom(ctx, 300*time.Millisecond, 1500*time.Millisecond)
		in.injectPermitFault()
	}
	in.active.Wait()
}

func (in *injector) injectPermitFault() {
	duration := in.randomDuration(200*time.Millisecond, 2*time.Second)
	broker, s := in.sys.broker(), in.sys.services[in.rng.IntN(len(in.sys.services))]
	switch in.rng.IntN(5) {
	case 0:
		in.restart(broker, syscall.SIGKILL, duration/2)
	case 1:
		in.suspend(broker, duration)
	case 2:
		in.failServer(s, hostedtest.ServerFaults{FailEvery: 2}, duration)
	case 3: // requests that run lose their answers
		in.log("reset %s", s.ID)
		in.sys.linkTo(s).reset()
	default:
		in.failServer(s, hostedtest.ServerFaults{Slowdown: 5}, duration)
	}
}

func (in *injector) failServer(s *hostedtest.Server, f hostedtest.ServerFaults, duration time.Duration) {
	in.log("server %s %+v for %v", s.ID, f, duration)
	s.Fail(f)
	in.repairAfter(duration, func() { s.Fail(hostedtest.ServerFaults{}) })
}

func (in *injector) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(in.rng.Int64N(int64(high-low)))
}

func (in *injector) sleepRandom(ctx context.Context, low, high time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(in.randomDuration(low, high)):
	}
}

func (in *injector) inject(ctx context.Context) {
	procs := in.sys.processes()
	p := procs[in.rng.IntN(len(procs))]
	l := in.sys.links[in.rng.IntN(len(in.sys.links))]
	e := in.sys.engines[in.rng.IntN(len(in.sys.engines))]
	s := in.sys.services[in.rng.IntN(len(in.sys.services))]
	duration := in.randomDuration(200*time.Millisecond, 2*time.Second)
	switch in.rng.IntN(12) {
	case 0, 1:
		in.restart(p, syscall.SIGKILL, duration/2)
	case 2:
		in.restart(p, syscall.SIGTERM, duration/4)
	case 3:
		in.suspend(p, duration)
	case 4:
		in.log("SIGHUP to %s", p.name)
		p.hangUp()
	case 5:
		in.injectStoreFault(duration)
	case 6, 7:
		in.injectLinkFault(l, duration)
	case 8:
		in.log("reset %s", l.name)
		l.reset()
	case 9:
		faults := []hostedtest.ServerFaults{{Refuse: true}, {StallAfter: 3}, {BreakAfter: 4}, {Unresponsive: true}}
		in.failServer(e, faults[in.rng.IntN(len(faults))], duration)
	case 10:
		faults := []hostedtest.ServerFaults{{Refuse: true}, {Unresponsive: true}, {NoSeal: true}}
		in.failServer(s, faults[in.rng.IntN(len(faults))], duration)
	default:
		in.log("configuration %d", in.sys.applyNextConfig())
		in.sys.heartbeat()
	}
}

func (in *injector) suspend(p *process, duration time.Duration) {
	in.log("suspend %s for %v", p.name, duration)
	p.signal(syscall.SIGSTOP, false)
	in.repairAfter(duration, func() {
		in.sys.duties.Excuse(p.name, resumeSlack)
		p.signal(syscall.SIGCONT, false)
	})
}

// resumeSlack is how long after a process was resumed the platform's stand-in tolerates
// calls that would be violations: the process may have decided on such a call before it
// was suspended.
const resumeSlack = 300 * time.Millisecond

func (in *injector) repairAfter(d time.Duration, repair func()) {
	in.active.Go(func() {
		time.Sleep(d) // duration of the fault
		repair()
	})
}

// restart stops a process with a signal, kills it if it does not end in time, and
// starts it again after the time down, as the platform does.
func (in *injector) restart(p *process, sig syscall.Signal, down time.Duration) {
	if !p.end(sig) {
		return
	}
	in.log("%v %s, down for %v", sig, p.name, down)
	in.active.Go(func() {
		select {
		case <-p.exited():
		case <-time.After(6 * time.Second): // the platform's grace period has ended
			p.signal(syscall.SIGCONT, true)
			p.signal(syscall.SIGKILL, true)
			<-p.exited()
		}
		time.Sleep(down) // duration of the fault
		p.start(in.sys.t)
	})
}

func (in *injector) injectStoreFault(duration time.Duration) {
	faults := []hostedtest.StoreFaults{{Down: true}, {LoseAppends: true}, {DelayAppends: 700 * time.Millisecond}, {CallTime: 150 * time.Millisecond}}
	f := faults[in.rng.IntN(len(faults))]
	in.log("store %+v for %v", f, duration)
	in.sys.store.Fail(f)
	in.repairAfter(duration, func() { in.sys.store.Fail(hostedtest.StoreFaults{}) })
}

func (in *injector) injectLinkFault(l *link, duration time.Duration) {
	choices := []linkFaults{{delay: 60 * time.Millisecond}, {dropUp: true}, {dropDown: true}, {dropUp: true, dropDown: true}, {resetOnBytes: true}}
	f := choices[in.rng.IntN(len(choices))]
	in.log("link %s %+v for %v", l.name, f, duration)
	l.setFaults(f)
	in.repairAfter(duration, func() {
		l.setFaults(linkFaults{})
		l.reset() // connections that lost bytes can't be used again
	})
}

// clearFaults removes every fault.
func (sys *system) clearFaults() {
	sys.store.Fail(hostedtest.StoreFaults{})
	for _, l := range sys.links {
		l.setFaults(linkFaults{})
	}
	for _, s := range append(append([]*hostedtest.Server(nil), sys.engines...), sys.services...) {
		s.Fail(hostedtest.ServerFaults{})
	}
	sys.heartbeat()
}

func jobName(trainer, step int) string { return fmt.Sprintf("t%d-s%d", trainer, step) }
