package permits

import (
	"cmp"
	"slices"
	"time"
)

const (
	// countBuckets and bucketLength make up the second over which events are counted.
	countBuckets = 10
	bucketLength = 100 * time.Millisecond
	// meanSmoothing is the weight of a new time in the mean.
	meanSmoothing = 0.05
	// maxStretch bounds what one answer says of how full the servers are: the evidence
	// on paces is better for more.
	maxStretch = 4
)

// Load is the load of a service, as of the broker's last call. Asks that do not wait count only
// if they are granted: a gateway repeats one as long as its request runs.
type Load struct {
	Waiting       int           // queued asks
	Refused       int           // asks refused within the last second
	AsksPerSecond float64       // over the last second
	Mean          time.Duration // of an answer; 0: unknown
	Domains       []DomainLoad  // by failure domain
}

// DomainLoad is the load of a service's servers in one failure domain. Servers that are
// leaving count only with what they run.
type DomainLoad struct {
	Domain  string
	Servers int
	Places  int
	Running int
}

// Load returns the load as of the last call.
func (b *Broker) Load() Load {
	l := Load{
		Waiting:       len(b.waiters),
		Refused:       b.stats.refused.sum(b.now),
		AsksPerSecond: float64(b.stats.asks.sum(b.now)),
		Mean:          b.stats.mean,
	}
	byDomain := make(map[string]DomainLoad)
	for i := range b.servers {
		s := &b.servers[i]
		d := byDomain[s.Domain]
		d.Domain = s.Domain
		d.Running += s.inUse
		if !s.Leaving {
			d.Servers++
		}
		if b.capacity.counts(s) {
			d.Places += s.standing.Limit
		}
		byDomain[s.Domain] = d
	}
	for _, d := range byDomain {
		l.Domains = append(l.Domains, d)
	}
	slices.SortFunc(l.Domains, func(x, y DomainLoad) int { return cmp.Compare(x.Domain, y.Domain) })
	return l
}

// stats is what Load reports beside the state.
type stats struct {
	asks, refused counter
	mean          time.Duration
	// excess is by how much requests take longer than their typical times at their
	// servers' paces, as a share of those; negative: shorter.
	excess float64
}

// stretch returns by which factor requests take longer than is typical, because the
// servers are full; at least 1.
func (s *stats) stretch() float64 { return 1 + max(0, s.excess) }

// observe records the time of an answer.
func (s *stats) observe(took time.Duration) {
	took = min(max(took, 0), maxEstimate)
	if s.mean == 0 {
		s.mean = took
		return
	}
	s.mean += time.Duration(meanSmoothing * float64(took-s.mean))
}

// observeTime records the time of an answer relative to the expected one.
func (s *stats) observeTime(took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	excess := min(took.Seconds()/expected.Seconds(), maxStretch) - 1
	s.excess += meanSmoothing * (excess - s.excess)
}

// counter counts the events of the last second.
type counter struct {
	buckets [countBuckets]int
	last    int64 // number of the newest bucket since 1970
}

// add counts n events.
func (c *counter) add(now time.Time, n int) {
	c.advance(now)
	c.buckets[c.last%countBuckets] += n
}

// sum returns the number of events within the last second.
func (c *counter) sum(now time.Time) int {
	c.advance(now)
	total := 0
	for _, n := range c.buckets {
		total += n
	}
	return total
}

// advance empties the buckets that have become too old. A time before the newest bucket
// counts as the newest.
func (c *counter) advance(now time.Time) {
	bucket := max(0, now.UnixNano()/int64(bucketLength))
	if bucket-c.last >= countBuckets {
		c.buckets = [countBuckets]int{}
		c.last = bucket
		return
	}
	for c.last < bucket {
		c.last++
		c.buckets[c.last%countBuckets] = 0
	}
}
