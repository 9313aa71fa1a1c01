package jobs

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against heartbeats of idle processes whose number grows with the fleet, while all
// processes read each of them and the stream takes one append at a time.
func TestNumberOfCandidatesIsBounded(t *testing.T) {
	for _, processes := range []int{1, 9, 48, 300, 633, 2000} {
		candidates := 0
		for i := range processes {
			if IsCandidate(fmt.Sprintf("entry-%d", i), processes) {
				candidates++
			}
		}
		if processes <= maxCandidates {
			require.Equal(t, processes, candidates, "all of a small fleet")
			continue
		}
		require.InDelta(t, maxCandidates, candidates, maxCandidates/2)
	}
}
