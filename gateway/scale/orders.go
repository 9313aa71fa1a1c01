package scale

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"dandelionsill.org/base/metrics"
	"dandelionsill.org/decide/scale"
	"dandelionsill.org/platform"
)

const (
	// maxCallTime bounds a call to the platform; the lease has to be valid for that long.
	maxCallTime = time.Second
	// maxOrdersPerRound bounds the orders that are sent after each decision: the platform
	// bounds the calls of all duties together.
	maxOrdersPerRound = 4
	// maxRoundTime ends a round of orders early, so that slow answers don't keep this process
	// from measuring the load.
	maxRoundTime = time.Second
	// minRetryDelay and maxRetryDelay bound the pause after a failed order; it doubles with
	// each failure in a row.
	minRetryDelay = time.Second
	maxRetryDelay = 8 * time.Second
	// releaseAfter is how long all orders may get no answer from the platform before this
	// process releases the duty, because another process may reach the platform. It is longer
	// than for reports: a new holder takes no servers away for a hold time.
	releaseAfter = 10 * time.Second
)

var (
	ordersSent   = metrics.Counter("scale_orders_total")
	ordersFailed = metrics.Counter("scale_orders_failed_total")
)

// order is an order that the platform has not acknowledged.
type order struct {
	scale.Target
	decidedAt time.Duration
	attempts  int
}

// orders holds the orders to be sent and what is known of the platform.
type orders struct {
	pending      map[subject]*order
	withheld     map[string][]string // evacuated failure domains by service; nothing is ordered there
	retryDelay   time.Duration       // 0: the last order was acknowledged
	retryAt      time.Duration       // no order is sent before
	failingSince time.Duration       // first of the current series of unanswered orders
	failing      bool
}

// put adds an order; it replaces an earlier one that the platform has not acknowledged.
func (o *orders) put(s subject, target scale.Target, now time.Duration) {
	if o.pending == nil {
		o.pending = map[subject]*order{}
	}
	if earlier := o.pending[s]; earlier != nil {
		target.From = earlier.From
	}
	o.pending[s] = &order{Target: target, decidedAt: now}
}

// withhold keeps back the orders to evacuated failure domains until they are so no more.
func (o *orders) withhold(service string, domains []string) {
	if o.withheld == nil {
		o.withheld = map[string][]string{}
	}
	o.withheld[service] = domains
}

// retain drops the orders of services that are not kept.
func (o *orders) retain(isKept func(service string) bool) {
	maps.DeleteFunc(o.pending, func(s subject, _ *order) bool { return !isKept(s.service) })
	maps.DeleteFunc(o.withheld, func(service string, _ []string) bool { return !isKept(service) })
}

// next returns the subjects with an order that may be sent, those first whose callers may wait for servers.
func (o *orders) next() []subject {
	sendable := slices.DeleteFunc(slices.Collect(maps.Keys(o.pending)), func(s subject) bool {
		return slices.Contains(o.withheld[s.service], s.domain)
	})
	slices.SortFunc(sendable, func(a, b subject) int {
		x, y := o.pending[a], o.pending[b]
		if byGrowth := cmp.Compare(y.To-y.From, x.To-x.From); byGrowth != 0 {
			return byGrowth
		}
		return cmp.Compare(a.String(), b.String())
	})
	return sendable
}

// recordFailure delays the next order.
func (o *orders) recordFailure(now time.Duration) {
	o.retryDelay = min(maxRetryDelay, max(minRetryDelay, 2*o.retryDelay))
	o.retryAt = now + o.retryDelay
}

// recordUnanswered records that an order got no answer and reports whether that has been so
// for releaseAfter.
func (o *orders) recordUnanswered(now time.Duration) bool {
	if !o.failing {
		o.failing, o.failingSince = true, now
	}
	return now-o.failingSince >= releaseAfter
}

// sendOrders sends orders until one fails or the round's budget is spent.
func (s *Scaler) sendOrders(ctx context.Context) {
	start := s.Now()
	if start < s.orders.retryAt {
		return
	}
	for i, subject := range s.orders.next() {
		if i >= maxOrdersPerRound || s.Now()-start >= maxRoundTime || !s.send(ctx, subject) {
			return
		}
	}
}

// send sends an order; false: no further order should be sent now. An order without an answer is
// sent again with the same number, which changes nothing if it was carried out.
func (s *Scaler) send(ctx context.Context, subject subject) bool {
	mayAct := func() bool { return s.Keeper.MayAct(s.term, maxCallTime) }
	if !mayAct() {
		return false
	}
	o := s.orders.pending[subject]
	o.attempts++
	start := s.Now()
	call := platform.DutyCall{Holder: s.VM, Token: s.term.Token, MayAct: mayAct}
	err := s.Platform.OrderServers(ctx, call, platform.ServerOrder{Service: subject.service, Domain: subject.domain, Servers: o.To})
	s.Log.Info("Servers ordered.", zap.String("service", subject.service), zap.String("domain", subject.domain), zap.Int("servers", o.To),
		zap.Uint64("token", s.term.Token), zap.Int("attempt", o.attempts), zap.Duration("after", start-o.decidedAt), zap.Duration("took", s.Now()-start), zap.Error(err))
	switch {
	case err == nil:
		ordersSent.Add(1)
		s.orders.retryDelay, s.orders.failing = 0, false
		delete(s.orders.pending, subject)
		return true
	case errors.Is(err, platform.ErrDutyLapsed):
		return false
	case errors.Is(err, platform.ErrDutyRefused): // it would be refused again
		ordersFailed.Add(1)
		s.orders.failing = false
		delete(s.orders.pending, subject)
		return true
	}
	ordersFailed.Add(1)
	s.orders.recordFailure(s.Now())
	if errors.Is(err, platform.ErrDutyLimited) {
		s.orders.failing = false
		return false
	}
	if s.orders.recordUnanswered(s.Now()) {
		s.Keeper.Release("the platform does not answer this process")
	}
	return false
}
