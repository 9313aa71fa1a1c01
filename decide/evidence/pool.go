package evidence

import "time"

// Pool is the evidence on the servers of one service. Its state is bounded whatever the
// number of gateways and routes.
type Pool struct {
	cfg       Config
	servers   map[string]*server
	routes    *bounded[route]
	names     *bounded[name]
	reporters *bounded[uint32] // ids of gateways
	lastID    uint32           // of a gateway

	// newest and other are the two gateways that reported last.
	newest, other use

	medianRatio float64 // of the servers
	sinceMedian int     // samples since medianRatio was computed
	scratch     []float64
	alone       map[uint32]int // servers with which a gateway alone has trouble
}

// use is the last report of a gateway.
type use struct {
	reporter uint32 // 0: none
	at       time.Time
}

// New returns a Pool without servers.
func New(cfg Config) *Pool {
	return &Pool{
		cfg:         cfg,
		servers:     map[string]*server{},
		routes:      newBounded[route](maxRoutes),
		names:       newBounded[name](maxNames),
		reporters:   newBounded[uint32](maxReporters),
		medianRatio: 1,
		alone:       map[uint32]int{},
	}
}

// SetServers replaces the list of servers. Evidence of incarnations that are gone is
// dropped; that a name fails again and again is remembered.
func (p *Pool) SetServers(now time.Time, servers []Server) {
	before := p.servers
	p.servers = make(map[string]*server, len(servers))
	for _, s := range servers {
		if sv := before[s.ID]; sv != nil {
			sv.name = s.Name
			sv.setSlots(p.cfg, s.Slots)
			p.servers[s.ID] = sv
		} else {
			p.servers[s.ID] = p.cfg.newServer(s)
		}
	}
	p.limitEjected(now)
	for _, s := range servers {
		if before[s.ID] == nil {
			p.start(now, p.servers[s.ID])
		}
	}
}

// limitEjected lets servers return until no more than allowed are ejected.
func (p *Pool) limitEjected(now time.Time) {
	for {
		count, least := p.ejectedServers(now)
		if count <= maxEjected(len(p.servers)) {
			return
		}
		least.ejection.until = now
	}
}

// start puts a new incarnation on probation if its name failed a short time ago. A name
// that failed before that too stays ejected until its time is over.
func (p *Pool) start(now time.Time, sv *server) {
	n := p.names.find(sv.name)
	if n == nil || sv.probation > 0 || now.Sub(n.failedAt) > p.cfg.RestartProbation {
		return
	}
	sv.probation = p.cfg.ProbationAnswers
	flaps := n.strikes > 1 && now.Before(n.until)
	if !flaps || !p.makeRoom(now, severityFailing) {
		return
	}
	sv.ejection = ejection{since: now, until: n.until, severity: severityFailing, reason: reasonFlapping}
}

// Record records how a request ended. Samples of unknown servers are dropped.
func (p *Pool) Record(now time.Time, s Sample) {
	sv := p.servers[s.Server]
	if sv == nil || s.Outcome == Unused {
		return
	}
	reporter := p.reporter(now, s.Reporter)
	sent := now.Add(-max(s.Took, 0))
	ratio := p.timeRatio(sv, s)
	sv.add(entry{sent: sent, ratio: ratio, reporter: reporter, outcome: s.Outcome})
	if ratio > 0 {
		sv.timedAt = now
		if mean := sv.meanRatio(sv.evidenceSince(now, p.cfg), p.medianRatio); mean > 0 {
			sv.ratio = mean
		}
	}
	p.updateMedian(now)

	switch s.Outcome {
	case Answered:
		sv.answered(now, sent, p.cfg)
	case Refused:
		sv.refused(now, reporter, p.refusalPause(now, sv, reporter, s.Route))
		return
	case Unreachable:
		if sv.noConnection(reporter, p.sole(now)) {
			p.nameOf(sv).failedAt = now
		}
	}
	t := p.troubleOf(s.Outcome, ratio)
	if s.Outcome == Abandoned && t == noTrouble {
		return // it may have been about to be answered
	}
	p.judge(now, sv, reporter, t)
}

// refusalPause returns in which time the server's limit is lowered only once.
func (p *Pool) refusalPause(now time.Time, sv *server, reporter uint32, route string) time.Duration {
	if sv.loweredBy == reporter && !p.sole(now) {
		return sameReporterPause
	}
	return max(p.TypicalTime(route), minRefusalPause)
}

// reporter notes that a gateway uses the service and returns its id.
func (p *Pool) reporter(now time.Time, gateway string) uint32 {
	id := p.reporters.ensure(gateway)
	if *id == 0 {
		p.lastID++
		*id = p.lastID
	}
	wasSole := p.sole(now)
	if p.newest.reporter != *id {
		p.other = p.newest
		p.newest.reporter = *id
	}
	p.newest.at = now
	if wasSole && !p.sole(now) {
		p.endSole(now)
	}
	return *id
}

// sole reports whether at most one gateway has used the service lately.
func (p *Pool) sole(now time.Time) bool {
	return p.other.reporter == 0 || now.Sub(p.other.at) > p.cfg.SoleWindow
}

// endSole lets servers that were ejected on the word of one gateway return, since another
// one can now be asked.
func (p *Pool) endSole(now time.Time) {
	for _, sv := range p.servers {
		if sv.ejected(now) && sv.ejection.sole {
			sv.ejection.until = now
		}
	}
}

// Standing returns what is known of a server, as far as it concerns requests of a
// gateway: what one gateway alone has seen counts only for itself.
func (p *Pool) Standing(now time.Time, serverID, gateway string) Standing {
	sv := p.servers[serverID]
	if sv == nil {
		return Standing{Limit: 1, Pace: 1, Reason: reasonUnknown}
	}
	limit, reason := sv.limitAt(now, p.cfg)
	standing := Standing{Limit: limit, Pace: p.paceAt(now, sv), Ejected: sv.ejected(now), Reason: reason}
	if standing.Ejected || sv.probation > 0 {
		standing.LastResort = sv.lastResort(p.cfg)
	}
	if standing.Ejected || len(sv.views) == 0 {
		return standing
	}
	if id := p.reporters.find(gateway); id != nil && sv.ejectedFor(now, *id) {
		standing.Ejected = true
		standing.Reason = reasonOwnTrouble
	}
	return standing
}
