// Case 3: the fencing token of a restarted orders process is lower than before.
package main

import (
	"context"
	"errors"
	"fmt"
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
		if err := startOrders(l, name, store, e); err != nil {
			return false, err
		}
	}
	stop := make(chan struct{})
	defer close(stop)
	go heartbeats(store, engines, stop)
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
		if err := startOrders(l, side, store, engine); err != nil {
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

func startOrders(l *lab.Lab, name string, store *hostedtest.Store, e *hostedtest.Server) error {
	return l.Start(name, "dandelion-orders", fmt.Sprintf(
		"[process]\nname = %s\nfailure_domain = %s\ngrace = 8s\nmetrics = %s\n[topology]\nregions = zone-a:r,zone-b:r,zone-c:r\n[store]\naddress = %s\nreads_per_s = 2000\n[engine]\naddress = %s\n",
		name, e.FailureDomain, lab.FreeAddr(), store.Addr(), e.Addr()))
}

// heartbeats writes the entries of the engines, as each server does.
func heartbeats(store *hostedtest.Store, engines map[string]*hostedtest.Server, stop <-chan struct{}) {
	tick := time.NewTicker(1200 * time.Millisecond)
	defer tick.Stop()
	for {
		for _, e := range engines {
			store.Put(hostedtest.TopicServers, e.ID, e.Entry("ready"))
		}
		select {
		case <-stop:
			return
		case <-tick.C:
		}
	}
}
