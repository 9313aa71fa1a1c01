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

// newThreeKeepers are the settled keepers of a model.
func newThreeKeepers(t *testing.T, weigh manifest.Weigh) (out []*testKeeper) {
	for _, name := range []string{"s0", "s1", "s2"} {
		b := newServingKeeper(t, func(c *Config) {
			c.Server, c.SlotLength = name, testSlot
			c.Peers = func() []Peer { return []Peer{{Name: "s0"}, {Name: "s1"}, {Name: "s2"}} }
		})
		b.view.Manifest.Fleet.Weigh = weigh
		b.view.Manifest.Models = map[string]manifest.Model{"m": {Name: "m", SwapGrace: testGrace}}
		b.advance(time.Hour) // the slots of the version found at the start are over
		out = append(out, b)
	}
	return out
}

// newLastWaveKeeper is the one of three whose wave is the newLastWaveKeeper one.
func newLastWaveKeeper(t *testing.T, weigh manifest.Weigh) *testKeeper {
	for _, b := range newThreeKeepers(t, weigh) {
		if plan, _ := b.copies.plan(8); plan.Role(b.cfg.Server).Wave == 2 {
			return b
		}
	}
	require.Fail(t, "no server in the last wave")
	return nil
}

// timeToNextOrder returns when the next order was given. each runs at each tick.
func (b *testKeeper) timeToNextOrder(onTick func(since time.Duration)) time.Duration {
	b.t.Helper()
	began, orders := b.now(), b.engine.orders()
	for range 2000 {
		since := b.now().Sub(began)
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

// When an engine of the last wave swaps after an announcement. Each trainer
// below waits for the swap or loses the stream that it cancels: an engine waits
// only for what it can save.
func TestSwapStart(t *testing.T) {
	// The first wave's slot falls on the end of the grace, the last one's two
	// later, and each a round before and after.
	slot := testGrace + 2*testSlot - testRound
	for _, c := range []struct {
		name      string
		weigh     manifest.Weigh
		running   Running
		ends      time.Duration // of the unmixed streams; 0: never
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

// The benchmarks' baseline: no slot, no grace, and each agent to the store.
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

// A trainer publishes every 3 s; the grace is 8 s, a round of slots 12 s. Where
// each version began grace and slots anew, the engine would stay on version 7
// until the floor passed it, and the trainer wait with no engine at all.
func TestFastPublisher(t *testing.T) {
	b := newLastWaveKeeper(t, manifest.WeighIdle)
	b.streams.running.Unmixed = 1
	at := b.timeToNextOrder(func(since time.Duration) { b.view.Versions["m"] = 8 + uint64(since/(3*time.Second)) })
	require.LessOrEqual(t, at, holdFactor*testGrace+testRound)
	again := b.timeToNextOrder(func(since time.Duration) { b.view.Versions["m"] = 8 + uint64((at+since)/(3*time.Second)) })
	require.LessOrEqual(t, again, holdFactor*testGrace+testRound)
	require.Greater(t, again, testGrace, "the next swap has a grace of its own")
}

// Versions come faster than a round of slots, and streams hold the engines up
// for unlike times. A caller always finds one of the three that serves: no two
// swaps begin within a swap's time. Where each agent's slots began anew with
// the version that it happened to wait for, they would meet.
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

// Version 9 is announced, but can't be fetched yet. An engine goes on to 8,
// which is here, rather than to stay on 7; not if 9 alone helps its trainer.
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

// The log is down, so version 9 is not announced; a request's floor tells of
// it. Without a look at the store every engine refuses the trainer's samples
// until the log is back.
func TestFloorRevealsVersion(t *testing.T) {
	b := newServingKeeper(t, nil)
	b.store.latest = 9
	b.streams.running.Floor = 9
	b.timeToNextOrder(nil)
	require.EqualValues(t, 9, b.servingVersion())
}
