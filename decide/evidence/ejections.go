package evidence

import "time"

// Reasons of limits and ejections.
const (
	reasonUnknown     = "unknown server"
	reasonFailing     = "failing"
	reasonSlow        = "slow"
	reasonFlapping    = "flapping"
	reasonUnreachable = "unreachable"
	reasonProbation   = "on probation"
	reasonRefuses     = "refuses requests"
	reasonOwnTrouble  = "failing or slow for this gateway"
)

// Severities of ejections. A failing server's is severityFailing plus its share of
// failures.
const (
	severitySlow    = 1.0
	severityFailing = 2.0
	// severityMargin is how much worse a server must be to be ejected in place of
	// another: without it two alike would take turns.
	severityMargin = 0.3
)

// name is what is remembered of a name across incarnations.
type name struct {
	strikes  int       // ejections in a row
	until    time.Time // end of the last ejection
	failedAt time.Time // of the last ejection, or when it was found unreachable
}

// nameOf returns what is remembered of a server's name.
func (p *Pool) nameOf(sv *server) *name {
	if sv.name == "" {
		return p.names.ensure(sv.id)
	}
	return p.names.ensure(sv.name)
}

// eject ejects a server for all gateways, unless too many are ejected already and none of
// them is in a better state.
func (p *Pool) eject(now time.Time, sv *server, e ejection) {
	if !p.makeRoom(now, e.severity) {
		return
	}
	n := p.nameOf(sv)
	if now.Sub(n.until) > p.cfg.ForgetAfter {
		n.strikes = 0
	}
	n.strikes++
	n.failedAt = now
	n.until = now.Add(p.cfg.ejection(n.strikes))
	e.since, e.until = now, n.until
	sv.ejection = e
	sv.probation = p.cfg.ProbationAnswers
	// The gateways' trouble was the server's.
	sv.views = sv.views[:0]
}

// maxEjected returns how many of n servers may be ejected for all at a time. A third at
// least stays: failing servers are better than none.
func maxEjected(n int) int { return n - (n+2)/3 }

// makeRoom reports whether a server of that severity may be ejected. If there is no room
// it lets the least severe ejected server return, if that one is clearly better.
func (p *Pool) makeRoom(now time.Time, severity float64) bool {
	count, least := p.ejectedServers(now)
	if count < maxEjected(len(p.servers)) {
		return true
	}
	if count == 0 || least.ejection.severity+severityMargin > severity {
		return false
	}
	least.ejection.until = now
	return true
}

// ejectedServers returns how many servers are ejected for all, and the least severe one;
// of several the first by id.
func (p *Pool) ejectedServers(now time.Time) (count int, least *server) {
	for _, sv := range p.servers {
		if !sv.ejected(now) {
			continue
		}
		count++
		if least == nil || sv.lessSevere(least) {
			least = sv
		}
	}
	return count, least
}

func (sv *server) lessSevere(other *server) bool {
	if sv.ejection.severity != other.ejection.severity {
		return sv.ejection.severity < other.ejection.severity
	}
	return sv.id < other.id
}
