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

// injector brings faults about by a seed; several overlap.
type injector struct {
	w   *world
	rng *rand.Rand
	log func(format string, args ...any)
	all sync.WaitGroup
}

// run begins a fault every 0.1 to 0.7 s until ctx ends, and waits until all
// have been mended.
func (in *injector) run(ctx context.Context) {
	for ctx.Err() == nil {
		in.one(ctx)
		in.pause(ctx, 100*time.Millisecond, 700*time.Millisecond)
	}
	in.all.Wait()
}

func (in *injector) between(low, high time.Duration) time.Duration {
	return low + time.Duration(in.rng.Int64N(int64(high-low)))
}

func (in *injector) pause(ctx context.Context, low, high time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(in.between(low, high)):
	}
}

func (in *injector) one(ctx context.Context) {
	procs := in.w.all()
	p := procs[in.rng.IntN(len(procs))]
	l := in.w.links[in.rng.IntN(len(in.w.links))]
	e := in.w.engines[in.rng.IntN(len(in.w.engines))]
	s := in.w.plain[in.rng.IntN(len(in.w.plain))]
	lasts := in.between(200*time.Millisecond, 2*time.Second)
	switch in.rng.IntN(12) {
	case 0, 1:
		in.restart(p, syscall.SIGKILL, lasts/2)
	case 2:
		in.restart(p, syscall.SIGTERM, lasts/4)
	case 3:
		in.log("freeze %s for %v", p.name, lasts)
		p.signal(syscall.SIGSTOP, false)
		in.after(lasts, func() {
			in.w.duties.Excuse(p.name, thawSlack)
			p.signal(syscall.SIGCONT, false)
		})
	case 4:
		in.log("hang up %s", p.name)
		p.hangUp()
	case 5:
		in.storeFault(lasts)
	case 6, 7:
		in.linkFault(l, lasts)
	case 8:
		in.log("reset %s", l.name)
		l.reset()
	case 9:
		faults := []hostedtest.ServerFaults{{Refuse: true}, {StallAfter: 3}, {BreakAfter: 4}, {Unresponsive: true}}
		f := faults[in.rng.IntN(len(faults))]
		in.log("engine %s %+v for %v", e.ID, f, lasts)
		e.Fail(f)
		in.after(lasts, func() { e.Fail(hostedtest.ServerFaults{}) })
	case 10:
		faults := []hostedtest.ServerFaults{{Refuse: true}, {Unresponsive: true}, {NoSeal: true}}
		f := faults[in.rng.IntN(len(faults))]
		in.log("server %s %+v for %v", s.ID, f, lasts)
		s.Fail(f)
		in.after(lasts, func() { s.Fail(hostedtest.ServerFaults{}) })
	default:
		in.log("configuration %d", in.w.configure())
		in.w.heartbeat()
	}
}

// thawSlack is how long after a freeze the platform holds a call against nobody: it may
// have been decided on before.
const thawSlack = 300 * time.Millisecond

func (in *injector) after(d time.Duration, mend func()) {
	in.all.Go(func() {
		time.Sleep(d) // the fault itself
		mend()
	})
}

// restart ends a process and starts it again, as the platform does.
func (in *injector) restart(p *proc, sig syscall.Signal, down time.Duration) {
	p.mu.Lock()
	busy := p.expected
	p.mu.Unlock()
	if busy {
		return
	}
	in.log("%v %s, down for %v", sig, p.name, down)
	p.signal(sig, true)
	in.all.Go(func() {
		select {
		case <-p.ended():
		case <-time.After(6 * time.Second): // the platform's grace is over
			p.signal(syscall.SIGCONT, true)
			p.signal(syscall.SIGKILL, true)
			<-p.ended()
		}
		time.Sleep(down) // the fault itself
		p.start(in.w.t)
	})
}

func (in *injector) storeFault(lasts time.Duration) {
	faults := []hostedtest.StoreFaults{{Down: true}, {LoseAppends: true}, {DelayAppends: 700 * time.Millisecond}, {CallTime: 150 * time.Millisecond}}
	f := faults[in.rng.IntN(len(faults))]
	in.log("store %+v for %v", f, lasts)
	in.w.store.Fail(f)
	in.after(lasts, func() { in.w.store.Fail(hostedtest.StoreFaults{}) })
}

func (in *injector) linkFault(l *link, lasts time.Duration) {
	moods := []mood{{delay: 60 * time.Millisecond}, {dropUp: true}, {dropDown: true}, {dropUp: true, dropDown: true}, {resetOnBytes: true}}
	m := moods[in.rng.IntN(len(moods))]
	in.log("link %s %+v for %v", l.name, m, lasts)
	l.set(m)
	in.after(lasts, func() {
		l.set(mood{})
		l.reset() // what was swallowed never comes: its connections are dead
	})
}

// heal ends every fault.
func (w *world) heal() {
	w.store.Fail(hostedtest.StoreFaults{})
	for _, l := range w.links {
		l.set(mood{})
	}
	for _, s := range append(append([]*hostedtest.Server(nil), w.engines...), w.plain...) {
		s.Fail(hostedtest.ServerFaults{})
	}
	w.heartbeat()
}

func jobName(trainer, step int) string { return fmt.Sprintf("t%d-s%d", trainer, step) }
