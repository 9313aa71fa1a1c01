package gather

import (
	"slices"
	"time"
)

// maxStepTimes is the number of a trainer's steps that are remembered: few enough to
// follow changes in its samples, and enough that one slow step does not matter.
const maxStepTimes = 5

// StepTimes estimates how long the steps of a trainer take until it has all results
// that it waits for. The zero value is ready to use. It is not safe for concurrent use.
type StepTimes struct {
	times []time.Duration // newest last
}

// Observe records the duration of a step.
func (s *StepTimes) Observe(d time.Duration) {
	s.times = append(s.times, d)
	if len(s.times) > maxStepTimes {
		s.times = slices.Delete(s.times, 0, len(s.times)-maxStepTimes)
	}
}

// Median returns the median duration of the recent steps, or 0 if none is known.
func (s *StepTimes) Median() time.Duration {
	if s == nil || len(s.times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(s.times))
	return sorted[len(sorted)/2]
}
