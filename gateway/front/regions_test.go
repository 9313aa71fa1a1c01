package front_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/decide/topology"
	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// Guards against a caller's request that is served outside the regions of its route or of its
// organisation, and against one that is refused otherwise than as not run if there are none.
func TestRequestIsServedInRegionsOfRouteAndOrganisation(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 2)
	pf.Topology = topology.New(map[string]string{"zone-a": "a", "zone-b": "b"})
	for i, domain := range []string{"zone-a", "zone-b"} {
		pf.Servers[i].FailureDomain = domain
		pf.Register(pf.Servers[i], "ready")
	}
	config := hostedtest.InRegions(hostedtest.Config(2), "write", "a", "b")
	config = hostedtest.Organisations(config, map[string][]string{"in-a": {"key-a"}, "in-b": {"key-b"}, "in-c": {"key-c"}})
	for _, organisation := range config["tenants"].([]map[string]any) {
		organisation["allowed_regions"] = []string{organisation["name"].(string)[len("in-"):]}
	}
	pf.Store.Put(hostedtest.TopicOperator, "config", config)
	f, url := newFront(t, pf)
	require.Eventually(t, func() bool { return f.View.Current().Table.Version == 2 }, gatewaytest.MaxWait, time.Millisecond)
	post := func(id, key string) (status int, notRun string) {
		header := attemptHeader(id)
		header[hostedtest.HeaderKey] = key
		resp, _ := send(t, "POST", url+"/write/x", header, []byte("b"))
		return resp.StatusCode, resp.Header.Get(hostedtest.HeaderNotExecuted)
	}
	for range 4 {
		status, _ := post("ra", "key-a")
		require.Equal(t, 200, status)
		status, _ = post("rb", "key-b")
		require.Equal(t, 200, status)
	}
	status, notRun := post("rc", "key-c")
	require.Equal(t, 503, status)
	require.NotEmpty(t, notRun)
	for i, id := range []string{"ra", "rb"} {
		require.Len(t, pf.Servers[i].Arrivals(), 4)
		for _, arrival := range pf.Servers[i].Arrivals() {
			require.Equal(t, id, arrival.ID)
		}
	}
}
