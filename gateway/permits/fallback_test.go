package permits

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	decide "dandelionsill.org/decide/permits"
)

// Failure: no broker of the fleet answers. The process's own broker decides, with the time that is
// left; a hedge goes nowhere.
func TestOwnBrokerDecidesWhileNoOtherAnswers(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f, own := newFleet(t, 2, 1, 2), newFleet(t, 1, 1, 2)
		fallback := &Fallback{Fleet: f.client("a"), Own: own.client("a")}
		ask := decide.Ask{Objective: time.Second, Deadline: time.Minute}
		permit, refusal, err := fallback.Acquire(t.Context(), "echo", ask)
		require.NoError(t, err)
		require.Nil(t, refusal)
		permit.Done(0, 0)

		defer f.freeze(0)()
		defer f.freeze(1)()
		permit, refusal, err = fallback.Acquire(t.Context(), "echo", ask)
		require.NoError(t, err)
		require.Nil(t, refusal)
		require.Less(t, own.ranked(0).lastAsk.Objective, ask.Objective)
		permit.Done(0, 0)
		settle(t, own.ranked(0), 0, 0)

		ask.NoWait = true
		_, _, err = fallback.Acquire(t.Context(), "echo", ask)
		require.ErrorIs(t, err, ErrNoBroker)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		ask.NoWait = false
		_, _, err = fallback.Acquire(ctx, "echo", ask)
		require.ErrorIs(t, err, context.Canceled)
	})
}
