package jobs

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/base/outbound/outboundtest"
)

// Failure: a gateway answers a long call for texts at once and resets the connection. Guards against "it has none of them", and
// against a part of an item's body, whether the write or the read learns of the reset.
func TestTextsAreNotReadFromResetAnswers(t *testing.T) {
	c := newTextCache(nil, zap.NewNop())
	wanted := []requestedText{{Item: strings.Repeat("x", outboundtest.UploadBytes)}}
	none := outboundtest.NewResettingServer(t, outboundtest.OK("[]").WithoutLength())
	part := outboundtest.NewResettingServer(t, outboundtest.OK("part").WithoutLength())
	for round := range outboundtest.ResetRounds {
		_, err := c.callPeer(t.Context(), c.http, PathTexts, textCall{addr: none.Addr, texts: wanted})
		require.Error(t, err, "round %d", round)
	}
	_, err := c.callForBody(t.Context(), part.Addr, heldItem{Job: "j", Item: "i"})
	require.Error(t, err)
}
