package forward

import (
	"sync"
	"time"

	"dandelionsill.org/decide/eject"
	"dandelionsill.org/decide/members"
	"dandelionsill.org/decide/route"
)

// ejectionConfig configures the ejection of outliers among the servers that
// requests are forwarded to. They answer within tens of milliseconds, so that a few
// seconds are enough to detect an outlier, and to try it again.
var ejectionConfig = eject.Config{
	Alpha: 0.3, MinSamples: 3, Factor: 4, FailureRate: 0.5, MaxShare: 0.67,
	Base: 2 * time.Second, MaxDuration: 10 * time.Second, Probation: 10 * time.Second,
}

// serverStats holds what this process has learnt about servers from their answers.
// Health checks would cost more than they would reveal.
type serverStats struct {
	mu       sync.Mutex
	pools    map[string]*eject.Pool // by service
	inFlight map[string]int         // by server
}

func newServerStats() *serverStats {
	return &serverStats{pools: map[string]*eject.Pool{}, inFlight: map[string]int{}}
}

// candidates returns the servers of a service as candidates of the routing policy.
func (st *serverStats) candidates(service, domain string, servers []members.Server, now time.Time) []route.Candidate {
	ids := make([]string, len(servers))
	for i, s := range servers {
		ids[i] = s.ID
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	ejected := st.pool(service).Evaluate(now, ids)
	out := make([]route.Candidate, len(servers))
	for i, s := range servers {
		out[i] = route.Candidate{
			Name:          s.ID,
			Hash:          route.Hash(s.ID),
			FailureDomain: s.FailureDomain,
			Region:        s.Region,
			Distance:      distance(domain, s.FailureDomain),
			Ready:         true,
			Leaving:       !s.TakesWork(),
			Ejected:       ejected[s.ID],
			Slots:         s.Slots,
			OwnLoad:       st.inFlight[s.ID],
		}
	}
	return out
}

func distance(ownDomain, serverDomain string) route.Distance {
	if ownDomain == serverDomain {
		return route.SameDomain
	}
	return route.SameRegion
}

func (st *serverStats) pool(service string) *eject.Pool {
	p := st.pools[service]
	if p == nil {
		p = eject.New(ejectionConfig)
		st.pools[service] = p
	}
	return p
}

func (st *serverStats) attemptStarted(server string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.inFlight[server]++
}

// attemptEnded records the end of an attempt that took the given time.
func (st *serverStats) attemptEnded(service, server string, took time.Duration, failed bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.inFlight[server]--
	if st.inFlight[server] <= 0 {
		delete(st.inFlight, server)
	}
	p := st.pool(service)
	p.AddCost(server, took.Seconds())
	p.AddResult(server, failed)
}
