package steps

import (
	"context"
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionsill.org/decide/fresh"
	"dandelionsill.org/decide/label"
	"dandelionsill.org/decide/straggle"
	foldsteps "dandelionsill.org/fold/steps"
	"dandelionsill.org/kinds"
	"dandelionsill.org/manifest"
	"dandelionsill.org/wire/pb"
)

// sample is the state of one sample beyond what the plan keeps.
type sample struct {
	group   *group
	index   uint32
	partial *partial         // longest partial sample of its lost runs
	done    *pb.GenerateDone // result; nil: not finished, or acknowledged
	score   *float64
	losses  int
}

type group struct {
	id         string
	wireID     string // group id in requests to agents: id and a hash of the generation parameters
	spec       GroupSpec
	samples    []*sample
	incomplete int // samples whose result or score is missing
}

// step is a step that this entry owns. It is guarded by Steps.mu.
type step struct {
	key           foldsteps.Key
	attempt       uint64          // immutable
	epoch         foldsteps.Epoch // includes the claim once it is known
	claimID       string
	trainer       manifest.Trainer
	digest        [sha256.Size]byte // of the posted groups
	startedAt     time.Time
	lastRequestAt time.Time // time of the trainer's last request
	waitingPulls  int       // pulls that wait at this moment
	floor         uint64
	plan          *straggle.Plan
	samples       []*sample
	runs          map[straggle.RunID]*run
	indexByKey    map[sampleKey]int
	groupCount    int
	ready         []*group // complete groups in the order of their completion; nil once acknowledged
	acked         int
	collecting    bool // waits for the agents' held samples
	changed       chan struct{}
	stopReason    *kinds.Error
	ctx           context.Context
	cancel        context.CancelFunc
	reportedStats straggle.Stats // statistics that the metrics already include
}

type sampleKey struct {
	group string
	index uint32
}

// notify wakes the waiting pulls.
func (st *step) notify() {
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *step) elapsed() time.Duration { return time.Since(st.startedAt) }

func (st *step) isComplete() bool { return len(st.ready) == st.groupCount }

func (st *step) sampleName(sm *sample) string {
	return fmt.Sprintf("%s/%d/%s/%d", st.key.Trainer, st.key.Step, sm.group.id, sm.index)
}

// newStep returns the state of a posted step, without the groups that the trainer has.
func (s *Steps) newStep(ctx context.Context, t manifest.Trainer, req PostRequest, digest [sha256.Size]byte) *step {
	now := time.Now()
	st := &step{
		key:           foldsteps.Key{Trainer: t.Name, Step: req.Step},
		attempt:       req.Attempt,
		epoch:         foldsteps.Epoch{Attempt: req.Attempt},
		trainer:       t,
		digest:        digest,
		startedAt:     now,
		lastRequestAt: now,
		runs:          map[straggle.RunID]*run{},
		indexByKey:    map[sampleKey]int{},
		changed:       make(chan struct{}),
	}
	st.claimID = fmt.Sprintf("%s/%d/%d/%s/%d", t.Name, req.Step, req.Attempt, s.cfg.Name, now.UnixNano())
	st.ctx, st.cancel = context.WithCancel(context.WithoutCancel(ctx))
	have := map[string]bool{}
	for _, id := range req.Have {
		have[id] = true
	}
	var groups []straggle.Group
	for _, spec := range req.Groups {
		if have[spec.ID] {
			continue
		}
		groups = append(groups, st.addGroup(spec))
	}
	st.plan = straggle.New(s.planConfig(t), groups)
	return st
}

func (st *step) addGroup(spec GroupSpec) straggle.Group {
	g := &group{id: spec.ID, wireID: wireID(spec), spec: spec, incomplete: spec.Samples}
	for i := range spec.Samples {
		sm := &sample{group: g, index: uint32(i)}
		g.samples = append(g.samples, sm)
		st.indexByKey[sampleKey{g.wireID, sm.index}] = len(st.samples)
		st.samples = append(st.samples, sm)
	}
	st.groupCount++
	return straggle.Group{
		Samples:   spec.Samples,
		MaxTokens: spec.MaxTokens,
		Hint:      spec.ExpectedTokens,
		Prefix:    xxhash.Sum64String(spec.Prompt),
	}
}

func (s *Steps) planConfig(t manifest.Trainer) straggle.Config {
	c := s.cfg.Plan
	p := s.cfg.Policy
	c.Policy = straggle.Policy{
		Baseline:       p.Baseline,
		NoHedge:        p.NoHedge,
		NoMove:         p.NoMove,
		NoAffinity:     p.NoAffinity,
		NoLongestFirst: p.NoLongestFirst,
		NoLateBinding:  p.NoLateBinding,
	}
	c.Mixed = t.AllowMixed
	if v := s.cfg.View.View(); v != nil && v.Manifest != nil {
		c.PreferNew = v.Manifest.Fleet.Weigh == manifest.WeighStaleness
	}
	c.HedgePercent = t.HedgePercent
	return c
}

// wireID returns the id of a group at agents, which includes a hash of its generation
// parameters. Otherwise a trainer that posts a step again with other seeds or limits
// under the same ids would get the samples that agents hold for the old ones.
func wireID(g GroupSpec) string {
	parameters := fmt.Sprintf("%d/%d/%s", g.Seed, g.MaxTokens, g.Prompt)
	return fmt.Sprintf("%s#%016x", g.ID, xxhash.Sum64String(parameters))
}

// seed returns the seed that the sample is generated with.
func (sm *sample) seed() uint64 { return sm.group.spec.Seed + uint64(sm.index) }

// requestHash returns the hash under which agents hold the finished sample.
func (sm *sample) requestHash() string {
	return label.RequestHash(sm.group.spec.Prompt, sm.seed(), uint32(sm.group.spec.MaxTokens))
}

// stop ends a step at this entry. It cancels the runs and returns the reason to the
// waiting pulls.
func (s *Steps) stop(st *step, reason *kinds.Error) {
	if st.stopReason != nil {
		return
	}
	st.stopReason = reason
	st.cancel()
	for _, r := range st.runs {
		r.cancel()
	}
	st.updateMetrics()
	st.notify()
	if s.steps[st.key] == st {
		delete(s.steps, st.key)
	}
	s.wakeScheduler()
}

// updateMetrics adds the plan's statistics since the last call to the metrics.
func (st *step) updateMetrics() {
	current, previous := st.plan.Stats(), st.reportedStats
	finishedTotal.Add(int64(current.Finished - previous.Finished))
	tokensTotal.Add(int64(current.Tokens - previous.Tokens))
	wastedTotal.Add(int64(current.Wasted - previous.Wasted))
	hedgesTotal.Add(int64(current.Hedges - previous.Hedges))
	movesTotal.Add(int64(current.Moves - previous.Moves))
	st.reportedStats = current
}

// recordResult stores the result of a sample, from a run or from an agent that held it.
func (s *Steps) recordResult(st *step, sm *sample, done *pb.GenerateDone) {
	sm.done = done
	sm.partial = nil
	st.updateMetrics()
	if st.trainer.Scorer == "" {
		s.completeSample(st, sm)
		return
	}
	s.spawn(func() { s.scoreWithRetries(st, sm) })
}

// completeSample counts a sample as complete. When all samples of its group are complete,
// the group can be delivered.
func (s *Steps) completeSample(st *step, sm *sample) {
	sm.group.incomplete--
	if sm.group.incomplete > 0 {
		return
	}
	st.ready = append(st.ready, sm.group)
	st.notify()
}

// newestVersion returns the trainer's newest version, as reported in its step request or
// announced. It never decreases.
func (s *Steps) newestVersion(t manifest.Trainer, reported uint64) uint64 {
	key := t.Name + "/" + t.Model // versions of different models are unrelated
	newest := max(s.newestVersions[key], reported)
	if v := s.cfg.View.View(); v != nil {
		newest = max(newest, v.Versions[t.Model])
	}
	s.newestVersions[key] = newest
	return newest
}

// raiseFloor raises the step's floor according to its trainer's newest version.
func (s *Steps) raiseFloor(st *step, reported uint64) {
	floor := fresh.Floor(s.newestVersion(st.trainer, reported), st.trainer.StalenessBound)
	if floor <= st.floor {
		return
	}
	st.floor = floor
	for _, r := range st.runs {
		r.floor.Store(floor)
	}
}
