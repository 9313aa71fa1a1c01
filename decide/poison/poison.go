// Package poison detects poison requests (queries of death): requests that crash each
// server that runs them. They are refused before they take a whole service down. The
// package does no I/O and reads no clock: its user passes in crashes and their times.
//
// Of the requests that run at a server when it crashes, all but one are bystanders. Two
// rules distinguish them. First, a bystander is answered by the next server, and a single
// answer clears it. Second, where several requests ran at the same crashed server, the
// crash is attributed to the one with the most crashes. A request is refused only after
// QuarantineThreshold crashes without an answer.
package poison

import (
	"cmp"
	"slices"
	"time"
)

// Limits of a Tracker.
const (
	// QuarantineThreshold is how many servers must crash while they run a request before
	// it is refused. A bystander may see two crashes if it is retried at the same server
	// as the poison request.
	QuarantineThreshold = 3
	// QuarantineTime is how long a request is refused after its last crash. The software
	// of the servers may have been fixed by then.
	QuarantineTime = time.Hour
	// probationTime is how long a request stays a suspect after its quarantine. One crash
	// in this time puts it back into quarantine, so that a request that still crashes
	// servers costs one server per QuarantineTime.
	probationTime = QuarantineTime
	// MaxRequests is the maximum number of requests in a Tracker. Each takes some hundred
	// bytes.
	MaxRequests = 1024
	// maxCrashesPerRequest is the maximum number of crashes kept for one request.
	maxCrashesPerRequest = 2 * QuarantineThreshold
)

// Crash is the crash of one server while it ran a request.
type Crash struct {
	Request Fingerprint
	Server  string // ID of one incarnation of a server
	At      time.Time
}

// Key returns the crash's key in the store, which is unique to its request and server.
func (c Crash) Key() string { return string(c.Request) + "/" + digest(c.Server) }

// Verdict is the decision whether a request may be sent to servers.
type Verdict uint8

const (
	// Clear: no crash is attributed to the request, or its retention has passed.
	Clear Verdict = iota
	// Suspect: a server crashed while it ran the request. It may be sent to one server at
	// a time.
	Suspect
	// Quarantined: the request is sent to no server.
	Quarantined
)

var verdictNames = [...]string{Clear: "clear", Suspect: "suspect", Quarantined: "quarantined"}

// String returns the name of the verdict.
func (v Verdict) String() string { return verdictNames[v] }

// Status sums up the crashes of one request.
type Status struct {
	Crashes   int       // number of crashes that are attributed to the request
	LastCrash time.Time // including crashes that are attributed to other requests
}

// Verdict returns the verdict on the request at the time now.
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

// retention returns how long the request is kept after its last crash.
func (s Status) retention() time.Duration {
	if s.Crashes >= QuarantineThreshold {
		return QuarantineTime + probationTime
	}
	return QuarantineTime
}

// ReleaseTime returns when a quarantined request may be sent to a server again.
func (s Status) ReleaseTime() time.Time { return s.LastCrash.Add(QuarantineTime) }

// Tracker records the crashes of each request. It is not safe for concurrent use.
type Tracker struct {
	crashes map[Fingerprint][]Crash // oldest first
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{crashes: map[Fingerprint][]Crash{}} }

// Add records a crash and reports whether it was new and was kept. A time after now, which
// comes from a process whose clock is ahead, is recorded as now.
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

// evict removes one request if there are more than MaxRequests: the one that is least
// likely to crash another server, which is the one with the fewest crashes and among these
// the one whose last crash is the oldest.
func (t *Tracker) evict() {
	if len(t.crashes) <= MaxRequests {
		return
	}
	var evicted Fingerprint
	for request := range t.crashes {
		if evicted == "" || t.compareForEviction(request, evicted) < 0 {
			evicted = request
		}
	}
	delete(t.crashes, evicted)
}

// compareForEviction orders requests by the order in which they are evicted.
func (t *Tracker) compareForEviction(a, b Fingerprint) int {
	x, y := t.crashes[a], t.crashes[b]
	return cmp.Or(cmp.Compare(len(x), len(y)), lastCrash(x).Compare(lastCrash(y)), cmp.Compare(a, b))
}

func lastCrash(list []Crash) time.Time { return list[len(list)-1].At }

// Clear removes a request that a server has run to its end, and returns its crashes.
func (t *Tracker) Clear(request Fingerprint) []Crash {
	cleared := t.crashes[request]
	delete(t.crashes, request)
	return cleared
}

// Remove removes the crash with a key and reports whether it was recorded.
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

// Expire removes the requests whose retention has passed and returns their crashes.
func (t *Tracker) Expire(now time.Time) []Crash {
	var expired []Crash
	for request, list := range t.crashes {
		if (Status{Crashes: len(list), LastCrash: lastCrash(list)}).Verdict(now) == Clear {
			expired = append(expired, list...)
			delete(t.crashes, request)
		}
	}
	return expired
}

// CrashCount returns how many servers crashed while they ran a request, including crashes
// that are attributed to other requests.
func (t *Tracker) CrashCount(request Fingerprint) int { return len(t.crashes[request]) }

// Status returns the status of a request; the zero Status if it has no crashes.
func (t *Tracker) Status(request Fingerprint) Status { return t.Statuses()[request] }

// Statuses returns the status of each request that has crashes. A crash counts only for
// those with the most crashes among the requests that ran at the crashed server.
func (t *Tracker) Statuses() map[Fingerprint]Status {
	maxCrashes := map[string]int{} // by server: the highest crash count of the requests that it ran
	for _, list := range t.crashes {
		for _, c := range list {
			maxCrashes[c.Server] = max(maxCrashes[c.Server], len(list))
		}
	}
	all := make(map[Fingerprint]Status, len(t.crashes))
	for request, list := range t.crashes {
		s := Status{LastCrash: lastCrash(list)}
		for _, c := range list {
			if len(list) == maxCrashes[c.Server] {
				s.Crashes++
			}
		}
		all[request] = s
	}
	return all
}
