package place

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dandelionsill.org/decide/loads"
)

// outcome counts the groups that trainers waited for.
type outcome struct {
	awaited, inTime, late int
	// stepTimes holds the duration of each step in seconds, by trainer and step number.
	stepTimes map[[2]int]float64
	// maxUnfinished is the longest time in seconds for which a requested group stayed
	// unfinished.
	maxUnfinished float64
	// unusedSlot is set if a slot was free while a sample could have used it.
	unusedSlot bool
	// endedStreams counts the streams that timed out or broke off.
	endedStreams int
}

// replaySample is a sample with its true length.
type replaySample struct {
	id      string
	group   *replayGroup
	length  int // events
	hint    float64
	made    int
	version uint64 // that started it
	engine  int    // -1 if it has none
	// lastEventAt is the time of its last event, or of the start of its stream;
	// nextEventAt is when the next event is due.
	lastEventAt, nextEventAt float64
	unplacedSince            float64 // when it left its last engine or was requested
	streamEvents             int     // events of this stream
	pace                     float64 // of its engine, as known when the stream started
	avoidUntil               map[string]float64
}

func (s *replaySample) done() bool { return s.made >= s.length }

type replayGroup struct {
	trainer     int
	name        string
	samples     []*replaySample
	carriedOver bool
	requestedAt float64
}

func (g *replayGroup) done() bool {
	return !slices.ContainsFunc(g.samples, func(s *replaySample) bool { return !s.done() })
}

type replayStep struct {
	trainer, number int
	requestedAt     float64
	groups          []*replayGroup
	target          int
	listedAt        map[*replayGroup]float64 // when its results can be read
	ended           bool
}

type replayEngine struct {
	running        map[*replaySample]bool
	versions       []uint64
	pace           float64 // seconds per event
	loading        int     // index of the model; -1 if none
	loadingVersion uint64  // version being loaded
	loadRemaining  float64 // seconds until its load ends, if no other slows it down
	usedSinceTurn  bool    // a sample was placed there since the last turn
}

// replay simulates a load in virtual time with the decisions of this package and of
// decide/loads. It leaves out what these do not see: failures, the log and the network.
type replay struct {
	load
	rng           *rand.Rand
	now           float64
	fleet         loads.Fleet
	engines       []*replayEngine
	parity        [][]loads.Parity // by engine and model
	serves        [][]bool         // by engine and model
	namedVersions []uint64         // by model
	namedAt       []float64        // by model
	announcement  []announcement
	steps         []*replayStep
	nextStep      []int // number of the next step, by trainer
	carriedGroups [][]*replayGroup
	lengths       []LengthEstimator
	paces         PaceEstimator
	timeouts      StreamTimeouts
	// excludedUntil holds the time until which engines get no samples.
	probation     Probation
	excludedUntil map[string]float64
	out           outcome
}

// announcement is a version that a trainer is going to name.
type announcement struct {
	model   int
	version uint64
	at      float64
}

const (
	replayTick = 0.04
	// promptReadSeconds is the time to read a prompt. avoidAfterTimeout and
	// avoidAfterFailure are the seconds for which a sample avoids an engine on which
	// its stream timed out or broke off.
	promptReadSeconds                    = 0.03
	avoidAfterTimeout, avoidAfterFailure = 1.5, 0.4
	// staleEntrySeconds is how long a crashed engine stays listed.
	staleEntrySeconds = 3.6
	// faultCycle is the number of consecutive engines among which faults are spread by
	// their share.
	faultCycle = 20
	// listingSeconds is the time for a complete group to be scored, listed and read,
	// and announceSeconds the time for a named version to become known.
	listingSeconds  = 0.3
	announceSeconds = 0.25
	// lateTolerance is the number of seconds after its due time at which a group still
	// counts as in time.
	lateTolerance = 0.7
)

func (l load) run() outcome {
	r := newReplay(l)
	for r.now = 0; r.now < l.duration+l.giveUpAfter+1; r.now += replayTick {
		r.makeEvents()
		r.runTrainers()
		r.loadWeights()
		r.placeSamples()
	}
	for _, t := range l.trainers {
		r.out.awaited += int(math.Ceil(l.duration/l.stepInterval)) * t.target()
	}
	return r.out
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (t trainer) target() int { return int(math.Ceil(t.awaitedShare * float64(t.groups))) }

func newReplay(l load) *replay {
	n := len(l.trainers)
	every := seconds(l.stepInterval)
	if l.unboundedFollowing {
		every = 0
	}
	r := &replay{
		load: l, fleet: loads.Fleet{LoadTime: seconds(l.loading), NamingInterval: every}, rng: rand.New(rand.NewPCG(l.seed, 1)), namedVersions: make([]uint64, n), namedAt: make([]float64, n), nextStep: make([]int, n),
		carriedGroups: make([][]*replayGroup, n), lengths: make([]LengthEstimator, n), excludedUntil: map[string]float64{}, out: outcome{stepTimes: map[[2]int]float64{}},
	}
	for m := range n {
		r.fleet.Models = append(r.fleet.Models, fmt.Sprintf("m%d", m))
		r.namedVersions[m] = 1
	}
	for i := range l.engines {
		r.fleet.Engines = append(r.fleet.Engines, fmt.Sprintf("e%03d", i))
		pace := l.pace
		if len(l.slownessFactors) > 0 {
			pace *= l.slownessFactors[i%len(l.slownessFactors)]
		}
		r.engines = append(r.engines, &replayEngine{pace: pace, running: map[*replaySample]bool{}, versions: slices.Clone(r.namedVersions), loading: -1})
	}
	for _, engine := range r.fleet.Engines {
		var parities []loads.Parity
		var serves []bool
		for _, model := range r.fleet.Models {
			parities = append(parities, r.fleet.Parity(engine, model))
			serves = append(serves, r.fleet.Serves(engine, model))
		}
		r.parity, r.serves = append(r.parity, parities), append(r.serves, serves)
	}
	return r
}

// runTrainers does what trainers do: it names versions, reads results and requests
// steps.
func (r *replay) runTrainers() {
	r.announcement = slices.DeleteFunc(r.announcement, func(n announcement) bool {
		if r.now < n.at {
			return false
		}
		r.namedVersions[n.model], r.namedAt[n.model] = max(r.namedVersions[n.model], n.version), r.now
		return true
	})
	for _, st := range r.steps {
		if !st.ended {
			r.readResults(st)
		}
	}
	for t := range r.trainers {
		k := r.nextStep[t]
		if r.now < float64(k)*r.stepInterval || r.now >= r.duration || k > 1 && r.namedVersions[t] < uint64(k) {
			continue
		}
		r.steps = append(r.steps, r.requestStep(t, k))
		r.nextStep[t]++
	}
}

// requestStep creates step k of a trainer. Groups that an earlier step did not complete
// come first.
func (r *replay) requestStep(t, k int) *replayStep {
	spec := r.trainers[t]
	st := &replayStep{trainer: t, number: k, requestedAt: r.now, target: spec.target(), listedAt: map[*replayGroup]float64{}}
	carriedCount := min(len(r.carriedGroups[t]), st.target/2)
	for _, g := range r.carriedGroups[t][:carriedCount] {
		g.carriedOver = true
		for _, s := range g.samples {
			if s.version < floor(k) {
				s.made = 0
			}
		}
		st.groups = append(st.groups, g)
	}
	r.carriedGroups[t] = r.carriedGroups[t][carriedCount:]
	for len(st.groups) < spec.groups {
		st.groups = append(st.groups, r.group(t, fmt.Sprintf("%d.%d.%d", t, k, len(st.groups))))
	}
	return st
}

// floor returns the oldest version allowed for step k.
func floor(k int) uint64 { return uint64(max(1, k-1)) }

// readResults lists the complete groups of a step and ends it as its trainer would.
func (r *replay) readResults(st *replayStep) {
	awaited, ready := 0, 0
	for _, g := range st.groups {
		at, listed := st.listedAt[g]
		if !listed && g.done() {
			at, listed = r.now+listingSeconds, true
			st.listedAt[g] = at
		}
		switch {
		case listed && at <= r.now:
			ready++
		case g.carriedOver:
			awaited++
		}
	}
	if (ready < st.target || awaited > 0) && r.now-st.requestedAt < r.giveUpAfter {
		return
	}
	r.endStep(st)
}

func (r *replay) endStep(st *replayStep) {
	st.ended = true
	r.out.stepTimes[[2]int{st.trainer, st.number}] = r.now - st.requestedAt
	var times []float64
	for _, g := range st.groups {
		r.out.maxUnfinished = max(r.out.maxUnfinished, r.now-g.requestedAt)
		if at, listed := st.listedAt[g]; listed && at <= r.now {
			times = append(times, at-st.requestedAt)
			continue
		}
		r.carriedGroups[st.trainer] = append(r.carriedGroups[st.trainer], g)
		for _, s := range g.samples {
			r.unplace(s)
		}
	}
	slices.Sort(times)
	for _, took := range times[:min(len(times), st.target)] {
		if took <= r.dueAfter+lateTolerance {
			r.out.inTime++
		} else {
			r.out.late++
		}
	}
	r.announcement = append(r.announcement, announcement{st.trainer, uint64(st.number + 2), r.now + announceSeconds + r.trainers[st.trainer].trainSeconds})
}

// loadWeights advances weight loads and starts new ones. If more loads run than
// loadsAtOnce, they slow each other down.
func (r *replay) loadWeights() {
	busy := 0
	for _, e := range r.engines {
		if e.loading >= 0 {
			busy++
		}
	}
	for _, e := range r.engines {
		if e.loading < 0 {
			continue
		}
		e.loadRemaining -= replayTick * min(1, float64(r.loadsAtOnce)/float64(busy))
		if e.loadRemaining <= 0 {
			e.versions[e.loading], e.loading = e.loadingVersion, -1
		}
	}
	for i, e := range r.engines {
		for m, model := range r.fleet.Models {
			if e.loading >= 0 || e.versions[m] >= r.namedVersions[m] {
				continue
			}
			want := r.fleet.Choose(r.fleet.Engines[i], e.versions[m], model, r.namedVersions[m], r.parity[i][m])
			if want == nil || r.now < r.namedAt[m]+want.Delay.Seconds() {
				continue
			}
			e.loading, e.loadRemaining, e.loadingVersion = m, r.loading, want.Version
		}
	}
}

// placeSamples assigns samples to the free slots.
func (r *replay) placeSamples() {
	if !slices.ContainsFunc(r.engines, func(e *replayEngine) bool { return len(e.running) < r.slots }) {
		return
	}
	engines := r.engineStates()
	steps, all, replaySamples := r.unfinishedSamples()
	if !r.skipOrder {
		own := map[string]int{}
		for _, e := range engines {
			own[e.ID] = e.Load
		}
		capacity := CapacityOf(engines, own)
		open := r.open()
		for i := range steps {
			steps[i].Rate = capacity.RateFor(engines, own, steps[i].Model, floor(open[i].number))
		}
		Order(steps, all, capacity)
	}
	var samples []Sample
	var queue []*replaySample
	for i, s := range replaySamples {
		if s.engine < 0 {
			samples, queue = append(samples, all[i]), append(queue, s)
		}
	}
	placed := map[int]bool{}
	for _, c := range Assign(engines, samples) {
		s := queue[c.Sample]
		placed[c.Sample] = true
		s.engine, s.lastEventAt, s.streamEvents, s.nextEventAt = c.Engine, r.now, 0, r.now+r.pace(c.Engine)
		if r.measuredPaces {
			s.nextEventAt += promptReadSeconds
		}
		if !r.ignoreKnownPace {
			s.pace = engines[c.Engine].Pace
		}
		if s.made == 0 {
			s.version = engines[c.Engine].Versions[samples[c.Sample].Model]
		}
		r.engines[c.Engine].running[s] = true
		r.engines[c.Engine].usedSinceTurn = true
	}
	for i := range samples {
		r.out.unusedSlot = r.out.unusedSlot || !placed[i] && hasUsableSlot(engines, &samples[i])
	}
	if !r.assumeEqualPaces {
		r.migrateSample(engines, all, replaySamples)
	}
}

// migrateSample takes one sample from a slower engine; the next turn places it again.
func (r *replay) migrateSample(engines []Engine, all []Sample, replaySamples []*replaySample) {
	var running []Running
	var samples []*replaySample
	for i, s := range replaySamples {
		if s.engine < 0 {
			continue
		}
		running = append(running, Running{Sample: all[i], Engine: engines[s.engine].ID, Estimated: r.lengths[s.group.trainer].sumWeights >= minKnownLengths})
		samples = append(samples, s)
	}
	if at := ChooseMigration(engines, running); at >= 0 {
		r.unplace(samples[at])
	}
}

func (r *replay) engineStates() []Engine {
	engines := make([]Engine, len(r.engines))
	measured := r.paces.At(timeAt(r.now))
	for i, e := range r.engines {
		engines[i] = Engine{ID: r.fleet.Engines[i], Slots: r.slots, Load: len(e.running), Pace: r.pace(i), Versions: map[string]uint64{}}
		if id := r.fleet.Engines[i]; !r.isListed(i) || r.now < r.excludedUntil[id] {
			engines[i].Slots = 0
		} else {
			engines[i].Slots = r.probation.Slots(id, r.slots, len(e.running), len(e.running))
		}
		switch {
		case r.assumeEqualPaces:
			engines[i].Pace = r.load.pace
		case r.measuredPaces:
			engines[i].Pace = measured[r.fleet.Engines[i]]
		}
		for m, model := range r.fleet.Models {
			switch {
			case e.loading == m:
				engines[i].Loading = map[string]uint64{model: e.loadingVersion}
			case r.serves[i][m] && r.isListed(i):
				engines[i].Versions[model] = e.versions[m]
			}
		}
	}
	return engines
}

// open returns the steps that their trainers have not ended.
func (r *replay) open() []*replayStep {
	var open []*replayStep
	for _, st := range r.steps {
		if !st.ended {
			open = append(open, st)
		}
	}
	return open
}

// unfinishedSamples returns the open steps and their unfinished samples, including
// running ones.
func (r *replay) unfinishedSamples() ([]Step, []Sample, []*replaySample) {
	var steps []Step
	var samples []Sample
	var replaySamples []*replaySample
	for _, st := range r.open() {
		for _, g := range st.groups {
			for _, s := range g.samples {
				if !s.done() {
					samples, replaySamples = append(samples, r.sample(st, len(steps), s)), append(replaySamples, s)
				}
			}
		}
		steps = append(steps, Step{AgeRank: int(st.requestedAt / 2), Due: st.requestedAt + r.dueAfter - r.now, Need: max(0, st.target-len(st.listedAt)), Model: r.fleet.Models[st.trainer]})
	}
	return steps, samples, replaySamples
}

func (r *replay) sample(st *replayStep, at int, s *replaySample) Sample {
	guess, known := r.lengths[st.trainer].Estimate(s.hint)
	if !known {
		guess = s.hint / 30
	}
	avoid := map[string]bool{}
	for engine, until := range s.avoidUntil {
		avoid[engine] = r.now < until
	}
	due := st.requestedAt + r.dueAfter - r.now
	if r.allowSlowEngines {
		due = math.Inf(1)
	}
	return Sample{
		Avoid: avoid, Due: due, Waited: r.now - max(s.unplacedSince, st.requestedAt),
		ID: s.id, Model: r.fleet.Models[st.trainer], Floor: floor(st.number), Remaining: Remaining(guess, float64(s.made)), Rank: int(st.requestedAt / 2),
		Step: at, Group: s.group.name, Required: s.group.carriedOver, Prompt: s.group.name,
	}
}
