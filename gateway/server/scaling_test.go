package server

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/decide/lease"
	"dandelionsill.org/gateway/gatewaytest"
	gatewayjobs "dandelionsill.org/gateway/jobs"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// Guards against bounds of the configuration that never reach the platform, and against an operator
// who can't fix the number of servers because their load is unknown: callers stream to the engines.
func TestConfiguredBoundsAreOrdered(t *testing.T) {
	pf, api := gatewaytest.NewPlatform(t, 2, 0), hostedtest.NewDuties(time.Second)
	t.Cleanup(api.Close)
	pf.Store.Put(hostedtest.TopicOperator, "config", hostedtest.Bounded(hostedtest.Config(2), "engines", 5, 5))
	p := pf.NewProcess(t)
	cfg := &Gateway{Duties: Duties{Platform: api.Addr(), Lease: 3 * time.Second}}
	s := newScaling(cfg, lease.Holder{VM: "a", Incarnation: "1"}, p.Store, p.View, gatewayjobs.NewIndex(p.Store, zap.NewNop()), nil, func() int { return 1 }, zap.NewNop())
	s.run(t.Context(), func(run func()) { p.Go(func(context.Context) { run() }) })
	require.Eventually(t, func() bool { return len(api.Orders()) > 0 }, gatewaytest.MaxWait, time.Millisecond)
	order := api.Orders()[0]
	require.Equal(t, "engines", order.Service)
	require.Equal(t, 5, order.Servers)
	require.Equal(t, "a", order.Holder)
	s.resign()
	require.Eventually(t, func() bool { _, held := s.scaler.Keeper.Term(); return !held }, gatewaytest.MaxWait, time.Millisecond)
	require.Empty(t, api.Violations())
	require.Nil(t, newScaling(&Gateway{}, lease.Holder{}, p.Store, p.View, nil, nil, nil, zap.NewNop()))
}
