package refusal_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/kinds"
	"dandelionsill.org/wire/refusal"
)

func TestErrorsComeBack(t *testing.T) {
	for _, err := range []*kinds.Error{
		kinds.Hold().Refuse(kinds.Quarantined, "x").WithRetryAfter(time.Minute),
		kinds.Hold().Refuse(kinds.ClaimedElsewhere, "x").WithHolder("agent"),
		kinds.New(kinds.BackendFailed, "x").WithEnded("server"),
	} {
		back := refusal.Decode(refusal.Encode(err))
		require.Equal(t, err.Kind(), back.Kind())
		require.Equal(t, err.NotRun(), back.NotRun())
		require.Equal(t, err.Message(), back.Message())
		require.Equal(t, err.Answer(), back.Answer())
		require.Equal(t, err.Holder(), back.Holder())
		require.Equal(t, err.Ended(), back.Ended())
	}
}
