package evidence

import (
	"cmp"
	"slices"
	"time"
)

// ServerReport is what operators are shown of a server.
type ServerReport struct {
	Server  string // incarnation
	Name    string
	Slots   int
	Limit   int // requests at once
	Pace    float64
	Reason  string // why the limit is lowered or the server is ejected
	Samples int    // recent samples
	// Reporters is how many gateways the recent samples came from.
	Reporters int
	// EjectedSince and EjectedUntil are zero if the server isn't ejected for all.
	EjectedSince, EjectedUntil time.Time
	// EjectedFor is for how many single gateways the server is ejected.
	EjectedFor int
	// Probation is how many answers it needs until it is trusted again; 0: it is trusted.
	Probation int
}

// Report returns the state of all servers, by id.
func (p *Pool) Report(now time.Time) []ServerReport {
	reports := make([]ServerReport, 0, len(p.servers))
	for _, sv := range p.servers {
		reports = append(reports, p.reportOf(now, sv))
	}
	slices.SortFunc(reports, func(a, b ServerReport) int { return cmp.Compare(a.Server, b.Server) })
	return reports
}

func (p *Pool) reportOf(now time.Time, sv *server) ServerReport {
	r := ServerReport{Server: sv.id, Name: sv.name, Slots: sv.slots, Pace: p.paceAt(now, sv), Probation: sv.probation}
	r.Limit, r.Reason = sv.limitAt(now, p.cfg)
	if sv.ejected(now) {
		r.EjectedSince, r.EjectedUntil = sv.ejection.since, sv.ejection.until
	}
	for i := range sv.views {
		if now.Before(sv.views[i].until) {
			r.EjectedFor++
		}
	}
	since := now.Add(-p.cfg.Recent)
	r.Samples = sv.samplesSince(since)
	reporters := map[uint32]bool{}
	for i := range sv.filled {
		if e := sv.newest(i); !e.sent.Before(since) {
			reporters[e.reporter] = true
		}
	}
	r.Reporters = len(reporters)
	return r
}
