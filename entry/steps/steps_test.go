package steps_test

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestStepDeliversAllGroups(t *testing.T) {
	inBubble(t, func(w *world) {
		w.agents(3, 4, 100)
		w.entry("a")
		got := w.run(w.client("a"), step(8, 4))
		generated, used := w.countTokens(got)
		require.Equal(t, used, generated, "no token is wasted if nothing fails")
	})
}
