// Package calls sends the requests of a service to the one backend server that this
// agent is responsible for.
//
// A request that must not be repeated is sent once, and only after the entry has
// sent CallGo: until then both sides can prove that it did not run. After the first
// byte was sent to the backend server, the entry gets either the complete answer or
// "outcome unknown", and the request runs to its end whether or not its caller still
// waits.
package calls

import (
	"context"
	"crypto/sha256"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"dandelionsill.org/agent/admission"
	"dandelionsill.org/agent/once"
	"dandelionsill.org/base/explain"
	"dandelionsill.org/base/metrics"
	"dandelionsill.org/confsync"
	"dandelionsill.org/decide/admit"
	fold "dandelionsill.org/fold/once"
	"dandelionsill.org/kinds"
	"dandelionsill.org/manifest"
	"dandelionsill.org/wire/pb"
)

const (
	explainPart = "calls"
	// goTimeout bounds the wait for CallGo, which an entry sends at once. Without
	// it a crashed entry would hold a slot until its broken connection is
	// detected.
	goTimeout = 3 * time.Second
	// defaultTimeout is used if the manifest sets no timeout for the service.
	defaultTimeout = 30 * time.Second
)

var (
	callsTotal     = metrics.Counter("agent_calls_total")
	callsRefused   = metrics.Counter("agent_calls_refused_not_run")
	callsUnknown   = metrics.Counter("agent_calls_outcome_unknown")
	callsSent      = metrics.Counter("agent_calls_sent")
	callsAbandoned = metrics.Counter("agent_calls_caller_gone")
)

// Config is a handler's configuration.
type Config struct {
	Name    string // name of this agent
	Service string
	Backend string // IP:port of the backend server
	Queue   *admission.Queue
	Once    *once.Table
	Viewer  confsync.Viewer
	Explain *explain.Ring // nil disables explanations
	Logger  *zap.Logger   // nil disables logging
}

// Handler implements Call of pb.Agent.
type Handler struct {
	cfg     Config
	backend *backend
	now     func() time.Time
}

// New returns a handler for the backend server at cfg.Backend.
func New(cfg Config) *Handler {
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	return &Handler{cfg: cfg, backend: newBackend(cfg.Name, cfg.Backend), now: time.Now}
}

// Close closes idle connections to the backend server.
func (h *Handler) Close() { h.backend.close() }

// Call serves the request of one stream.
func (h *Handler) Call(stream pb.Agent_CallServer) error {
	callsTotal.Add(1)
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	open := first.GetOpen()
	if open == nil {
		return status.Error(codes.InvalidArgument, "the first message must be CallOpen")
	}
	c := &call{Handler: h, stream: stream, open: open, held: kinds.Hold()}
	if err := c.serve(stream.Context()); err != nil {
		return c.sendRefusal(stream.Context(), err)
	}
	return nil
}

// call is one request that a Handler serves.
type call struct {
	*Handler
	stream pb.Agent_CallServer
	open   *pb.CallOpen
	held   *kinds.Held

	view     *confsync.View
	service  manifest.Service
	deadline time.Time
}

// serve answers the request. It returns nil once the complete answer has been sent
// to the stream, or the entry is gone.
func (c *call) serve(ctx context.Context) *kinds.Error {
	if err := c.prepare(); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	switch {
	case c.open.Idempotent:
		return c.serveIdempotent(ctx)
	case c.open.IdempotencyKey != "":
		return c.serveKeyed(ctx)
	}
	_, refusal := c.serveOnce(ctx, nil)
	return refusal
}

// prepare checks the request against the manifest and sets its deadline.
func (c *call) prepare() *kinds.Error {
	c.view = c.cfg.Viewer.View()
	if c.view == nil || c.view.Manifest == nil {
		return c.held.Refuse(kinds.NotReady, "no manifest revision yet")
	}
	if c.open.Service != c.cfg.Service {
		return c.held.Refuse(kinds.NotFound, "this backend server serves %s", c.cfg.Service)
	}
	fleet := c.view.Manifest.Fleet
	if limit := fleet.MaxBodyBytes; limit > 0 && int64(len(c.open.Body)) > limit {
		return c.held.Refuse(kinds.TooLarge, "the body has more than %d bytes", limit)
	}
	c.service = c.view.Manifest.Services[c.cfg.Service]
	if c.service.Timeout <= 0 {
		c.service.Timeout = defaultTimeout
	}
	remaining := time.Duration(c.open.DeadlineMs) * time.Millisecond
	if remaining <= 0 {
		remaining = max(fleet.DefaultTimeout, c.service.Timeout)
	}
	c.deadline = c.now().Add(remaining)
	return c.checkRepeat()
}

// checkRepeat refuses a request that its entry would repeat although a newer manifest
// revision, which the entry does not have yet, forbids it. The route is matched
// again, as the newer revision may have a different one for the request.
func (c *call) checkRepeat() *kinds.Error {
	if !c.open.Idempotent || c.view.Number <= c.open.Revision {
		return nil
	}
	route, ok := c.service.Match(c.open.Method, c.open.Path)
	if !ok || route.Repeat == manifest.RepeatNever {
		return c.held.Refuse(kinds.NotReady, "revision %d, newer than the entry's, does not let this be repeated", c.view.Number)
	}
	return nil
}

// acquireSlot waits for a slot of the backend server. release gives it back.
func (c *call) acquireSlot(ctx context.Context) (release func(), _ *kinds.Error) {
	return c.cfg.Queue.Acquire(ctx, admit.Ticket{
		ID:       c.open.RequestId,
		Caller:   c.open.Caller,
		Weight:   c.open.Weight,
		Priority: int(c.open.Priority),
		Cost:     1,
		Deadline: c.deadline,
	})
}

// serveKeyed answers from an earlier attempt of the key, or runs the request if this
// agent is the key's owner.
func (c *call) serveKeyed(ctx context.Context) *kinds.Error {
	if c.cfg.Once == nil {
		return c.held.Refuse(kinds.LogUnavailable, "this agent takes no keyed requests")
	}
	key, err := fold.ParseKey(c.open.Caller, c.open.IdempotencyKey)
	if err != nil {
		return c.held.Refuse(kinds.BadRequest, "%v", err)
	}
	r := &once.Request{Key: key, Hash: requestHash(c.open)}
	for {
		answer, refusal, known := c.cfg.Once.Lookup(ctx, *r)
		if refusal != nil {
			return refusal
		}
		if known {
			return c.sendReplay(ctx, answer)
		}
		if retry, refusal := c.serveOnce(ctx, r); !retry {
			return refusal
		}
	}
}

// serveOnce runs a request that must not be repeated; r is nil if it has no key.
// retry is true if another attempt of the key has the run, so that the key must be
// looked up again.
func (c *call) serveOnce(ctx context.Context, r *once.Request) (retry bool, _ *kinds.Error) {
	release, refusal := c.acquireSlot(ctx)
	if refusal != nil {
		return false, refusal
	}
	var run *once.Run
	if r != nil {
		var answer *once.Answer
		run, answer, refusal = c.cfg.Once.Claim(ctx, *r)
		if run == nil {
			release()
			if answer != nil {
				refusal = c.sendReplay(ctx, answer)
			}
			return answer == nil && refusal == nil, refusal
		}
	}
	if refusal := c.awaitGo(ctx); refusal != nil {
		if run != nil {
			run.Release()
		}
		release()
		return false, refusal
	}
	return false, c.awaitAnswer(ctx, c.launch(ctx, run, release))
}

// awaitAnswer sends the run's answer to the entry. It returns outcome_unknown if ctx
// ends first; the run then continues.
func (c *call) awaitAnswer(ctx context.Context, done <-chan result) *kinds.Error {
	select {
	case res := <-done:
		if res.err != nil {
			return res.err
		}
		return c.sendAnswer(res.answer, false)
	case <-ctx.Done():
	}
	if ctx.Err() == context.Canceled {
		callsAbandoned.Add(1)
		return kinds.New(kinds.OutcomeUnknown, "the entry went away while the request ran")
	}
	return kinds.New(kinds.OutcomeUnknown, "no answer before the deadline")
}

// awaitGo sends CallReady to the entry and waits for CallGo. Each error is "not run",
// as nothing has been sent to the backend server.
func (c *call) awaitGo(ctx context.Context) *kinds.Error {
	ready := &pb.CallReply{Part: &pb.CallReply_Ready{Ready: &pb.CallReady{}}}
	if err := c.stream.Send(ready); err != nil {
		return c.held.Refuse(kinds.NotReady, "the entry went away before it said go")
	}
	received := make(chan bool, 1)
	go func() {
		// Recv returns at the latest when the handler returns.
		msg, err := c.stream.Recv()
		received <- err == nil && msg.GetGo() != nil
	}()
	timer := time.NewTimer(goTimeout)
	defer timer.Stop()
	select {
	case isGo := <-received:
		if !isGo {
			return c.held.Refuse(kinds.NotReady, "the entry gave the request up before it said go")
		}
	case <-timer.C:
		return c.held.Refuse(kinds.NotReady, "the entry did not say go in %v", goTimeout)
	case <-ctx.Done():
		return c.held.Refuse(kinds.DeadlineTooShort, "the deadline passed before the entry said go")
	}
	return nil
}

// result is the outcome of a launched request.
type result struct {
	answer *once.Answer
	err    *kinds.Error
}

// launch sends the request in a goroutine and lets it run to its end at the backend
// server, within the service's timeout, even if the caller or the entry disconnects.
// After launch only the goroutine may use c.held, the proof of "not run".
func (c *call) launch(ctx context.Context, run *once.Run, release func()) <-chan result {
	done := make(chan result, 1)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.service.Timeout)
	limit := c.view.Manifest.Fleet.MaxBodyBytes
	// This process may have been suspended since it received CallGo; the gate
	// checks the deadline again.
	gate := &gate{held: c.held, now: c.now, deadline: c.deadline}
	if run != nil {
		gate.onSend = run.Start
	}
	go func() {
		defer release()
		defer cancel()
		answer, err := c.backend.sendOnce(ctx, c.open, gate, limit)
		endRun(run, answer, err)
		c.explainSent(ctx, err)
		done <- result{answer, err}
	}()
	return done
}

// endRun ends a key's run according to the request's outcome. run is nil if the
// request has no key.
func endRun(run *once.Run, answer *once.Answer, err *kinds.Error) {
	switch {
	case run == nil:
	case err == nil:
		run.Finish(answer)
	case err.NotRun():
		run.Release()
	default:
		run.FinishUnknown()
	}
}

// requestHash returns a hash of the content of a keyed request. Headers are left out
// because a repeat has different trace and request ids.
func requestHash(open *pb.CallOpen) fold.Hash {
	h := sha256.New()
	for _, s := range []string{open.Service, open.Method, open.Path} {
		h.Write([]byte(s))
		h.Write([]byte{0})
	}
	h.Write(open.Body)
	return fold.Hash(h.Sum(nil)[:len(fold.Hash{})])
}
