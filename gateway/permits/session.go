package permits

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"dandelionsill.org/decide/evidence"
	decide "dandelionsill.org/decide/permits"
	"dandelionsill.org/wire/pb"
)

// reportDelay is how long a report may wait for others. Its place stays taken for that time.
const reportDelay = time.Millisecond

// session is a stream to a broker. Its fields are guarded by shardClient.mu.
type session struct {
	shard  *shardClient
	member decide.Member
	cancel context.CancelFunc
	wake   chan struct{} // has a value while pending may be sent
	ended  chan struct{} // closed at the end

	isEnded   bool
	openedAt  time.Duration
	greetedAt time.Duration // when the broker was first heard; 0: it was not
	heardAt   time.Duration // when the broker was last heard, at first openedAt
	lastAskAt time.Duration
	silences  int // asks without an answer since
	pending   *pb.PermitRequest
	isFirst   bool // pending is the first message
	reporting bool // pending will be sent after reportDelay
	waiting   map[uint64]*waiter
	holds     map[uint64]struct{} // permits that the broker counts
}

// waiter is an ask without a decision.
type waiter struct {
	id         uint64
	route      string
	session    *session
	askedAt    time.Duration
	queued     chan time.Duration // the estimated wait, once the broker has queued it
	limit      time.Duration      // in which the broker must answer
	isMeasured bool               // its first answer has come
	results    chan result
}

// result is how an ask ended.
type result struct {
	permit  *Permit
	refusal *Refusal
	err     error
	at      time.Duration // when the decision was received
	// isLost: the stream broke, and another broker may be asked. wasQueued: the ask was queued
	// before.
	isLost, wasQueued bool
}

// open opens a session. Its first message tells the permits in use.
func (s *shardClient) open(member decide.Member, now time.Duration) *session {
	cfg := &s.client.cfg
	ctx, cancel := context.WithCancel(s.client.ctx)
	opened := &session{
		shard: s, member: member, cancel: cancel, wake: make(chan struct{}, 1), ended: make(chan struct{}),
		openedAt: now, heardAt: now, isFirst: true, waiting: map[uint64]*waiter{}, holds: map[uint64]struct{}{},
		pending: &pb.PermitRequest{Gateway: cfg.VM + "/" + cfg.Incarnation, Service: s.key.name(), Region: s.key.region, FailureDomain: cfg.FailureDomain},
	}
	for id, permit := range s.inUse {
		opened.pending.InUse = append(opened.pending.InUse, &pb.PermitInUse{Id: id, Server: permit.Server})
		opened.holds[id] = struct{}{}
	}
	s.client.loops.Go(func() { opened.run(ctx) })
	return opened
}

// run carries messages until ctx ends or the stream breaks.
func (n *session) run(ctx context.Context) {
	stream, err := n.openStream(ctx)
	if err != nil {
		n.fail(err)
		return
	}
	n.shard.client.loops.Go(func() { n.send(ctx, stream) })
	for {
		reply, err := stream.Recv()
		if err != nil {
			n.fail(err)
			return
		}
		n.receive(reply)
	}
}

func (n *session) openStream(ctx context.Context) (Stream, error) {
	cfg := &n.shard.client.cfg
	if cfg.Local != nil && n.member.VM == cfg.VM {
		return openLocal(ctx, cfg.Local), nil
	}
	return cfg.Open(ctx, n.member.Addr)
}

func (n *session) fail(err error) {
	n.shard.mu.Lock()
	defer n.shard.mu.Unlock()
	n.shard.fail(n, err.Error())
}

// send sends what is pending until ctx ends or the stream breaks, which ends run.
func (n *session) send(ctx context.Context, stream Stream) {
	n.wakeUp()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.wake:
		}
		req := n.take()
		if req == nil {
			continue
		}
		if err := stream.Send(req); err != nil {
			n.fail(err)
			return
		}
	}
}

// take returns everything that is pending; nil: nothing.
func (n *session) take() *pb.PermitRequest {
	n.shard.mu.Lock()
	defer n.shard.mu.Unlock()
	if n.isSent() {
		return nil
	}
	req := n.pending
	n.pending, n.isFirst, n.reporting = &pb.PermitRequest{}, false, false
	return req
}

// isSent reports whether nothing is pending.
func (n *session) isSent() bool { return !n.isFirst && proto.Size(n.pending) == 0 }

// receive processes a message of the broker.
func (n *session) receive(reply *pb.PermitReply) {
	n.shard.mu.Lock()
	defer n.shard.mu.Unlock()
	if n.isEnded {
		return
	}
	now := n.shard.client.cfg.Now()
	if n.isStale(now) {
		n.shard.log.Warn("A stream is opened anew.", n.describe(now, "its messages are late")...)
		n.shard.end(n)
		n.shard.choose(now)
		return
	}
	n.heardAt, n.silences = now, 0
	if n.greetedAt == 0 {
		n.greetedAt = max(now, 1)
	}
	for _, d := range reply.GetDecisions() {
		if decision, ok := decodeDecision(d); ok {
			n.apply(decision, now)
		}
	}
	if n == n.shard.next {
		n.shard.promote()
	}
}

// isStale reports whether a message is too late for its decisions to hold: this VM or the
// broker's was suspended, and what was granted may have been given to others meanwhile. The
// permits in use that the next stream tells free what was granted in vain.
func (n *session) isStale(now time.Duration) bool {
	limit := n.silenceLimit(now)
	return now-n.heardAt > limit && n.oldestAsk(now) > limit
}

// oldestAsk returns the age of the oldest ask without a decision; 0: there is none.
func (n *session) oldestAsk(now time.Duration) time.Duration {
	oldest := time.Duration(0)
	for _, w := range n.waiting {
		oldest = max(oldest, now-w.askedAt)
	}
	return oldest
}

// describe returns the fields of a log line on a session that ends.
func (n *session) describe(now time.Duration, why string) []zap.Field {
	return []zap.Field{
		zap.String("broker", n.member.VM), zap.String("why", why), zap.Int("asks", len(n.waiting)), zap.Duration("oldest_ask", n.oldestAsk(now)),
		zap.Duration("silent_for", now-n.heardAt), zap.Int("in_use", len(n.holds)),
	}
}

// apply passes a decision to the ask that waits for it. A permit for which none waits is given
// back.
func (n *session) apply(d decide.Decision, now time.Duration) {
	w, waits := n.waiting[d.ID.Number]
	if waits {
		n.measure(w, now)
	}
	if d.Kind == decide.Queued {
		if waits {
			queued.Add(1)
			select {
			case w.queued <- d.Wait:
			default:
			}
		}
		return
	}
	delete(n.shard.lost, n.member.VM)
	delete(n.waiting, d.ID.Number)
	if d.Kind == decide.Granted {
		n.grant(w, d, now)
		return
	}
	if waits {
		w.results <- result{refusal: &Refusal{Kind: d.Refusal, RetryAfter: d.RetryAfter, Wait: d.Wait, Reason: d.Reason, Broker: n.member.VM, Region: n.shard.key.region}, at: now}
	}
}

func (n *session) grant(w *waiter, d decide.Decision, now time.Duration) {
	permit := &Permit{Server: d.Server, Reason: d.Reason, Broker: n.member.VM, Region: n.shard.key.region, expected: d.Expected, lastChoice: d.LastChoice, id: d.ID.Number, shard: n.shard}
	if w == nil {
		n.report(permit, 0, evidence.Unused)
		return
	}
	permit.route, permit.grantedAt = w.route, min(now, w.askedAt+d.Wait)
	n.shard.inUse[permit.id] = permit
	n.holds[permit.id] = struct{}{}
	w.results <- result{permit: permit, at: now}
}

// report queues a report on a permit.
func (n *session) report(p *Permit, took time.Duration, outcome evidence.Outcome) {
	delete(n.holds, p.id)
	n.pending.Reports = append(n.pending.Reports, &pb.PermitReport{
		Id: p.id, Server: p.Server, Route: p.route, TookUs: toMicros(n.shard.atServer(p, took)), Outcome: toOutcome[outcome],
	})
	if !n.reporting {
		n.reporting = true
		time.AfterFunc(reportDelay, n.wakeUp)
	}
}

func (n *session) wakeUp() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}
