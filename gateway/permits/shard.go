package permits

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"dandelionsill.org/decide/evidence"
	decide "dandelionsill.org/decide/permits"
)

const (
	// answerTimeout is how long an ask may stay without an answer of a broker in the own region. It
	// is short against the time in which an answer to a caller is in time. The way to another region
	// is added.
	answerTimeout = 50 * time.Millisecond
	// silenceTimeout is how long a broker with a queued ask may send nothing: two of its
	// heartbeats and some delay. The way to another region is added.
	silenceTimeout = 250 * time.Millisecond
	// maxSilences is the number of asks without an answer, nothing else being received between
	// them, after which a broker counts as lost. A single one may be due to a short pause.
	maxSilences = 2
	// Time for which a lost broker is not asked: doubled with each further failure.
	minLostTime = time.Second
	maxLostTime = 8 * time.Second
	// rankInterval is the time between two looks for a broker that ranks before the present one.
	rankInterval = time.Second
	// maxBrokersAsked bounds the brokers that one ask is passed to when streams break.
	maxBrokersAsked = 3
)

// shardClient asks the brokers of one shard.
type shardClient struct {
	client *Client
	key    shardKey
	log    *zap.Logger

	mu       sync.Mutex
	lastID   uint64
	inUse    map[uint64]*Permit
	ranked   []decide.Member
	rankedAt time.Duration
	isRanked bool
	lost     map[string]lostBroker // by VM
	current  *session              // takes asks; nil: none is open
	next     *session              // becomes current once its broker answers; nil: none
	retired  []*session            // were current, and have asks or permits
	broker   string                // VM of the broker that was last chosen
}

// whySilent is why a broker counts as lost that answers nothing.
const whySilent = "it is silent"

type lostBroker struct {
	until    time.Duration
	last     time.Duration
	isSilent bool // rather than its stream broken
}

func newShardClient(c *Client, key shardKey) *shardClient {
	return &shardClient{
		client: c, key: key, log: c.cfg.Logger.With(zap.Stringer("service", key)),
		inUse: map[uint64]*Permit{}, lost: map[string]lostBroker{},
	}
}

// acquire asks for a permit and waits for the decision. If a broker's stream breaks, the next one
// is asked.
func (s *shardClient) acquire(ctx context.Context, ask decide.Ask, onQueued func(time.Duration)) (*Permit, *Refusal, error) {
	startedAt := s.client.cfg.Now()
	since := startedAt // the limit counts from here
	answerBy := since + answerTimeout
	for range maxBrokersAsked {
		now := s.client.cfg.Now()
		if now >= answerBy {
			break
		}
		w := s.ask(withTimeLeft(ask, now-startedAt))
		if w == nil {
			break
		}
		answerBy = max(answerBy, since+w.limit)
		result := s.wait(ctx, w, answerBy-now, onQueued)
		if !result.isLost {
			return s.use(result)
		}
		if result.wasQueued {
			since = s.client.cfg.Now()
			answerBy = since + answerTimeout
		}
	}
	return nil, nil, errors.Trace(ErrNoBroker)
}

// use returns the result of an ask to its caller. A VM may have been suspended since the permit
// was granted, which may be in use elsewhere by now.
func (s *shardClient) use(r result) (*Permit, *Refusal, error) {
	if r.permit != nil && s.client.cfg.Now()-r.at > silenceTimeout {
		r.permit.Done(0, evidence.Unused)
		return nil, nil, errors.Trace(ErrNoBroker)
	}
	return r.permit, r.refusal, errors.Trace(r.err)
}

// ask sends an ask to the broker; nil: there is none.
func (s *shardClient) ask(ask decide.Ask) *waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.client.cfg.Now()
	session := s.choose(now)
	if session == nil {
		return nil
	}
	s.lastID++
	ask.ID.Number = s.lastID
	w := &waiter{id: s.lastID, route: ask.Route, session: session, askedAt: now, results: make(chan result, 1), queued: make(chan time.Duration, 1), limit: session.answerLimit(now)}
	session.waiting[w.id] = w
	session.lastAskAt = now
	session.pending.Asks = append(session.pending.Asks, encodeAsk(ask))
	session.wakeUp()
	return w
}

// wait waits for the decision on an ask, whose first answer must come within a time.
func (s *shardClient) wait(ctx context.Context, w *waiter, answerWithin time.Duration, onQueued func(time.Duration)) result {
	timer := time.NewTimer(answerWithin)
	defer timer.Stop()
	isQueued := false
	for {
		select {
		case r := <-w.results:
			return r
		case estimate := <-w.queued:
			isQueued = true
			timer.Reset(s.silentIn(w))
			if onQueued != nil {
				onQueued(estimate)
			}
		case <-w.session.ended:
			return s.withdraw(w, result{isLost: true, wasQueued: isQueued})
		case <-ctx.Done():
			r := s.withdraw(w, result{})
			if r.permit != nil {
				r.permit.Done(0, evidence.Unused)
			}
			return result{err: ctx.Err()}
		case <-timer.C:
			if rest := s.silentIn(w); isQueued && rest > 0 {
				timer.Reset(rest)
				continue
			}
			return s.giveUp(w)
		}
	}
}

// silentIn returns the time until the broker of a queued ask counts as silent.
func (s *shardClient) silentIn(w *waiter) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.client.cfg.Now()
	return w.session.heardAt + w.session.silenceLimit(now) - now
}

// withdraw ends the wait for a decision, and returns the decision if there is one already.
func (s *shardClient) withdraw(w *waiter, otherwise result) result {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := w.session.waiting[w.id]; !ok {
		select {
		case r := <-w.results:
			return r
		default:
			return otherwise
		}
	}
	delete(w.session.waiting, w.id)
	w.session.pending.Cancelled = append(w.session.pending.Cancelled, w.id)
	w.session.wakeUp()
	return otherwise
}

// giveUp ends the wait for a broker that is silent.
func (s *shardClient) giveUp(w *waiter) result {
	r := s.withdraw(w, result{err: ErrNoBroker})
	if r.err == nil {
		return r
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w.session.silences++
	if w.session.silences >= maxSilences {
		s.fail(w.session, whySilent)
	}
	return r
}

// giveBack reports a permit to all brokers that count it.
func (s *shardClient) giveBack(p *Permit, took time.Duration, outcome evidence.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inUse[p.id] != p {
		return
	}
	delete(s.inUse, p.id)
	for _, session := range s.sessions() {
		if _, ok := session.holds[p.id]; ok {
			session.report(p, took, outcome)
		}
	}
}

// sessions returns all open sessions.
func (s *shardClient) sessions() []*session {
	all := slices.Clone(s.retired)
	for _, session := range []*session{s.current, s.next} {
		if session != nil {
			all = append(all, session)
		}
	}
	return all
}

// choose returns the session that takes asks; nil: no broker can be asked now.
func (s *shardClient) choose(now time.Duration) *session {
	if s.client.ctx.Err() != nil {
		return nil
	}
	if s.next != nil && now-s.next.openedAt > s.next.silenceLimit(now) {
		s.fail(s.next, whySilent)
	}
	if s.current == nil && s.next != nil {
		s.current, s.next = s.next, nil
	}
	if s.current == nil {
		if member, ok := s.best(now); ok {
			s.current = s.open(member, now)
			s.logChosen(s.current)
		}
		return s.current
	}
	if s.next == nil && now-s.rankedAt >= rankInterval {
		if member, ok := s.best(now); ok && member.VM != s.current.member.VM {
			s.next = s.open(member, now)
		}
	}
	return s.current
}

// best returns the first broker in rank that does not count as lost. If one of another region is
// silent, the link to it may be cut, while the gateways there go on with it: its standby would
// grant the same places.
func (s *shardClient) best(now time.Duration) (decide.Member, bool) {
	if !s.isRanked || now-s.rankedAt >= rankInterval {
		s.ranked = decide.Ranked(s.key.service, s.key.region, s.key.shard, s.client.cfg.Members())
		s.rankedAt, s.isRanked = now, len(s.ranked) > 0
	}
	for _, member := range s.ranked {
		if now >= s.lost[member.VM].until {
			return member, true
		}
		if s.isOtherRegion() && s.lost[member.VM].isSilent {
			break
		}
	}
	return decide.Member{}, false
}

// isOtherRegion reports whether the shard's servers are in another region than this process.
func (s *shardClient) isOtherRegion() bool {
	return s.key.region != "" && s.key.region != s.client.region()
}

// promote makes the next session the current one.
func (s *shardClient) promote() {
	if s.current != nil {
		s.retired = append(s.retired, s.current)
	}
	s.current, s.next = s.next, nil
	s.logChosen(s.current)
}

func (s *shardClient) logChosen(chosen *session) {
	if s.broker == chosen.member.VM {
		return
	}
	s.log.Info("A broker is chosen.", zap.String("broker", chosen.member.VM), zap.String("addr", chosen.member.Addr), zap.String("before", s.broker),
		zap.Int("rank", slices.Index(s.ranked, chosen.member)), zap.Int("brokers", len(s.ranked)), zap.Int("in_use", len(s.inUse)))
	s.broker = chosen.member.VM
}

// fail ends a session whose broker is lost, and lets the others be used.
func (s *shardClient) fail(failed *session, why string) {
	if failed.isEnded || s.client.ctx.Err() != nil {
		s.end(failed)
		return
	}
	now := s.client.cfg.Now()
	if !slices.Contains(s.retired, failed) {
		duration := min(maxLostTime, max(minLostTime, 2*s.lost[failed.member.VM].last))
		s.lost[failed.member.VM] = lostBroker{until: now + duration, last: duration, isSilent: why == whySilent}
	}
	brokersLost.Add(1)
	s.log.Warn("A broker is lost.", failed.describe(now, why)...)
	s.end(failed)
	if len(s.inUse) > 0 {
		s.choose(now) // its successor must learn of them before it grants the same places
	}
}

// end ends a session.
func (s *shardClient) end(ended *session) {
	if ended.isEnded {
		return
	}
	ended.isEnded = true
	close(ended.ended)
	ended.cancel()
	switch ended {
	case s.current:
		s.current = nil
	case s.next:
		s.next = nil
	}
	s.retired = slices.DeleteFunc(s.retired, func(other *session) bool { return other == ended })
}

// closeIdle ends the sessions that are not used any more.
func (s *shardClient) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.client.cfg.Now()
	timeout := idleTimeout
	if s.key.region != "" {
		timeout = regionalIdleTimeout
	}
	for _, session := range s.sessions() {
		isUnused := len(session.waiting)+len(session.holds) == 0 && session.isSent()
		isRetired := slices.Contains(s.retired, session)
		if isUnused && (isRetired || now-max(session.openedAt, session.lastAskAt) >= timeout) {
			s.end(session)
		}
	}
}

func (s *shardClient) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, session := range s.sessions() {
		s.end(session)
	}
}
