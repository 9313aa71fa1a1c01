package fleet

import (
	"time"

	"dandelionsill.org/decide/route"
	"dandelionsill.org/decide/topology"
)

// Candidates overwrites buf with the candidates of a pool's servers and returns
// it, grown if needed. Index i is the candidate of pool[i]. f supplies the
// current work in flight; region is the entry's own region.
func Candidates(f Fleet, pool []*Server, region string, buf []route.Candidate) []route.Candidate {
	buf = buf[:0]
	for _, s := range pool {
		buf = append(buf, candidate(f, s, region))
	}
	return buf
}

func candidate(f Fleet, s *Server, region string) route.Candidate {
	state := s.State
	return route.Candidate{
		Name:            s.Name,
		Hash:            route.Hash(s.Name),
		FailureDomain:   s.FailureDomain,
		Distance:        distance(s, region),
		Ready:           state.GetReady(),
		Leaving:         state.GetLeaving(),
		Ejected:         s.Ejected,
		Version:         state.GetVersion(),
		Slots:           int(state.GetSlots()),
		ReportedLoad:    int(state.GetRunning() + state.GetQueued()),
		OwnLoadAtReport: s.InFlightAtReport,
		OwnLoad:         f.InFlightNow(s.Name),
		StreamRate:      state.GetStreamTokensPerS(),
		QueueWait:       time.Duration(state.GetQueueWaitMs()) * time.Millisecond,
		WarmPrefixes:    state.GetWarmPrefixes(),
	}
}

func distance(s *Server, region string) topology.Distance {
	switch {
	case s.Local:
		return topology.SameDomain
	case s.Region == region:
		return topology.SameRegion
	default:
		return topology.OtherRegion
	}
}
