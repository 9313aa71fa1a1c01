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
	// maxPollsPerSecond bounds the looks of all processes at who has a duty.
	maxPollsPerSecond = 50
	// minPollInterval is the pause between two looks where few processes are.
	minPollInterval = time.Second
	// claimSpread spreads the claims of all processes.
	claimSpread = 400 * time.Millisecond
	// smallVMDelay is how much longer a small VM waits, so that a larger one is faster.
	smallVMDelay = 500 * time.Millisecond
	smallVMCores = 0.5 // cores
)

// Shares of the time until a report is due: what is left after the longest wait is for
// sending it, by another process if need be.
const (
	minWaitShare = 0.05
	maxWaitShare = 0.65
)

// reporting are the parts of a gateway that count usage and report it.
type reporting struct {
	counter  *usage.Counter
	keeper   *duties.Keeper
	reporter *usage.Reporter
}

// newReporting returns nil where the settings want no reports.
func newReporting(cfg *Gateway, self lease.Holder, store *hosted.Store, processCount func() int, log *zap.Logger) *reporting {
	if !cfg.Duties.reportsUsage() {
		return nil
	}
	share := func(whole time.Duration, fraction float64) time.Duration {
		return time.Duration(fraction * float64(whole))
	}
	clock := boottime.NewClock()
	log = logs.Part(log, "usage")
	keeper := duties.New(duties.Config{
		Duty: usage.Duty, InitialProgress: usage.InitialProgress(clock.Now(), cfg.Duties.UsageWindow), Self: self, Store: store, Now: boottime.Now, Logger: logs.Part(log, "duties"),
		Timing:        lease.Timing{ValidFor: share(cfg.Duties.Lease, validShare), TakeOverAfter: share(cfg.Duties.Lease, takeOverShare)},
		RenewInterval: share(cfg.Duties.Lease, renewShare),
		PollInterval: func() time.Duration {
			return max(minPollInterval, time.Duration(processCount())*time.Second/maxPollsPerSecond)
		},
		ClaimDelay: claimDelay(self, cfg.VM.CPUShare),
	})
	counter := usage.NewCounter(store, self.VM+"/"+self.Incarnation, cfg.Duties.UsageWindow, clock.Now, processCount, log)
	return &reporting{
		counter: counter,
		keeper:  keeper,
		reporter: &usage.Reporter{
			Keeper: keeper, Store: store, Platform: hosted.NewDutyClient(cfg.Duties.Platform), VM: self.VM, WindowLength: cfg.Duties.UsageWindow,
			WaitLimits:  decide.WaitLimits{Min: share(cfg.Duties.UsageLate, minWaitShare), Max: share(cfg.Duties.UsageLate, maxWaitShare)},
			AfterOutage: counter.AfterOutage, Now: clock.Now, Log: log.With(zap.String("duty", usage.Duty)),
		},
	}
}

// claimDelay is how long a process lets others claim a duty first.
func claimDelay(self lease.Holder, cpuShare float64) time.Duration {
	const resolution = 1 << 16
	delay := time.Duration(route.Hash(self.VM+self.Incarnation)%resolution) * claimSpread / resolution
	if cpuShare < smallVMCores {
		delay += smallVMDelay
	}
	return delay
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

// resign gives the duty up.
func (r *reporting) resign() {
	if r != nil {
		r.keeper.Resign()
	}
}

// publishFinal tells the last counts, once no request is served any more.
func (r *reporting) publishFinal(ctx context.Context) {
	if r != nil {
		r.counter.PublishFinal(ctx)
	}
}
