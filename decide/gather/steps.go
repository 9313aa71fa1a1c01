package gather

import (
	"slices"
	"time"
)

// stepsKept is how many steps of a trainer are remembered: few enough to follow it when
// its samples change, and enough for one slow step not to matter.
const maxStepTimes = 5

// Steps learns how long the steps of a trainer take until it has all that it waits for.
// Its zero value knows nothing. It is not safe for concurrent use.
type StepTimes struct {
	times []time.Duration // the newest last
}

// Took notes a step.
func (s *StepTimes) Observe(d time.Duration) {
	s.times = append(s.times, d)
	if len(s.times) > maxStepTimes {
		s.times = slices.Delete(s.times, 0, len(s.times)-maxStepTimes)
	}
}

// Usual returns how long a step usually takes; 0: none is known.
func (s *StepTimes) Median() time.Duration {
	if s == nil || len(s.times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(s.times))
	return sorted[len(sorted)/2]
}
