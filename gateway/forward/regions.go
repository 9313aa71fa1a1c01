package forward

import (
	"cmp"

	"go.uber.org/zap"

	"dandelionsill.org/base/metrics"
	"dandelionsill.org/decide/members"
	"dandelionsill.org/decide/residency"
	"dandelionsill.org/kinds"
)

// refusedForRegions counts requests that were refused because no server in their allowed regions
// takes work.
var refusedForRegions = metrics.Counter("forward_refused_for_regions_total")

// regions returns the regions in which the call may be served now.
func (s *callState) regions() residency.Regions { return s.forwarder.regionsOf(&s.call) }

// regionsOf returns the regions in which a call may be served now: those as of its arrival and
// those of the current configuration, which may have changed since.
func (f *Forwarder) regionsOf(call *Call) residency.Regions {
	t := f.View.Current().Table
	if t == nil {
		return call.Regions
	}
	path := cmp.Or(call.Path, call.Route.Prefix)
	return residency.Binding(call.Regions, t.RegionsOf(call.Host, path, cmp.Or(call.OnBehalfOf, call.Organisation)))
}

// lacksRegion reports whether the call has allowed regions in which no server takes work.
func (s *callState) lacksRegion() bool {
	regions := s.regions()
	return regions.IsRestricted() && countServers(s.forwarder.View.Current().Servers[s.service], regions) == 0
}

// countServers counts the servers in allowed regions that take work.
func countServers(servers []members.Server, regions residency.Regions) int {
	n := 0
	for i := range servers {
		if servers[i].TakesWork() && regions.Allows(servers[i].Region) {
			n++
		}
	}
	return n
}

// noRegionError returns the error of a call without a server in its allowed regions.
func (s *callState) noRegionError() *kinds.Error {
	refusedForRegions.Add(1)
	regions := s.regions()
	s.forwarder.log.Info("No server in the allowed regions.", zap.String("id", s.call.ID), zap.String("service", s.service), zap.String("route", s.call.Route.Name),
		zap.String("organisation", cmp.Or(s.call.OnBehalfOf, s.call.Organisation)), zap.Stringer("regions", regions), zap.Stringer("on_arrival", s.call.Regions),
		zap.Int("listed", len(s.forwarder.View.Current().Servers[s.service])), zap.Uint64("config", s.forwarder.View.Current().Table.Version))
	return s.refuse(kinds.NoServer, "no server of the service takes work in the allowed regions: "+regions.String())
}
