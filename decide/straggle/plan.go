package straggle

import (
	"container/heap"
	"time"
)

type phase uint8

const (
	queued phase = iota
	running
	finished
)

// sample is the state of one sample.
type sample struct {
	group           int
	phase           phase
	notBefore       time.Duration // end of the backoff
	resumableTokens int           // tokens of a lost run that the next run can resume from
	tokens          int           // final length, set when the sample finishes
	moves           int
	stalls          int
	runs            []*run
}

// run is the state of one stream of a sample.
type run struct {
	id             RunID
	sample         int
	server         string
	parent         RunID // the run that it hedges or replaces
	isHedge        bool
	replacesParent bool // parent is cancelled once this run generates tokens
	resumedTokens  int  // taken over from an earlier run at the start
	parentTokens   int  // the parent's tokens when this run was added
	tokens         int  // including resumedTokens
	chunks         int
	version        uint64 // of the last chunk
	startedAt      time.Duration
	lastChunkAt    time.Duration // startedAt before the first chunk
	rate           float64       // smoothed, in tokens/s
	measuredTokens int           // tokens at the last measurement
	measuredAt     time.Duration
	measuredChunks int
	reservedTokens int // part of the hedge budget reserved for this run
}

// Plan is the state of one step's samples. It is not safe for concurrent use.
type Plan struct {
	cfg             Config
	groups          []*group
	samples         []sample
	runs            map[RunID]*run
	lastRunID       RunID
	queue           groupHeap
	delayed         []int // indexes of queued samples in backoff
	lengthHistogram lengthHistogram
	liveTokens      int // generated so far by running samples
	rates           rates
	lastNextAt      time.Duration // time of the last call of Next
	resumedAt       time.Duration // time of the last call of Next after the caller was suspended
	chunkGap        float64       // smoothed time between chunks, in s
	roundRobin      int
	stats           Stats
	servers         map[string]*serverState
	measuredAt      time.Duration // time of the last measurement
	hedgeReserved   int           // hedge budget reserved for running copies
}

// New returns the plan of a step. Samples are numbered consecutively, group by
// group.
func New(cfg Config, groups []Group) *Plan {
	p := &Plan{
		cfg:     cfg.withDefaults(),
		runs:    map[RunID]*run{},
		servers: map[string]*serverState{},
	}
	for i, g := range groups {
		added := &group{Group: g, index: i, heapIndex: -1}
		for range g.Samples {
			added.unstarted = append(added.unstarted, len(p.samples))
			p.samples = append(p.samples, sample{group: i})
		}
		p.groups = append(p.groups, added)
		p.updateQueue(added)
	}
	p.stats.Queued = len(p.samples)
	return p
}

// UpdateSettings applies the settings of a new manifest revision.
func (p *Plan) UpdateSettings(mixed bool, hedgePercent float64) {
	p.cfg.Mixed, p.cfg.HedgePercent = mixed, hedgePercent
}

// Done reports whether every sample is finished.
func (p *Plan) Done() bool { return p.stats.Finished == len(p.samples) }

// Stats returns the counts so far.
func (p *Plan) Stats() Stats { return p.stats }

// ResumableTokens returns how many tokens of a lost run the sample may resume
// from.
func (p *Plan) ResumableTokens(sample int) int { return p.samples[sample].resumableTokens }

// Started records that a run has started, and with how many tokens taken over
// from an earlier run (resumed). Resumable tokens beyond these count as wasted.
func (p *Plan) Started(id RunID, resumed int) {
	r := p.runs[id]
	if r == nil {
		return
	}
	s := &p.samples[r.sample]
	if r.parent == 0 {
		p.stats.Wasted += max(0, s.resumableTokens-resumed)
		s.resumableTokens = 0
	}
	r.resumedTokens, r.tokens, r.measuredTokens = resumed, resumed, resumed
}

// Observe records a run's progress: its tokens (including the resumed ones)
// and chunks so far, and the weight version and time of its last chunk.
func (p *Plan) Observe(id RunID, tokens, chunks int, version uint64, last time.Duration) {
	r := p.runs[id]
	if r == nil || chunks == r.chunks {
		return
	}
	if r.chunks == 0 {
		r.measuredTokens, r.measuredChunks, r.measuredAt = max(tokens, r.tokens), chunks, last
	}
	r.tokens, r.chunks, r.version, r.lastChunkAt = max(tokens, r.tokens), chunks, version, last
	p.server(r.server).recordProgress(last)
}

// Finished records that a run completed its sample with the given number of
// tokens. It reports whether the run is the first to do so and returns the
// actions that cancel the other runs.
func (p *Plan) Finished(id RunID, tokens int, now time.Duration) (won bool, cancel []Action) {
	r := p.runs[id]
	if r == nil {
		return false, nil
	}
	r.tokens = max(tokens, r.resumedTokens)
	r.lastChunkAt = now
	p.server(r.server).recordProgress(now)
	return true, p.finishSample(r.sample, r, tokens)
}

// FinishedElsewhere records that a result of the sample was found elsewhere.
// It reports whether the sample was still unfinished and returns the actions
// that cancel its runs.
func (p *Plan) FinishedElsewhere(sample, tokens int) (won bool, cancel []Action) {
	if p.samples[sample].phase == finished {
		return false, nil
	}
	return true, p.finishSample(sample, nil, tokens)
}

// finishSample finishes a sample and cancels its other runs. winner is nil if
// the result came from elsewhere.
func (p *Plan) finishSample(index int, winner *run, tokens int) []Action {
	s := &p.samples[index]
	var cancel []Action
	for _, r := range s.runs {
		if r == winner {
			continue
		}
		p.recordWaste(r, reusedTokens(r, winner))
		cancel = append(cancel, Action{Kind: Cancel, Run: r.id, Sample: index, Server: r.server, Reason: "another copy finished first"})
		p.removeRun(r)
	}
	if winner != nil {
		p.removeRun(winner)
	}
	if s.phase == queued {
		p.groups[s.group].remove(index)
	}
	p.setPhase(s, finished)
	s.runs, s.tokens = nil, tokens
	p.stats.Tokens += tokens
	p.lengthHistogram.add(tokens)
	p.groups[s.group].addFinished(tokens)
	p.updateQueue(p.groups[s.group])
	return cancel
}

// reusedTokens returns how many of r's tokens the winner contains; if it did
// not start from r, only the tokens that r itself resumed are not lost.
func reusedTokens(r, winner *run) int {
	if winner != nil && winner.parent == r.id {
		return winner.resumedTokens
	}
	return r.resumedTokens
}

// recordWaste counts the tokens that r generated beyond the used ones.
func (p *Plan) recordWaste(r *run, used int) {
	lost := max(0, r.tokens-max(used, r.resumedTokens))
	p.stats.Wasted += lost
	if r.isHedge || p.hasHedge(r) {
		p.stats.HedgeWasted += lost
	}
}

func (p *Plan) hasHedge(r *run) bool {
	for _, o := range p.samples[r.sample].runs {
		if o.isHedge && o.parent == r.id {
			return true
		}
	}
	return false
}

func (p *Plan) removeRun(r *run) {
	delete(p.runs, r.id)
	p.server(r.server).ownRuns--
	if r.isHedge {
		p.hedgeReserved -= r.reservedTokens
	}
}

// Lost records that a run ended without a result. keep is how many of its
// tokens can be resumed, and backoff delays the next attempt.
func (p *Plan) Lost(id RunID, keep int, backoff, now time.Duration) {
	r := p.runs[id]
	if r == nil {
		return
	}
	s := &p.samples[r.sample]
	if len(s.runs) > 1 {
		// The other copy continues. Tokens that it resumed from this run are
		// not lost.
		for _, o := range s.runs {
			if o != r {
				p.recordWaste(r, reusedTokens(r, o))
				o.isHedge, o.replacesParent, o.parent = false, false, 0
				p.hedgeReserved -= o.reservedTokens
				o.reservedTokens = 0
			}
		}
		p.detachRun(s, r)
		return
	}
	p.recordWaste(r, keep)
	p.detachRun(s, r)
	s.resumableTokens = min(keep, r.tokens)
	p.requeueSample(r.sample, now+backoff, now)
}

func (p *Plan) detachRun(s *sample, r *run) {
	left := s.runs[:0]
	for _, o := range s.runs {
		if o != r {
			left = append(left, o)
		}
	}
	s.runs = left
	p.removeRun(r)
}

func (p *Plan) requeueSample(index int, notBefore, now time.Duration) {
	s := &p.samples[index]
	p.setPhase(s, queued)
	s.notBefore = notBefore
	if notBefore > now {
		p.delayed = append(p.delayed, index)
		return
	}
	g := p.groups[s.group]
	g.requeued = append(g.requeued, index)
	p.updateQueue(g)
}

// requeueDelayed queues the samples whose backoff has ended.
func (p *Plan) requeueDelayed(now time.Duration) {
	left := p.delayed[:0]
	for _, index := range p.delayed {
		s := &p.samples[index]
		switch {
		case s.phase != queued:
		case s.notBefore > now:
			left = append(left, index)
		default:
			g := p.groups[s.group]
			g.requeued = append(g.requeued, index)
			p.updateQueue(g)
		}
	}
	p.delayed = left
}

func (p *Plan) setPhase(s *sample, to phase) {
	*p.phaseCount(s.phase)--
	s.phase = to
	*p.phaseCount(to)++
}

func (p *Plan) phaseCount(ph phase) *int {
	switch ph {
	case queued:
		return &p.stats.Queued
	case running:
		return &p.stats.Running
	default:
		return &p.stats.Finished
	}
}

// addRun records a run and returns the action that starts it.
func (p *Plan) addRun(kind Kind, index int, server string, parent *run, now time.Duration, reason string) Action {
	p.lastRunID++
	r := &run{id: p.lastRunID, sample: index, server: server, startedAt: now, lastChunkAt: now, measuredAt: now}
	a := Action{Kind: kind, Run: r.id, Sample: index, Server: server, Reason: reason}
	s := &p.samples[index]
	if parent != nil {
		r.parent, r.parentTokens = parent.id, parent.tokens
		a.From = parent.id
	}
	switch kind {
	case Hedge:
		r.isHedge = true
		p.stats.Hedges++
	case Move:
		r.replacesParent = true
		s.moves++
		p.stats.Moves++
	}
	p.stats.Runs++
	p.runs[r.id] = r
	s.runs = append(s.runs, r)
	p.server(server).ownRuns++
	if s.phase != running {
		p.setPhase(s, running)
	}
	return a
}

// updateQueue updates the group's priority, and adds the group to the queue or
// removes it if it has no more samples to start.
func (p *Plan) updateQueue(g *group) {
	g.priority = p.computePriority(g)
	switch {
	case len(g.unstarted)+len(g.requeued) == 0:
		if g.heapIndex >= 0 {
			heap.Remove(&p.queue, g.heapIndex)
		}
	case g.heapIndex < 0:
		heap.Push(&p.queue, g)
	default:
		heap.Fix(&p.queue, g.heapIndex)
	}
}
