package fetch

import "time"

// Delays of calls to a store that turns everybody away.
const (
	// delayFirst is the first delay; each further refusal doubles it, each answer
	// halves it.
	delayFirst = 50 * time.Millisecond
	// delayMost is the longest delay of few processes: a store that is back after an
	// outage is found within it. delayPerProcess is added for each one, since they
	// share the store's rate: 300 of them with four loops each make 800 calls a
	// second then.
	delayMost       = 400 * time.Millisecond
	delayPerProcess = 4 * time.Millisecond
)

// Delays are how long calls are held back while the store refuses their like. 300
// processes that found their calls refused (the rate of all together was spent) sent
// each through two peers more, which were refused too: three times the calls, nobody
// followed the log for 20 s at a time, and of a calm day 0.06 was served. Its zero value
// is ready. It is not safe for concurrent use.
type Delays struct {
	by map[string]time.Duration // by what was refused
}

// Of returns the delay of a call that any of some kinds of refusal may meet.
func (d *Delays) Of(kinds ...string) time.Duration {
	longest := time.Duration(0)
	for _, kind := range kinds {
		longest = max(longest, d.by[kind])
	}
	return longest
}

// Refused notes a refusal of a kind to all of some processes.
func (d *Delays) Refused(kind string, processes int) {
	if d.by == nil {
		d.by = map[string]time.Duration{}
	}
	most := delayMost + time.Duration(processes)*delayPerProcess
	d.by[kind] = min(most, max(delayFirst, 2*d.by[kind]))
}

// Answered notes that the store took a call.
func (d *Delays) Answered(kinds ...string) {
	for _, kind := range kinds {
		delay := d.by[kind] / 2
		if delay < delayFirst {
			delete(d.by, kind)
			continue
		}
		d.by[kind] = delay
	}
}

const (
	// patienceFirst is the extra time of a call after the first one that was cut off.
	patienceFirst = 900 * time.Millisecond
	// patienceMost is the most that a call gets beyond its usual time: 75 processes
	// that read a MB each at 80 MB/s take one second.
	patienceMost = 1200 * time.Millisecond
)

// Patience is how much longer than usual calls may take that can't be made in pieces.
// Large records that all processes read at once (a configuration of half a MB in 75
// processes) take longer than a read of a store that answers usually does. Cut off
// and made anew with the same limit, such reads only add to each other's load, and
// a configuration was in force 3.4 s late; so each one that is cut off while the
// store answers gives the next one twice the time. Its zero value is ready. It is not
// safe for concurrent use.
type Patience struct {
	extra map[string]time.Duration // by kind of call
}

// Of returns the extra time of a call of a kind.
func (p *Patience) Of(kind string) time.Duration { return p.extra[kind] }

// Answered notes that a call came to its end.
func (p *Patience) Answered(kind string) { delete(p.extra, kind) }

// CutOff notes that a call was given up while the store answered others.
func (p *Patience) CutOff(kind string) {
	if p.extra == nil {
		p.extra = map[string]time.Duration{}
	}
	p.extra[kind] = min(patienceMost, max(patienceFirst, 2*p.extra[kind]))
}
