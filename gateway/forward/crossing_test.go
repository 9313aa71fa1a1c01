package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/decide/members"
	"dandelionsill.org/decide/residency"
	"dandelionsill.org/decide/route"
	"dandelionsill.org/decide/topology"
	"dandelionsill.org/gateway/link"
	broker "dandelionsill.org/gateway/permits"
	"dandelionsill.org/gateway/view"
)

// Guards against a request without a broker that leaves its region while a server there has room,
// and against what crosses the link being counted under a wrong reason.
func TestOwnRegionFirstWithoutABroker(t *testing.T) {
	places := topology.New(map[string]string{"a1": "a", "a2": "a", "b1": "b"})
	f := New(&view.View{Topology: places}, nil, "a1", zap.NewNop())
	servers := []members.Server{{ID: "far", FailureDomain: "b1", Region: "b", Slots: 6}, {ID: "near", FailureDomain: "a2", Region: "a", Slots: 6}}
	picked := func() string {
		candidates := f.serverStats.candidates("s", "a1", places, servers, time.Now())
		return candidates[f.policy.Pick(&route.Request{}, candidates, nil, &route.Scratch{}).Index].Name
	}
	for range 6 {
		require.Equal(t, "near", picked())
		f.serverStats.attemptStarted("near")
	}
	require.Equal(t, "far", picked())

	far, near := choice{server: servers[0]}, choice{server: servers[1]}
	spilled := choice{server: servers[0], permit: &broker.Permit{Spilled: broker.SpillQueued}}
	require.Empty(t, f.crossingOf(&Call{}, &near))
	require.Equal(t, crossedLoad, f.crossingOf(&Call{}, &far))
	require.Equal(t, crossing("queued"), f.crossingOf(&Call{}, &spilled))
	require.Equal(t, crossedResidency, f.crossingOf(&Call{Regions: residency.Only([]string{"b"})}, &spilled))
	before := link.Bytes()["requests"]
	f.countCrossing(&Call{Body: make([]byte, 10)}, &outcome{choice: spilled, reply: &Reply{Body: make([]byte, 5)}})
	f.countCrossing(&Call{Body: make([]byte, 10)}, &outcome{choice: spilled, notRun: true})
	require.EqualValues(t, 15, link.Bytes()["requests"]-before)
}
