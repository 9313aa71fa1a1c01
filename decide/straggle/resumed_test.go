package straggle_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/decide/straggle"
)

// The entry stands still for 3 s (SIGSTOP, its VM is suspended, a busy host)
// while all engines go on; their chunks wait in its sockets. Its first decision
// after that comes before those chunks are read. The plan takes its own silence
// for theirs: it cancels every stream of the step and takes every server for
// frozen, so the trainer waits for 2 s more with all engines idle.
func TestResumedEntryKeepsItsStreams(t *testing.T) {
	p := straggle.New(straggle.Config{}, []straggle.Group{{Samples: 8, MaxTokens: 4000}})
	acts := p.Next(0, servers(4, 4))
	require.Len(t, acts, 8)
	now, made := time.Duration(0), 0
	for now < 2*time.Second {
		now += 25 * time.Millisecond
		made++
		for _, a := range acts {
			p.Observe(a.Run, made, made, 1, now)
		}
		require.Empty(t, p.Next(now, servers(0, 0)))
	}
	require.Empty(t, p.Next(now+3*time.Second, servers(0, 0)), "nobody listened to the streams meanwhile")
}
