// Package openloop fires requests at times that do not wait for answers, so
// that a slow system meets the same load as a fast one.
package openloop

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Config says how to fire.
type Config struct {
	Rate        float64       // requests a second (Poisson)
	Duration         time.Duration // how long
	MaxInFlight int           // beyond it a request counts as dropped
	Seed        uint64
}

// Run fires requests 0, 1, 2 … and returns when the last has ended. It
// returns how many were fired and how many were dropped.
func Run(ctx context.Context, cfg Config, fire func(ctx context.Context, i int)) (fired, dropped int) {
	var running sync.WaitGroup
	defer running.Wait()
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
		running.Add(1)
		go func() {
			defer running.Done()
			defer func() { <-slots }()
			fire(ctx, i)
		}()
	}
	return fired, dropped
}
