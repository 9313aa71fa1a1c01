package jobs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/decide/table"
	"dandelionsill.org/fold/jobs"
	"dandelionsill.org/platform"
)

// Load: two open jobs, one of which has all that its trainer waits for, and one that has ended.
// Guards against engines that are ordered for work that nobody waits for, and against a count
// by a process that has lost the log.
func TestOpenItemsAreCounted(t *testing.T) {
	index := NewIndex(growingLog{}, zap.NewNop())
	owner := jobs.Writer{VM: "a", Incarnation: "1"}
	accept := func(id string, groups int, items ...string) jobs.Record {
		a := &jobs.Acceptance{Spec: jobs.Spec{ID: id, Host: "h", Path: "/a/", Groups: groups}, Parts: 1}
		for _, item := range items {
			a.Items = append(a.Items, jobs.ItemRef{ID: item, Group: item})
		}
		return jobs.Record{Writer: owner, Acceptance: a}
	}
	records := []jobs.Record{
		accept("j", 0, "1", "2", "3", "4"), accept("enough", 1, "5", "6", "7"), accept("ended", 0, "8"),
		{Writer: owner, Ends: []string{"ended"}, Starts: []jobs.Start{{Job: "j", Item: "1", Server: "e"}, {Job: "enough", Item: "6", Server: "e"}},
			Results: []jobs.Result{{Job: "j", Item: "2"}, {Job: "enough", Item: "5"}}},
	}
	page := platform.Page{Next: uint64(len(records)), End: uint64(len(records))}
	for offset, r := range records {
		data, err := r.Encode()
		require.NoError(t, err)
		page.Records = append(page.Records, platform.Record{Offset: uint64(offset), Data: data})
	}
	tb, err := table.New(1, []*table.Route{{Host: "h", Prefix: "/a/", Kind: table.Batch, Targets: []table.Target{{Service: "s", Weight: 1}}}},
		[]table.Service{{Name: "s"}, {Name: "other"}}, table.Limits{})
	require.NoError(t, err)
	_, known := index.OpenItems(tb, "s")
	require.False(t, known)
	index.foldPage(page, time.Now())
	items, known := index.OpenItems(tb, "s")
	require.True(t, known)
	require.Equal(t, OpenItems{Waiting: 2, Running: map[string]int{"e": 2}}, items)
	items, _ = index.OpenItems(tb, "other")
	require.Equal(t, OpenItems{Running: map[string]int{}}, items)
	index.recordReadFailure()
	_, known = index.OpenItems(tb, "s")
	require.False(t, known)
}
