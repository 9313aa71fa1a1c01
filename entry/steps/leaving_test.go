package steps_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/confsync"
)

// A server is stopped as planned: the manifest lists it as leaving. Long samples run there,
// and the other server has free slots. If the entry did not move them, the agent's drain
// would end after 30 s and break the streams. The samples would then start again elsewhere,
// from the first token if the versions differ, although there was time to move each with
// its KV cache.
func TestRunsMoveOffALeavingServer(t *testing.T) {
	inBubble(t, func(w *world) {
		w.agents(2, 8, 4) // 400 tokens in 100 s
		for _, a := range w.fleet.agents {
			a.length = func(uint64) int { return 400 }
		}
		w.entry("a")
		before, after20s := 0, -1
		running := func() int {
			a := w.fleet.agents[0]
			a.mu.Lock()
			defer a.mu.Unlock()
			return a.streamCount
		}
		after(4*time.Second, func() {
			before = running()
			w.view.mu.Lock()
			defer w.view.mu.Unlock()
			m := *w.view.v.Manifest
			m.Leaving = map[string]bool{"vm-0": true}
			w.view.v = &confsync.View{Manifest: &m, Versions: w.view.v.Versions}
			close(w.view.changed)
			w.view.changed = make(chan struct{})
		})
		after(24*time.Second, func() { after20s = running() })
		w.run(w.client("a"), step(4, 2))
		require.Positive(t, before)
		require.Zero(t, after20s, "streams on vm-0, 20 s after it was listed as leaving")
	})
}
