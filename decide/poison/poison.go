// Package poison finds the requests that crash each server that runs them (also
// called queries of death), so that they are refused before they have taken a whole
// service down. It is a pure state: the caller tells it what it saw, and when.
//
// Of the requests that a server has when it ends, all but one are bystanders. Two
// things tell them apart: a bystander is answered by the next server, and one answer
// clears it; and where several were at the same servers, an end is attributed to the
// request under which most servers ended. Only what has ended QuarantineAt servers
// without one answer is refused.
package poison

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of a ledger.
const (
	// QuarantineAt is how many servers have to end under a request for it to be
	// refused. Two may end under a bystander that is tried again where the request
	// that ends them goes as well.
	QuarantineAt = 3
	// Memory is how long after the last server ended a request is refused. The
	// servers' software may have been mended by then.
	Memory = time.Hour
	// relapse is how much longer it stays a suspect, which the next server that
	// ends under it puts back into quarantine: one server in each Memory.
	relapse = Memory
	// RequestsMost bounds the requests of a ledger. Some hundred bytes each.
	RequestsMost = 1024
	// serversMost bounds the crashes that are kept of one request.
	serversMost = 2 * QuarantineAt
)

// Crash is one server's end under a request.
type Crash struct {
	Request Name
	Server  string // one start of a server
	At      time.Time
}

// Key names the crash among all.
func (c Crash) Key() string { return string(c.Request) + "/" + digest(c.Server) }

// Verdict is what may be done with a request.
type Verdict uint8

const (
	// Clear: nothing is known against it.
	Clear Verdict = iota
	// Suspect: a server ended under it. It goes to one server at a time.
	Suspect
	// Quarantined: it goes to no server.
	Quarantined
)

var verdictNames = [...]string{Clear: "clear", Suspect: "suspect", Quarantined: "quarantined"}

func (v Verdict) String() string { return verdictNames[v] }

// Standing is what is known against one request.
type Standing struct {
	Ended int       // servers
	Last  time.Time // when the last of them ended
}

// Verdict returns what may be done with the request now.
func (s Standing) Verdict(now time.Time) Verdict {
	age := now.Sub(s.Last)
	switch {
	case s.Ended == 0 || age >= s.memory():
		return Clear
	case s.Ended >= QuarantineAt && age < Memory:
		return Quarantined
	default:
		return Suspect
	}
}

// memory is how long after the last server ended the request is forgotten.
func (s Standing) memory() time.Duration {
	if s.Ended >= QuarantineAt {
		return Memory + relapse
	}
	return Memory
}

// Release is when a quarantined request may be tried again.
func (s Standing) Release() time.Time { return s.Last.Add(Memory) }

// Ledger holds what is known against requests. It is not safe for concurrent use.
type Ledger struct {
	crashes map[Name][]Crash // the oldest first
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{crashes: map[Name][]Crash{}} }

// Add notes a crash and tells whether it is news. Others' clocks may be ahead.
func (l *Ledger) Add(c Crash, now time.Time) bool {
	if c.At.After(now) {
		c.At = now
	}
	if now.Sub(c.At) >= Memory+relapse || l.has(c) {
		return false
	}
	list := append(l.crashes[c.Request], c)
	slices.SortStableFunc(list, func(a, b Crash) int { return a.At.Compare(b.At) })
	l.crashes[c.Request] = list[max(0, len(list)-serversMost):]
	l.shrink()
	return l.has(c)
}

func (l *Ledger) has(c Crash) bool {
	return slices.ContainsFunc(l.crashes[c.Request], func(known Crash) bool { return known.Server == c.Server })
}

// shrink forgets the request that is least likely to end another server: the one
// under which the fewest ended, and of these the oldest.
func (l *Ledger) shrink() {
	if len(l.crashes) <= RequestsMost {
		return
	}
	var least Name
	for name := range l.crashes {
		if least == "" || l.compare(name, least) < 0 {
			least = name
		}
	}
	delete(l.crashes, least)
}

func (l *Ledger) compare(a, b Name) int {
	x, y := l.crashes[a], l.crashes[b]
	return cmp.Or(cmp.Compare(len(x), len(y)), last(x).Compare(last(y)), cmp.Compare(a, b))
}

func last(list []Crash) time.Time { return list[len(list)-1].At }

// Clear forgets a request, for a server has run it to its end, and returns what was
// known against it.
func (l *Ledger) Clear(request Name) []Crash {
	cleared := l.crashes[request]
	delete(l.crashes, request)
	return cleared
}

// Remove forgets one crash by its key and tells whether it was known.
func (l *Ledger) Remove(request Name, key string) bool {
	list := l.crashes[request]
	left := slices.DeleteFunc(slices.Clone(list), func(known Crash) bool { return known.Key() == key })
	if len(left) == 0 {
		delete(l.crashes, request)
	} else {
		l.crashes[request] = left
	}
	return len(left) < len(list)
}

// Expire forgets what is too old and returns it.
func (l *Ledger) Expire(now time.Time) []Crash {
	var gone []Crash
	for name, list := range l.crashes {
		if (Standing{Ended: len(list), Last: last(list)}).Verdict(now) == Clear {
			gone = append(gone, list...)
			delete(l.crashes, name)
		}
	}
	return gone
}

// Servers is how many servers ended under a request, whatever they are attributed to.
func (l *Ledger) Servers(request Name) int { return len(l.crashes[request]) }

// Standing returns what is known against a request.
func (l *Ledger) Standing(request Name) Standing { return l.Standings()[request] }

// Standings returns what is known against all requests.
func (l *Ledger) Standings() map[Name]Standing {
	most := map[string]int{} // of the requests that a server ended under, the most ends of one
	for _, list := range l.crashes {
		for _, c := range list {
			most[c.Server] = max(most[c.Server], len(list))
		}
	}
	all := make(map[Name]Standing, len(l.crashes))
	for name, list := range l.crashes {
		s := Standing{Last: last(list)}
		for _, c := range list {
			if len(list) == most[c.Server] {
				s.Ended++
			}
		}
		all[name] = s
	}
	return all
}
