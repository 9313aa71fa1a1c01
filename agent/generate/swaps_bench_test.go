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
	swapEngines        = 4
	swapStalenessBound = 2
	swapVersions       = 8
	swapTrainers       = 2 // the first one's samples may be mixed
	swapSlots          = 8
	swapLoadTime       = 400 * time.Millisecond
	swapGrace          = 800 * time.Millisecond
)

// swapEngine is the handler and keeper of one stand-in engine.
type swapEngine struct {
	*Handler
	keeper *weights.Keeper
}

// fleetViewer is a fakeViewer whose Changed channel closes at each announcement.
type fleetViewer struct {
	fakeViewer
	mu      sync.Mutex
	changed chan struct{}
}

func (v *fleetViewer) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

func (v *fleetViewer) Announce(model string, version uint64) {
	v.fakeViewer.Announce(model, version)
	v.mu.Lock()
	defer v.mu.Unlock()
	close(v.changed)
	v.changed = make(chan struct{})
}

// BenchmarkSwaps announces weight versions to four stand-in engines that run
// samples of two trainers, with all times a tenth of those of a site. It reports
// what affects the trainers: how many versions the engines are behind, how long
// they are of no use because their weights are below the floor, samples
// completed and samples lost.
func BenchmarkSwaps(b *testing.B) {
	for _, interval := range []time.Duration{250 * time.Millisecond, 600 * time.Millisecond, 2500 * time.Millisecond} {
		for _, weigh := range []manifest.Weigh{manifest.WeighIdle, manifest.WeighStaleness} {
			b.Run(fmt.Sprintf("every=%v/weigh=%s", interval, weigh), func(b *testing.B) {
				for b.Loop() {
					runSwaps(b, interval, weigh)
				}
			})
		}
	}
}

// runSwaps runs the fleet once and reports its metrics.
func runSwaps(b *testing.B, interval time.Duration, weigh manifest.Weigh) {
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
		m.Trainers[name] = manifest.Trainer{Name: name, Model: "m", StalenessBound: swapStalenessBound}
	}
	view.v.Store(&confsync.View{Manifest: m, Versions: map[string]uint64{"m": 1}})
	ctx, cancel := context.WithCancel(context.Background())
	var goroutines sync.WaitGroup
	var fleet []swapEngine
	for i := range swapEngines {
		fleet = append(fleet, newSwapEngine(ctx, b, &goroutines, view, i))
	}
	for _, e := range fleet {
		_, _, _ = e.keeper.WaitFresh(ctx, 1)
	}
	var done, lost atomic.Int64
	for i, e := range fleet {
		for caller := range swapSlots {
			goroutines.Go(func() { produceSamples(ctx, b, e, view, i*swapSlots+caller, &done, &lost) })
		}
	}
	versionsBehind, uselessPolls, polls := 0, 0, 0
	startTime, pollTicker := time.Now(), time.NewTicker(5*time.Millisecond)
	defer pollTicker.Stop()
	for version := uint64(1); time.Since(startTime) < swapVersions*interval; {
		<-pollTicker.C
		if next := 2 + uint64(time.Since(startTime)/interval); next > version {
			version = next
			view.Announce("m", version)
		}
		polls++
		for _, e := range fleet {
			v, _ := e.keeper.Serving()
			versionsBehind += int(version - max(v, e.keeper.Producing()))
			if v == 0 || v < fresh.Floor(version, swapStalenessBound) {
				uselessPolls++
			}
		}
	}
	elapsed := time.Since(startTime).Seconds()
	cancel()
	goroutines.Wait()
	uselessShare := float64(uselessPolls) / float64(polls*swapEngines)
	b.ReportMetric(float64(versionsBehind)/float64(polls*swapEngines), "versions-behind")
	b.ReportMetric(uselessShare*elapsed*swapEngines, "engine-s-useless")
	b.ReportMetric(100*uselessShare, "%-useless")
	b.ReportMetric(float64(done.Load())/elapsed, "samples/s")
	b.ReportMetric(100*float64(lost.Load())/float64(max(1, done.Load()+lost.Load())), "%-lost")
}

func newSwapEngine(ctx context.Context, b *testing.B, goroutines *sync.WaitGroup, view confsync.Viewer, i int) swapEngine {
	cfg := engine.DefaultConfig()
	cfg.Model, cfg.Version, cfg.MeanTokens, cfg.TimeScale = "m", 1, 250, 0.1
	cfg.LoadTime, cfg.Slots, cfg.Seed = 10*swapLoadTime, 2*swapSlots, uint64(i)
	e := engine.New(cfg)
	server := httptest.NewServer(e)
	adapter := httpengine.New(server.URL, fmt.Sprint("vm", i))
	var peers []weights.Peer
	for j := range swapEngines {
		if j != i {
			peers = append(peers, weights.Peer{Name: fmt.Sprint("vm", j)})
		}
	}
	keeper := weights.New(weights.Config{
		Server: fmt.Sprint("vm", i), Model: "m", Engine: adapter, Store: fakeStore{}, Log: &fakeLog{}, View: view,
		ReadBackInterval: 100 * time.Millisecond, SlotLength: swapLoadTime, Peers: func() []weights.Peer { return peers },
	})
	h := New(Config{
		Name: fmt.Sprint("vm", i), Engine: adapter, View: view, Weights: keeper,
		Queue: admission.New(admission.Config{Slots: swapSlots, MaxQueue: 100}),
	})
	goroutines.Go(func() { keeper.Run(ctx) })
	goroutines.Go(func() { h.Run(ctx) })
	b.Cleanup(func() {
		adapter.Close()
		e.Close()
		server.Close()
	})
	return swapEngine{h, keeper}
}

// produceSamples runs one sample after another until ctx ends, and counts those
// completed and lost.
func produceSamples(ctx context.Context, t testing.TB, e swapEngine, view confsync.Viewer, caller int, done, lost *atomic.Int64) {
	bench := &testBench{Handler: e.Handler, t: t}
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprint(caller, "-", i)
		req := sampleRequest(id, func(r *pb.GenerateRequest) {
			r.Caller, r.AllowMixed, r.MaxTokens = fmt.Sprint("tr", caller%swapTrainers), caller%swapTrainers == 0, 600
			r.Sample.Trainer, r.Sample.Group, r.Sample.Index = r.Caller, fmt.Sprint(caller), uint32(i)
			r.Seed, r.Floor = uint64(i), fresh.Floor(view.View().Versions["m"], swapStalenessBound)
		})
		c := bench.call(req)
		stop := context.AfterFunc(ctx, c.cancel)
		var lastReply *pb.GenerateReply
		for r := range c.replies {
			lastReply = r
		}
		stop()
		switch {
		case ctx.Err() != nil:
		case lastReply.GetDone() != nil:
			done.Add(1)
		case lastReply.GetRefusal().GetNotRun():
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
