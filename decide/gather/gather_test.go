package gather_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/decide/gather"
)

const ms = time.Millisecond

func TestHold(t *testing.T) {
	for _, c := range []struct {
		name string
		read gather.Read
		want time.Duration
	}{
		{"the caller does not wait", gather.Read{}, 0},
		{"results were there when it came", gather.Read{Most: time.Second}, 500 * ms},
		{"the first result comes soon", gather.Read{Waited: 120 * ms, Most: time.Second}, 380 * ms},
		{"it has waited as long as its caller pauses", gather.Read{Waited: 500 * ms, Most: time.Second}, 0},
		{"it has waited longer", gather.Read{Waited: 800 * ms, Most: time.Second}, 0},
		{"its caller waits for less than the pause", gather.Read{Waited: 100 * ms, Most: 300 * ms}, 200 * ms},
		{"its caller has all that it waits for", gather.Read{Waited: 100 * ms, Most: time.Second, Enough: true}, 0},
		{"results are due soon", gather.Read{Most: time.Second, Due: 200 * ms}, 120 * ms},
		{"results are due now", gather.Read{Most: time.Second, Due: 50 * ms}, 0},
		{"results are late already", gather.Read{Most: time.Second, Due: -time.Second}, 500 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, gather.Hold(c.read))
		})
	}
}

// A trainer reads at once after an answer that took its pause or longer, else
// when its pause is over. It begins to train when it has read the last result.
// Where each result is answered by itself, the last one may be listed while the
// trainer pauses, and its step ends up to a pause late; held reads always find
// the trainer waiting. The load is the end of a step: short samples in a row,
// the last two close together.
func TestTheLastResultFindsAReadWaiting(t *testing.T) {
	listed := []time.Duration{130 * ms, 180 * ms, 700 * ms, 1900 * ms, 7290 * ms, 7360 * ms}
	require.Equal(t, 7360*ms, noticed(listed, gather.Hold))
	atOnce := func(gather.Read) time.Duration { return 0 }
	require.Equal(t, 7500*ms, noticed(listed, atOnce))
}

// noticed plays a trainer's reads until it has all results and returns when.
func noticed(listed []time.Duration, hold func(gather.Read) time.Duration) time.Duration {
	const pause, most = 500 * ms, time.Second
	have := 0
	for now := time.Duration(0); ; {
		began := now
		now = max(now, min(listed[have], began+most))
		// The read is held until its hold is over or enough is listed.
		if now >= listed[have] {
			until := now + hold(gather.Read{Waited: now - began, Most: most})
			now = min(until, max(now, listed[len(listed)-1]))
		}
		for have < len(listed) && listed[have] <= now {
			have++
		}
		if have == len(listed) {
			return now
		}
		now = max(now, began+pause)
	}
}
