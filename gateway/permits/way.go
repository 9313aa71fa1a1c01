package permits

import (
	"time"
)

// answersPerOpening is how many round trips pass until a stream is open: its connection's and the
// one of HTTP/2's settings.
const answersPerOpening = 2

// answerLimit returns in which time the broker must answer an ask.
func (n *session) answerLimit(now time.Duration) time.Duration {
	ways := n.shard.client.cfg.Ways
	limit := ways.Limit(now, n.member.Region, answerTimeout)
	if n.greetedAt == 0 {
		limit += answersPerOpening * ways.Estimate(now, n.member.Region)
	}
	return limit
}

// silenceLimit returns how long the broker may send nothing while an ask is queued.
func (n *session) silenceLimit(now time.Duration) time.Duration {
	return n.shard.client.cfg.Ways.Limit(now, n.member.Region, silenceTimeout)
}

// measure takes the time to the first answer to an ask as the round trip to the broker, unless the
// stream was still being opened.
func (n *session) measure(w *waiter, now time.Duration) {
	if !w.isMeasured && n.greetedAt > 0 && w.askedAt >= n.greetedAt {
		n.shard.client.cfg.Ways.Observe(now, n.member.Region, now-w.askedAt)
	}
	w.isMeasured = true
}

// atServer returns the time that a request took at its server, without the way to another region:
// the broker compares times of gateways in all regions.
func (s *shardClient) atServer(p *Permit, took time.Duration) time.Duration {
	cfg := &s.client.cfg
	if took <= 0 || !cfg.Topology.HasSeveralRegions() {
		return took
	}
	way, known := cfg.Ways.RoundTrip(cfg.Now(), s.regionOf(p))
	if !known {
		return took
	}
	return max(took-way, took/4)
}

// regionOf returns the region of a permit's server; empty: unknown.
func (s *shardClient) regionOf(p *Permit) string {
	if s.key.region != "" {
		return s.key.region
	}
	for _, server := range s.client.cfg.Servers(s.key.service) {
		if server.ID == p.Server {
			return server.Region
		}
	}
	return ""
}
