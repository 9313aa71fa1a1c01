package fleet

import (
	"time"

	"github.com/juju/errors"

	"dandelionsill.org/wire/pb"
)

// What all watched agents together may send to this entry for their reports.
const (
	reportBudget = 8 << 10 // B/s
	// reportBytes is what one report under load costs on the connection:
	// some 60 B and a 32nd of 64 warm prefixes (BenchmarkWatch).
	reportBytes = 80
	// An agent makes no more states than one each minReportInterval. At maxPace load is
	// corrected by this entry's own work alone; the agents' heartbeat, each
	// second, doesn't hang on the pace, so that silence is noticed alike.
	minReportInterval = 50 * time.Millisecond
	maxReportInterval = 2 * time.Second
	// A stream is opened anew where its pace is off by more than this factor.
	maxIntervalRatio = 1.5
)

var (
	errIntervalChanged = errors.New("the stream's pace is no longer the entry's")
	errPartialFirst    = errors.New("the first state of a stream is partial")
)

// reportIntervalFor is how often an entry that watches n agents wants their load.
func reportIntervalFor(n int) time.Duration {
	interval := time.Duration(n) * reportBytes * time.Second / reportBudget
	return min(max(interval, minReportInterval), maxReportInterval)
}

func intervalDiffers(requested, wanted time.Duration) bool {
	r, w := float64(requested), float64(wanted)
	return r > w*maxIntervalRatio || w > r*maxIntervalRatio
}

// mergeState returns what a message of a stream says, given the stream's state
// before it: last itself after a heartbeat. Agents of older releases send
// mergeState states only.
func mergeState(last, msg *pb.AgentState) (*pb.AgentState, error) {
	switch {
	case !msg.Partial:
		return msg, nil
	case last == nil:
		return nil, errPartialFirst
	case msg.Seq == 0: // real states count from 1
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
