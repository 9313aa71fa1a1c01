package steps_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// Two instances of a trainer (the old one was wrongly considered dead) pull the same
// attempt at cursor 0. When a group is ready, both pulls wake. The faster trainer
// acknowledges the group before the slower pull continues, which then must not build its
// page from the freed group: that was a nil dereference under the lock.
func TestSecondPullAfterAcknowledgement(t *testing.T) {
	inBubble(t, func(w *world) {
		w.agents(2, 4, 100)
		a := w.entry("a")
		w.post("a", step(1, 4))
		get := func(cursor, wait int) (rec *httptest.ResponseRecorder, panicked any) {
			defer func() { panicked = recover() }()
			r := httptest.NewRequest(http.MethodGet, fmt.Sprintf("/v1/steps/1/groups?attempt=1&cursor=%d&wait_ms=%d", cursor, wait), nil)
			r.Header.Set("Authorization", "Bearer "+secret)
			rec = httptest.NewRecorder()
			a.Handler().ServeHTTP(rec, r)
			return rec, nil
		}
		var mu sync.Mutex
		var panics []any
		var wg sync.WaitGroup
		for range 2000 {
			wg.Go(func() {
				_, p := get(0, 20_000)
				if p == nil {
					_, p = get(1, 0)
				}
				if p != nil {
					mu.Lock()
					defer mu.Unlock()
					panics = append(panics, p)
				}
			})
		}
		synctest.Wait()
		wg.Wait()
		require.Empty(t, panics)
	})
}
