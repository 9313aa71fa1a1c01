package jobs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/decide/topology"
	"dandelionsill.org/fold/jobs"
	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// Failure: an engine's failure domain is evacuated, or its region is no longer allowed, while the connection
// for a sample is opened. Guards against a sample that is sent there all the same.
func TestSampleIsNotSentWhereItMayNoLongerRun(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 1, 0)
	pf.Topology = topology.New(map[string]string{"zone-a": "a"})
	p := pf.NewProcess(t)
	r := NewRunner(NewIndex(p.Store, zap.NewNop()), p.Store, p.Forward, jobs.Writer{VM: "vm-0", Incarnation: "1"}, 1, 600, zap.NewNop())
	engine := p.View.Current().Servers["engines"][0]
	a := &activeItem{job: &jobs.Job{}}
	a.item.Host, a.item.Path = "app.example", "/jobs/x"
	s := &stream{runner: r, active: a, service: "engines", server: engine.ID, region: engine.Region}
	becomes := func(may bool) {
		require.Eventually(t, func() bool { return s.request().BeforeSend() == may }, gatewaytest.MaxWait, time.Millisecond)
	}
	becomes(true)
	pf.Store.Evacuate("zone-a", false)
	becomes(false)
	pf.Store.Evacuate("zone-a", true)
	becomes(true)
	pf.Store.Put(hostedtest.TopicOperator, "config", hostedtest.InRegions(hostedtest.Config(2), "jobs", "b"))
	becomes(false)
}
