package evidence

import (
	"math/bits"
	"time"
)

// view is what one gateway that has trouble with a server has seen of it.
type view struct {
	reporter uint32
	history  uint8 // newest in the lowest bit; 1: trouble
	samples  uint8 // bits of history that are set or clear by a sample
	strikes  uint8 // ejections in a row
	answers  uint8 // in a row, since the last trouble
	at       time.Time
	until    time.Time // end of the ejection
}

const (
	historyBits = 8
	maxStrikes  = 16
)

// trouble is what is wrong with a sample.
type trouble uint8

const (
	noTrouble trouble = iota
	isSlow
	isFailure
	isUnreachable
)

// samplesFor returns how many samples with that trouble eject a server for the gateway
// that reports them. One connection that can't be opened is enough: to the gateway any
// other server is as good, and each attempt may cost it a timeout.
func (c Config) samplesFor(t trouble) int {
	switch t {
	case isUnreachable:
		return 1
	case isFailure:
		return c.MinFailures
	default:
		return c.SlowSamples
	}
}

// viewOf returns the index of a gateway's view, or -1.
func (sv *server) viewOf(reporter uint32) int {
	for i := range sv.views {
		if sv.views[i].reporter == reporter {
			return i
		}
	}
	return -1
}

// ejectedFor reports whether the server is ejected for that gateway alone.
func (sv *server) ejectedFor(now time.Time, reporter uint32) bool {
	i := sv.viewOf(reporter)
	return i >= 0 && now.Before(sv.views[i].until)
}

// observe adds a sample to its gateway's view. It keeps no view without trouble.
func (sv *server) observe(now time.Time, reporter uint32, t trouble, c Config) {
	i := sv.viewOf(reporter)
	if i < 0 {
		if t == noTrouble {
			return
		}
		i = sv.addView(reporter)
	}
	v := &sv.views[i]
	if now.Sub(v.at) > c.Recent {
		*v = view{reporter: reporter}
	}
	v.at = now
	v.history <<= 1
	v.samples = min(v.samples+1, historyBits)
	if t != noTrouble {
		v.history |= 1
		v.answers = 0
		v.judge(now, t, c, sv.samplesSince(now.Add(-c.Recent)))
		return
	}
	v.answers++
	healed := v.strikes > 0 && int(v.answers) >= c.ProbationAnswers
	if healed || v.history == 0 {
		sv.dropView(i)
	}
}

// judge ejects the server for the gateway if its samples suffice.
func (v *view) judge(now time.Time, t trouble, c Config, pooled int) {
	if now.Before(v.until) {
		return
	}
	seen := bits.OnesCount8(v.history)
	again := v.strikes > 0
	enough := seen >= c.samplesFor(t) && float64(seen) >= c.FailureShare*float64(v.samples)
	if t == isFailure && pooled < c.MinSamples {
		enough = false
	}
	if !again && !enough {
		return
	}
	v.strikes = min(v.strikes+1, maxStrikes)
	v.until = now.Add(c.ejection(int(v.strikes)))
}

// addView adds an empty view and returns its index. It replaces the oldest one if there
// are too many.
func (sv *server) addView(reporter uint32) int {
	if len(sv.views) < maxViews {
		sv.views = append(sv.views, view{reporter: reporter})
		return len(sv.views) - 1
	}
	oldest := 0
	for i := range sv.views {
		if sv.views[i].at.Before(sv.views[oldest].at) {
			oldest = i
		}
	}
	sv.views[oldest] = view{reporter: reporter}
	return oldest
}

func (sv *server) dropView(i int) {
	last := len(sv.views) - 1
	sv.views[i] = sv.views[last]
	sv.views = sv.views[:last]
}

// samplesSince returns how many samples of the server were sent since then.
func (sv *server) samplesSince(since time.Time) int {
	n := 0
	for i := range sv.filled {
		if !sv.newest(i).sent.Before(since) {
			n++
		}
	}
	return n
}

// onlyTroubled returns the gateway that had the server ejected for itself since then, if no
// other one had; otherwise 0.
func (sv *server) onlyTroubled(since time.Time) uint32 {
	only := uint32(0)
	for i := range sv.views {
		v := &sv.views[i]
		if v.strikes == 0 || v.at.Before(since) {
			continue
		}
		if only != 0 {
			return 0
		}
		only = v.reporter
	}
	return only
}

// countAlone counts for each gateway the servers with which it alone has trouble.
func (p *Pool) countAlone(now time.Time) {
	clear(p.alone)
	since := now.Add(-p.cfg.Recent)
	for _, sv := range p.servers {
		if reporter := sv.onlyTroubled(since); reporter != 0 {
			p.alone[reporter]++
		}
	}
}

// distrusted reports whether a gateway alone has trouble with so many servers that its own
// link or VM is the likely cause. Its reports then count for itself only. It goes by the
// last countAlone.
func (p *Pool) distrusted(now time.Time, reporter uint32) bool {
	if p.sole(now) {
		return false // there is nobody to compare it with
	}
	quarter := (len(p.servers) + 3) / 4
	return p.alone[reporter] >= max(quarter, 2)
}
