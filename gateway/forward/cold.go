package forward

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/base/logs"
	"dandelionsill.org/base/metrics"
	"dandelionsill.org/decide/cold"
	"dandelionsill.org/decide/members"
	"dandelionsill.org/decide/permits"
	"dandelionsill.org/decide/route"
	"dandelionsill.org/decide/table"
	"dandelionsill.org/gateway/view"
)

const (
	// maxGrantAge is how long after a permit was granted its request may be sent to a server that may
	// be cold.
	maxGrantAge = permits.MaxGrantAge
	// withheldLogInterval is how often it is logged that requests were withheld.
	withheldLogInterval = time.Second
)

var (
	coldSent     = metrics.Counter("forward_cold_server_sends_total")
	coldWithheld = metrics.Counter("forward_cold_withheld_total")
)

// coldSends bounds what this process sends to servers that may become cold. Its zero value bounds
// nothing.
type coldSends struct {
	view          *view.View
	excess, slack float64
	process       string
	processes     func() []string
	isShared      func(service string) bool
	log           *zap.Logger

	mu    sync.Mutex
	sends *cold.Sends
}

// UseColdBounds bounds what servers get that may become cold: one second may exceed a service's rate
// by a factor, and by some requests more. processes returns the names of all processes that forward
// requests; empty: they are not known yet, and nothing is sent without a permit.
func (f *Forwarder) UseColdBounds(excess, slack float64, process string, processes func() []string) {
	f.cold = &coldSends{
		view: f.View, excess: excess, slack: slack, process: process, processes: processes, isShared: f.IsShared,
		log: logs.Limited(f.log, withheldLogInterval), sends: cold.NewSends(time.Now()),
	}
}

// careOf returns what servers of the service need; nil: no care.
func (c *coldSends) careOf(service string) *table.Cold {
	if c.view == nil {
		return nil
	}
	return c.view.Current().Table.ColdOf(service)
}

// parts returns how the requests that a server takes in any second are split; false: it needs no
// care.
func (c *coldSends) parts(server *members.Server, now time.Time) (cold.Parts, bool) {
	care := c.careOf(server.Service)
	if care == nil {
		return cold.Parts{}, false
	}
	bound := cold.Bound{Rate: care.Rate, Excess: c.excess, Slack: c.slack}
	uses := cold.UsesOf(c.view.Current().Table, server.Service, c.isShared(server.Service))
	return bound.Parts(uses, server.IsCold(now, care.Duration)), true
}

// BrokerGrants returns how many requests of any second the service's broker may grant at a server;
// false: any number. isSole means that no other broker of the server can be at work.
func (f *Forwarder) BrokerGrants(server *members.Server, isSole bool, now time.Time) (int, bool) {
	parts, isBounded := f.cold.parts(server, now)
	if isSole {
		return parts.Broker, isBounded
	}
	return parts.Other, isBounded
}

// FloorGrants returns how many requests of any second this process may send a server without its
// broker; false: any number.
func (f *Forwarder) FloorGrants(server *members.Server, now time.Time) (int, bool) {
	return f.cold.floor(server, now)
}

// floor returns how many requests this process may send a server in any second without a permit;
// false: the server needs no care.
func (c *coldSends) floor(server *members.Server, now time.Time) (int, bool) {
	parts, isBounded := c.parts(server, now)
	if !isBounded {
		return 0, false
	}
	return cold.FloorShare(parts.Floor, server.ID, c.process, c.processes()), true
}

// markWithheld marks the candidates that get no request without a permit now, and returns their
// number.
func (c *coldSends) markWithheld(service string, servers []members.Server, candidates []route.Candidate, now time.Time) int {
	if c.careOf(service) == nil {
		return 0
	}
	withheld := 0
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range servers {
		if share, _ := c.floor(&servers[i], now); c.sends.Left(servers[i].ID, share, now) == 0 {
			candidates[i].Leaving = true
			withheld++
		}
	}
	return withheld
}

// beforeSend returns the check right before a call is written to a server; nil: the server needs no
// care.
func (c *coldSends) beforeSend(call *Call, server members.Server) func() bool {
	care := c.careOf(server.Service)
	if care == nil {
		return nil
	}
	id, grantedAt := call.ID, call.grantedAt
	return func() bool {
		now := time.Now()
		share := 0
		isAllowed := !grantedAt.IsZero() && now.Sub(grantedAt) < maxGrantAge
		if grantedAt.IsZero() {
			share, isAllowed = c.take(&server, now)
		}
		if isAllowed {
			coldSent.Add(1)
			return true
		}
		coldWithheld.Add(1)
		c.log.Info("A request to a server that may be cold is withheld.", zap.String("id", id), zap.String("service", server.Service),
			zap.String("server", server.ID), zap.Bool("cold", server.IsCold(now, care.Duration)), zap.Bool("granted", !grantedAt.IsZero()), zap.Int("share", share))
		return false
	}
}

// take counts a request without a permit; false: it may not be sent.
func (c *coldSends) take(server *members.Server, now time.Time) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	share, _ := c.floor(server, now)
	return share, c.sends.Take(server.ID, share, now)
}
