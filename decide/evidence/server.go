package evidence

import "time"

const (
	// refusedFactor lowers the limit of a server that refused a request.
	refusedFactor = 0.7
	// sameReporterPause is how long the refusals of one gateway lower a limit only once
	// if others use the service too: it may have trouble of its own.
	sameReporterPause = time.Second
	// minRefusalPause separates refusals of one full queue while typical times are unknown.
	minRefusalPause = 10 * time.Millisecond
)

// entry is what is kept of a sample.
type entry struct {
	sent     time.Time
	ratio    float64 // time over the route's typical time; 0: none that counts
	reporter uint32
	outcome  Outcome
}

// ejection is an ejection for all gateways. It ends at until.
type ejection struct {
	since, until time.Time
	severity     float64
	reason       string
	sole         bool // decided on the word of the only gateway that used the service
}

// server is the state of one incarnation.
type server struct {
	id, name string
	slots    int

	ring   [ringSize]entry
	next   int // index in ring of the next entry
	filled int

	ratio   float64   // mean of the recent ratios; 0: unknown
	timedAt time.Time // when the last ratio was recorded

	limit         float64
	loweredAt     time.Time
	loweredBy     uint32
	unreachable   bool
	unreachableBy uint32 // first gateway that couldn't connect since the last answer

	ejection  ejection
	probation int // answers that it still needs

	views []view // gateways that have trouble with it
}

func (c Config) newServer(s Server) *server {
	sv := &server{id: s.ID, name: s.Name, slots: max(s.Slots, 1)}
	sv.limit = float64(sv.slots)
	return sv
}

// fullLimit returns how many requests the server may have at most.
func (c Config) fullLimit(sv *server) int {
	half := (sv.slots + 1) / 2
	return sv.slots + max(min(c.Pipeline, half), 0)
}

// setSlots applies a change of the number of slots.
func (sv *server) setSlots(c Config, slots int) {
	slots = max(slots, 1)
	if sv.limit >= float64(sv.slots) {
		sv.limit = max(sv.limit, float64(slots))
	}
	sv.slots = slots
	sv.limit = min(sv.limit, float64(c.fullLimit(sv)))
}

// newest returns the i-th newest entry, for i below sv.filled.
func (sv *server) newest(i int) *entry {
	return &sv.ring[(sv.next-1-i+2*ringSize)%ringSize]
}

func (sv *server) add(e entry) {
	sv.ring[sv.next] = e
	sv.next = (sv.next + 1) % ringSize
	sv.filled = min(sv.filled+1, ringSize)
}

// ejected reports whether the server is ejected for all gateways.
func (sv *server) ejected(now time.Time) bool { return now.Before(sv.ejection.until) }

// evidenceSince returns since when samples count: those sent before the server returned
// from an ejection say nothing about its return.
func (sv *server) evidenceSince(now time.Time, c Config) time.Time {
	since := now.Add(-c.Recent)
	if !sv.ejected(now) && sv.ejection.until.After(since) {
		return sv.ejection.until
	}
	return since
}

// answered raises the limit and counts towards the end of a probation.
func (sv *server) answered(now, sent time.Time, c Config) {
	sv.unreachable, sv.unreachableBy = false, 0
	full := float64(c.fullLimit(sv))
	if sv.probation == 0 {
		sv.limit = min(sv.limit+1/sv.limit, full)
		return
	}
	if sv.ejected(now) || sent.Before(sv.ejection.until) {
		return
	}
	sv.probation--
	if sv.probation == 0 {
		sv.limit = full
	}
}

// refused lowers the limit, at most once in pause.
func (sv *server) refused(now time.Time, reporter uint32, pause time.Duration) {
	if now.Sub(sv.loweredAt) < pause {
		return
	}
	sv.loweredAt, sv.loweredBy = now, reporter
	sv.limit = max(sv.limit*refusedFactor, 1)
}

// noConnection notes that a gateway couldn't connect. It reports whether the server counts
// as unreachable: two gateways, or the only user, found it so since its last answer.
func (sv *server) noConnection(reporter uint32, sole bool) bool {
	if sv.unreachableBy == 0 {
		sv.unreachableBy = reporter
	}
	if sole || sv.unreachableBy != reporter {
		sv.unreachable = true
	}
	return sv.unreachable
}

// lastResort returns how many requests the server, which is ejected or on probation, may have if
// they would be refused otherwise.
func (sv *server) lastResort(c Config) int {
	var total tally
	for i := range sv.filled {
		if e := sv.newest(i); isResult(e.outcome) {
			total.add(e)
		}
	}
	switch {
	case sv.unreachable || total.failures > 0 && total.samples == total.failures:
		return 0 // without results it is slow: its requests were given up
	case total.failures > 0 && total.share() > c.UsefulShare:
		return 1
	}
	return sv.slots
}

// limitAt returns how many requests the server may have, and why not more.
func (sv *server) limitAt(now time.Time, c Config) (int, string) {
	switch {
	case sv.ejected(now):
		return 1, sv.ejection.reason
	case sv.unreachable:
		return 1, reasonUnreachable
	case sv.probation > 0:
		return 1, reasonProbation
	}
	if limit := int(sv.limit); limit < sv.slots {
		return limit, reasonRefuses
	}
	return int(sv.limit), ""
}
