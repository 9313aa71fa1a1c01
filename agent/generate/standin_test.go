package generate

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/adapters/httpengine"
	"dandelionsill.org/agent/admission"
	"dandelionsill.org/agent/weights"
	"dandelionsill.org/confsync"
	"dandelionsill.org/manifest"
	"dandelionsill.org/standin/engine"
	"dandelionsill.org/standin/truth"
	"dandelionsill.org/wire/pb"
)

// Samples run on the stand-in engine through the HTTP adapter while five new
// versions come, some loads fail partway after which the engine lies about its
// version, and stale orders are obeyed. Whatever becomes of each sample: one
// that is done names for every token the version that truly made it, which the
// engine wrote into the text, and none is below its floor.
func TestLabelsMatchEngineText(t *testing.T) {
	cfg := engine.DefaultConfig()
	cfg.Model, cfg.Version, cfg.Fencing, cfg.MeanTokens, cfg.TimeScale = "m", 1, false, 60, 0.02
	e := engine.New(cfg)
	server := httptest.NewServer(e)
	adapter := httpengine.New(server.URL, "vm1")
	view := &fakeViewer{}
	view.v.Store(&confsync.View{
		Manifest: &manifest.Manifest{Models: map[string]manifest.Model{"m": {Name: "m"}}},
		Versions: map[string]uint64{"m": 1},
	})
	keeper := weights.New(weights.Config{
		Server: "vm1", Model: "m", Engine: adapter, Store: fakeStore{}, Log: &fakeLog{}, View: view,
		ReadBack: 5 * time.Millisecond, Slot: time.Millisecond, IgnoresFencing: true,
	})
	h := New(Config{
		Name: "vm1", Engine: adapter, View: view, Weights: keeper,
		Queue: admission.New(admission.Config{Slots: 16, MaxQueue: 100}),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var duties, callers sync.WaitGroup
	duties.Go(func() { keeper.Run(ctx) })
	duties.Go(func() { h.Run(ctx) })
	defer func() {
		cancel()
		duties.Wait()
		adapter.Close()
		e.Close()
		server.Close()
	}()
	b := &testBench{Handler: h, t: t, keeper: keeper}
	b.awaitServing(1)
	var mu sync.Mutex
	done, refusals, mixedDone := 0, map[string]int{}, 0
	stop := make(chan struct{})
	for caller := range 8 {
		callers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				floor := max(view.View().Versions["m"], 2) - 1
				req := sampleRequest(fmt.Sprint(caller, "-", i), func(r *pb.GenerateRequest) {
					r.Sample.Group, r.Sample.Index = fmt.Sprint(caller), uint32(i)
					r.Prompt, r.Seed, r.Floor, r.AllowMixed = fmt.Sprint("prompt ", caller), uint64(i), floor, caller%2 == 0
				})
				c := b.call(req)
				var lastReply *pb.GenerateReply
				for r := range c.replies {
					lastReply = r
				}
				mu.Lock()
				if d := lastReply.GetDone(); d != nil {
					done++
					if len(d.GetSpans()) > 1 {
						mixedDone++
					}
					requireTruth(t, req, d, floor)
				} else {
					refusals[lastReply.GetRefusal().GetKind()]++
				}
				mu.Unlock()
				if lastReply.GetRefusal().GetNotRun() {
					time.Sleep(time.Millisecond) // spares the processor; proves nothing
				}
			}
		})
	}
	for version := uint64(2); version <= 6; version++ {
		if version%2 == 0 {
			e.Faults.Apply(engine.Faults{FailNextLoad: true, FailedLabel: "intended"})
		}
		view.Announce("m", version)
		b.awaitServing(version)
		e.Faults.Apply(engine.Faults{})
		before := samplesDone(&mu, &done)
		require.Eventually(t, func() bool { return samplesDone(&mu, &done) > before+10 }, testTimeout, time.Millisecond)
		_, info, _ := fakeStore{}.Fetch(ctx, "m", version-1)
		body, _, _ := fakeStore{}.Fetch(ctx, "m", version-1)
		_ = adapter.LoadWeights(ctx, info, body, 0) // the stale order
		b.awaitServing(version)
	}
	close(stop)
	callers.Wait()
	t.Logf("%d samples done, %d of them mixed; refused: %v", done, mixedDone, refusals)
	require.NotZero(t, refusals["sample_discarded"])
}

func samplesDone(mu *sync.Mutex, n *int) int {
	mu.Lock()
	defer mu.Unlock()
	return *n
}

func requireTruth(t *testing.T, req *pb.GenerateRequest, d *pb.GenerateDone, floor uint64) {
	spans, _, err := truth.Check(req.GetPrompt(), req.GetSeed(), d.GetText())
	if err != nil {
		t.Errorf("the text is not the engine's: %v", err)
		return
	}
	var want []truth.Span
	for _, s := range d.GetSpans() {
		want = append(want, truth.Span{Version: s.GetVersion(), From: int(s.GetFrom()), To: int(s.GetTo())})
		if s.GetVersion() < floor {
			t.Errorf("version %d is below the floor %d", s.GetVersion(), floor)
		}
	}
	if fmt.Sprint(want) != fmt.Sprint(spans) {
		t.Errorf("the label says %v, the truth is %v", want, spans)
	}
}
