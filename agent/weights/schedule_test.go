package weights

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/manifest"
)

const (
	testGrace = 8 * time.Second
	testSlot  = 4 * time.Second
	testRound = 3 * testSlot
	tickTime  = 100 * time.Millisecond
)

// newThreeKeepers returns the serving keepers of a model with three engines.
func newThreeKeepers(t *testing.T, weigh manifest.Weigh) (out []*testKeeper) {
	for _, name := range []string{"s0", "s1", "s2"} {
		b := newServingKeeper(t, func(c *Config) {
			c.Server, c.SlotLength = name, testSlot
			c.Peers = func() []Peer { return []Peer{{Name: "s0"}, {Name: "s1"}, {Name: "s2"}} }
		})
		b.view.Manifest.Fleet.Weigh = weigh
		b.view.Manifest.Models = map[string]manifest.Model{"m": {Name: "m", SwapGrace: testGrace}}
		b.advance(time.Hour) // the slots of the version found at the start have passed
		out = append(out, b)
	}
	return out
}

// newLastWaveKeeper returns the one of the three keepers that is in the last
// wave.
func newLastWaveKeeper(t *testing.T, weigh manifest.Weigh) *testKeeper {
	for _, b := range newThreeKeepers(t, weigh) {
		if plan, _ := b.copies.plan(8); plan.Role(b.cfg.Server).Wave == 2 {
			return b
		}
	}
	require.Fail(t, "no server in the last wave")
	return nil
}

// timeToNextOrder runs steps until the next order and returns the time until
// then. onTick runs at each tick.
func (b *testKeeper) timeToNextOrder(onTick func(since time.Duration)) time.Duration {
	b.t.Helper()
	start, orders := b.now(), b.engine.orders()
	for range 2000 {
		since := b.now().Sub(start)
		if onTick != nil {
			onTick(since)
		}
		b.step(b.t.Context())
		if b.engine.orders() > orders {
			return since
		}
		b.awaitFetch()
		b.advance(tickTime)
	}
	require.Fail(b.t, "no swap")
	return 0
}

// The start of a swap at an engine of the last wave after an announcement. In
// each case a trainer waits for the swap or loses the stream that it cancels:
// an engine delays its swap only for streams that it can save.
func TestSwapStart(t *testing.T) {
	// The first wave's slot starts at the end of the grace period, the last
	// wave's two slots later, and each also a round before and after.
	slot := testGrace + 2*testSlot - testRound
	for _, c := range []struct {
		name      string
		weigh     manifest.Weigh
		running   Running
		ends      time.Duration // of the unmixed streams; 0 means never
		at        time.Duration
		cancelled int
	}{
		{"nothing runs: no grace, but its slot", manifest.WeighIdle, Running{Floor: 7}, 0, slot, 0},
		{"below the floor: at once", manifest.WeighIdle, Running{Floor: 8}, 0, tickTime, 0},
		{"below one trainer's floor: another's stream is cancelled", manifest.WeighIdle, Running{Floor: 8, Unmixed: 1}, 0, tickTime, 1},
		{"below the floor, but serves applications", manifest.WeighIdle, Running{Floor: 8, Applications: true, Unmixed: 1}, 0, slot, 1},
		{"unmixed stream ends in the grace", manifest.WeighIdle, Running{Unmixed: 1}, slot - 1, slot, 0},
		{"unmixed stream ends after it", manifest.WeighIdle, Running{Unmixed: 1}, testGrace + 1, slot + testRound, 0},
		{"unmixed stream ends too late", manifest.WeighIdle, Running{Unmixed: 1}, 0, slot + 3*testRound, 1},
		{"staleness weighs more", manifest.WeighStaleness, Running{Unmixed: 1}, 0, slot + testRound, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newLastWaveKeeper(t, c.weigh)
			b.streams.running = c.running
			b.view.Versions["m"] = 8
			at := b.timeToNextOrder(func(since time.Duration) {
				if c.ends != 0 && since >= c.ends {
					b.streams.running.Unmixed = 0
				}
			})
			require.InDelta(t, c.at.Seconds(), at.Seconds(), 2*tickTime.Seconds())
			require.Equal(t, c.cancelled, b.streams.cancelled)
		})
	}
}

// The benchmarks' baseline: no slot, no grace period, and each agent fetches
// from the store.
func TestNoWaves(t *testing.T) {
	b := newLastWaveKeeper(t, manifest.WeighIdle)
	b.cfg.NoWaves = true
	b.streams.running.Unmixed = 1
	b.view.Versions["m"] = 8
	require.LessOrEqual(t, b.timeToNextOrder(nil), tickTime)
	var asked []string
	b = newChildKeeper(t, &asked, func(string) (*fakeRelay, error) { return nil, nil })
	b.copies.cfg.NoWaves = true
	_, err := b.copies.obtain(t.Context(), 8)
	require.NoError(t, err)
	require.Empty(t, asked)
}

// A trainer publishes every 3 s; the grace period is 8 s and a round of slots
// 12 s. If each version restarted the grace period and the slots, the engine
// would stay on version 7 until the floor passed it, and the trainer would wait
// without any engine.
func TestFastPublisher(t *testing.T) {
	b := newLastWaveKeeper(t, manifest.WeighIdle)
	b.streams.running.Unmixed = 1
	at := b.timeToNextOrder(func(since time.Duration) { b.view.Versions["m"] = 8 + uint64(since/(3*time.Second)) })
	require.LessOrEqual(t, at, holdFactor*testGrace+testRound)
	again := b.timeToNextOrder(func(since time.Duration) { b.view.Versions["m"] = 8 + uint64((at+since)/(3*time.Second)) })
	require.LessOrEqual(t, again, holdFactor*testGrace+testRound)
	require.Greater(t, again, testGrace, "the next swap has its own grace period")
}

// Versions are published faster than a round of slots, and streams delay the
// engines for different times. A caller must always find one of the three
// engines serving: no two swaps may start within the duration of a swap. If
// each agent's slots started with the version that it happened to wait for,
// swaps would overlap.
func TestSwapsDoNotOverlap(t *testing.T) {
	fleet := newThreeKeepers(t, manifest.WeighIdle)
	const swapTime = testSlot * 4 / 5
	orderedAt := make([]time.Time, len(fleet))
	swaps := 0
	for tick := range 3000 {
		since := time.Duration(tick) * tickTime
		for i, b := range fleet {
			b.view.Versions["m"] = 8 + uint64(since/(7*time.Second))
			b.streams.running.Unmixed = int(since/(time.Duration(5+4*i)*time.Second)) % 2
			orders := b.engine.orders()
			b.step(t.Context())
			if b.engine.orders() > orders {
				for j, at := range orderedAt {
					require.True(t, i == j || b.now().Sub(at) >= swapTime, "%s after %v", b.cfg.Server, since)
				}
				orderedAt[i] = b.now()
				swaps++
			}
			b.awaitFetch()
			b.advance(tickTime)
		}
	}
	require.Greater(t, swaps, 3*5)
}

// Version 9 is announced but can't be fetched yet. An engine loads 8, which is
// here, rather than staying on 7; but not if only 9 reaches its trainer's
// floor.
func TestLoadsNewestAvailableCopy(t *testing.T) {
	for floor, want := range map[uint64]uint64{8: 8, 9: 7} {
		b := newLastWaveKeeper(t, manifest.WeighIdle)
		b.store.maxVersion = 8
		b.view.Versions["m"] = 8
		b.step(t.Context())
		b.awaitFetch()
		b.view.Versions["m"] = 9
		b.streams.running.Floor = floor
		for range 100 {
			b.step(t.Context())
			b.awaitFetch()
			b.advance(tickTime)
		}
		require.Equal(t, want, b.servingVersion())
	}
}

// The log is unavailable, so version 9 is not announced; a request's floor
// shows that it exists. Without asking the store every engine would refuse the
// trainer's samples until the log is available again.
func TestFloorRevealsVersion(t *testing.T) {
	b := newServingKeeper(t, nil)
	b.store.latest = 9
	b.streams.running.Floor = 9
	b.timeToNextOrder(nil)
	require.EqualValues(t, 9, b.servingVersion())
}
