package jobs

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/fold/jobs"
	"dandelionsill.org/platform"
)

// growingLog returns its end without records: other processes append faster than this one
// reads, so it never reaches the end.
type growingLog struct {
	Log
	end uint64
}

func (l growingLog) Read(context.Context, string, uint64, int, time.Duration) (platform.Page, error) {
	return platform.Page{End: l.end}, nil
}

// A slow entry has restarted and reads the log while others append to it. It has read the job
// and past the log's end at the time of the trainer's question. That it has not reached the
// current end must not turn the answer into "not found".
func TestReadJobIsKnownBeforeLogEnd(t *testing.T) {
	index := NewIndex(growingLog{end: 1}, zap.NewNop())
	record := jobs.Record{Writer: jobs.Writer{VM: "a", Incarnation: "1"}, Acceptance: &jobs.Acceptance{
		Spec: jobs.Spec{ID: "j"}, Parts: 1, Items: []jobs.ItemRef{{ID: "i"}},
	}}
	data, err := record.Encode()
	require.NoError(t, err)
	index.foldPage(platform.Page{Records: []platform.Record{{Data: data}}, Next: 1, End: 9}, time.Now())
	require.False(t, index.CaughtUp())
	service := NewService(index, growingLog{end: 1}, jobs.Writer{VM: "b"}, 1, 600, zap.NewNop())
	require.Nil(t, service.checkExists(t.Context(), "j"))
	require.Equal(t, "not_found", service.checkExists(t.Context(), "other").Kind())
}
