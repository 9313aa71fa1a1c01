package evidence

import (
	"math"
	"slices"
	"time"
)

// troubleOf returns what is wrong with a sample.
func (p *Pool) troubleOf(o Outcome, ratio float64) trouble {
	switch {
	case o == Unreachable:
		return isUnreachable
	case o == Failed:
		return isFailure
	case ratio >= p.cfg.SlowPace*p.medianRatio:
		return isSlow
	}
	return noTrouble
}

// judge ejects a server after a sample with trouble, for all gateways or for the one that
// reported it.
func (p *Pool) judge(now time.Time, sv *server, reporter uint32, t trouble) {
	if t != noTrouble && !sv.ejected(now) {
		if severity, reason := p.verdict(now, sv, t); severity > 0 {
			p.eject(now, sv, ejection{severity: severity, reason: reason, sole: p.sole(now)})
		}
	}
	if p.sole(now) || sv.ejected(now) {
		return
	}
	if t != noTrouble && p.othersAgree(now, sv, reporter, t) {
		return
	}
	sv.observe(now, reporter, t, p.cfg)
}

// othersAgree reports whether the other gateways have the same trouble with the server. It
// is then no matter of one gateway's link.
func (p *Pool) othersAgree(now time.Time, sv *server, reporter uint32, t trouble) bool {
	since := sv.evidenceSince(now, p.cfg)
	slow := p.cfg.SlowPace * p.medianRatio
	samples, troubled := 0, 0
	for i := range sv.filled {
		e := sv.newest(i)
		if e.reporter == reporter || e.sent.Before(since) {
			continue
		}
		switch {
		case t == isSlow && e.ratio > 0:
			samples++
			if e.ratio >= slow {
				troubled++
			}
		case t != isSlow && isResult(e.outcome):
			samples++
			if isFailed(e.outcome) {
				troubled++
			}
		}
	}
	return samples > 0 && float64(troubled) >= p.cfg.FailureShare*float64(samples)
}

// verdict returns the severity of what several gateways, or the only one that uses the
// service, report of a server; 0: nothing that ejects it.
func (p *Pool) verdict(now time.Time, sv *server, t trouble) (severity float64, reason string) {
	if t == isSlow {
		return p.slowness(now, sv), reasonSlow
	}
	share := p.failing(now, sv)
	if share == 0 {
		return 0, ""
	}
	return severityFailing + share, reasonFailing
}

// tally is what one gateway reported of a server.
type tally struct {
	reporter          uint32
	samples, failures int
}

// failing returns the server's share of failures; 0: it isn't failing. The newest samples
// decide, as few of them as suffice, so that earlier answers don't hide a fault.
func (p *Pool) failing(now time.Time, sv *server) float64 {
	if p.failingShare(now, sv, 0, false) == 0 {
		return 0 // what is usual and whom to trust costs a look at all servers
	}
	p.countAlone(now)
	return p.failingShare(now, sv, p.usualShare(now, sv), true)
}

func (p *Pool) failingShare(now time.Time, sv *server, usual float64, trusted bool) float64 {
	var tallies [ringSize]tally
	known := tallies[:0]
	var total tally
	since := sv.evidenceSince(now, p.cfg)
	for i := range sv.filled {
		e := sv.newest(i)
		if !isResult(e.outcome) || e.sent.Before(since) {
			continue
		}
		if trusted && p.distrusted(now, e.reporter) {
			continue
		}
		known = addResult(known, e)
		total.add(e)
		if p.suffices(now, sv, total, known) && total.exceeds(usual) {
			return total.share()
		}
	}
	return 0
}

// usualShare returns the share of failures that a third of the other servers doesn't
// exceed. If all servers fail alike, as under overload, ejecting some would overload the
// others more.
func (p *Pool) usualShare(now time.Time, except *server) float64 {
	since := now.Add(-p.cfg.Recent)
	p.scratch = p.scratch[:0]
	for _, sv := range p.servers {
		if sv == except {
			continue
		}
		var total tally
		for i := range sv.filled {
			e := sv.newest(i)
			if isResult(e.outcome) && !e.sent.Before(since) && !p.distrusted(now, e.reporter) {
				total.add(e)
			}
		}
		if total.samples > 0 {
			p.scratch = append(p.scratch, total.share())
		}
	}
	if len(p.scratch) == 0 {
		return 0
	}
	slices.Sort(p.scratch)
	return p.scratch[len(p.scratch)/3]
}

// suffices reports whether the samples show that the server fails. If several gateways use
// the service it must hold without any one of them.
func (p *Pool) suffices(now time.Time, sv *server, total tally, known []tally) bool {
	sole := p.sole(now)
	samples, failures := p.cfg.MinSamples, p.cfg.MinFailures
	if sv.probation > 0 {
		samples, failures = 2, 2
	}
	if sv.probation > 0 && sole {
		samples, failures = 1, 1
	}
	if total.samples < samples || total.failures < failures || total.share() < p.cfg.FailureShare {
		return false
	}
	if sole {
		return true
	}
	for _, t := range known {
		rest := tally{samples: total.samples - t.samples, failures: total.failures - t.failures}
		if t.failures > 0 && (rest.failures == 0 || rest.share() < p.cfg.FailureShare) {
			return false
		}
	}
	return true
}

// exceeds reports whether there are more failures than chance would give a server that
// fails the usual share of its requests.
func (t tally) exceeds(usual float64) bool {
	const deviations = 3
	expected := float64(t.samples) * usual
	deviation := math.Sqrt(expected * (1 - usual))
	return float64(t.failures) >= expected+deviations*deviation
}

// share returns the share of failures among the samples, of which there is one at least.
func (t tally) share() float64 { return float64(t.failures) / float64(t.samples) }

// isResult reports whether an outcome says if the server works.
func isResult(o Outcome) bool { return o == Answered || isFailed(o) }

func isFailed(o Outcome) bool { return o == Failed || o == Unreachable }

func (t *tally) add(e *entry) {
	t.samples++
	if isFailed(e.outcome) {
		t.failures++
	}
}

func addResult(known []tally, e *entry) []tally {
	for i := range known {
		if known[i].reporter == e.reporter {
			known[i].add(e)
			return known
		}
	}
	known = append(known, tally{reporter: e.reporter})
	known[len(known)-1].add(e)
	return known
}

// slowness returns severitySlow if each of the server's last times is slow, to two
// gateways at least if several use the service, and 0 otherwise.
func (p *Pool) slowness(now time.Time, sv *server) float64 {
	p.countAlone(now)
	since := sv.evidenceSince(now, p.cfg)
	times, first, others := 0, uint32(0), false
	for i := 0; i < sv.filled && times < p.cfg.SlowSamples; i++ {
		e := sv.newest(i)
		if e.ratio == 0 || e.sent.Before(since) {
			continue
		}
		if p.distrusted(now, e.reporter) {
			continue
		}
		if e.ratio < p.cfg.SlowPace*p.medianRatio {
			return 0
		}
		if times == 0 {
			first = e.reporter
		}
		others = others || e.reporter != first
		times++
	}
	if times < p.cfg.SlowSamples || !(others || p.sole(now)) {
		return 0
	}
	return severitySlow
}
