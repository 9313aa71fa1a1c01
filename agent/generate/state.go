package generate

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"dandelionsill.org/platform"
	"dandelionsill.org/wire/pb"
)

const (
	meterInterval = 250 * time.Millisecond
	pollInterval  = time.Second
	pollTimeout   = 2 * time.Second
	rateSmoothing = 0.3 // weight of the newest rate
	// maxWarmPrefixes bounds the prefixes in a state report: 64 hashes are about
	// 650 B, which keeps one report per second far below the budget of 17 KB/s
	// per daemon.
	maxWarmPrefixes = 64
)

// Run keeps the load figures, the warm prefixes and the announced floors up to
// date until ctx ends.
func (h *Handler) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { h.watchEngine(ctx) })
	defer wg.Wait()
	tick := time.NewTicker(meterInterval)
	defer tick.Stop()
	lastTick := time.Now()
	for {
		changed := h.cfg.View.Changed()
		h.raiseAnnouncedFloors()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case now := <-tick.C:
			h.meter.tick(now.Sub(lastTick), h.cfg.Queue.Stats().Running)
			lastTick = now
		}
	}
}

func (h *Handler) watchEngine(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		h.pollEngine(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// pollEngine reads the engine's cache events and load. Both are only hints, so
// a failed poll keeps the previous values.
func (h *Handler) pollEngine(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	if events, err := h.cfg.Engine.Events(ctx, h.warm.lastSeq()); err == nil {
		h.warm.apply(events)
	}
	if !h.cfg.UseEngineSlots {
		return
	}
	load, err := h.cfg.Engine.Load(ctx)
	if err == nil && load.Slots > 0 && load.Slots != h.cfg.Queue.Stats().Slots {
		h.cfg.Queue.SetSlots(load.Slots)
	}
}

// FillState sets the fields of the agent's state that this package reports.
func (h *Handler) FillState(s *pb.AgentState) {
	q := h.cfg.Queue.Stats()
	s.Slots, s.Running, s.Queued = int32(q.Slots), int32(q.Running), int32(q.Queued)
	s.QueueWaitMs = q.WaitEstimate.Milliseconds()
	s.TokensPerS, s.StreamTokensPerS = h.meter.rates()
	s.Version, _ = h.cfg.Weights.Serving()
	s.Ready = s.Version != 0
	s.Swapping = h.cfg.Weights.Swapping()
	s.IgnoresFencing = h.cfg.Weights.IgnoresFencing()
	s.WarmPrefixes = h.warm.list()
}

// meter measures the token rates of the engine and of one stream, in tokens per
// second. add is called for every chunk and takes no lock.
type meter struct {
	tokens     atomic.Int64
	lastTokens int64         // token count at the last tick; only tick uses it
	engineRate atomic.Uint64 // smoothed; bits of a float64
	streamRate atomic.Uint64 // smoothed; bits of a float64
}

func (m *meter) add(n int) { m.tokens.Add(int64(n)) }

func (m *meter) tick(dt time.Duration, running int) {
	if dt <= 0 {
		return
	}
	total := m.tokens.Load()
	rate := float64(total-m.lastTokens) / dt.Seconds()
	m.lastTokens = total
	smooth(&m.engineRate, rate)
	if running > 0 {
		smooth(&m.streamRate, rate/float64(running))
	}
}

// smooth moves v towards the newest rate. The first rate is taken as it is.
func smooth(v *atomic.Uint64, rate float64) {
	old := math.Float64frombits(v.Load())
	if old == 0 {
		old = rate
	}
	v.Store(math.Float64bits(old + rateSmoothing*(rate-old)))
}

func (m *meter) rates() (engineRate, streamRate float64) {
	return math.Float64frombits(m.engineRate.Load()), math.Float64frombits(m.streamRate.Load())
}

// estimateMaxDuration predicts how long a stream of maxTokens takes, or returns
// 0 if no rate is known yet.
func (m *meter) estimateMaxDuration(maxTokens uint32) time.Duration {
	_, streamRate := m.rates()
	if streamRate <= 0 {
		return 0
	}
	return time.Duration(float64(maxTokens) / streamRate * float64(time.Second))
}

// warmPrefixes tracks, from the engine's cache events, which prefixes its cache
// holds.
type warmPrefixes struct {
	mu       sync.Mutex
	seq      uint64
	prefixes []uint64 // oldest first
}

func (w *warmPrefixes) lastSeq() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.seq
}

// apply applies cache events in order and skips repeated ones. After a gap in
// the sequence it drops all prefixes: one whose eviction event was lost would
// attract requests to an engine that no longer has it cached.
func (w *warmPrefixes) apply(events []platform.CacheEvent) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range events {
		if e.Seq <= w.seq && e.Seq != 0 && w.seq-e.Seq < maxRepeatDistance {
			continue // repeated
		}
		if e.Seq != w.seq+1 {
			w.prefixes = w.prefixes[:0]
		}
		w.seq = e.Seq
		w.remove(e.Prefix)
		if !e.Evicted {
			w.prefixes = append(w.prefixes, e.Prefix)
		}
		if len(w.prefixes) > maxWarmPrefixes {
			w.prefixes = append(w.prefixes[:0], w.prefixes[1:]...)
		}
	}
}

// maxRepeatDistance is how far behind the last sequence number an event still
// counts as repeated; further behind, the engine has restarted its numbering.
const maxRepeatDistance = 1 << 10

func (w *warmPrefixes) remove(prefix uint64) {
	for i, p := range w.prefixes {
		if p == prefix {
			w.prefixes = append(w.prefixes[:i], w.prefixes[i+1:]...)
			return
		}
	}
}

func (w *warmPrefixes) list() []uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]uint64(nil), w.prefixes...)
}
