package server

import (
	"context"

	"go.uber.org/zap"

	"dandelionsill.org/base/boottime"
	"dandelionsill.org/base/logs"
	"dandelionsill.org/decide/lease"
	"dandelionsill.org/decide/table"
	gatewayjobs "dandelionsill.org/gateway/jobs"
	"dandelionsill.org/gateway/scale"
	"dandelionsill.org/gateway/view"
	"dandelionsill.org/platform/hosted"
	"dandelionsill.org/wire/pb"
)

// scaling orders the servers of services whose configuration has bounds for their number. A nil
// pointer is valid and does nothing.
type scaling struct {
	scaler *scale.Scaler
}

// newScaling returns the scaling of a process; nil if the settings name no platform interface.
// brokers returns the permit brokers of a plain service; nil: there are none.
func newScaling(cfg *Gateway, self lease.Holder, store *hosted.Store, v *view.View, index *gatewayjobs.Index, brokers func(service string) []pb.PermitBrokerClient, processCount func() int, log *zap.Logger) *scaling {
	if cfg.Duties.Platform == "" {
		return nil
	}
	log = logs.Part(log, "scale")
	return &scaling{&scale.Scaler{
		Keeper:   newKeeper(cfg, scale.Duty, 0, self, store, processCount, log),
		Platform: hosted.NewDutyClient(cfg.Duties.Platform),
		Loads:    &scale.ServiceLoads{Snapshot: v.Current, IsFresh: v.IsFresh, Items: index, Brokers: brokers},
		Table:    func() *table.Table { return v.Current().Table },
		VM:       self.VM,
		Interval: scale.DefaultInterval,
		Now:      boottime.Now,
		Log:      log.With(zap.String("duty", scale.Duty)),
	}}
}

// run starts the loop that decides and orders until ctx ends.
func (s *scaling) run(ctx context.Context, loop func(func())) {
	if s != nil {
		loop(func() { s.scaler.Run(ctx) })
	}
}

// resign releases the duty permanently.
func (s *scaling) resign() {
	if s != nil {
		s.scaler.Keeper.Resign()
	}
}
