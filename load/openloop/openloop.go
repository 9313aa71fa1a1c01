// Package openloop starts requests at times that do not depend on the answers,
// so that a slow system receives the same load as a fast one.
package openloop

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Config defines the arrivals of requests.
type Config struct {
	Rate        float64       // requests per second (Poisson arrivals)
	Duration    time.Duration // no request starts later
	MaxInFlight int           // a request beyond this is dropped and counted
	Seed        uint64
}

// Run calls fire for requests 0, 1, 2 …, each in a goroutine of its own, until
// the configured duration has passed or ctx ends. It waits for the calls to
// return and returns how many requests were fired and how many were dropped.
func Run(ctx context.Context, cfg Config, fire func(ctx context.Context, i int)) (fired, dropped int) {
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, max(1, cfg.MaxInFlight))
	rng := rand.New(rand.NewPCG(cfg.Seed, 0))
	start := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	<-timer.C
	due := time.Duration(0)
	for i := 0; cfg.Rate > 0; i++ {
		due += time.Duration(rng.ExpFloat64() / cfg.Rate * float64(time.Second))
		if due >= cfg.Duration {
			break
		}
		timer.Reset(time.Until(start.Add(due)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return fired, dropped
		}
		select {
		case slots <- struct{}{}:
		default:
			dropped++
			continue
		}
		fired++
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			fire(ctx, i)
		}()
	}
	return fired, dropped
}
