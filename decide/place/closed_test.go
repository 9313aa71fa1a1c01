package place

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Failure: an engine that takes no samples any more, given without slots and weights, slows down. Its
// samples leave it as they would any slow engine; those of a closed engine of normal speed end there.
func TestSamplesLeaveAClosedEngineOnlyIfItIsSlow(t *testing.T) {
	versions := map[string]uint64{"m": 3}
	engines := []Engine{{ID: "a", Slots: 6, Pace: 0.1, Versions: versions}, {ID: "b", Slots: 6, Pace: 0.1, Versions: versions}, {ID: "closed", Pace: 0.1}}
	sample := Running{Sample: Sample{ID: "s", Model: "m", Floor: 3, Remaining: 20, Due: 5}, Engine: "closed", Estimated: true}
	require.Equal(t, -1, ChooseMigration(engines, []Running{sample}))
	engines[2].Pace = 0.3
	require.Equal(t, 0, ChooseMigration(engines, []Running{sample}))
	require.Empty(t, Assign(engines[2:], []Sample{sample.Sample}))
	sample.OnlyVersion = 3
	require.False(t, HasOnlyVersion(engines[2:], &sample.Sample), "its weights keep no sample waiting")
}
