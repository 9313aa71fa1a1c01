// Package permits carries permits between the gateways and the brokers of services. A permit is
// the right to have one request at one server; decide/permits decides who gets it. Client asks
// on behalf of a gateway, Server runs the brokers of a process. The state of a broker is soft, so
// that a gateway whose broker is lost decides by itself until another one answers.
package permits

import (
	"time"

	"github.com/juju/errors"

	"dandelionsill.org/base/metrics"
	"dandelionsill.org/decide/evidence"
	decide "dandelionsill.org/decide/permits"
)

// ErrNoBroker means that no broker answers now. Nothing was decided: the caller decides by itself.
const ErrNoBroker = errors.ConstError("no broker of permits answers")

var (
	asked         = metrics.Counter("permits_asked_total")
	granted       = metrics.Counter("permits_granted_total")
	queued        = metrics.Counter("permits_queued_total")
	refused       = metrics.Counter("permits_refused_total")
	withoutBroker = metrics.Counter("permits_without_broker_total")
	brokersLost   = metrics.Counter("permits_brokers_lost_total")
)

// Broker decides on the asks for one service, or for a shard of its servers. Calls are serialized.
type Broker interface {
	SetServers(now time.Time, servers []decide.Server) []decide.Decision
	Ask(now time.Time, ask decide.Ask) []decide.Decision
	Cancel(now time.Time, id decide.AskID) []decide.Decision
	Report(now time.Time, report decide.Report) []decide.Decision
	// InUse tells of a permit that an earlier broker granted, or this one before the gateway lost
	// its stream. It may be told again.
	InUse(now time.Time, id decide.AskID, server string)
	// Forget tells that a gateway's stream has ended.
	Forget(now time.Time, gateway string) []decide.Decision
	Tick(now time.Time) []decide.Decision
	Load() decide.Load
	// Overview returns what operators are told, with at most that many organisations.
	Overview(now time.Time, organisations int) decide.Overview
	// ServerReports returns what is known of the servers, by id.
	ServerReports(now time.Time) []evidence.ServerReport
}

// Permit is the right to have one request at one server. It holds until Done is called.
type Permit struct {
	Server string // incarnation
	Reason string // why this server, for logs
	Broker string // VM of the gateway that granted it
	IsOwn  bool   // granted by this process for itself alone
	// Region is the region whose broker granted it; empty: the broker is that of all regions.
	Region string
	// Spilled says why the own region's broker did not grant it; empty: it did.
	Spilled Spill

	expected   time.Duration // of the answer; 0: unknown
	lastChoice bool          // the server is ejected, or was to be avoided
	grantedAt  time.Duration // at the earliest, by the client's clock
	id         uint64
	route      string
	shard      *shardClient
}

// Age returns how long ago, at most, the permit was granted: it may have waited for the answer of
// another region since it arrived.
func (p *Permit) Age() time.Duration {
	if p.shard == nil {
		return 0
	}
	return p.shard.client.cfg.Now() - p.grantedAt
}

// Done gives the permit back; took is the time from sending the request to the end of its answer,
// 0 if nothing was sent. Only the first call counts.
func (p *Permit) Done(took time.Duration, outcome evidence.Outcome) {
	p.shard.giveBack(p, took, outcome)
}

// Refusal means that the request must not be sent.
type Refusal struct {
	Kind       decide.Refusal
	RetryAfter time.Duration // when an ask is likely to be granted
	Wait       time.Duration // the estimated wait
	Reason     string        // why, for logs
	Broker     string        // VM of the gateway that refused; empty: no broker was asked
	Region     string        // whose broker refused; empty: the broker is that of all regions
}
