package jobs_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// partitions are the streams with the partitions of the texts.
var partitions = []string{"texts/0", "texts/1", "texts/2"}

// The partition with a step's texts is unavailable while several steps run. Their owner still
// follows the jobs' stream. If its heartbeats waited for the texts, the steps would be claimed
// by processes that have to wait as well, and no result would be listed until the store is
// available again. Complete texts go to another partition.
func TestOwnerKeepsJobsWhenTextPartitionIsUnavailable(t *testing.T) {
	t.Parallel()
	for _, unavailable := range partitions {
		t.Run(unavailable, func(t *testing.T) {
			t.Parallel()
			pf := gatewaytest.NewPlatform(t, 1, 1)
			pf.Engines[0].EventInterval, pf.Engines[0].Events = 50*time.Millisecond, 100
			a, b := newEntry(t, pf, "a"), newEntry(t, pf, "b")
			for i := range 3 {
				a.submit(t, fmt.Sprint("j", i), 2, 1)
			}
			require.Eventually(t, func() bool {
				return reportedEvents(pf, "j0") > 0 && reportedEvents(pf, "j1") > 0 && reportedEvents(pf, "j2") > 0
			}, gatewaytest.MaxWait, time.Millisecond)
			pf.Store.Fail(hostedtest.StoreFaults{UnavailableTopics: []string{unavailable}})
			for i := range 3 {
				requireComplete(t, b.results(t, fmt.Sprint("j", i), 2), 100)
			}
			requireNoClaims(t, pf)
		})
	}
}

// All but one partition is unavailable. A step is still accepted, because its items go to the
// available one. If it were refused, its trainer would wait until the store is available again.
func TestStepIsAcceptedWhilePartitionsAreUnavailable(t *testing.T) {
	t.Parallel()
	pf := gatewaytest.NewPlatform(t, 1, 1)
	a, b := newEntry(t, pf, "a"), newEntry(t, pf, "b")
	for i, available := range partitions {
		var unavailable []string
		for _, part := range partitions {
			if part != available {
				unavailable = append(unavailable, part)
			}
		}
		pf.Store.Fail(hostedtest.StoreFaults{UnavailableTopics: unavailable})
		for k := range 3 {
			id := fmt.Sprintf("j%d%d", i, k)
			require.True(t, a.accepts(t, id))
			requireComplete(t, b.results(t, id, 2), 5)
		}
	}
}
