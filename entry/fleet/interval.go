package fleet

import (
	"time"

	"github.com/juju/errors"

	"dandelionsill.org/wire/pb"
)

// Limits for the report intervals that this entry requests of agents.
const (
	// reportBudget is how much all watched agents together may send to this
	// entry for their reports, in bytes per second.
	reportBudget = 8 << 10
	// reportBytes is the size of one report under load on the connection:
	// about 60 B and a 32nd of 64 warm prefixes (BenchmarkWatch).
	reportBytes = 80
	// An agent makes at most one state per minReportInterval. Between reports
	// that are maxReportInterval apart, an agent's load is corrected by this
	// entry's own work only. The agents' heartbeat each second does not depend
	// on the report interval, so stopped reports are detected as fast.
	minReportInterval = 50 * time.Millisecond
	maxReportInterval = 2 * time.Second
	// maxIntervalRatio is the largest factor between a stream's report interval
	// and the wanted one. Beyond it the stream is opened again.
	maxIntervalRatio = 1.5
)

var (
	errIntervalChanged = errors.New("the report interval of the stream is out of date")
	errPartialFirst    = errors.New("the first state of a stream is partial")
)

// reportIntervalFor returns the report interval that an entry that watches n
// agents requests of each.
func reportIntervalFor(n int) time.Duration {
	interval := time.Duration(n) * reportBytes * time.Second / reportBudget
	return min(max(interval, minReportInterval), maxReportInterval)
}

// intervalDiffers reports whether a stream's requested interval is so far from
// the wanted one that the stream must be opened again.
func intervalDiffers(requested, wanted time.Duration) bool {
	r, w := float64(requested), float64(wanted)
	return r > w*maxIntervalRatio || w > r*maxIntervalRatio
}

// mergeState returns the complete state after msg, given the last state of the
// same stream (nil if msg is the first). For a heartbeat it returns last itself.
// For a partial state it completes and returns msg. Agents of older releases
// send complete states only.
func mergeState(last, msg *pb.AgentState) (*pb.AgentState, error) {
	switch {
	case !msg.Partial:
		return msg, nil
	case last == nil:
		return nil, errPartialFirst
	case msg.Seq == 0: // a heartbeat; states count from 1
		return last, nil
	}
	msg.Name, msg.Addr, msg.FailureDomain, msg.Region = last.Name, last.Addr, last.FailureDomain, last.Region
	msg.Kind, msg.Serves, msg.Incarnation, msg.IgnoresFencing = last.Kind, last.Serves, last.Incarnation, last.IgnoresFencing
	if msg.Slots == 0 {
		msg.Slots = last.Slots
	}
	if !msg.WarmChanged {
		msg.WarmPrefixes = last.WarmPrefixes
	}
	msg.Partial, msg.WarmChanged = false, false
	return msg, nil
}
