package evidence

import (
	"math"
	"slices"
	"time"
)

const (
	// maxRatio bounds the effect of one sample on a server's pace.
	maxRatio = 16
	// maxRouteStep bounds one time that is learnt for a route, as a multiple of the mean.
	maxRouteStep = 4
	// routeWeight is the least weight of the newest time in a route's mean.
	routeWeight = 1.0 / 32
	// paceHalfLife is the time without samples in which half of what a server's pace
	// differs from 1 is forgotten, so that it is tried again.
	paceHalfLife = 5 * time.Second
)

// route is the state of one route.
type route struct {
	mean    float64 // seconds that a typical server takes
	samples int
}

// learn adds the time of an answer, in seconds, which a typical server would have given.
func (r *route) learn(seconds float64) {
	if r.samples > 0 {
		seconds = min(seconds, maxRouteStep*r.mean)
	}
	r.samples++
	weight := max(routeWeight, 1/float64(r.samples))
	r.mean += (seconds - r.mean) * weight
}

// TypicalTime returns the time that a typical server takes for a request of the route;
// 0: unknown.
func (p *Pool) TypicalTime(name string) time.Duration {
	r := p.routes.find(name)
	if r == nil {
		return 0
	}
	return time.Duration(r.mean * float64(time.Second))
}

// timeRatio learns from the time of a sample and returns its ratio to the route's typical
// time; 0: the sample says nothing about time.
func (p *Pool) timeRatio(sv *server, s Sample) float64 {
	if s.Took <= 0 || s.Outcome == Refused || s.Outcome == Unreachable {
		return 0
	}
	r := p.routes.ensure(s.Route)
	seconds := s.Took.Seconds()
	if s.Outcome == Answered {
		ratio := 1.0
		if r.samples > 0 {
			ratio = seconds / r.mean
		}
		r.learn(seconds / p.relativePace(sv))
		return min(ratio, maxRatio)
	}
	// The answer would have taken longer, or wasn't the one that was asked for.
	if r.samples == 0 || seconds/r.mean <= p.expectedRatio(sv) {
		return 0
	}
	return min(seconds/r.mean, maxRatio)
}

// expectedRatio returns the mean ratio that the server's next time is expected to have.
func (p *Pool) expectedRatio(sv *server) float64 {
	if sv.ratio == 0 {
		return p.medianRatio
	}
	return sv.ratio
}

// relativePace returns the server's pace relative to the median server's. Routes' times
// are learnt net of it, so that they don't depend on which servers were asked.
func (p *Pool) relativePace(sv *server) float64 {
	return p.expectedRatio(sv) / p.medianRatio
}

// paceAt returns the server's pace as far as its samples still count.
func (p *Pool) paceAt(now time.Time, sv *server) float64 {
	if sv.ratio == 0 {
		return 1
	}
	pace := p.relativePace(sv)
	age := now.Sub(sv.timedAt)
	if age <= 0 {
		return pace
	}
	kept := math.Exp2(-float64(age) / float64(paceHalfLife))
	return 1 + (pace-1)*kept
}

// updateMedian recomputes the median of the servers' ratios once as many samples came as
// there are servers. With an even number the faster one of the middle counts.
func (p *Pool) updateMedian(now time.Time) {
	p.sinceMedian++
	if p.sinceMedian < len(p.servers) {
		return
	}
	p.sinceMedian = 0
	p.scratch = p.scratch[:0]
	for _, sv := range p.servers {
		if sv.ratio > 0 && now.Sub(sv.timedAt) <= p.cfg.Recent {
			p.scratch = append(p.scratch, sv.ratio)
		}
	}
	if len(p.scratch) == 0 {
		return
	}
	slices.Sort(p.scratch)
	p.medianRatio = p.scratch[(len(p.scratch)-1)/2]
}

// meanRatio returns the mean ratio of the server's samples that were sent since then, the
// median server's as one sample among them; 0: no sample.
func (sv *server) meanRatio(since time.Time, median float64) float64 {
	samples, sum := 1, median
	for i := range sv.filled {
		e := sv.newest(i)
		if e.ratio == 0 || e.sent.Before(since) {
			continue
		}
		samples++
		sum += e.ratio
	}
	if samples == 1 {
		return 0
	}
	return sum / float64(samples)
}
