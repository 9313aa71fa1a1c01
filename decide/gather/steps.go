package gather

import (
	"slices"
	"time"
)

// stepsKept is how many steps of a trainer are remembered: few enough to follow it when
// its samples change, and enough for one slow step not to matter.
const stepsKept = 5

// Steps learns how long the steps of a trainer take until it has all that it waits for.
// Its zero value knows nothing. It is not safe for concurrent use.
type Steps struct {
	took []time.Duration // the newest last
}

// Took notes a step.
func (s *Steps) Took(d time.Duration) {
	s.took = append(s.took, d)
	if len(s.took) > stepsKept {
		s.took = slices.Delete(s.took, 0, len(s.took)-stepsKept)
	}
}

// Usual returns how long a step usually takes; 0: none is known.
func (s *Steps) Usual() time.Duration {
	if s == nil || len(s.took) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(s.took))
	return sorted[len(sorted)/2]
}
