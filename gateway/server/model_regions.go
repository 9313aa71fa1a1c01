package server

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"dandelionsill.org/base/metrics"
	"dandelionsill.org/base/outbound"
	"dandelionsill.org/base/sleep"
	"dandelionsill.org/decide/residency"
	gatewayjobs "dandelionsill.org/gateway/jobs"
	"dandelionsill.org/gateway/view"
)

const (
	// modelRegionsInterval is the interval at which an agent asks for the allowed regions of
	// models, while the configuration has allowed regions: a few times between two versions.
	modelRegionsInterval = 2 * time.Second
	// modelRegionsStart is the interval until the first answer: versions named before it are loaded
	// as if all regions needed each model.
	modelRegionsStart    = 200 * time.Millisecond
	modelRegionsTimeout  = 500 * time.Millisecond
	maxModelRegionsBytes = 1 << 20
)

var modelRegionsFailed = metrics.Counter("orders_model_regions_failed_total")

// modelRegions follows which models only some regions need. It asks a gateway, since agents do not
// follow batch jobs. What was last known stays valid: without an answer an engine goes on with the
// models that it follows.
type modelRegions struct {
	view  *view.View
	addrs func() []string // of gateways, the nearest ones
	http  *http.Client
	log   *zap.Logger

	current atomic.Pointer[map[string]residency.Regions]
}

func newModelRegions(v *view.View, addrs func() []string, log *zap.Logger) *modelRegions {
	m := &modelRegions{view: v, addrs: addrs, log: log, http: &http.Client{Timeout: modelRegionsTimeout, Transport: outbound.NewTransport(&http.Transport{DisableCompression: true, IdleConnTimeout: time.Minute})}}
	m.current.Store(&map[string]residency.Regions{})
	return m
}

// get returns the allowed regions of the models that have some. It must not be modified.
func (m *modelRegions) get() map[string]residency.Regions { return *m.current.Load() }

// run follows the regions until ctx ends.
func (m *modelRegions) run(ctx context.Context) {
	wait := modelRegionsStart
	for sleep.For(ctx, sleep.Jitter(wait)) {
		if m.update(ctx) {
			wait = modelRegionsInterval
		}
	}
}

// update brings the regions up to date and reports whether it could.
func (m *modelRegions) update(ctx context.Context) bool {
	t := m.view.Current().Table
	if t == nil {
		return false
	}
	if !t.HasRegions() {
		m.current.Store(&map[string]residency.Regions{})
		return true
	}
	addrs := m.addrs()
	if len(addrs) == 0 {
		return false
	}
	addr := addrs[rand.IntN(len(addrs))]
	regions, err := m.ask(ctx, addr)
	if err != nil {
		modelRegionsFailed.Add(1)
		m.log.Info("A gateway did not return the allowed regions of models.", zap.String("addr", addr), zap.Error(err))
		return false
	}
	m.current.Store(&regions)
	return true
}

func (m *modelRegions) ask(ctx context.Context, addr string) (map[string]residency.Regions, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+gatewayjobs.PathModelRegions, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	resp, err := m.http.Do(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status %d", resp.StatusCode)
	}
	var keys map[string]string
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxModelRegionsBytes)).Decode(&keys); err != nil {
		return nil, errors.Trace(err)
	}
	regions := make(map[string]residency.Regions, len(keys))
	for model, key := range keys {
		regions[model] = residency.ParseKey(key)
	}
	return regions, nil
}
