package steps_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/trainer"
)

// A trainer that draws new seeds at each start crashes and posts its step again, with other
// seeds and a greater limit. The entry and the agents must not return the samples of the
// old seeds, or samples that ended at the old limit.
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
		time.Sleep(2 * time.Second) // the entry finishes more samples meanwhile
		st.Attempt = 2
		for i := range st.Groups {
			st.Groups[i].Seed += 500_000
		}
		w.run(w.client("a"), st)
	})
}

// The answers to the trainer's first POST were lost, so its client raised the attempt without
// telling the trainer. The trainer restarts and raises its own attempt 1 to the one in use.
// If the entry took the POST for a repeat, it would refuse cursor 0, because groups were
// acknowledged, and the client treats bad_request as final: the step would be lost.
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
