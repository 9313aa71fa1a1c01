// Case 3: the fencing token of a restarted orders process is lower than before.
package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"dandelionsill.org/platform/hosted/hostedtest"

	"review/lab"
)

const (
	zone     = "zone-b"
	loadTime = 900 * time.Millisecond // of the pages' sheets
	killAt   = 500 * time.Millisecond
	downFor  = 500 * time.Millisecond
)

var models = []string{"m0", "m1"}

func main() { lab.Run(run) }

func run(l *lab.Lab, trouble bool) (bool, error) {
	ctx := context.Background()
	store := hostedtest.NewStore()
	defer store.Close()
	store.Put(hostedtest.TopicOperator, "config", hostedtest.Config(1))
	engines := map[string]*hostedtest.Server{}
	for i, domain := range []string{"zone-a", zone, "zone-c"} {
		name := fmt.Sprintf("side-%d", i)
		e := hostedtest.NewEngine(fmt.Sprintf("e%d", i), "engines", models...)
		defer e.Close()
		e.FailureDomain, e.LoadTime = domain, loadTime
		engines[name] = e
		if err := lab.StartOrders(l, name, store, e); err != nil {
			return false, err
		}
	}
	stop := make(chan struct{})
	defer close(stop)
	go lab.Heartbeats(store, func() []*hostedtest.Server { return slices.Collect(maps.Values(engines)) }, stop)
	side, engine := "side-1", engines["side-1"]
	time.Sleep(2 * time.Second)

	name := func(version int) {
		for _, m := range models {
			store.Put(hostedtest.TopicOperator, "version/"+m, map[string]any{"model": m, "version": version})
		}
		l.Note("version %d is named for %d models", version, len(models))
	}
	store.Evacuate(zone, false)
	l.Note("the operator evacuates %s", zone)
	time.Sleep(500 * time.Millisecond)
	name(2)
	time.Sleep(4 * time.Second)
	name(3)
	time.Sleep(4 * time.Second)
	store.Evacuate(zone, true)
	l.Note("the operator takes the evacuation of %s back", zone)
	if !lab.Eventually(ctx, 10*time.Second, func() bool { return len(engine.Orders()) > 0 }) {
		return false, errors.New("the engine of the zone got no order")
	}
	if trouble {
		time.Sleep(killAt)
		l.Kill(side)
		time.Sleep(downFor)
		if err := lab.StartOrders(l, side, store, engine); err != nil {
			return false, err
		}
	}
	if !lab.Eventually(ctx, 20*time.Second, func() bool { return len(engine.Orders()) >= len(models) }) {
		return false, fmt.Errorf("the engine got %d orders instead of %d", len(engine.Orders()), len(models))
	}
	broken, highest := false, uint64(0)
	for _, o := range engine.Orders() {
		l.Note("order at the engine of %s: holder %s, fence %d, model %s, version %d, expect %d", side, o.Holder, o.Fence, o.Model, o.Version, o.Expect)
		if o.Fence < highest {
			broken = true
			l.Note("the fence %d is lower than %d before", o.Fence, highest)
		}
		highest = max(highest, o.Fence)
	}
	return broken, nil
}
