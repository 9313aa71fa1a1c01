package refusal_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/kinds"
	"dandelionsill.org/wire/refusal"
)

func TestEncodeDecodeRoundTrip(t *testing.T) {
	for _, err := range []*kinds.Error{
		kinds.Hold().Refuse(kinds.Quarantined, "x").WithRetryAfter(time.Minute),
		kinds.Hold().Refuse(kinds.ClaimedElsewhere, "x").WithHolder("agent"),
		kinds.New(kinds.BackendFailed, "x").WithEndedServer("server"),
	} {
		decoded := refusal.Decode(refusal.Encode(err))
		require.Equal(t, err.Kind(), decoded.Kind())
		require.Equal(t, err.NotRun(), decoded.NotRun())
		require.Equal(t, err.Message(), decoded.Message())
		require.Equal(t, err.Answer(), decoded.Answer())
		require.Equal(t, err.Holder(), decoded.Holder())
		require.Equal(t, err.EndedServer(), decoded.EndedServer())
	}
}
