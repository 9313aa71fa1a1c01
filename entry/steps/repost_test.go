package steps_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/trainer"
)

// A trainer that draws its seeds at each start dies and posts its step again,
// with other seeds and a greater limit. The entry and the agents give it the
// samples of the old seeds: what comes is not what was asked for, and a sample
// that the old limit cut off comes cut off.
func TestRepostWithOtherSeeds(t *testing.T) {
	inBubble(t, func(w *world) {
		w.agents(2, 4, 100)
		w.entry("a")
		w.setFault(func(r *http.Request) delivery {
			if r.Method == http.MethodDelete {
				return dropRequest
			}
			return deliver
		})
		st := step(6, 4)
		for g, err := range w.client("a").RunStep(context.Background(), st) {
			require.NoError(t, err)
			st.Have = append(st.Have, g.ID)
			break
		}
		time.Sleep(2 * time.Second) // the entry finishes more meanwhile
		st.Attempt = 2
		for i := range st.Groups {
			st.Groups[i].Seed += 500_000
		}
		w.run(w.client("a"), st)
	})
}

// The trainer's client raised the attempt by itself, as the answers to its
// first POST were lost; it never tells the trainer. The trainer dies and comes
// back with "a greater attempt" than its own 1, which is the one in use. The
// entry takes the POST for a repeat and refuses cursor 0, as groups were
// acknowledged; the client takes bad_request for final. The step is lost.
func TestTrainerRestartsWithAttemptInUse(t *testing.T) {
	inBubble(t, func(w *world) {
		w.agents(2, 4, 100)
		w.entry("a")
		w.setFault(func(r *http.Request) delivery {
			switch {
			case r.Method == http.MethodPost && w.count("POST a") <= 3:
				return dropAnswer
			case r.Method == http.MethodDelete:
				return dropRequest
			}
			return deliver
		})
		st := step(10, 4)
		var kept []trainer.Group
		for g, err := range w.client("a").RunStep(context.Background(), st) {
			require.NoError(t, err)
			kept = append(kept, g)
			st.Have = append(st.Have, g.ID)
			if len(kept) == 8 {
				break
			}
		}
		st.Attempt = 2
		w.run(w.client("a"), st)
	})
}
