package trainer_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/base/outbound/outboundtest"
	"dandelionsill.org/trainer"
)

// Failure: an entry, or what has its address now, answers with a head that is none. Guards against a version that counts as
// announced.
func TestMalformedAnswerOfAnEntryIsNoAnswer(t *testing.T) {
	for name, raw := range outboundtest.OK("{}").Malformed() {
		faulty, sound := outboundtest.NewServer(t, raw), outboundtest.NewServer(t, outboundtest.OK("{}").Sound())
		c, err := trainer.New(trainer.Config{Entries: []string{faulty.URL(), sound.URL()}, Token: "x", MinBackoff: time.Millisecond, MaxBackoff: time.Millisecond})
		require.NoError(t, err)
		require.NoError(t, c.Publish(t.Context(), 7))
		require.Equal(t, 1, faulty.Requests(), name)
		require.Equal(t, 1, sound.Requests(), name)
		faulty.RequireClosed(t)
	}
}

// Failure: an entry answers the long post of a step at once and resets the connection. Guards against a step that counts as
// posted, whether the write or the read learns of the reset.
func TestResetAnswerOfAnEntryIsNoAnswer(t *testing.T) {
	faulty := outboundtest.NewResettingServer(t, outboundtest.OK(`{"epoch":{"attempt":1,"claim":1},"step":1,"groups":[]}`).WithoutLength())
	prompt := strings.Repeat("x", outboundtest.UploadBytes)
	c, err := trainer.New(trainer.Config{Entries: []string{faulty.URL()}, Token: "x", MinBackoff: time.Millisecond, MaxBackoff: time.Millisecond})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		for faulty.Requests() < outboundtest.ResetRounds && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	for group, err := range c.RunStep(ctx, trainer.Step{ID: 1, Groups: []trainer.GroupSpec{{ID: "g", Prompt: prompt, Samples: 1}}}) {
		require.ErrorIs(t, err, context.Canceled, "group %v", group)
	}
}
