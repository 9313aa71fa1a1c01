package usage

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"dandelionsill.org/base/metrics"
	"dandelionsill.org/base/sleep"
	"dandelionsill.org/decide/usage"
	"dandelionsill.org/gateway/duties"
	"dandelionsill.org/platform"
)

// Duty is the key of the lease of who reports.
const Duty = "usage"

// Times of reports.
const (
	checkInterval = 250 * time.Millisecond
	// maxCallTime is how long a call may be on its way, within the lease.
	maxCallTime = time.Second
	// releaseAfter is how long the platform may leave all calls of a holder unanswered
	// before it gives the duty up: others may reach it.
	releaseAfter = 4 * time.Second
	// reportSlots bounds the windows whose reports are kept in the store.
	reportSlots = 32
	// staleWindows is how many windows back a process must have counted last for its
	// tally to be dropped from the store.
	staleWindows = 24
)

var (
	reportsSent   = metrics.Counter("usage_reports_sent_total")
	reportsFailed = metrics.Counter("usage_reports_failed_total")
	reportsMissed = metrics.Counter("usage_reports_missed_total")
)

// InitialProgress is how far the duty has come for the first process that ever has it, and that
// started at a time: windows from that one on are reported.
func InitialProgress(started time.Time, length time.Duration) uint64 {
	return uint64(usage.WindowAt(started, length) - 1)
}

// Reporter reports the usage of all processes while this one has the duty. What is
// reported of a window is first recorded in the store, where the first record counts, so
// that whoever sends it, and how often, sends the same.
type Reporter struct {
	Keeper       *duties.Keeper
	Store        platform.Register
	Platform     platform.UsageReports
	VM           string
	WindowLength time.Duration    // of a window
	WaitLimits   usage.WaitLimits // but for Return
	// AfterOutage is how long after an outage of the store all processes need to publish what
	// they have counted.
	AfterOutage func() time.Duration
	Now         func() time.Time
	Log         *zap.Logger

	term         duties.Term
	loaded       bool
	lastReported usage.Window
	reports      map[usage.Window]usage.Counts // as recorded
	nextOffset   uint64                        // where their stream ends, as read
	failingSince time.Time
	lastDropped  usage.Window // when tallies were last dropped
}

// report is what is recorded of a window.
type report struct {
	Window usage.Window `json:"w"`
	Counts usage.Counts `json:"c"`
}

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	for sleep.For(ctx, checkInterval) {
		term, held := r.Keeper.Term()
		if !held {
			r.loaded = false
			continue
		}
		if !r.loaded {
			if err := r.loadReports(ctx); err != nil {
				r.Log.Warn("Reports can't be read.", zap.Error(err))
				continue
			}
			r.loaded = true
		}
		if term.Token != r.term.Token {
			r.startTerm(term)
		}
		r.step(ctx)
	}
}

// startTerm goes on where earlier holders have come to.
func (r *Reporter) startTerm(term duties.Term) {
	done := usage.Window(term.Progress)
	if oldest := usage.WindowAt(r.Now(), r.WindowLength) - maxKeptWindows; done < oldest {
		reportsMissed.Add(int64(oldest - done))
		r.Log.Error("Windows can't be reported any more.", zap.Uint64("from", uint64(done)+1), zap.Uint64("to", uint64(oldest)))
		done = oldest
	}
	r.term, r.failingSince, r.lastReported = term, time.Time{}, done
	r.Keeper.RecordProgress(uint64(done))
}

// loadReports reads what was recorded before.
func (r *Reporter) loadReports(ctx context.Context) error {
	records, next, err := r.Store.Newest(ctx, platform.StreamReports)
	if err != nil {
		return errors.Trace(err)
	}
	r.reports, r.nextOffset = map[usage.Window]usage.Counts{}, next
	for _, rec := range records {
		var stored report
		if err := json.Unmarshal(rec.Value, &stored); err != nil {
			r.Log.Warn("A report can't be read and is left out.", zap.String("key", rec.Key), zap.Error(err))
			continue
		}
		r.reports[stored.Window] = stored.Counts
	}
	return nil
}

// step reports the windows that are due.
func (r *Reporter) step(ctx context.Context) {
	for w := r.lastReported + 1; w < usage.WindowAt(r.Now(), r.WindowLength); w++ {
		counts, ok := r.reports[w]
		if !ok {
			counts, ok = r.recordReport(ctx, w)
		}
		if !ok || !r.send(ctx, w, counts) {
			return
		}
		r.lastReported = w
		r.Keeper.RecordProgress(uint64(w))
	}
}

// recordReport sums a window up and puts its report down; false: that is not possible yet.
func (r *Reporter) recordReport(ctx context.Context, w usage.Window) (usage.Counts, bool) {
	sinceEnd := r.Now().Sub(w.End(r.WindowLength))
	if sinceEnd < r.WaitLimits.Min {
		return nil, false
	}
	tallies, err := r.readTallies(ctx, w)
	if err != nil {
		r.Log.Warn("Counts can't be read.", zap.Uint64("window", uint64(w)), zap.Error(err))
		return nil, false
	}
	age := usage.Age{SinceEnd: sinceEnd, SinceOutage: r.Keeper.SinceOutage()}
	limits := r.WaitLimits
	limits.AfterOutage = r.AfterOutage()
	if !usage.Ready(w, r.lastReported, tallies, age, limits) {
		return nil, false
	}
	counts := usage.Sum(w, tallies)
	value, err := json.Marshal(report{w, counts})
	if err != nil {
		r.Log.Error("A report can't be encoded.", zap.Error(err))
		return nil, false
	}
	key := strconv.FormatUint(uint64(w%reportSlots), 10)
	next, err := r.Store.PutAt(ctx, platform.StreamReports, []platform.KeyedRecord{{Key: key, Value: value}}, r.nextOffset)
	if err != nil {
		r.Log.Info("A report was not recorded; reading what stands.", zap.Uint64("window", uint64(w)), zap.Error(err))
		r.loaded = false
		return nil, false
	}
	r.nextOffset, r.reports[w] = next, counts
	return counts, true
}

// readTallies reads what all processes have counted, and drops what is of no more use.
func (r *Reporter) readTallies(ctx context.Context, w usage.Window) ([]usage.Tally, error) {
	records, _, err := r.Store.Newest(ctx, platform.StreamUsage)
	if err != nil {
		return nil, errors.Trace(err)
	}
	tallies := make([]usage.Tally, 0, len(records))
	var stale []platform.KeyedRecord
	for _, rec := range records {
		var tally usage.Tally
		if err := json.Unmarshal(rec.Value, &tally); err != nil {
			r.Log.Warn("Counts can't be read and are left out.", zap.String("key", rec.Key), zap.Error(err))
			continue
		}
		if tally.Stale(w - staleWindows) {
			stale = append(stale, platform.KeyedRecord{Key: rec.Key})
			continue
		}
		tallies = append(tallies, tally)
	}
	if len(stale) > 0 && r.lastDropped < w {
		r.lastDropped = w
		if err := r.Store.PutAll(ctx, platform.StreamUsage, stale); err != nil {
			r.Log.Info("Old counts were not dropped.", zap.Int("processes", len(stale)), zap.Error(err))
		}
	}
	return usage.Merge(tallies), nil
}

// send reports a window; false: it has to be sent again, or by another.
func (r *Reporter) send(ctx context.Context, w usage.Window, counts usage.Counts) bool {
	mayAct := func() bool { return r.Keeper.MayAct(r.term, maxCallTime) }
	if !mayAct() {
		return false
	}
	start := time.Now()
	err := r.Platform.Report(ctx, platform.DutyCall{Holder: r.VM, Token: r.term.Token, MayAct: mayAct}, platform.UsageReport{Window: uint64(w), Counts: counts})
	r.Log.Info("Usage reported.", zap.Uint64("window", uint64(w)), zap.Uint64("token", r.term.Token), zap.Int("organisations", len(counts)),
		zap.Uint64("requests", sum(counts)), zap.Duration("after", r.Now().Sub(w.End(r.WindowLength))), zap.Duration("took", time.Since(start)), zap.Error(err))
	switch {
	case err == nil:
		reportsSent.Add(1)
		r.failingSince = time.Time{}
		return true
	case errors.Is(err, platform.ErrDutyRefused):
		reportsFailed.Add(1)
		return true // it would be refused again
	case errors.Is(err, platform.ErrDutyLapsed):
		return false
	}
	reportsFailed.Add(1)
	r.recordNoAnswer()
	return false
}

// recordNoAnswer gives the duty up where nothing of the platform has answered for long.
func (r *Reporter) recordNoAnswer() {
	now := time.Now()
	if r.failingSince.IsZero() {
		r.failingSince = now
	}
	if now.Sub(r.failingSince) >= releaseAfter {
		r.failingSince = time.Time{}
		r.Keeper.Release("the platform does not answer this process")
	}
}

func sum(counts usage.Counts) uint64 {
	var total uint64
	for _, n := range counts {
		total += n
	}
	return total
}
