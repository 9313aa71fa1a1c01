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

// Shares of the setting duties.lease, the minimum time between the calls of two holders. A call
// is in flight for at most usage's maxCallTime and ends before another process may take over.
const (
	validShare    = 0.8
	takeOverShare = 1.2
	renewShare    = 0.22
)

const (
	// maxPollsPerSecond bounds how often all processes together read the lease of a duty.
	maxPollsPerSecond = 50
	// minPollInterval is the minimum pause between two reads of a process.
	minPollInterval = time.Second
	// claimSpread is the range over which the claims of all processes are spread.
	claimSpread = 400 * time.Millisecond
	// smallVMDelay is the additional claim delay of a VM with fewer than smallVMCores cores, so
	// that a larger VM claims first.
	smallVMDelay = 500 * time.Millisecond
	smallVMCores = 0.5
)

// Shares of the setting duties.usage_late, the time until a report is due. The time that is left
// after the longest wait is for sending the report, by another process if necessary.
const (
	minWaitShare = 0.05
	maxWaitShare = 0.65
)

// reporting holds the parts of a gateway that count and report usage. A nil pointer is valid and
// does nothing.
type reporting struct {
	counter  *usage.Counter
	keeper   *duties.Keeper
	reporter *usage.Reporter
}

// newReporting returns the usage reporting of a process; nil if usage reports are disabled in the
// settings.
func newReporting(cfg *Gateway, self lease.Holder, store *hosted.Store, processCount func() int, log *zap.Logger) *reporting {
	if !cfg.Duties.reportsUsage() {
		return nil
	}
	clock := boottime.NewClock()
	log = logs.Part(log, "usage")
	keeper := newKeeper(cfg, usage.Duty, usage.InitialProgress(clock.Now(), cfg.Duties.UsageWindow), self, store, processCount, log)
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

// newKeeper returns the keeper of a duty's lease.
func newKeeper(cfg *Gateway, duty string, initialProgress uint64, self lease.Holder, store *hosted.Store, processCount func() int, log *zap.Logger) *duties.Keeper {
	return duties.New(duties.Config{
		Duty: duty, InitialProgress: initialProgress, Self: self, Store: store, Now: boottime.Now, Logger: logs.Part(log, "duties"),
		Timing:        lease.Timing{ValidFor: share(cfg.Duties.Lease, validShare), TakeOverAfter: share(cfg.Duties.Lease, takeOverShare)},
		RenewInterval: share(cfg.Duties.Lease, renewShare),
		PollInterval: func() time.Duration {
			return max(minPollInterval, time.Duration(processCount())*time.Second/maxPollsPerSecond)
		},
		ClaimDelay: claimDelay(self, cfg.VM.CPUShare),
	})
}

// share returns a fraction of a duration.
func share(whole time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(whole))
}

// claimDelay returns how long a process lets others claim a duty first. It is derived from the
// process's identity so that the processes claim at different times.
func claimDelay(self lease.Holder, cpuShare float64) time.Duration {
	const resolution = 1 << 16
	delay := time.Duration(route.Hash(self.VM+self.Incarnation)%resolution) * claimSpread / resolution
	if cpuShare < smallVMCores {
		delay += smallVMDelay
	}
	return delay
}

// run starts the loops that count and report usage until ctx ends.
func (r *reporting) run(ctx context.Context, loop func(func())) {
	if r == nil {
		return
	}
	loop(func() { r.keeper.Run(ctx) })
	loop(func() { r.counter.Run(ctx) })
	loop(func() { r.reporter.Run(ctx) })
}

// resign releases the duty permanently.
func (r *reporting) resign() {
	if r != nil {
		r.keeper.Resign()
	}
}

// publishFinal publishes the last counts. It must be called only when no request is in flight.
func (r *reporting) publishFinal(ctx context.Context) {
	if r != nil {
		r.counter.PublishFinal(ctx)
	}
}
