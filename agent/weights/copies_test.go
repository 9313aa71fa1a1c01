package weights

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"dandelionsill.org/manifest"
	"dandelionsill.org/platform"
	"dandelionsill.org/wire/pb"
)

// fakeRelay serves FetchWeights from memory.
type fakeRelay struct {
	pb.AgentClient
	data []byte
	err  error
}

func (r *fakeRelay) FetchWeights(context.Context, *pb.FetchWeightsRequest, ...grpc.CallOption) (grpc.ServerStreamingClient[pb.WeightsPiece], error) {
	return &fakePieceStream{rest: r.data}, r.err
}

type fakePieceStream struct {
	grpc.ServerStreamingClient[pb.WeightsPiece]
	rest []byte
}

func (p *fakePieceStream) Recv() (*pb.WeightsPiece, error) {
	if len(p.rest) == 0 {
		return nil, io.EOF
	}
	n := min(300, len(p.rest))
	piece := &pb.WeightsPiece{Data: p.rest[:n]}
	p.rest = p.rest[n:]
	return piece, nil
}

// newChildKeeper returns the keeper of an agent in a fleet large enough to
// relay. The agent is at depth 2 of the relay tree and has children.
func newChildKeeper(t *testing.T, asked *[]string, answer func(addr string) (*fakeRelay, error)) *testKeeper {
	var peers []Peer
	for i := range 60 {
		peers = append(peers, Peer{Name: fmt.Sprint("f", i), Addr: fmt.Sprint("addr", i)})
	}
	for i := range 200 {
		name := fmt.Sprint("child", i)
		b := newTestKeeper(t, func(c *Config) {
			c.Server, c.Peers = name, func() []Peer { return peers }
			c.Dial = func(addr string) (pb.AgentClient, func(), error) {
				*asked = append(*asked, addr)
				r, err := answer(addr)
				return r, func() {}, err
			}
		})
		b.store.latest = 8
		if plan, _ := b.copies.plan(8); plan.Role(name).Depth == 2 && plan.Role(name).Children > 0 {
			return b
		}
	}
	require.Fail(t, "no server at depth 2")
	return nil
}

// Weights are fetched from the parent, not from the rate-limited store.
func TestRelayFromParent(t *testing.T) {
	data, _ := weightsOf(8)
	var asked []string
	b := newChildKeeper(t, &asked, func(string) (*fakeRelay, error) { return &fakeRelay{data: data}, nil })
	got, err := b.copies.obtain(t.Context(), 8)
	require.NoError(t, err)
	require.Equal(t, data, got.data)
	require.Len(t, asked, 1)
	require.Zero(t, b.store.fetches)
}

// The first parent does not answer and the next one sends bytes that do not
// match the store's digest: both are skipped and the store is used.
func TestRelayFallsBack(t *testing.T) {
	data, _ := weightsOf(8)
	wrong, _ := weightsOf(9)
	var asked []string
	b := newChildKeeper(t, &asked, func(string) (*fakeRelay, error) {
		if len(asked) == 1 {
			return &fakeRelay{err: errors.New("no answer")}, nil
		}
		return &fakeRelay{data: wrong}, nil
	})
	got, err := b.copies.obtain(t.Context(), 8)
	require.NoError(t, err)
	require.Equal(t, data, got.data)
	require.Len(t, asked, 2)
	require.Equal(t, 1, b.store.fetches)
}

type relaySink struct {
	grpc.ServerStreamingServer[pb.WeightsPiece]
	ctx  context.Context
	data []byte
}

func (s *relaySink) Context() context.Context { return s.ctx }
func (s *relaySink) Send(p *pb.WeightsPiece) error {
	s.data = append(s.data, p.GetData()...)
	return nil
}

// A child that asks before the copy is complete waits for it. The copy is kept
// until this agent's engine serves it and each child has it, or for
// copyRetention, and no longer: otherwise 256 MB of each VM would be occupied
// permanently. A child that asks later is refused at once.
func TestRelayAndDrop(t *testing.T) {
	b := newChildKeeper(t, new([]string), func(string) (*fakeRelay, error) { return nil, errors.New("no answer") })
	plan, _ := b.copies.plan(8)
	children := plan.Role(b.cfg.Server).Children
	ask := func() error {
		sink := &relaySink{ctx: t.Context()}
		err := b.FetchWeights(&pb.FetchWeightsRequest{Model: "m", Version: 8}, sink)
		data, _ := weightsOf(8)
		require.True(t, err != nil || bytes.Equal(data, sink.data))
		return err
	}
	done := make(chan error)
	go func() { done <- ask() }()
	b.copies.startFetch(t.Context(), 8, b.shouldLoadOlder)
	require.NoError(t, <-done)
	for range children {
		require.NoError(t, ask())
	}
	b.copies.dropUnneeded(7)
	require.NotNil(t, b.copies.get(8), "this agent's engine needs the copy")
	b.copies.dropUnneeded(8)
	require.Nil(t, b.copies.get(8))
	synctest.Test(t, func(t *testing.T) {
		b.copies.changed = make(chan struct{})
		start := time.Now()
		require.Error(t, ask())
		require.Zero(t, time.Since(start))
	})
	b.copies.changed = make(chan struct{})
	b.copies.fetch(t.Context(), 8)
	b.copies.dropUnneeded(8)
	require.NotNil(t, b.copies.get(8), "children may still fetch the copy")
	b.advance(copyRetention)
	b.copies.dropUnneeded(8)
	require.Nil(t, b.copies.get(8))
}

// Version 9 is announced while version 8 is here and waits for its slot, and
// memory has room for one copy. Version 8 must be loaded first: fetching 9 at
// once would take twice the memory, and replacing 8 by 9 would delay the swap,
// for ever if new versions keep arriving.
func TestMemoryForOneCopy(t *testing.T) {
	b := newLastWaveKeeper(t, manifest.WeighIdle)
	b.copies.cfg.MaxCopyBytes = 1500
	b.view.Versions["m"] = 8
	b.step(t.Context())
	b.awaitFetch()
	b.view.Versions["m"] = 9
	b.timeToNextOrder(func(time.Duration) { require.Equal(t, 1, b.store.fetches) })
	require.EqualValues(t, 8, b.servingVersion())
	b.timeToNextOrder(nil)
	require.EqualValues(t, 9, b.servingVersion())
}

// Two models get new versions within a moment. The agents of each use half of
// the store's rate, also those that started before the other's announcement.
// Later this model's agents may use all of it, and an engine that restarts
// alone takes four shares.
func TestModelsShareTheStore(t *testing.T) {
	const perSecond, fetchers = 1200.0, 12
	b := newServingKeeper(t, nil)
	b.view.Manifest.Fleet.StoreBytesPS = perSecond
	b.advance(spreadTime)
	b.view.Versions["m"] = 8
	share := func() float64 {
		return b.copies.shareBytesPerSecond(b.copies.rates.activeFetchers("m", fetchers))
	}
	require.Equal(t, perSecond/fetchers, share())
	b.view.Versions["other"] = 3
	require.Equal(t, perSecond/2/fetchers, share())
	b.advance(spreadTime)
	require.Equal(t, lateShares*perSecond/fetchers, share())
}

// timedSink records when pieces arrive.
type timedSink struct {
	relaySink
	first, last time.Time
	longestGap  time.Duration // between two pieces
}

func (s *timedSink) Send(p *pb.WeightsPiece) error {
	now := time.Now()
	if s.first.IsZero() && len(p.GetData()) > 0 {
		s.first = now
	}
	s.longestGap, s.last = max(s.longestGap, now.Sub(s.last)), now
	return s.relaySink.Send(p)
}

// pausingStore is a store that waits before it sends.
type pausingStore struct{ tricklingStore }

const storePause = 2 * parentStallTimeout

func (s pausingStore) Fetch(ctx context.Context, model string, version uint64) (io.ReadCloser, platform.WeightInfo, error) {
	time.Sleep(storePause)
	return s.tricklingStore.Fetch(ctx, model, version)
}

// The seed of a failure domain fetches for 19 s from a store that is slow to
// start and whose rate 24 seeds share. Its children neither wait for the
// complete version nor skip a parent that is fetching: if they did, all 61
// would fetch from the store, whose rate suffices for the seeds only, and the
// version would arrive minutes later.
func TestRelayWhileFetching(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestKeeper(t, func(c *Config) { c.Store = pausingStore{tricklingStore{sizedStore{bytes: 1000}, 100}} })
		start := time.Now()
		sink := &timedSink{relaySink: relaySink{ctx: t.Context()}, last: start}
		b.copies.startFetch(t.Context(), 8, b.shouldLoadOlder)
		require.NoError(t, b.FetchWeights(&pb.FetchWeightsRequest{Model: "m", Version: 8}, sink))
		data, _ := sizedStore{bytes: 1000}.info(8)
		require.Equal(t, data, sink.data)
		require.Less(t, sink.first.Sub(start), storePause+2*time.Second)
		require.Less(t, sink.longestGap, parentStallTimeout)
		require.Equal(t, storePause+11*time.Second, time.Since(start))
	})
}

// idlePieces is the stream of a parent that is alive but never has any bytes.
type idlePieces struct {
	grpc.ServerStreamingClient[pb.WeightsPiece]
}

func (idlePieces) Recv() (*pb.WeightsPiece, error) {
	time.Sleep(keepaliveInterval)
	return &pb.WeightsPiece{}, nil
}

type idleParent struct{ pb.AgentClient }

func (idleParent) FetchWeights(context.Context, *pb.FetchWeightsRequest, ...grpc.CallOption) (grpc.ServerStreamingClient[pb.WeightsPiece], error) {
	return idlePieces{}, nil
}

// Two agents' server lists differ for a moment, and each has the other as its
// parent. Both send keepalives; without the stall timeout neither would ever
// fetch from the store, and their trainers' floors would pass both engines.
func TestMutuallyWaitingParents(t *testing.T) {
	var asked []string
	b := newChildKeeper(t, &asked, func(string) (*fakeRelay, error) { return nil, nil })
	synctest.Test(t, func(t *testing.T) {
		b.copies.changed = make(chan struct{})
		b.copies.cfg.Dial = func(string) (pb.AgentClient, func(), error) { return idleParent{}, func() {}, nil }
		got, err := b.copies.obtain(t.Context(), 8)
		require.NoError(t, err)
		require.NotNil(t, got.data)
	})
}

// frozenParent accepts a fetch and then sends nothing, like a stopped process.
type frozenParent struct{ pb.AgentClient }

type stalledPieces struct {
	grpc.ServerStreamingClient[pb.WeightsPiece]
	ctx context.Context
}

func (s stalledPieces) Recv() (*pb.WeightsPiece, error) {
	<-s.ctx.Done()
	return nil, s.ctx.Err()
}

func (frozenParent) FetchWeights(ctx context.Context, _ *pb.FetchWeightsRequest, _ ...grpc.CallOption) (grpc.ServerStreamingClient[pb.WeightsPiece], error) {
	return stalledPieces{ctx: ctx}, nil
}

// liveParent and liveStore answer at once unless the context has ended.
type liveParent struct{ fakeRelay }

func (p *liveParent) FetchWeights(ctx context.Context, req *pb.FetchWeightsRequest, o ...grpc.CallOption) (grpc.ServerStreamingClient[pb.WeightsPiece], error) {
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return p.fakeRelay.FetchWeights(ctx, req, o...)
}

type liveStore struct{ *fakeStore }

func (s liveStore) Fetch(ctx context.Context, model string, version uint64) (io.ReadCloser, platform.WeightInfo, error) {
	if ctx.Err() != nil {
		return nil, platform.WeightInfo{}, ctx.Err()
	}
	return s.fakeStore.Fetch(ctx, model, version)
}

// The agent that relays to a part of its failure domain is frozen and its
// connections stay open. If its children waited for it until their whole time
// of 30 s had passed, neither the next parent nor the store would be tried, and
// each retry would ask the frozen agent first again. The new weights would
// reach none of up to 62 engines, and once the floor has passed them their
// trainers' steps would not end.
func TestFrozenParentIsSkipped(t *testing.T) {
	var asked []string
	b := newChildKeeper(t, &asked, func(string) (*fakeRelay, error) { return nil, nil })
	synctest.Test(t, func(t *testing.T) {
		first := ""
		b.copies.cfg.Store = liveStore{b.store}
		b.copies.cfg.Dial = func(addr string) (pb.AgentClient, func(), error) {
			if first == "" || first == addr {
				first = addr
				return frozenParent{}, func() {}, nil
			}
			data, _ := weightsOf(8)
			return &liveParent{fakeRelay{data: data}}, func() {}, nil
		}
		start := time.Now()
		for range 3 {
			b.copies.fetch(t.Context(), 8)
		}
		require.NotNil(t, b.copies.get(8), "another parent and the store have the version")
		require.LessOrEqual(t, time.Since(start), 3*parentStallTimeout, "one stall timeout for each of the three fetches")
	})
}
