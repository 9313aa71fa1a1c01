package straggle

import (
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	rateSmoothing   = 0.3
	speedSmoothing  = 0.3
	gapSmoothing    = 0.1
	crowdingBuckets = 12
	maxWarmGroups   = 32 // prefixes that a server is trusted to keep
)

// rates models engines that batch continuously: one curve for the fleet, the
// rate of a stream by how many run beside it, and one factor per server.
type rates struct {
	curve [crowdingBuckets]float64 // tokens/s of one stream; 0: not seen
}

func crowdingBucket(running int) int {
	return min(bits.Len(uint(max(running, 0))), crowdingBuckets-1)
}

func (r *rates) add(running int, rate float64) {
	at := &r.curve[crowdingBucket(running)]
	*at = smooth(*at, rate, rateSmoothing)
}

// at returns the curve at a crowding, from the nearest bucket that was seen.
func (r *rates) at(running int) float64 {
	b := crowdingBucket(running)
	for d := range crowdingBuckets {
		if b+d < crowdingBuckets && r.curve[b+d] > 0 {
			return r.curve[b+d]
		}
		if b-d >= 0 && r.curve[b-d] > 0 {
			return r.curve[b-d]
		}
	}
	return 0
}

func smooth(old, sample, weight float64) float64 {
	if old == 0 {
		return sample
	}
	return old + weight*(sample-old)
}

type serverState struct {
	hash           uint64
	ownRuns        int     // runs of this plan there
	speed          float64 // against the curve; 0: not measured
	chunkGap       float64 // usual time between chunks, in s
	lastProgressAt time.Duration
	stalls         int           // stalls since the last progress
	excludedUntil  time.Duration // no new work before
	warmGroups     []int         // groups whose prefix it computed, the latest last
}

func (p *Plan) server(name string) *serverState {
	s := p.servers[name]
	if s == nil {
		s = &serverState{hash: xxhash.Sum64String(name)}
		p.servers[name] = s
	}
	return s
}

func (s *serverState) recordProgress(at time.Duration) {
	s.lastProgressAt = max(s.lastProgressAt, at)
	s.stalls = 0
	s.excludedUntil = 0
}

// addWarmGroup notes that the server has the group's prefix in its cache, which is
// limited: only the latest count.
func (s *serverState) addWarmGroup(group int) {
	s.warmGroups = slices.DeleteFunc(s.warmGroups, func(i int) bool { return i == group })
	if len(s.warmGroups) == maxWarmGroups {
		s.warmGroups = slices.Delete(s.warmGroups, 0, 1)
	}
	s.warmGroups = append(s.warmGroups, group)
}

// exclude takes a silent server out for a time that doubles with each stall.
// Without it the samples of a frozen engine would be queued right back to it,
// as its agent still reports free slots.
func (s *serverState) exclude(now time.Duration) {
	if s.excludedUntil > now {
		return
	}
	s.excludedUntil = now + exclusionTime<<min(s.stalls, maxExclusionDoublings)
	s.stalls++
}

// rate predicts the tokens/s of one stream at a server with so many running.
func (p *Plan) rate(s *Server, running int) float64 {
	base := p.rates.at(running)
	if base == 0 {
		base = max(s.StreamRate, 1)
	}
	if speed := p.server(s.Name).speed; speed > 0 {
		return base * speed
	}
	return base
}

type rateSums struct {
	rate, chunkGap float64
	measuredRuns   int
}

// measure updates rates and gaps from what runs did since the last call.
func (p *Plan) measure(ids []RunID, servers []Server) {
	sums := map[string]*rateSums{}
	for _, id := range ids {
		r := p.runs[id]
		if r.chunks <= r.measuredChunks || r.lastChunkAt <= r.measuredAt {
			continue
		}
		span := (r.lastChunkAt - r.measuredAt).Seconds()
		rate := float64(r.tokens-r.measuredTokens) / span
		r.rate = smooth(r.rate, rate, rateSmoothing)
		t := sums[r.server]
		if t == nil {
			t = &rateSums{}
			sums[r.server] = t
		}
		t.rate += rate
		t.chunkGap += span / float64(r.chunks-r.measuredChunks)
		t.measuredRuns++
		r.measuredTokens, r.measuredChunks, r.measuredAt = r.tokens, r.chunks, r.lastChunkAt
	}
	for i := range servers {
		s := &servers[i]
		if t := sums[s.Name]; t != nil {
			p.rates.add(s.Running, t.rate/float64(t.measuredRuns))
		}
	}
	for i := range servers {
		s := &servers[i]
		t := sums[s.Name]
		if t == nil {
			continue
		}
		st := p.server(s.Name)
		st.speed = smooth(st.speed, t.rate/float64(t.measuredRuns)/p.rates.at(s.Running), speedSmoothing)
		st.chunkGap = smooth(st.chunkGap, t.chunkGap/float64(t.measuredRuns), gapSmoothing)
		p.chunkGap = smooth(p.chunkGap, t.chunkGap/float64(t.measuredRuns), gapSmoothing)
	}
}

// serverStallTimeout is the silence after which a running stream counts as stalled.
func (p *Plan) serverStallTimeout(s *Server) time.Duration {
	gap := max(p.chunkGap, p.server(s.Name).chunkGap)
	if gap == 0 {
		return p.cfg.FirstChunkTimeout // the engines' pace isn't known yet
	}
	limit := max(p.cfg.MinStallTimeout, time.Duration(p.cfg.StallFactor*gap*float64(time.Second)))
	if s.Swapping {
		limit *= swappingStallFactor
	}
	return limit
}
