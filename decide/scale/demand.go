package scale

import (
	"math"
	"time"
)

const (
	// maxUtilisation is the share of all places that may be in use. Above it, requests that
	// come at random wait for about as long as they are served, and objectives are only a
	// few service times.
	maxUtilisation = 0.8
	// maxLossUtilisation is the share of the remaining places that may be in use after the
	// loss of a failure domain. Queues must not grow until its share has booted elsewhere:
	// callers would miss their objectives for the whole boot time.
	maxLossUtilisation = 0.95
	// maxServers keeps an absurd demand within the range of an int.
	maxServers = 1e6
	// rounding keeps a product that is a whole number but for its last bits from being
	// rounded up.
	rounding = 1e-9
)

// demand returns the number of places that the load needs: by Little's law the requests that
// are served at a time, and what serves the waiting ones so that their answers are in time.
func (l *Load) demand() float64 {
	running := 0
	for _, d := range l.Domains {
		running += d.Running
	}
	served := max(float64(running), l.AsksPerSecond*l.MeanTime.Seconds())
	if l.MeanTime <= 0 { // nothing says how soon a place is free again: each needs its own
		return served + float64(l.Waiting+l.Refused)
	}
	share := 1.0
	if maxWait := l.Objective - l.MeanTime; maxWait > l.MeanTime {
		share = l.MeanTime.Seconds() / maxWait.Seconds()
	}
	return served + share*float64(l.Waiting)
}

// needed returns the number of servers in each of several failure domains for a demand in
// places: enough that callers rarely wait, and, where there are several failure domains,
// that the loss of one leaves room for the demand.
func needed(demand, places float64, domains int) int {
	if domains == 0 {
		return 0
	}
	servers := demand / (places * maxUtilisation)
	if domains > 1 {
		n := float64(domains)
		servers = max(servers, demand/(places*maxLossUtilisation)*n/(n-1))
	}
	return int(math.Ceil(min(servers/float64(domains), maxServers) - rounding))
}

// maxSamples bounds the samples of a history, whatever the hold time.
const maxSamples = 256

// sample is what was measured in a short time.
type sample struct {
	at     time.Time // first measurement
	demand float64   // maximum, in places
	enough int       // maximum, in servers of a failure domain; with reduceMargin
}

// history holds the load of the last hold time.
type history struct {
	samples []sample // oldest first
}

// add adds a measurement and drops those that are older than keep.
func (h *history) add(now time.Time, demand float64, enough int, keep time.Duration) {
	expired := 0
	for expired < len(h.samples) && now.Sub(h.samples[expired].at) > keep+keep/maxSamples {
		expired++
	}
	h.samples = append(h.samples[:0], h.samples[expired:]...)
	if last := len(h.samples) - 1; last >= 0 && now.Sub(h.samples[last].at) < keep/maxSamples {
		h.samples[last].demand = max(h.samples[last].demand, demand)
		h.samples[last].enough = max(h.samples[last].enough, enough)
		return
	}
	h.samples = append(h.samples, sample{now, demand, enough})
}

// maxEnough returns the least number of servers that was enough for every sample.
func (h *history) maxEnough() int {
	most := 0
	for _, s := range h.samples {
		most = max(most, s.enough)
	}
	return most
}

// trendParts is the number of equal parts of the boot time whose means are compared.
const trendParts = 4

// rise returns by how much demand will rise within a boot time if it goes on as in the last
// one. Only a rise through the whole boot time counts, so that neither noise nor a single
// step is extrapolated.
func (h *history) rise(now time.Time, boot time.Duration, demand float64) float64 {
	part := boot / trendParts
	if part <= 0 {
		return 0
	}
	var sums, counts [trendParts]float64
	sums[0], counts[0] = demand, 1 // the newest part
	for _, s := range h.samples {
		if i := int(now.Sub(s.at) / part); i >= 0 && i < trendParts {
			sums[i] += s.demand
			counts[i]++
		}
	}
	least := math.Inf(1)
	for i := range trendParts - 1 {
		if counts[i+1] == 0 {
			return 0
		}
		least = min(least, sums[i]/counts[i]-sums[i+1]/counts[i+1])
	}
	return max(0, least*trendParts)
}
