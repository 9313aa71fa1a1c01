package weights

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/platform"
)

// slowLog delays its first append, with an unknown outcome, and is unavailable
// for the others.
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

// Two orders are lost in a row while the log is slow: the append of the claim
// for a higher token is delayed after the first order and refused after the
// second. If the agent used another id for the second, it would take its own
// delayed claim for a newer agent's once it is stored, and step down: a healthy
// server would serve nothing until its agent is restarted.
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
