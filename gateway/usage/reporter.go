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
	reportEvery = 250 * time.Millisecond
	// actNeeds is how long a call may be on its way, within the lease.
	actNeeds = time.Second
	// unfitAfter is how long the platform may leave all calls of a holder unanswered
	// before it gives the duty up: others may reach it.
	unfitAfter = 4 * time.Second
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

// First is how far the duty has come for the first process that ever has it, and that
// started at a time: windows from that one on are reported.
func First(started time.Time, length time.Duration) uint64 {
	return uint64(usage.WindowAt(started, length) - 1)
}

// Reporter reports the usage of all processes while this one has the duty. What is
// reported of a window is first recorded in the store, where the first record counts, so
// that whoever sends it, and how often, sends the same.
type Reporter struct {
	Keeper     *duties.Keeper
	Store      platform.ConditionalKeyedStore
	Platform   platform.UsageReporter
	Node       string
	Length     time.Duration    // of a window
	WaitLimits usage.WaitLimits // but for Return
	// AfterOutage is how long after an outage of the store all processes need to publish what
	// they have counted.
	AfterOutage func() time.Duration
	Now         func() time.Time
	Log         *zap.Logger

	term    duties.Term
	loaded  bool
	done    usage.Window
	reports map[usage.Window]usage.Counts // as recorded
	next    uint64                        // where their stream ends, as read
	failing time.Time
	dropped usage.Window // when tallies were last dropped
}

// report is what is recorded of a window.
type report struct {
	Window usage.Window `json:"w"`
	Counts usage.Counts `json:"c"`
}

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	for sleep.For(ctx, reportEvery) {
		term, held := r.Keeper.Term()
		if !held {
			r.loaded = false
			continue
		}
		if !r.loaded {
			if err := r.load(ctx); err != nil {
				r.Log.Warn("Reports can't be read.", zap.Error(err))
				continue
			}
			r.loaded = true
		}
		if term.Token != r.term.Token {
			r.begin(term)
		}
		r.step(ctx)
	}
}

// begin goes on where earlier holders have come to.
func (r *Reporter) begin(term duties.Term) {
	done := usage.Window(term.Progress)
	if oldest := usage.WindowAt(r.Now(), r.Length) - windowsKept; done < oldest {
		reportsMissed.Add(int64(oldest - done))
		r.Log.Error("Windows can't be reported any more.", zap.Uint64("from", uint64(done)+1), zap.Uint64("to", uint64(oldest)))
		done = oldest
	}
	r.term, r.failing, r.done = term, time.Time{}, done
	r.Keeper.Finished(uint64(done))
}

// load reads what was recorded before.
func (r *Reporter) load(ctx context.Context) error {
	records, next, err := r.Store.Newest(ctx, platform.StreamReports)
	if err != nil {
		return errors.Trace(err)
	}
	r.reports, r.next = map[usage.Window]usage.Counts{}, next
	for _, rec := range records {
		var put report
		if err := json.Unmarshal(rec.Value, &put); err != nil {
			r.Log.Warn("A report can't be read and is left out.", zap.String("key", rec.Key), zap.Error(err))
			continue
		}
		r.reports[put.Window] = put.Counts
	}
	return nil
}

// step reports the windows that are due.
func (r *Reporter) step(ctx context.Context) {
	for w := r.done + 1; w < usage.WindowAt(r.Now(), r.Length); w++ {
		counts, ok := r.reports[w]
		if !ok {
			counts, ok = r.record(ctx, w)
		}
		if !ok || !r.send(ctx, w, counts) {
			return
		}
		r.done = w
		r.Keeper.Finished(uint64(w))
	}
}

// record sums a window up and puts its report down; false: that is not possible yet.
func (r *Reporter) record(ctx context.Context, w usage.Window) (usage.Counts, bool) {
	ended := r.Now().Sub(w.End(r.Length))
	if ended < r.WaitLimits.Min {
		return nil, false
	}
	tallies, err := r.tallies(ctx, w)
	if err != nil {
		r.Log.Warn("Counts can't be read.", zap.Uint64("window", uint64(w)), zap.Error(err))
		return nil, false
	}
	age := usage.Age{SinceEnd: ended, SinceOutage: r.Keeper.SinceOutage()}
	patience := r.WaitLimits
	patience.AfterOutage = r.AfterOutage()
	if !usage.Ready(w, r.done, tallies, age, patience) {
		return nil, false
	}
	counts := usage.Sum(w, tallies)
	value, err := json.Marshal(report{w, counts})
	if err != nil {
		r.Log.Error("A report can't be encoded.", zap.Error(err))
		return nil, false
	}
	key := strconv.FormatUint(uint64(w%reportSlots), 10)
	next, err := r.Store.PutAt(ctx, platform.StreamReports, []platform.KeyedRecord{{Key: key, Value: value}}, r.next)
	if err != nil {
		r.Log.Info("A report was not recorded; reading what stands.", zap.Uint64("window", uint64(w)), zap.Error(err))
		r.loaded = false
		return nil, false
	}
	r.next, r.reports[w] = next, counts
	return counts, true
}

// tallies reads what all processes have counted, and drops what is of no more use.
func (r *Reporter) tallies(ctx context.Context, w usage.Window) ([]usage.Tally, error) {
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
	if len(stale) > 0 && r.dropped < w {
		r.dropped = w
		if err := r.Store.PutAll(ctx, platform.StreamUsage, stale); err != nil {
			r.Log.Info("Old counts were not dropped.", zap.Int("processes", len(stale)), zap.Error(err))
		}
	}
	return usage.Merge(tallies), nil
}

// send reports a window; false: it has to be sent again, or by another.
func (r *Reporter) send(ctx context.Context, w usage.Window, counts usage.Counts) bool {
	mayAct := func() bool { return r.Keeper.MayAct(r.term, actNeeds) }
	if !mayAct() {
		return false
	}
	begin := time.Now()
	err := r.Platform.Report(ctx, platform.DutyCall{Holder: r.Node, Token: r.term.Token, MayAct: mayAct}, platform.UsageReport{Window: uint64(w), Counts: counts})
	r.Log.Info("Usage reported.", zap.Uint64("window", uint64(w)), zap.Uint64("token", r.term.Token), zap.Int("organisations", len(counts)),
		zap.Uint64("requests", total(counts)), zap.Duration("after", r.Now().Sub(w.End(r.Length))), zap.Duration("took", time.Since(begin)), zap.Error(err))
	switch {
	case err == nil:
		reportsSent.Add(1)
		r.failing = time.Time{}
		return true
	case errors.Is(err, platform.ErrDutyRefused):
		reportsFailed.Add(1)
		return true // it would be refused again
	case errors.Is(err, platform.ErrDutyLapsed):
		return false
	}
	reportsFailed.Add(1)
	r.unanswered()
	return false
}

// unanswered gives the duty up where nothing of the platform has answered for long.
func (r *Reporter) unanswered() {
	now := time.Now()
	if r.failing.IsZero() {
		r.failing = now
	}
	if now.Sub(r.failing) >= unfitAfter {
		r.failing = time.Time{}
		r.Keeper.GiveUp("the platform does not answer this process")
	}
}

func total(counts usage.Counts) uint64 {
	var n uint64
	for _, of := range counts {
		n += of
	}
	return n
}
