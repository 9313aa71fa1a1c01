package fetch

import "time"

// Delays of calls to a store that turns everybody away.
const (
	// delayFirst is the first delay; each further refusal doubles it.
	initialDelay = 50 * time.Millisecond
	// awayMost is the longest delay of few processes while a part of the store is away:
	// its return is found within it. awayPerProcess is added for each one: the calls of a
	// thousand processes with four loops each are 3,000 a second then.
	maxUnavailableDelay        = 300 * time.Millisecond
	unavailableDelayPerProcess = time.Millisecond
	// spentMost and spentPerProcess are the same while the rate of calls of all together
	// is spent: 300 processes make 800 calls a second then.
	maxRateLimitDelay        = 400 * time.Millisecond
	rateLimitDelayPerProcess = 4 * time.Millisecond
)

// Refusal is why the store turned a call away.
type Refusal uint8

const (
	// Away: the part of the store that the call is about is away. Once it answers it is
	// back, and calls come as fast as ever: those that went on to be held back after an
	// outage of 7 s left steps without an owner for 1.7 s more.
	Unavailable Refusal = iota
	// Spent: the calls of all processes together are more than the store takes. An
	// answer shows that they are fewer, so that the delay is halved.
	RateLimited
)

// Delays are how long calls are held back while the store refuses their like. 300
// processes that found their calls refused (the rate of all together was spent) sent
// each through two peers more, which were refused too: three times the calls, nobody
// followed the log for 20 s at a time, and of a calm day 0.06 was served. Its zero value
// is ready. It is not safe for concurrent use.
type Delays struct {
	unavailable map[string]time.Duration // by part
	rateLimited time.Duration
}

// Of returns the delay of a call to a part of the store.
func (d *Delays) Of(part string) time.Duration { return max(d.rateLimited, d.unavailable[part]) }

// Refused notes that the store turns a call to a part of it away, for all of some
// processes.
func (d *Delays) RecordRefusal(part string, why Refusal, processes int) {
	if why == RateLimited {
		d.rateLimited = increase(d.rateLimited, maxRateLimitDelay+time.Duration(processes)*rateLimitDelayPerProcess)
		return
	}
	if d.unavailable == nil {
		d.unavailable = map[string]time.Duration{}
	}
	d.unavailable[part] = increase(d.unavailable[part], maxUnavailableDelay+time.Duration(processes)*unavailableDelayPerProcess)
}

func increase(delay, maxDelay time.Duration) time.Duration {
	return min(maxDelay, max(initialDelay, 2*delay))
}

// Answered notes that the store took a call to a part of it.
func (d *Delays) RecordAnswer(part string) {
	delete(d.unavailable, part)
	if d.rateLimited /= 2; d.rateLimited < initialDelay {
		d.rateLimited = 0
	}
}

const (
	// patienceFirst is the extra time of a call after the first one that was cut off.
	initialExtraTime = 900 * time.Millisecond
	// patienceMost is the most that a call gets beyond its usual time: 75 processes
	// that read a MB each at 80 MB/s take one second.
	maxExtraTime = 1200 * time.Millisecond
)

// Patience is how much longer than usual calls may take that can't be made in pieces.
// Large records that all processes read at once (a configuration of many routes) take
// longer than a read of a store that answers usually does. Cut off and made anew with
// the same limit, such reads only add to each other's load, and a configuration is in
// force late; so each one that is cut off while the store answers gives the next one
// twice the time. Its zero value is ready. It is not
// safe for concurrent use.
type ExtraTime struct {
	extra map[string]time.Duration // by kind of call
}

// Of returns the extra time of a call of a kind.
func (p *ExtraTime) Of(kind string) time.Duration { return p.extra[kind] }

// Answered notes that a call came to its end.
func (p *ExtraTime) RecordAnswer(kind string) { delete(p.extra, kind) }

// CutOff notes that a call was given up while the store answered others.
func (p *ExtraTime) RecordTimeout(kind string) {
	if p.extra == nil {
		p.extra = map[string]time.Duration{}
	}
	p.extra[kind] = min(maxExtraTime, max(initialExtraTime, 2*p.extra[kind]))
}
