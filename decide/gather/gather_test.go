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
		{"results were available when it started", gather.Read{MaxWait: time.Second}, 1000 * ms},
		{"the first result arrives soon", gather.Read{Waited: 120 * ms, MaxWait: time.Second}, 880 * ms},
		{"it has waited as long as its caller permits", gather.Read{Waited: time.Second, MaxWait: time.Second}, 0},
		{"it has waited longer", gather.Read{Waited: 1200 * ms, MaxWait: time.Second}, 0},
		{"its caller would wait for a long time", gather.Read{Waited: 300 * ms, MaxWait: time.Minute}, 700 * ms},
		{"its caller waits for less than a second", gather.Read{Waited: 100 * ms, MaxWait: 300 * ms}, 200 * ms},
		{"its caller has all results that it waits for", gather.Read{Waited: 100 * ms, MaxWait: time.Second, Enough: true}, 0},
		{"results are due soon", gather.Read{MaxWait: time.Second, Due: 200 * ms}, 600 * ms},
		{"results were due just now", gather.Read{MaxWait: time.Second, Due: -300 * ms}, 100 * ms},
		{"results are timely if read at once", gather.Read{MaxWait: time.Second, Due: -500 * ms}, 0},
		{"results no longer count as timely", gather.Read{MaxWait: time.Second, Due: -time.Second}, 1000 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, gather.Hold(c.read))
		})
	}
}

// A trainer reads again when a read is answered, but no sooner than a pause after that
// read started. The load is the end of a step: short samples in a row, the last two
// close together, at any moment relative to the trainer's reads. If reads are answered
// at once, or after as long as the pause, most are recent when the last result is
// listed, and the trainer continues a quarter of a second late on average.
func TestHoldReducesLagOfLastResult(t *testing.T) {
	meanLag := func(hold func(gather.Read) time.Duration) time.Duration {
		const steps = 100
		sum := time.Duration(0)
		for i := range steps {
			shift := time.Duration(i) * 20 * ms
			last := 7360*ms + shift
			listed := []time.Duration{130 * ms, 180 * ms, 700 * ms, 1900 * ms, 7290*ms + shift, last}
			sum += trainingStart(listed, hold) - last
		}
		return sum / steps
	}
	atOnce := meanLag(func(gather.Read) time.Duration { return 0 })
	heldForPause := meanLag(func(r gather.Read) time.Duration {
		if r.Enough {
			return 0
		}
		return max(0, readPause-r.Waited)
	})
	held := meanLag(gather.Hold)
	t.Logf("mean lag: answered at once %v, held for the pause %v, with Hold %v", atOnce, heldForPause, held)
	require.LessOrEqual(t, held, readPause*3/10)
	require.Less(t, held, heldForPause*7/10)
	require.Less(t, held, atOnce*7/10)
}

// readPause is the minimum time between the starts of two of a trainer's reads.
const readPause = 500 * ms

func TestHoldBeforeTheExpectedEnd(t *testing.T) {
	for _, c := range []struct {
		name string
		read gather.Read
		want time.Duration
	}{
		{"the last result is expected during this read", gather.Read{MaxWait: time.Second, Expected: 700 * ms}, 1000 * ms},
		{"the last result is expected at the start of the next read", gather.Read{MaxWait: time.Second, Expected: 1400 * ms}, 650 * ms},
		{"the next read cannot start before the pause", gather.Read{MaxWait: time.Second, Expected: 1050 * ms}, 500 * ms},
		{"the next read will be old enough", gather.Read{MaxWait: time.Second, Expected: 1900 * ms}, 1000 * ms},
		{"the last result is expected much later", gather.Read{MaxWait: time.Second, Expected: 5 * time.Second}, 1000 * ms},
		{"the last result is overdue", gather.Read{Waited: 300 * ms, MaxWait: time.Second, Expected: -100 * ms}, 700 * ms},
		{"the due time would allow a longer hold", gather.Read{MaxWait: time.Second, Expected: 1400 * ms, Due: 300 * ms}, 650 * ms},
		{"the due time shortens the hold further", gather.Read{MaxWait: time.Second, Expected: 1400 * ms, Due: 50 * ms}, 450 * ms},
		{"no result yet", gather.Read{Empty: true, Waited: 100 * ms, MaxWait: time.Second, Expected: 1400 * ms}, 650 * ms},
		{"no result yet, and none is expected soon", gather.Read{Empty: true, MaxWait: time.Minute, Expected: 5 * time.Second}, time.Minute},
		{"its caller already has all results that it waits for", gather.Read{Empty: true, MaxWait: time.Second, Enough: true}, 1000 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, gather.Hold(c.read))
		})
	}
}

// The load is the end of a step that takes about as long as earlier steps, within a
// fifth of a second. Guards against a trainer that has to wait for the end of its pause
// because its read was recent when the last sample was listed.
func TestExpectedEndReducesLagFurther(t *testing.T) {
	const steps = 200
	var held, aligned time.Duration
	for i := range steps {
		last := 7360*ms + time.Duration(i)*10*ms
		expected := last + time.Duration(i*37%41-20)*10*ms
		listed := []time.Duration{130 * ms, 180 * ms, 700 * ms, 1900 * ms, last - 70*ms, last}
		held += trainingStart(listed, gather.Hold) - last
		aligned += trainingStartExpecting(expected, listed, gather.Hold) - last
	}
	t.Logf("mean lag: held %v, aligned with the expected end %v", held/steps, aligned/steps)
	require.Less(t, aligned, held/4)
}

func TestStepTimes(t *testing.T) {
	var s *gather.StepTimes
	require.Zero(t, s.Median())
	s = &gather.StepTimes{}
	for _, d := range []time.Duration{9, 3, 4, 3, 4, 20} {
		s.Observe(d)
	}
	require.Equal(t, time.Duration(4), s.Median(), "the median of the newest five")
}

// trainingStart simulates a trainer's reads and returns when it starts to train, that
// is, when it processes an answer and has all results.
func trainingStart(listed []time.Duration, hold func(gather.Read) time.Duration) time.Duration {
	return trainingStartExpecting(0, listed, hold)
}

// trainingStartExpecting is trainingStart with the last result expected at the given
// time; 0 means not known.
func trainingStartExpecting(expected time.Duration, listed []time.Duration, hold func(gather.Read) time.Duration) time.Duration {
	const maxWait = time.Second
	last := listed[len(listed)-1]
	have := 0
	for now := time.Duration(0); ; {
		startedAt := now
		answered := startedAt + maxWait
		if expected > 0 {
			answered = startedAt + hold(gather.Read{Empty: true, MaxWait: maxWait, Expected: expected - startedAt})
		}
		if first := max(startedAt, listed[have]); first <= answered {
			read := gather.Read{Waited: first - startedAt, MaxWait: maxWait, Enough: first >= last}
			if expected > 0 {
				read.Expected = expected - first
			}
			answered = first + hold(read)
			if last > first {
				answered = min(answered, last)
			}
		}
		for have < len(listed) && listed[have] <= answered {
			have++
		}
		now = max(answered, startedAt+readPause)
		if have == len(listed) {
			return now
		}
	}
}
