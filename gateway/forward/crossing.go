package forward

import (
	"expvar"

	"dandelionsill.org/base/metrics"
	"dandelionsill.org/gateway/link"
	broker "dandelionsill.org/gateway/permits"
)

// crossing is why an attempt goes to a server in another region.
type crossing string

const (
	crossedResidency crossing = "residency" // the request may not be served in the own region
	crossedLoad      crossing = "load"      // picked without a broker of the region: all others are fuller or were tried
)

var crossed = map[crossing]*expvar.Int{
	crossing(broker.SpillRefused): metrics.Counter("forward_other_region_refused_total"),
	crossing(broker.SpillQueued):  metrics.Counter("forward_other_region_queued_total"),
	crossing(broker.SpillSlow):    metrics.Counter("forward_other_region_slow_total"),
	crossedResidency:              metrics.Counter("forward_other_region_residency_total"),
	crossedLoad:                   metrics.Counter("forward_other_region_load_total"),
}

// crossingOf returns why an attempt goes to another region; empty: it does not.
func (f *Forwarder) crossingOf(call *Call, c *choice) crossing {
	own := f.View.Topology.RegionOf(f.domain)
	switch {
	case own == "" || c.server.Region == "" || c.server.Region == own:
		return ""
	case !call.Regions.Allows(own):
		return crossedResidency
	case c.permit != nil && c.permit.Spilled != "":
		return crossing(c.permit.Spilled)
	default:
		return crossedLoad
	}
}

// countCrossing counts an attempt that went to another region and the bodies that it carried.
func (f *Forwarder) countCrossing(call *Call, o *outcome) {
	why := f.crossingOf(call, &o.choice)
	if why == "" {
		return
	}
	crossed[why].Add(1)
	if o.notRun {
		return
	}
	bytes := len(call.Body)
	if o.reply != nil {
		bytes += max(0, int(o.reply.Length()))
	}
	link.Record(link.Requests, bytes)
}
