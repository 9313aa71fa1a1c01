package permits

import (
	"fmt"
	"math"
	"strings"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/decide/evidence"
	decide "dandelionsill.org/decide/permits"
)

const (
	// changeInterval is how often a broker's evidence is compared with what was logged. It
	// is shorter than the shortest ejection.
	changeInterval = 500 * time.Millisecond
	// loadInterval is the least time between two log lines on a broker's load. Refusals are
	// counted over the same time.
	loadInterval = time.Second
	// maxLoggedOrganisations and maxLoggedName bound such a line, the latter in bytes.
	maxLoggedOrganisations = 3
	maxLoggedName          = 64
)

// observer logs what operators need to know of one broker. It is used by the goroutine of
// Server.Run only.
type observer struct {
	log        *zap.Logger
	reports    []evidence.ServerReport // as last compared
	comparedAt time.Time
	lookedAt   time.Time // when the load was last looked at
}

// observe logs what has changed about the servers, and the load while asks wait or are refused.
func (b *broker) observe(now time.Time) {
	o := &b.observer
	if now.Sub(o.comparedAt) >= changeInterval {
		o.comparedAt = now
		o.compare(now, b.serverReports(now))
	}
	if now.Sub(o.lookedAt) < loadInterval {
		return
	}
	o.lookedAt = now
	if overview, ok := b.overview(now); ok {
		o.log.Info("Load of a service.", loadFields(overview, o.reports)...)
	}
}

func (b *broker) serverReports(now time.Time) []evidence.ServerReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.decider.ServerReports(now)
}

// overview returns false if no asks wait and none was refused lately.
func (b *broker) overview(now time.Time) (decide.Overview, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiting == 0 && b.decider.Load().Refused == 0 {
		return decide.Overview{}, false
	}
	o := b.decider.Overview(now, maxLoggedOrganisations)
	return o, o.Waiting.Total()+o.Refused.Total() > 0
}

// loadFields returns the fields of a log line on a broker's load.
func loadFields(o decide.Overview, reports []evidence.ServerReport) []zap.Field {
	ejected := 0
	for i := range reports {
		if !reports[i].EjectedSince.IsZero() {
			ejected++
		}
	}
	return []zap.Field{
		zap.Int("places", o.Places), zap.Int("in_use", o.InUse),
		zap.Int("waiting", o.Waiting.Total()), zap.Int("waiting_internal", o.Waiting.Internal), zap.Int("waiting_callers", o.Waiting.Callers), zap.Int("waiting_late", o.Waiting.Late),
		zap.Duration("oldest_wait", o.OldestWait),
		zap.Int("refused", o.Refused.Total()), zap.Int("refused_overloaded", o.Refused.Overloaded), zap.Int("refused_deadline", o.Refused.DeadlineTooShort),
		zap.Int("refused_no_server", o.Refused.NoServer), zap.Int("refused_no_wait", o.Refused.NoWait),
		zap.Float64("drain_rate", round(o.DrainRate)), zap.Int("servers", len(reports)), zap.Int("ejected", ejected),
		zap.Int("organisations", o.Organisations), zap.String("top", formatTop(o.Top)),
	}
}

// formatTop lists organisations as "NAME WAITING/IN USE".
func formatTop(top []decide.OrganisationLoad) string {
	parts := make([]string, len(top))
	for i, l := range top {
		parts[i] = fmt.Sprintf("%.*s %d/%d", maxLoggedName, l.Organisation, l.Waiting, l.InUse)
	}
	return strings.Join(parts, ", ")
}

// round keeps two decimals.
func round(x float64) float64 { return math.Round(100*x) / 100 }

// compare logs the changes since the last reports.
func (o *observer) compare(now time.Time, reports []evidence.ServerReport) {
	changes := evidence.Changes(o.reports, reports)
	o.reports = reports
	for i := range changes {
		o.logChange(now, &changes[i])
	}
}

func (o *observer) logChange(now time.Time, c *evidence.ServerChange) {
	fields := []zap.Field{
		zap.String("server", c.Server), zap.String("name", c.Name), zap.String("why", c.Reason), zap.Int("slots", c.Slots), zap.Int("limit", c.Limit),
		zap.Float64("pace", round(c.Pace)), zap.Int("samples", c.Samples), zap.Int("reporters", c.Reporters),
	}
	switch c.Change {
	case evidence.NowEjected:
		o.log.Info("A server is ejected.", append(fields, zap.Duration("age", now.Sub(c.EjectedSince)), zap.Duration("left", c.EjectedUntil.Sub(now)))...)
	case evidence.NowOnProbation:
		o.log.Info("A server is on probation.", append(fields, zap.Int("answers_left", c.Probation))...)
	case evidence.NowTrusted:
		o.log.Info("A server is trusted again.", fields...)
	case evidence.NowGone:
		o.log.Info("A server that was not trusted is gone.", fields...)
	case evidence.NowEjectedForSome:
		o.log.Info("A server is ejected for single gateways.", append(fields, zap.Int("gateways", c.EjectedFor))...)
	case evidence.NowLimited:
		o.log.Info("The limit of a server is below its slots.", append(fields, zap.Int("limit_before", c.Before.Limit))...)
	case evidence.NowUnlimited:
		o.log.Info("The limit of a server is that of its slots again.", append(fields, zap.Int("limit_before", c.Before.Limit))...)
	}
}
