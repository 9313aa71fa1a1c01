package topology

import (
	"cmp"
	"time"
)

// The weights of Cost. Nothing else rates distances.
const (
	// domainCost is the cost of another failure domain of the region: half a millisecond of
	// network latency is worth less than a twentieth of a server's load.
	domainCost = 0.05
	// regionCost is the least cost of another region: the bytes that cross are priced highest and
	// the link is shared by all, so that a request stays in its region while a server there has a
	// free place.
	regionCost = 1.0
	// maxWayCost bounds what the time of the way adds. Above it every other region is as good as
	// full, and a wrong measurement must not make it worse than a server that answers nothing.
	maxWayCost = 8.0
)

// Cost returns what it costs to send a request over a distance, in loads of a full server: 1 is
// the time for which a typical server has the request. way is the round trip to the other region
// and typical the time that a typical server takes; 0: unknown.
func (d Distance) Cost(way, typical time.Duration) float64 {
	switch d {
	case SameDomain:
		return 0
	case SameRegion:
		return domainCost
	}
	if way <= 0 || typical <= 0 {
		return regionCost
	}
	return regionCost + min(way.Seconds()/typical.Seconds(), maxWayCost)
}

// NearestFirst compares two regions by how far they are from the own one: the own region first,
// then those with the shortest way; an unknown way counts as longest. Equal ones by name.
func (w *Ways) NearestFirst(now time.Duration, a, b string) int {
	return cmp.Or(cmp.Compare(w.rank(now, a), w.rank(now, b)), cmp.Compare(a, b))
}

func (w *Ways) rank(now time.Duration, region string) time.Duration {
	if w == nil || region == w.own {
		return 0
	}
	way, known := w.RoundTrip(now, region)
	if !known {
		return maxRank
	}
	return max(way, 1)
}
