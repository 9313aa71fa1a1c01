package permits

import (
	"cmp"
	"slices"
	"time"

	"dandelionsill.org/decide/evidence"
)

// Overview is the state of a broker as operators are shown it. Its size does not grow with
// the number of asks and organisations.
type Overview struct {
	Places  int // of the servers that count
	InUse   int // of all servers, with permits that an earlier broker granted
	Waiting Waiting
	Refused Refusals
	// OldestWait is how long the oldest queued ask has waited.
	OldestWait time.Duration
	// DrainRate is the typical seconds of work that the servers do in a second, as of the
	// broker's last call.
	DrainRate float64
	// Organisations is how many organisations have asks that wait or permits in use.
	Organisations int
	// Top holds those of them with the most asks that wait, then the most permits in use.
	Top []OrganisationLoad
}

// Waiting is the number of queued asks by group.
type Waiting struct {
	Internal int // calls of samples
	Callers  int
	Late     int // callers' asks that can't be answered in time any more
}

// Total returns the number of all queued asks.
func (w Waiting) Total() int { return w.Internal + w.Callers + w.Late }

// Refusals is the number of asks refused within the last second, by reason.
type Refusals struct {
	Overloaded       int
	DeadlineTooShort int
	NoServer         int
	NoWait           int // asks that may not wait, such as second copies of a request
}

// Total returns the number of all refusals.
func (r Refusals) Total() int { return r.Overloaded + r.DeadlineTooShort + r.NoServer + r.NoWait }

// OrganisationLoad is what an organisation has at a broker.
type OrganisationLoad struct {
	Organisation   string
	Waiting, InUse int
}

// Overview returns the state at a time, with at most that many organisations.
func (b *Broker) Overview(now time.Time, organisations int) Overview {
	o := Overview{
		Places: b.capacity.places,
		InUse:  len(b.permits) + len(b.orphans),
		Waiting: Waiting{
			Internal: b.lanes[laneInternal].Waiting(), Callers: b.lanes[laneCallers].Waiting(), Late: b.lanes[laneLate].Waiting(),
		},
		Refused:   b.refusals.sum(now),
		DrainRate: b.drainRate(),
	}
	for _, w := range b.waiters {
		o.OldestWait = max(o.OldestWait, now.Sub(w.arrived))
	}
	top := b.organisations()
	o.Organisations = len(top)
	o.Top = top[:min(organisations, len(top))]
	return o
}

// ServerReports returns what is known of the servers, by id.
func (b *Broker) ServerReports(now time.Time) []evidence.ServerReport { return b.evidence.Report(now) }

// organisations returns what each organisation has, the one with the most asks first.
func (b *Broker) organisations() []OrganisationLoad {
	byName := make(map[string]OrganisationLoad)
	for _, w := range b.waiters {
		if !w.Internal {
			l := byName[w.Organisation]
			l.Waiting++
			byName[w.Organisation] = l
		}
	}
	for _, held := range []map[AskID]*permit{b.permits, b.orphans} {
		for _, p := range held {
			if !p.internal && !p.takenOver {
				l := byName[p.organisation]
				l.InUse++
				byName[p.organisation] = l
			}
		}
	}
	loads := make([]OrganisationLoad, 0, len(byName))
	for name, l := range byName {
		l.Organisation = name
		loads = append(loads, l)
	}
	slices.SortFunc(loads, func(x, y OrganisationLoad) int {
		return cmp.Or(cmp.Compare(y.Waiting, x.Waiting), cmp.Compare(y.InUse, x.InUse), cmp.Compare(x.Organisation, y.Organisation))
	})
	return loads
}

// refusals counts the asks refused within the last second, by reason.
type refusals struct {
	overloaded, tooShort, noServer, noWait counter
}

func (r *refusals) add(now time.Time, w *waiter, why Refusal) {
	switch {
	case why == NoServer:
		r.noServer.add(now, 1)
	case w.NoWait:
		r.noWait.add(now, 1)
	case why == DeadlineTooShort:
		r.tooShort.add(now, 1)
	default:
		r.overloaded.add(now, 1)
	}
}

func (r *refusals) sum(now time.Time) Refusals {
	return Refusals{
		Overloaded: r.overloaded.sum(now), DeadlineTooShort: r.tooShort.sum(now),
		NoServer: r.noServer.sum(now), NoWait: r.noWait.sum(now),
	}
}
