package straggle_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/decide/straggle"
)

// Guards against an entry that takes its own pause for a stall of the engines.
// The entry is suspended for 3 s (SIGSTOP, a suspended VM, an overloaded
// machine) while all engines continue, and its first decision after that comes
// before it has read the chunks waiting in its sockets. If the plan counted
// its own pause, it would cancel every stream of the step and exclude every
// server as frozen, and the trainer would wait for 2 s more with all engines
// idle.
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
	require.Empty(t, p.Next(now+3*time.Second, servers(0, 0)), "the entry read no streams while it was suspended")
}
