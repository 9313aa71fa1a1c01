package weights

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/platform"
)

// slowLog keeps its first append on its way and is down for the others.
type slowLog struct {
	*fakeLog
	slow    bool
	delayed [][]byte
}

func (l *slowLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	switch {
	case !l.slow:
		return l.fakeLog.Append(ctx, stream, data)
	case len(l.delayed) == 0:
		l.delayed = append(l.delayed, data)
		return 0, platform.ErrAppendUnknown
	}
	return 0, platform.ErrLogUnavailable
}

// Two orders are lost in a row, and the log is slow: the claim for a higher
// token after the first stays on its way, that after the second is refused.
// When the first lands, the agent has another id in mind and takes its own claim
// for a newer agent's: it steps down, and a well server serves nothing until its
// agent is started again.
func TestOwnDelayedClaimIsNotAnotherAgents(t *testing.T) {
	var log *slowLog
	b := newServingKeeper(t, func(c *Config) {
		log = &slowLog{fakeLog: c.Log.(*fakeLog)}
		c.Log = log
	})
	log.slow = true
	b.engine.onOrder = func(e *fakeEngine, info platform.WeightInfo, token uint64) error {
		if len(e.tokens) <= 2 {
			return platform.ErrOrderUnknown
		}
		return obeyOrder(e, info, token)
	}
	b.view.Versions["m"] = 8
	b.stepUntil(func() bool { return b.servingVersion() == 8 })
	for _, data := range log.delayed {
		_, err := log.fakeLog.Append(t.Context(), platform.StreamAgents, data)
		require.NoError(t, err)
	}
	require.NoError(t, b.claim.read(t.Context()))
	require.EqualValues(t, 8, b.servingVersion())
}
