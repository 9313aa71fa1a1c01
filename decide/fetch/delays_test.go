package fetch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/decide/fetch"
)

// The store refuses one topic for an outage and everything for its rate. Calls are held
// back for what may meet them, the longer the more processes share the store, and come
// as fast as ever once it answers.
func TestDelaysFollowRefusals(t *testing.T) {
	var d fetch.Delays
	require.Zero(t, d.Of("all", "jobs"))
	d.Refused("jobs", 10)
	require.Equal(t, 50*time.Millisecond, d.Of("all", "jobs"))
	require.Zero(t, d.Of("all", "texts"))
	for range 10 {
		d.Refused("all", 100)
	}
	require.Equal(t, 800*time.Millisecond, d.Of("all", "texts"))
	for range 5 {
		d.Answered("all", "jobs")
	}
	require.Zero(t, d.Of("all", "jobs"))
}

func TestPatienceGrowsWithWhatIsCutOff(t *testing.T) {
	var p fetch.Patience
	require.Zero(t, p.Of("list"))
	p.CutOff("list")
	require.Equal(t, 900*time.Millisecond, p.Of("list"))
	p.CutOff("list")
	require.Equal(t, 1200*time.Millisecond, p.Of("list"))
	require.Zero(t, p.Of("read"))
	p.Answered("list")
	require.Zero(t, p.Of("list"))
}
