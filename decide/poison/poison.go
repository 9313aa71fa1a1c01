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
	// QuarantineThreshold is how many servers have to end under a request for it to be
	// refused. Two may end under a bystander that is tried again where the request
	// that ends them goes as well.
	QuarantineThreshold = 3
	// QuarantineTime is how long after the last server ended a request is refused. The
	// servers' software may have been mended by then.
	QuarantineTime = time.Hour
	// probationTime is how much longer it stays a suspect, which the next server that
	// ends under it puts back into quarantine: one server in each Memory.
	probationTime = QuarantineTime
	// MaxRequests bounds the requests of a ledger. Some hundred bytes each.
	MaxRequests = 1024
	// maxCrashesPerRequest bounds the crashes that are kept of one request.
	maxCrashesPerRequest = 2 * QuarantineThreshold
)

// Crash is one server's end under a request.
type Crash struct {
	Request Fingerprint
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

// Status is what is known against one request.
type Status struct {
	Crashes   int       // servers
	LastCrash time.Time // when the last of them ended
}

// Verdict returns what may be done with the request now.
func (s Status) Verdict(now time.Time) Verdict {
	age := now.Sub(s.LastCrash)
	switch {
	case s.Crashes == 0 || age >= s.retention():
		return Clear
	case s.Crashes >= QuarantineThreshold && age < QuarantineTime:
		return Quarantined
	default:
		return Suspect
	}
}

// retention is how long after the last server ended the request is forgotten.
func (s Status) retention() time.Duration {
	if s.Crashes >= QuarantineThreshold {
		return QuarantineTime + probationTime
	}
	return QuarantineTime
}

// ReleaseTime is when a quarantined request may be tried again.
func (s Status) ReleaseTime() time.Time { return s.LastCrash.Add(QuarantineTime) }

// Tracker holds what is known against requests. It is not safe for concurrent use.
type Tracker struct {
	crashes map[Fingerprint][]Crash // the oldest first
}

// NewTracker returns an empty ledger.
func NewTracker() *Tracker { return &Tracker{crashes: map[Fingerprint][]Crash{}} }

// Add notes a crash and tells whether it is news. Others' clocks may be ahead.
func (t *Tracker) Add(c Crash, now time.Time) bool {
	if c.At.After(now) {
		c.At = now
	}
	if now.Sub(c.At) >= QuarantineTime+probationTime || t.contains(c) {
		return false
	}
	list := append(t.crashes[c.Request], c)
	slices.SortStableFunc(list, func(a, b Crash) int { return a.At.Compare(b.At) })
	t.crashes[c.Request] = list[max(0, len(list)-maxCrashesPerRequest):]
	t.evict()
	return t.contains(c)
}

func (t *Tracker) contains(c Crash) bool {
	return slices.ContainsFunc(t.crashes[c.Request], func(known Crash) bool { return known.Server == c.Server })
}

// evict forgets the request that is least likely to end another server: the one
// under which the fewest ended, and of these the oldest.
func (t *Tracker) evict() {
	if len(t.crashes) <= MaxRequests {
		return
	}
	var evicted Fingerprint
	for name := range t.crashes {
		if evicted == "" || t.compareForEviction(name, evicted) < 0 {
			evicted = name
		}
	}
	delete(t.crashes, evicted)
}

func (t *Tracker) compareForEviction(a, b Fingerprint) int {
	x, y := t.crashes[a], t.crashes[b]
	return cmp.Or(cmp.Compare(len(x), len(y)), lastCrash(x).Compare(lastCrash(y)), cmp.Compare(a, b))
}

func lastCrash(list []Crash) time.Time { return list[len(list)-1].At }

// Clear forgets a request, for a server has run it to its end, and returns what was
// known against it.
func (t *Tracker) Clear(request Fingerprint) []Crash {
	cleared := t.crashes[request]
	delete(t.crashes, request)
	return cleared
}

// Remove forgets one crash by its key and tells whether it was known.
func (t *Tracker) Remove(request Fingerprint, key string) bool {
	list := t.crashes[request]
	left := slices.DeleteFunc(slices.Clone(list), func(known Crash) bool { return known.Key() == key })
	if len(left) == 0 {
		delete(t.crashes, request)
	} else {
		t.crashes[request] = left
	}
	return len(left) < len(list)
}

// Expire forgets what is too old and returns it.
func (t *Tracker) Expire(now time.Time) []Crash {
	var expired []Crash
	for name, list := range t.crashes {
		if (Status{Crashes: len(list), LastCrash: lastCrash(list)}).Verdict(now) == Clear {
			expired = append(expired, list...)
			delete(t.crashes, name)
		}
	}
	return expired
}

// CrashCount is how many servers ended under a request, whatever they are attributed to.
func (t *Tracker) CrashCount(request Fingerprint) int { return len(t.crashes[request]) }

// Status returns what is known against a request.
func (t *Tracker) Status(request Fingerprint) Status { return t.Statuses()[request] }

// Statuses returns what is known against all requests.
func (t *Tracker) Statuses() map[Fingerprint]Status {
	maxCrashes := map[string]int{} // of the requests that a server ended under, the most ends of one
	for _, list := range t.crashes {
		for _, c := range list {
			maxCrashes[c.Server] = max(maxCrashes[c.Server], len(list))
		}
	}
	all := make(map[Fingerprint]Status, len(t.crashes))
	for name, list := range t.crashes {
		s := Status{LastCrash: lastCrash(list)}
		for _, c := range list {
			if len(list) == maxCrashes[c.Server] {
				s.Crashes++
			}
		}
		all[name] = s
	}
	return all
}
