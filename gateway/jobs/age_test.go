package jobs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/platform"
)

// Guards against "no result yet" from a process that reads the log through another one which has
// itself not read it for a while.
func TestProcessIsAsUpToDateAsItsSource(t *testing.T) {
	x := NewIndex(&truncatedLog{}, zap.NewNop())
	now := time.Now()
	x.foldPage(platform.Page{}, now.Add(-2*maxReadAge))
	require.True(t, x.CaughtUp())
	require.False(t, x.UpToDate())
	x.foldPage(platform.Page{}, now)
	require.True(t, x.UpToDate())
	x.foldPage(platform.Page{}, now.Add(-2*maxReadAge))
	require.True(t, x.UpToDate(), "an older page takes nothing back")
}
