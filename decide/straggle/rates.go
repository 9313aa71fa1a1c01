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
	maxWarmGroups   = 32 // prefixes that a server is assumed to keep in its cache
)

// rates models engines with continuous batching: one curve for the whole
// fleet, the rate of a stream by the number of streams on its server, and one
// speed factor per server.
type rates struct {
	curve [crowdingBuckets]float64 // tokens/s of one stream; 0: not measured
}

func crowdingBucket(running int) int {
	return min(bits.Len(uint(max(running, 0))), crowdingBuckets-1)
}

func (r *rates) add(running int, rate float64) {
	at := &r.curve[crowdingBucket(running)]
	*at = smooth(*at, rate, rateSmoothing)
}

// at returns the curve's rate for the given number of running streams, from
// the nearest measured bucket; 0 if there is none.
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

// smooth returns an exponentially weighted moving average. An old value of 0
// means that there is none yet.
func smooth(old, sample, weight float64) float64 {
	if old == 0 {
		return sample
	}
	return old + weight*(sample-old)
}

// serverState is what the plan has learned about a server.
type serverState struct {
	hash           uint64
	ownRuns        int     // runs of this plan on the server
	speed          float64 // relative to the curve; 0: not measured
	chunkGap       float64 // smoothed time between chunks, in s
	lastProgressAt time.Duration
	stalls         int           // since the last progress
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

// addWarmGroup records that the server has the group's prefix in its cache.
// The cache is limited, so only the latest groups are kept.
func (s *serverState) addWarmGroup(group int) {
	s.warmGroups = slices.DeleteFunc(s.warmGroups, func(i int) bool { return i == group })
	if len(s.warmGroups) == maxWarmGroups {
		s.warmGroups = slices.Delete(s.warmGroups, 0, 1)
	}
	s.warmGroups = append(s.warmGroups, group)
}

// exclude excludes a stalled server from new work for a time that doubles with
// each stall. Otherwise the samples of a frozen engine would be sent straight
// back to it, because its agent still reports free slots.
func (s *serverState) exclude(now time.Duration) {
	if s.excludedUntil > now {
		return
	}
	s.excludedUntil = now + exclusionTime<<min(s.stalls, maxExclusionDoublings)
	s.stalls++
}

// rate predicts the tokens/s of one stream on a server that runs the given
// number of streams.
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

// rateSums adds up the rates and chunk gaps of one server's runs.
type rateSums struct {
	rate, chunkGap float64
	measuredRuns   int
}

// measure updates rates and chunk gaps from the runs' progress since the last
// measurement.
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

// serverStallTimeout returns the time without a chunk after which a running
// stream on s counts as stalled.
func (p *Plan) serverStallTimeout(s *Server) time.Duration {
	gap := max(p.chunkGap, p.server(s.Name).chunkGap)
	if gap == 0 {
		return p.cfg.FirstChunkTimeout // no time between chunks measured yet
	}
	limit := max(p.cfg.MinStallTimeout, time.Duration(p.cfg.StallFactor*gap*float64(time.Second)))
	if s.Swapping {
		limit *= swappingStallFactor
	}
	return limit
}
