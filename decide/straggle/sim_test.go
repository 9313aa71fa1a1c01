package straggle_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"dandelionsill.org/decide/straggle"
)

// sim runs a plan against simulated engines with continuous batching: a token
// takes 12 ms, and 0.25 ms more for each stream on the engine. All streams of
// an engine wait while it computes the cache of a new one: of the prompt,
// unless a sample of the same group ran there before, and of the resumed
// tokens. Time advances in fixed steps.
type sim struct {
	plan            *straggle.Plan
	servers         []simServer
	lengths         []int
	runs            map[straggle.RunID]*simRun
	now             time.Duration
	beforeNext      func(s *sim)
	onAction        func(a straggle.Action)
	generatedTokens float64
	prefillBacklog  map[string]float64 // outstanding prefill time by server, in s
	warmPrefixes    map[prefixOnServer]bool
	samplesPerGroup int
	coldStarts      int // starts without a warm prefix
}

type prefixOnServer struct {
	server string
	group  int
}

type simServer struct {
	name  string
	slots int
	speed float64 // 0: frozen
}

type simRun struct {
	action         straggle.Action
	tokens         float64
	chunks         int
	reportedTokens int
	last           time.Duration
}

const (
	simStep                = 10 * time.Millisecond
	simTokenTime           = 0.012   // s
	simTokenTimePerStream  = 0.00025 // s
	simChunkTokens         = 8
	simSingleStreamRate    = 1 / (simTokenTime + simTokenTimePerStream)
	simPrefillTimePerToken = 30e-6 // s
	simPromptTokens        = 250
)

// randomLength returns a lognormal length; half of its variance is shared by
// the group.
func randomLength(r *rand.Rand, group, mean, sigma float64, limit int) int {
	z := math.Sqrt(0.5)*group + math.Sqrt(0.5)*r.NormFloat64()
	return min(limit, max(1, int(mean*math.Exp(sigma*z-sigma*sigma/2))))
}

func newSim(cfg straggle.Config, servers, slots, groups, samples, limit int, seed uint64) *sim {
	s := &sim{runs: map[straggle.RunID]*simRun{}, prefillBacklog: map[string]float64{}, warmPrefixes: map[prefixOnServer]bool{}, samplesPerGroup: samples}
	r := rand.New(rand.NewPCG(seed, 0))
	var gs []straggle.Group
	for i := range groups {
		gs = append(gs, straggle.Group{Samples: samples, MaxTokens: limit, Prefix: uint64(i) * 7919})
		z := r.NormFloat64()
		for range samples {
			s.lengths = append(s.lengths, randomLength(r, z, 300, 0.8, limit))
		}
	}
	for i := range servers {
		s.servers = append(s.servers, simServer{fmt.Sprintf("vm-%d", i), slots, 1})
	}
	s.plan = straggle.New(cfg, gs)
	return s
}

// idealMakespan returns a lower bound of the makespan in s.
func (s *sim) idealMakespan() float64 {
	total, longest, rate := 0, 0, 0.0
	for _, l := range s.lengths {
		total, longest = total+l, max(longest, l)
	}
	for _, sv := range s.servers {
		rate += sv.speed * float64(sv.slots) / (simTokenTime + float64(sv.slots)*simTokenTimePerStream)
	}
	return max(float64(total)/rate, float64(longest)/simSingleStreamRate)
}

func (s *sim) serverView() []straggle.Server {
	count := map[string]int{}
	for _, r := range s.runs {
		count[r.action.Server]++
	}
	var out []straggle.Server
	for _, sv := range s.servers {
		out = append(out, straggle.Server{Name: sv.name, Free: sv.slots - count[sv.name], Running: count[sv.name], Version: 1})
	}
	return out
}

// run runs the step and returns its makespan.
func (s *sim) run() time.Duration {
	for !s.plan.Done() {
		if s.beforeNext != nil {
			s.beforeNext(s)
		}
		for _, a := range s.plan.Next(s.now, s.serverView()) {
			s.apply(a)
		}
		s.now += simStep
		s.advance()
	}
	return s.now
}

func (s *sim) apply(a straggle.Action) {
	if s.onAction != nil {
		s.onAction(a)
	}
	switch a.Kind {
	case straggle.Cancel:
		delete(s.runs, a.Run)
		return
	}
	r := &simRun{action: a, last: s.now}
	r.tokens = float64(s.plan.ResumableTokens(a.Sample))
	if from := s.runs[a.From]; from != nil {
		r.tokens = float64(from.reportedTokens)
	}
	r.reportedTokens = int(r.tokens)
	s.plan.Started(a.Run, r.reportedTokens)
	s.runs[a.Run] = r
	s.prefill(a, r.reportedTokens)
}

func (s *sim) prefill(a straggle.Action, tokens int) {
	at := prefixOnServer{a.Server, a.Sample / s.samplesPerGroup}
	if !s.warmPrefixes[at] {
		s.warmPrefixes[at] = true
		s.coldStarts++
		tokens += simPromptTokens
	}
	s.prefillBacklog[a.Server] += float64(tokens) * simPrefillTimePerToken
}

func (s *sim) advance() {
	count := map[string]int{}
	speed := map[string]float64{}
	for _, r := range s.runs {
		count[r.action.Server]++
	}
	for _, sv := range s.servers {
		busy := min(s.prefillBacklog[sv.name], simStep.Seconds())
		s.prefillBacklog[sv.name] -= busy
		speed[sv.name] = sv.speed * (1 - busy/simStep.Seconds())
	}
	ended := map[straggle.RunID]bool{}
	for id := straggle.RunID(1); int(id) <= s.plan.Stats().Runs; id++ {
		r := s.runs[id]
		if r == nil || ended[id] {
			continue
		}
		made := simStep.Seconds() * speed[r.action.Server] / (simTokenTime + simTokenTimePerStream*float64(count[r.action.Server]))
		r.tokens += made
		s.generatedTokens += made
		if int(r.tokens) >= s.lengths[r.action.Sample] {
			_, cancels := s.plan.Finished(id, s.lengths[r.action.Sample], s.now)
			delete(s.runs, id)
			for _, c := range cancels {
				s.apply(c)
			}
			continue
		}
		if int(r.tokens) >= r.reportedTokens+simChunkTokens {
			r.reportedTokens, r.last, r.chunks = int(r.tokens), s.now, r.chunks+1
			s.plan.Observe(id, r.reportedTokens, r.chunks, 1, s.now)
		}
	}
}
