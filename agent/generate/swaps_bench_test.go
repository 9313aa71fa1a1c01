package generate

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dandelionsill.org/adapters/httpengine"
	"dandelionsill.org/agent/admission"
	"dandelionsill.org/agent/weights"
	"dandelionsill.org/confsync"
	"dandelionsill.org/decide/fresh"
	"dandelionsill.org/manifest"
	"dandelionsill.org/standin/engine"
	"dandelionsill.org/wire/pb"
)

const (
	swapEngines  = 4
	swapBound    = 2
	swapVersions = 8
	swapTrainers = 2 // the first one's samples may be mixed
	swapSlots    = 8
	swapLoad     = 400 * time.Millisecond
	swapGrace    = 800 * time.Millisecond
)

// swapEngine is one agent with its stand-in engine.
type swapEngine struct {
	*Handler
	keeper *weights.Keeper
}

// fleetViewer is a viewer that wakes those who wait for changes.
type fleetViewer struct {
	viewer
	mu      sync.Mutex
	changed chan struct{}
}

func (v *fleetViewer) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

func (v *fleetViewer) Announce(model string, version uint64) {
	v.viewer.Announce(model, version)
	v.mu.Lock()
	defer v.mu.Unlock()
	close(v.changed)
	v.changed = make(chan struct{})
}

// BenchmarkSwaps announces versions to four stand-in engines under samples of
// two trainers, at a tenth of the sites' times, and reports what their trainers
// feel: how far the engines are behind, the time that they are of no use to a
// trainer, samples made and samples lost.
func BenchmarkSwaps(b *testing.B) {
	for _, every := range []time.Duration{250 * time.Millisecond, 600 * time.Millisecond, 2500 * time.Millisecond} {
		for _, weigh := range []manifest.Weigh{manifest.WeighIdle, manifest.WeighStaleness} {
			b.Run(fmt.Sprintf("every=%v/weigh=%s", every, weigh), func(b *testing.B) {
				for b.Loop() {
					swaps(b, every, weigh)
				}
			})
		}
	}
}

func swaps(b *testing.B, every time.Duration, weigh manifest.Weigh) {
	view := &fleetViewer{changed: make(chan struct{})}
	grace := swapGrace
	if weigh == manifest.WeighStaleness {
		grace /= 4
	}
	m := &manifest.Manifest{
		Fleet:    manifest.Fleet{Weigh: weigh},
		Models:   map[string]manifest.Model{"m": {Name: "m", SwapGrace: grace}},
		Trainers: map[string]manifest.Trainer{},
	}
	for i := range swapTrainers {
		name := fmt.Sprint("tr", i)
		m.Trainers[name] = manifest.Trainer{Name: name, Model: "m", StalenessBound: swapBound}
	}
	view.v.Store(&confsync.View{Manifest: m, Versions: map[string]uint64{"m": 1}})
	ctx, cancel := context.WithCancel(context.Background())
	var duties sync.WaitGroup
	var fleet []swapEngine
	for i := range swapEngines {
		fleet = append(fleet, newSwapEngine(ctx, b, &duties, view, i))
	}
	for _, e := range fleet {
		_, _, _ = e.keeper.WaitFresh(ctx, 1)
	}
	var done, lost atomic.Int64
	for i, e := range fleet {
		for caller := range swapSlots {
			duties.Go(func() { produceSamples(ctx, b, e, view, i*swapSlots+caller, &done, &lost) })
		}
	}
	behind, useless, looks := 0, 0, 0
	began, looksAt := time.Now(), time.NewTicker(5*time.Millisecond)
	defer looksAt.Stop()
	for version := uint64(1); time.Since(began) < swapVersions*every; {
		<-looksAt.C
		if next := 2 + uint64(time.Since(began)/every); next > version {
			version = next
			view.Announce("m", version)
		}
		looks++
		for _, e := range fleet {
			v, _ := e.keeper.Serving()
			behind += int(version - max(v, e.keeper.Producing()))
			if v == 0 || v < fresh.Floor(version, swapBound) {
				useless++
			}
		}
	}
	took := time.Since(began).Seconds()
	cancel()
	duties.Wait()
	share := float64(useless) / float64(looks*swapEngines)
	b.ReportMetric(float64(behind)/float64(looks*swapEngines), "versions-behind")
	b.ReportMetric(share*took*swapEngines, "engine-s-useless")
	b.ReportMetric(100*share, "%-useless")
	b.ReportMetric(float64(done.Load())/took, "samples/s")
	b.ReportMetric(100*float64(lost.Load())/float64(max(1, done.Load()+lost.Load())), "%-lost")
}

func newSwapEngine(ctx context.Context, b *testing.B, duties *sync.WaitGroup, view confsync.Viewer, i int) swapEngine {
	cfg := engine.DefaultConfig()
	cfg.Model, cfg.Version, cfg.MeanTokens, cfg.TimeScale = "m", 1, 250, 0.1
	cfg.LoadTime, cfg.Slots, cfg.Seed = 10*swapLoad, 2*swapSlots, uint64(i)
	e := engine.New(cfg)
	server := httptest.NewServer(e)
	adapter := httpengine.New(server.URL, fmt.Sprint("vm", i))
	var fellows []weights.Peer
	for j := range swapEngines {
		if j != i {
			fellows = append(fellows, weights.Peer{Name: fmt.Sprint("vm", j)})
		}
	}
	keeper := weights.New(weights.Config{
		Server: fmt.Sprint("vm", i), Model: "m", Engine: adapter, Store: fakeStore{}, Log: &fakeLog{}, View: view,
		ReadBackInterval: 100 * time.Millisecond, SlotLength: swapLoad, Peers: func() []weights.Peer { return fellows },
	})
	h := New(Config{
		Name: fmt.Sprint("vm", i), Engine: adapter, View: view, Weights: keeper,
		Queue: admission.New(admission.Config{Slots: swapSlots, MaxQueue: 100}),
	})
	duties.Go(func() { keeper.Run(ctx) })
	duties.Go(func() { h.Run(ctx) })
	b.Cleanup(func() {
		adapter.Close()
		e.Close()
		server.Close()
	})
	return swapEngine{h, keeper}
}

// produceSamples runs one sample after the other until ctx ends.
func produceSamples(ctx context.Context, t testing.TB, e swapEngine, view confsync.Viewer, caller int, done, lost *atomic.Int64) {
	bench := &bench{Handler: e.Handler, t: t}
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprint(caller, "-", i)
		req := sample(id, func(r *pb.GenerateRequest) {
			r.Caller, r.AllowMixed, r.MaxTokens = fmt.Sprint("tr", caller%swapTrainers), caller%swapTrainers == 0, 600
			r.Sample.Trainer, r.Sample.Group, r.Sample.Index = r.Caller, fmt.Sprint(caller), uint32(i)
			r.Seed, r.Floor = uint64(i), fresh.Floor(view.View().Versions["m"], swapBound)
		})
		c := bench.call(req)
		stop := context.AfterFunc(ctx, c.cancel)
		var last *pb.GenerateReply
		for r := range c.replies {
			last = r
		}
		stop()
		switch {
		case ctx.Err() != nil:
		case last.GetDone() != nil:
			done.Add(1)
		case last.GetRefusal().GetNotRun():
			pause := time.NewTimer(20 * time.Millisecond)
			select {
			case <-pause.C:
			case <-ctx.Done():
			}
			pause.Stop()
		default:
			lost.Add(1)
		}
	}
}
