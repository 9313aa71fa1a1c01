package jobs

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/base/boottime"
	"dandelionsill.org/base/logs"
	"dandelionsill.org/base/metrics"
	"dandelionsill.org/decide/cold"
	"dandelionsill.org/decide/members"
	"dandelionsill.org/decide/place"
	"dandelionsill.org/decide/table"
	"dandelionsill.org/fold/jobs"
)

// withheldLogInterval is how often it is logged that samples wait for engines that may be cold.
const withheldLogInterval = time.Second

var (
	coldSamplesSent     = metrics.Counter("jobs_cold_engine_sends_total")
	coldSamplesWithheld = metrics.Counter("jobs_cold_withheld_total")
)

// recordSenders records which processes may send samples, by the record at an offset; mu is held.
func (x *Index) recordSenders(offset uint64, r *jobs.Record, change *jobs.Change, now time.Time) {
	for _, changed := range [][]string{change.Accepted, change.Owned} {
		for _, id := range changed {
			if j := x.state.Jobs[id]; j != nil && !j.Released {
				x.senders.Enter(j.Owner.VM, j.Owner.Incarnation, offset, x.asOf, now)
			}
		}
	}
	x.senders.Idle(r.Writer.VM, r.Writer.Incarnation, r.IdleBefore, now)
	x.senders.Heard(r.Writer.VM, r.Writer.Incarnation, offset, x.asOf, now, func() bool { return x.hasOpenJob(isOn(r.Writer.VM)) })
}

// hasOpenJob reports whether such an owner has an open job that it has not released; mu is held.
func (x *Index) hasOpenJob(isOwner func(jobs.Writer) bool) bool {
	owns := false
	x.state.Each(func(j *jobs.Job) { owns = owns || isOwner(j.Owner) && !j.Released && j.IsOpen() })
	return owns
}

// isOn tells which processes are on a VM: all of its incarnations.
func isOn(vm string) func(jobs.Writer) bool {
	return func(w jobs.Writer) bool { return w.VM == vm }
}

// coldSamples bounds what this process sends to engines that may become cold. The runner's mutex
// guards it.
type coldSamples struct {
	runner        *Runner
	excess, slack float64
	sends         *cold.Sends
	standing      cold.Standing
	place         cold.Place // among the processes that send samples
	shownRank     atomic.Int64
	idleBefore    atomic.Uint64 // IdleBefore of this process's next record
	log           *zap.Logger

	toldMu sync.Mutex // guards standing, which the outbox tells

	// careFor is the table for which isNeeded holds.
	careFor  *table.Table
	isNeeded bool
}

func (c *coldSamples) init(r *Runner) {
	c.runner, c.excess, c.sends = r, 1, cold.NewSends(time.Now())
	c.log = logs.Limited(r.zlog, withheldLogInterval)
	metrics.Gauge("jobs_cold_rank", func() any { return c.shownRank.Load() })
	r.out.idleBefore = c.idleBefore.Load
	r.out.onAppended = func(sentAt time.Duration, offset uint64) {
		c.toldMu.Lock()
		defer c.toldMu.Unlock()
		c.standing.Told(sentAt, offset)
	}
}

// SetColdBounds sets by which factor, and by how many requests more, one second may exceed the rate
// at which cold engines take requests. It must be called before Run.
func (r *Runner) SetColdBounds(excess, slack float64) { r.cold.excess, r.cold.slack = excess, slack }

// recordIdle records whether this process runs and loads nothing as of all records before an offset, so
// that the others need not count it.
func (c *coldSamples) recordIdle(isIdle bool, before uint64) {
	if !isIdle || !c.needsCare() {
		before = 0
	}
	c.idleBefore.Store(before)
}

// check determines this process's rank.
func (c *coldSamples) check(now time.Time) {
	if !c.needsCare() {
		return
	}
	x := c.runner.index
	x.mu.Lock()
	defer x.mu.Unlock()
	vm := c.runner.writer.VM
	hasWork := len(c.runner.active) > 0 || x.hasOpenJob(isOn(vm))
	c.toldMu.Lock()
	from, may := c.standing.Check(boottime.Now(), now.Sub(x.asOf), x.nextOffset, hasWork, func() { x.senders.Leave(vm) })
	c.toldMu.Unlock()
	before := c.place.Rank
	c.place = cold.Place{}
	if may {
		c.place = c.standing.Amend(x.senders.Place(vm, from, x.asOf, now))
		c.place.Fresh = c.place.Fresh && !x.missedRecords(now)
	}
	if before != c.place.Rank && hasWork {
		c.runner.zlog.Info("Rank among the processes that send samples.", zap.Int("rank", c.place.Rank), zap.Int("before", before), zap.Int("owners", c.place.Known),
			zap.Bool("known_to_others", may), zap.Duration("log_age", now.Sub(x.asOf)))
	}
	c.shownRank.Store(int64(c.place.Rank))
}

// needsCare reports whether the engines of any service may be cold.
func (c *coldSamples) needsCare() bool {
	t := c.runner.view.Current().Table
	if t == c.careFor {
		return c.isNeeded
	}
	c.careFor, c.isNeeded = t, false
	for _, s := range t.Services {
		c.isNeeded = c.isNeeded || s.Slots > 0 && s.Cold != nil
	}
	return c.isNeeded
}

// uses returns by which ways requests reach the servers of a service.
func (c *coldSamples) uses(service string) cold.Uses {
	t := c.runner.view.Current().Table
	if t == nil {
		return cold.Uses{Samples: true}
	}
	uses := cold.UsesOf(t, service, c.runner.forward.IsShared(service))
	uses.Samples = true // also those of jobs whose route was removed
	return uses
}

// careOf returns what servers of the service need; nil: no care.
func (c *coldSamples) careOf(service string) *table.Cold {
	return c.runner.view.Current().Table.ColdOf(service)
}

// share returns how many samples this process may send to an engine in any second, and whether the
// engine is or may be cold.
func (c *coldSamples) share(care *table.Cold, uses cold.Uses, server *members.Server, now time.Time) (int, bool) {
	isCold := server.IsCold(now, care.Duration)
	bound := cold.Bound{Rate: care.Rate, Excess: c.excess, Slack: c.slack}
	if !c.standing.IsCurrent(boottime.Now()) {
		return 0, isCold
	}
	return bound.SampleShare(uses, c.place, isCold), isCold
}

// limit bounds the free slots of engines by what this process may send them now, while samples wait.
func (c *coldSamples) limit(service string, servers []members.Server, engines []place.Engine, waiting int, now time.Time) {
	care := c.careOf(service)
	if care == nil {
		return
	}
	byID, uses := make(map[string]*members.Server, len(servers)), c.uses(service)
	for i := range servers {
		byID[servers[i].ID] = &servers[i]
	}
	for i := range engines {
		e := &engines[i]
		share, isCold := c.share(care, uses, byID[e.ID], now)
		e.Cold = isCold
		left := c.sends.Left(e.ID, share, now)
		if e.Load+left >= e.Slots {
			continue
		}
		e.Slots = e.Load + left
		if left == 0 && waiting > 0 {
			coldSamplesWithheld.Add(1)
			c.log.Info("An engine that may be cold gets no more samples now.", zap.String("server", e.ID), zap.Bool("cold", isCold),
				zap.Int("share", share), zap.Int("rank", c.place.Rank), zap.Float64("rate", care.Rate), zap.Int("waiting", waiting))
		}
	}
}

// reserve counts a sample that is about to be sent to an engine; false: it may not be.
func (c *coldSamples) reserve(service string, server members.Server, now time.Time) bool {
	care := c.careOf(service)
	if care == nil {
		return true
	}
	share, isCold := c.share(care, c.uses(service), &server, now)
	if !c.sends.Take(server.ID, share, now) {
		return false
	}
	if isCold {
		coldSamplesSent.Add(1)
	}
	return true
}

// beforeSend returns the check right before a sample is written to an engine: what was counted too
// long ago, because a connection had to be opened, is counted again. nil: the engine needs no care.
func (c *coldSamples) beforeSend(a *activeItem, server members.Server, reservedAt time.Time) func() bool {
	if c.careOf(a.service) == nil {
		return nil
	}
	return func() bool {
		now := time.Now()
		if now.Sub(reservedAt) < cold.MaxSendDelay {
			return true
		}
		c.runner.mu.Lock()
		defer c.runner.mu.Unlock()
		return c.reserve(a.service, server, now)
	}
}
