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
	meterEvery  = 250 * time.Millisecond
	eventsEvery = time.Second
	pollTimeout = 2 * time.Second
	smoothing   = 0.3 // weight of the newest rate
	// maxWarm bounds the prefixes in a state report: 64 hashes are about
	// 650 B, so that one report a second stays far below 17 KB/s a daemon.
	maxWarm = 64
)

// Run keeps the load figures, the warm prefixes and the announced floors up to
// date until ctx ends.
func (h *Handler) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { h.watchEngine(ctx) })
	defer wg.Wait()
	tick := time.NewTicker(meterEvery)
	defer tick.Stop()
	last := time.Now()
	for {
		changed := h.cfg.View.Changed()
		h.learnAnnounced()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case now := <-tick.C:
			h.meter.tick(now.Sub(last), h.cfg.Queue.Stats().Running)
			last = now
		}
	}
}

func (h *Handler) watchEngine(ctx context.Context) {
	tick := time.NewTicker(eventsEvery)
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

// pollEngine reads cache events and the load. Both are hints: a failed poll
// changes nothing.
func (h *Handler) pollEngine(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	if events, err := h.cfg.Engine.Events(ctx, h.warm.after()); err == nil {
		h.warm.apply(events)
	}
	if !h.cfg.EngineSlots {
		return
	}
	load, err := h.cfg.Engine.Load(ctx)
	if err == nil && load.Slots > 0 && load.Slots != h.cfg.Queue.Stats().Slots {
		h.cfg.Queue.SetSlots(load.Slots)
	}
}

// FillState writes this part's fields of the agent's state.
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

// meter measures token rates. add is on the path of every chunk.
type meter struct {
	tokens atomic.Int64
	last   int64 // of the ticking goroutine
	all    atomic.Uint64
	one    atomic.Uint64
}

func (m *meter) add(n int) { m.tokens.Add(int64(n)) }

func (m *meter) tick(dt time.Duration, running int) {
	if dt <= 0 {
		return
	}
	total := m.tokens.Load()
	rate := float64(total-m.last) / dt.Seconds()
	m.last = total
	smooth(&m.all, rate)
	if running > 0 {
		smooth(&m.one, rate/float64(running))
	}
}

func smooth(v *atomic.Uint64, rate float64) {
	old := math.Float64frombits(v.Load())
	if old == 0 {
		old = rate
	}
	v.Store(math.Float64bits(old + smoothing*(rate-old)))
}

func (m *meter) rates() (all, one float64) {
	return math.Float64frombits(m.all.Load()), math.Float64frombits(m.one.Load())
}

// need predicts how long a stream takes at most; 0 where no rate is known.
func (m *meter) need(maxTokens uint32) time.Duration {
	_, one := m.rates()
	if one <= 0 {
		return 0
	}
	return time.Duration(float64(maxTokens) / one * float64(time.Second))
}

// warmPrefixes is what is believed of the engine's prefix cache.
type warmPrefixes struct {
	mu    sync.Mutex
	seq   uint64
	order []uint64 // oldest first
}

func (w *warmPrefixes) after() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.seq
}

// apply folds events in. On a gap what was believed is dropped: a prefix whose
// eviction was lost would draw requests to a cold engine.
func (w *warmPrefixes) apply(events []platform.CacheEvent) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range events {
		if e.Seq <= w.seq && e.Seq != 0 && w.seq-e.Seq < maxReorder {
			continue // a repeat
		}
		if e.Seq != w.seq+1 {
			w.order = w.order[:0]
		}
		w.seq = e.Seq
		w.remove(e.Prefix)
		if !e.Evicted {
			w.order = append(w.order, e.Prefix)
		}
		if len(w.order) > maxWarm {
			w.order = append(w.order[:0], w.order[1:]...)
		}
	}
}

// maxReorder tells a repeated event from an engine that started to count anew.
const maxReorder = 1 << 10

func (w *warmPrefixes) remove(prefix uint64) {
	for i, p := range w.order {
		if p == prefix {
			w.order = append(w.order[:i], w.order[i+1:]...)
			return
		}
	}
}

func (w *warmPrefixes) list() []uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]uint64(nil), w.order...)
}
