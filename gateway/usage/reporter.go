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

// Duty is the lease key of the duty to report usage.
const Duty = "usage"

// Times and limits of reporting.
const (
	checkInterval = 250 * time.Millisecond
	// maxCallTime bounds a call to the platform; the lease has to be valid for that long.
	maxCallTime = time.Second
	// releaseAfter is how long all calls of the holder may get no answer from the platform
	// before it releases the duty, because another process may reach the platform.
	releaseAfter = 4 * time.Second
	// reportSlots is the number of keys for reports in the store, and so the number of windows
	// whose reports are kept.
	reportSlots = 32
	// staleWindows is the age, in windows, at which a tally without newer counts is deleted from
	// the store.
	staleWindows = 24
)

var (
	reportsSent   = metrics.Counter("usage_reports_sent_total")
	reportsFailed = metrics.Counter("usage_reports_failed_total")
	reportsMissed = metrics.Counter("usage_reports_missed_total")
)

// InitialProgress returns the progress of a duty that no process has had before: the window
// before the one in which this process started, so that the latter is reported first. length is
// the length of a window.
func InitialProgress(started time.Time, length time.Duration) uint64 {
	return uint64(usage.WindowAt(started, length) - 1)
}

// Reporter reports the usage of all processes while this process has the duty. The report of a
// window is recorded in the store before it is sent, and only the first record of a window is
// accepted, so that every process sends the same report for it, however often it is sent.
type Reporter struct {
	Keeper       *duties.Keeper
	Store        platform.ConditionalKeyedStore
	Platform     platform.UsageReporter
	VM           string
	WindowLength time.Duration
	WaitLimits   usage.WaitLimits // without AfterOutage
	// AfterOutage returns the time after an outage of the store within which all processes
	// publish what they counted during the outage.
	AfterOutage func() time.Duration
	Now         func() time.Time
	Log         *zap.Logger

	term         duties.Term
	loaded       bool                          // the recorded reports have been read
	lastReported usage.Window                  // newest window that was reported
	reports      map[usage.Window]usage.Counts // as recorded in the store
	nextOffset   uint64                        // end of the reports' stream, as last read
	failingSince time.Time                     // first of the current series of unanswered calls; zero: none
	lastDropped  usage.Window                  // window at which stale tallies were last deleted
}

// report is the stored record of a window's report.
type report struct {
	Window usage.Window `json:"w"`
	Counts usage.Counts `json:"c"`
}

// Run reports usage until ctx ends, whenever this process has the duty.
func (r *Reporter) Run(ctx context.Context) {
	for sleep.For(ctx, checkInterval) {
		term, held := r.Keeper.Term()
		if !held {
			r.loaded = false
			continue
		}
		if !r.loaded {
			if err := r.loadReports(ctx); err != nil {
				r.Log.Warn("Could not read the recorded usage reports.", zap.Error(err))
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

// startTerm continues after the last window that an earlier holder has reported. Windows whose
// counts are no longer kept are skipped.
func (r *Reporter) startTerm(term duties.Term) {
	done := usage.Window(term.Progress)
	if oldest := usage.WindowAt(r.Now(), r.WindowLength) - maxKeptWindows; done < oldest {
		reportsMissed.Add(int64(oldest - done))
		r.Log.Error("Some windows can no longer be reported.", zap.Uint64("from", uint64(done)+1), zap.Uint64("to", uint64(oldest)))
		done = oldest
	}
	r.term, r.failingSince, r.lastReported = term, time.Time{}, done
	r.Keeper.RecordProgress(uint64(done))
}

// loadReports reads the reports that are recorded in the store.
func (r *Reporter) loadReports(ctx context.Context) error {
	records, next, err := r.Store.Newest(ctx, platform.StreamReports)
	if err != nil {
		return errors.Trace(err)
	}
	r.reports, r.nextOffset = map[usage.Window]usage.Counts{}, next
	for _, rec := range records {
		var stored report
		if err := json.Unmarshal(rec.Value, &stored); err != nil {
			r.Log.Warn("Ignoring a usage report that cannot be decoded.", zap.String("key", rec.Key), zap.Error(err))
			continue
		}
		r.reports[stored.Window] = stored.Counts
	}
	return nil
}

// step reports the windows that have ended, in order, up to the first one that cannot be reported
// yet.
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

// recordReport sums up a window and records its report in the store; false: the window is not
// ready, or its report could not be recorded.
func (r *Reporter) recordReport(ctx context.Context, w usage.Window) (usage.Counts, bool) {
	sinceEnd := r.Now().Sub(w.End(r.WindowLength))
	if sinceEnd < r.WaitLimits.Min {
		return nil, false
	}
	tallies, err := r.readTallies(ctx, w)
	if err != nil {
		r.Log.Warn("Could not read the tallies.", zap.Uint64("window", uint64(w)), zap.Error(err))
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
		r.Log.Error("Could not encode a usage report.", zap.Error(err))
		return nil, false
	}
	key := strconv.FormatUint(uint64(w%reportSlots), 10)
	next, err := r.Store.PutAt(ctx, platform.StreamReports, []platform.KeyedRecord{{Key: key, Value: value}}, r.nextOffset)
	if err != nil {
		r.Log.Info("A usage report was not recorded; reading the stored ones.", zap.Uint64("window", uint64(w)), zap.Error(err))
		r.loaded = false
		return nil, false
	}
	r.nextOffset, r.reports[w] = next, counts
	return counts, true
}

// readTallies returns the tallies of all processes. Once for each window w it also deletes stale
// tallies from the store.
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
			r.Log.Warn("Ignoring a tally that cannot be decoded.", zap.String("key", rec.Key), zap.Error(err))
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
			r.Log.Info("Could not delete stale tallies.", zap.Int("processes", len(stale)), zap.Error(err))
		}
	}
	return usage.Merge(tallies), nil
}

// send sends the report of a window to the platform; false: this process or another one has to
// send it again.
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
		return true // the platform would refuse it again
	case errors.Is(err, platform.ErrDutyLapsed):
		return false
	}
	reportsFailed.Add(1)
	r.recordNoAnswer()
	return false
}

// recordNoAnswer records that a call got no answer. It releases the duty if that has been the case
// for releaseAfter.
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

// sum returns the number of requests of all organisations.
func sum(counts usage.Counts) uint64 {
	var total uint64
	for _, n := range counts {
		total += n
	}
	return total
}
