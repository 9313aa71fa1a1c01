package server

import (
	"context"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/base/boottime"
	"dandelionsill.org/base/logs"
	"dandelionsill.org/decide/lease"
	"dandelionsill.org/decide/route"
	decide "dandelionsill.org/decide/usage"
	"dandelionsill.org/gateway/duties"
	"dandelionsill.org/gateway/usage"
	"dandelionsill.org/platform/hosted"
)

// Shares of the least time between the calls of two holders. A call is on its way for
// usage's actNeeds at most, and ends before others may take over.
const (
	validShare    = 0.8
	takeOverShare = 1.2
	renewShare    = 0.22
)

const (
	// looksPerS bounds the looks of all processes at who has a duty.
	looksPerS = 50
	// lookLeast is the pause between two looks where few processes are.
	lookLeast = time.Second
	// turnMost spreads the claims of all processes.
	turnMost = 400 * time.Millisecond
	// smallTurn is how much longer a small VM waits, so that a larger one is faster.
	smallTurn = 500 * time.Millisecond
	smallCPU  = 0.5 // cores
)

// Shares of the time until a report is due: what is left after the longest wait is for
// sending it, by another process if need be.
const (
	patienceLeastShare = 0.05
	patienceMostShare  = 0.65
)

// reporting are the parts of a gateway that count usage and report it.
type reporting struct {
	counter  *usage.Counter
	keeper   *duties.Keeper
	reporter *usage.Reporter
}

// newReporting returns nil where the settings want no reports.
func newReporting(set *Gateway, self lease.Holder, store *hosted.Store, processes func() int, log *zap.Logger) *reporting {
	if !set.Duties.reportsUsage() {
		return nil
	}
	share := func(of time.Duration, part float64) time.Duration { return time.Duration(part * float64(of)) }
	clock := boottime.NewClock()
	log = logs.Part(log, "usage")
	keeper := duties.New(duties.Config{
		Duty: usage.Duty, First: usage.First(clock.Now(), set.Duties.UsageWindow), Self: self, Store: store, Now: boottime.Now, Logger: logs.Part(log, "duties"),
		Timing: lease.Timing{ValidFor: share(set.Duties.Lease, validShare), TakeOverAfter: share(set.Duties.Lease, takeOverShare)},
		Renew:  share(set.Duties.Lease, renewShare),
		Look:   func() time.Duration { return max(lookLeast, time.Duration(processes())*time.Second/looksPerS) },
		Turn:   turn(self, set.VM.CPUShare),
	})
	counter := usage.NewCounter(store, self.VM+"/"+self.Incarnation, set.Duties.UsageWindow, clock.Now, processes, log)
	return &reporting{
		counter: counter,
		keeper:  keeper,
		reporter: &usage.Reporter{
			Keeper: keeper, Store: store, Platform: hosted.NewDutyClient(set.Duties.Platform), Node: self.VM, Length: set.Duties.UsageWindow,
			WaitLimits:  decide.WaitLimits{Min: share(set.Duties.UsageLate, patienceLeastShare), Max: share(set.Duties.UsageLate, patienceMostShare)},
			AfterOutage: counter.AfterOutage, Now: clock.Now, Log: log.With(zap.String("duty", usage.Duty)),
		},
	}
}

// turn is how long a process lets others claim a duty first.
func turn(self lease.Holder, cpuShare float64) time.Duration {
	const turns = 1 << 16
	of := time.Duration(route.Hash(self.VM+self.Incarnation)%turns) * turnMost / turns
	if cpuShare < smallCPU {
		of += smallTurn
	}
	return of
}

// run counts and reports until ctx ends.
func (r *reporting) run(ctx context.Context, loop func(func())) {
	if r == nil {
		return
	}
	loop(func() { r.keeper.Run(ctx) })
	loop(func() { r.counter.Run(ctx) })
	loop(func() { r.reporter.Run(ctx) })
}

// leave gives the duty up.
func (r *reporting) leave() {
	if r != nil {
		r.keeper.Leave()
	}
}

// left tells the last counts, once no request is served any more.
func (r *reporting) left(ctx context.Context) {
	if r != nil {
		r.counter.Leave(ctx)
	}
}
