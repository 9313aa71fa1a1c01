package fetch

import "time"

// Delays of calls to a store that refuses calls from all processes.
const (
	// initialDelay is the first delay; each further refusal doubles it.
	initialDelay = 50 * time.Millisecond
	// maxUnavailableDelay is the longest delay for a small number of processes while a
	// part of the store is unavailable; its return is detected within this time.
	// unavailableDelayPerProcess is added for each process: a thousand processes with
	// four loops each then make 3,000 calls per second.
	maxUnavailableDelay        = 300 * time.Millisecond
	unavailableDelayPerProcess = time.Millisecond
	// maxRateLimitDelay and rateLimitDelayPerProcess are the same for calls that exceed
	// the common rate limit of all processes: 300 processes then make 800 calls per
	// second.
	maxRateLimitDelay        = 400 * time.Millisecond
	rateLimitDelayPerProcess = 4 * time.Millisecond
)

// Refusal is the reason for which the store refused a call.
type Refusal uint8

const (
	// Unavailable means that the part of the store that the call concerns is
	// unavailable. The first answer shows that it is available again, and the delay
	// ends at once: processes that still delayed their calls after an outage of 7 s
	// left steps without an owner for 1.7 s more.
	Unavailable Refusal = iota
	// RateLimited means that the calls of all processes together exceed what the store
	// accepts. An answer shows that there are fewer calls, so the delay is halved.
	RateLimited
)

// Delays holds how long calls are delayed while the store refuses similar calls.
// Without it, 300 processes that exceeded the common rate limit retried each refused
// call through two more peers, which were refused too. This tripled the number of
// calls: no process followed the log for 20 s at a time, and only 0.06 of
// a quiet day's load was served. The zero value is ready to use. It is not safe for
// concurrent use.
type Delays struct {
	unavailable map[string]time.Duration // by part
	rateLimited time.Duration
}

// Of returns the delay of a call to a part of the store.
func (d *Delays) Of(part string) time.Duration { return max(d.rateLimited, d.unavailable[part]) }

// RecordRefusal records that the store refused a call to a part of it. processes is the
// number of processes that share the store.
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

// RecordAnswer records that the store accepted a call to a part of it.
func (d *Delays) RecordAnswer(part string) {
	delete(d.unavailable, part)
	if d.rateLimited /= 2; d.rateLimited < initialDelay {
		d.rateLimited = 0
	}
}

const (
	// initialExtraTime is the extra time of a call after the first timeout.
	initialExtraTime = 900 * time.Millisecond
	// maxExtraTime is the maximum extra time of a call. 75 processes that read 1 MB
	// each at 80 MB/s take one second.
	maxExtraTime = 1200 * time.Millisecond
)

// ExtraTime holds how much longer than usual calls may take that cannot be split. Large
// records that all processes read at once, such as a configuration of many routes, take
// longer than the store usually takes for a read. If such reads were cancelled and
// repeated with the same timeout, they would only add to each other's load, and a
// configuration would take effect late. Each timeout while the store answers other
// calls therefore doubles the extra time of the next call. The zero value is ready to
// use. It is not safe for concurrent use.
type ExtraTime struct {
	extra map[string]time.Duration // by kind of call
}

// Of returns the extra time of a call of a kind.
func (e *ExtraTime) Of(kind string) time.Duration { return e.extra[kind] }

// RecordAnswer records that a call of a kind was answered.
func (e *ExtraTime) RecordAnswer(kind string) { delete(e.extra, kind) }

// RecordTimeout records that a call of a kind timed out while the store answered
// others.
func (e *ExtraTime) RecordTimeout(kind string) {
	if e.extra == nil {
		e.extra = map[string]time.Duration{}
	}
	e.extra[kind] = min(maxExtraTime, max(initialExtraTime, 2*e.extra[kind]))
}
