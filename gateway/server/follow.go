package server

import (
	"context"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/base/boottime"
	"dandelionsill.org/base/logs"
	decide "dandelionsill.org/decide/fanout"
	"dandelionsill.org/decide/topology"
	"dandelionsill.org/gateway/fanout"
	gatewayjobs "dandelionsill.org/gateway/jobs"
	"dandelionsill.org/gateway/view"
	"dandelionsill.org/platform"
	"dandelionsill.org/platform/hosted"
)

const (
	// processesPerGateway is the estimated number of processes that read the feeds, for each
	// gateway. A process only knows the number of gateways, and there is about one agent for each
	// of them.
	processesPerGateway = 2
	// rootReadInterval, childReadInterval and leafReadInterval are the minimum times between two
	// reads of a stream where processes read through each other. Roots are few. Leaves, which serve
	// no other process, are most of the fleet, and their reads are most of what it does while idle.
	rootReadInterval  = 25 * time.Millisecond
	childReadInterval = 60 * time.Millisecond
	leafReadInterval  = 120 * time.Millisecond
	// sharedSnapshotInterval is the interval of complete lists where processes read through each
	// other. Changes are read by offset, so that a list repairs nothing but a fault of a gateway.
	sharedSnapshotInterval = time.Minute
)

// followedStore is the store, whose streams that all processes follow are read through other
// processes in a large fleet.
type followedStore struct {
	*hosted.Store
	tail      *fanout.Reader
	gateways  *hosted.Peers
	readsPerS float64
}

// newFollowedStore returns the followed store of the process self.
func newFollowedStore(store *hosted.Store, gateways *hosted.Peers, self decide.Member, regions *topology.Topology, readsPerS float64, log *zap.Logger) *followedStore {
	streams := []fanout.Stream{{Name: gatewayjobs.Stream}}
	for _, name := range hosted.FeedStreams {
		streams = append(streams, fanout.Stream{Name: name, KeyOf: hosted.SplitKey, IsRepeat: hosted.IsRepeatedEntry})
	}
	tail := fanout.NewReader(fanout.Config{
		Self: self, Log: store, Gateways: gateways, Streams: streams, Now: boottime.Now, Logger: logs.Part(log, "fanout"),
		Regions: regions, RoundTrip: store.RoundTrip,
	})
	return &followedStore{Store: store, tail: tail, gateways: gateways, readsPerS: readsPerS}
}

// Read implements platform.Log.
func (s *followedStore) Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (platform.Page, error) {
	return s.tail.Read(ctx, stream, from, max, wait)
}

// sinceAnswer returns how long ago the store last answered this process or one that it reads
// through.
func (s *followedStore) sinceAnswer() time.Duration { return min(s.SinceAnswer(), s.tail.SinceEnd()) }

// newView returns a view of the store's feeds.
func (s *followedStore) newView(topology *topology.Topology, log *zap.Logger) *view.View {
	v := view.New(hosted.NewFeeds(s.Store, s.tail), logs.Part(log, "view"))
	v.Topology = topology
	v.MinReadInterval = func() time.Duration { return s.readInterval(processesPerGateway) }
	v.SnapshotInterval = func() time.Duration {
		if s.tail.Mode() == fanout.ModeAll {
			return view.DefaultSnapshotInterval
		}
		return sharedSnapshotInterval
	}
	return v
}

// readInterval returns the minimum time between two reads of a stream that is followed by a number
// of processes for each gateway.
func (s *followedStore) readInterval(processesPerGateway int) time.Duration {
	switch mode := s.tail.Mode(); {
	case mode == fanout.ModeRoot:
		return rootReadInterval
	case mode == fanout.ModeChild && s.tail.IsLeaf():
		return leafReadInterval
	case mode == fanout.ModeChild:
		return childReadInterval
	default:
		return gatewayjobs.ReadInterval(processesPerGateway*(len(s.gateways.Addrs())+1), s.readsPerS)
	}
}
