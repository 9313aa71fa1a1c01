package calls

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"dandelionsill.org/entry/fleet"
	"dandelionsill.org/kinds"
	"dandelionsill.org/wire/pb"
	"dandelionsill.org/wire/refusal"
)

// deadlineSkew is how much earlier than an attempt's own context the agent's copy of the deadline may
// end the stream: the copy has timers of its own. No attempt succeeds in what is left then.
const deadlineSkew = 20 * time.Millisecond

// target is a server that an attempt is sent to.
type target struct {
	name   string
	client pb.AgentClient
	lost   <-chan struct{} // closed when the server's reports stop
	// release closes a connection that was opened for this attempt; nil if there is
	// none.
	release func()
}

// reply is a message from the agent, or the error that ended the stream.
type reply struct {
	msg *pb.CallReply
	err error
}

// attempt is one attempt of a call at one server. It is the only user of its stream, so
// that no reply to another attempt or request can get into it.
type attempt struct {
	request       *call
	server        target
	reportOutcome func(fleet.Outcome)
	cancel        context.CancelFunc
	stream        grpc.BidiStreamingClient[pb.CallSend, pb.CallReply]
	replies       chan reply
	ctx           context.Context
	// noReply reports that the attempt ended without a reply from the agent.
	noReply  bool
	toldToGo bool // CallGo was sent
	// backendFailed reports that the agent got no answer from its backend server.
	backendFailed bool
}

// runAttempt runs one attempt until its answer is complete, or too large to be buffered.
func (h *Handler) runAttempt(ctx context.Context, c *call, to target) (*result, error) {
	a := &attempt{request: c, server: to, reportOutcome: h.cfg.Agents.Begin(to.name), replies: make(chan reply, 1)}
	a.ctx, a.cancel = context.WithCancel(ctx)
	res, err := h.exchange(a)
	if err != nil {
		a.close(a.outcome())
		return nil, err
	}
	return res, nil
}

func (a *attempt) close(outcome fleet.Outcome) {
	a.cancel()
	a.reportOutcome(outcome)
	if a.server.release != nil {
		a.server.release()
	}
}

// outcome returns the attempt's outcome for the server's health record. An attempt that
// ended because of the deadline or the caller counts as abandoned: a caller's short
// deadlines must not eject a healthy server.
func (a *attempt) outcome() fleet.Outcome {
	switch {
	case !a.noReply && !a.backendFailed:
		return fleet.Refused
	case a.ctx.Err() != nil || a.backendFailed && a.isDeadlineReached():
		return fleet.Abandoned
	default:
		return fleet.Failed
	}
}

func (h *Handler) exchange(a *attempt) (*result, error) {
	a.request.StartAttempt()
	stream, err := a.server.client.Call(a.ctx)
	if err != nil {
		return nil, a.unreachableError(err)
	}
	a.stream = stream
	go a.receive()
	openMsg := &pb.CallSend{Part: &pb.CallSend_Open{Open: a.request.openMessage(a.request.View.Number)}}
	// If Send fails, the next Recv returns the error.
	_ = stream.Send(openMsg)
	if a.request.Repeatable {
		return a.readAnswer(h.cfg.MaxBuffer, nil)
	}
	return h.handshake(a)
}

// receive passes on replies one by one until the stream or the attempt ends.
func (a *attempt) receive() {
	for {
		msg, err := a.stream.Recv()
		select {
		case a.replies <- reply{msg, err}:
		case <-a.ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// handshake waits for CallReady and then sends CallGo. Any failure before CallGo proves
// that the request did not run.
func (h *Handler) handshake(a *attempt) (*result, error) {
	first, err := a.nextReply()
	if err != nil {
		return nil, err
	}
	if first.GetReady() == nil {
		// Either the recorded answer of the key's first run, or a refusal.
		return a.readAnswer(h.cfg.MaxBuffer, first)
	}
	h.beforeGo(a)
	if err := a.checkBeforeGo(); err != nil {
		return nil, err
	}
	// The proof of "not run" is discarded before the send, not after it: a failure in
	// between must be answered with "outcome unknown".
	a.request.Held.MarkSent()
	a.toldToGo = true
	_ = a.stream.Send(&pb.CallSend{Part: &pb.CallSend_Go{Go: &pb.CallGo{}}})
	return a.readAnswer(h.cfg.MaxBuffer, nil)
}

// checkBeforeGo returns an error if, between CallReady and CallGo, the connection was
// lost, the agent refused, the deadline passed or the caller disconnected.
func (a *attempt) checkBeforeGo() error {
	if a.ctx.Err() != nil {
		return a.noReplyError(a.ctx.Err())
	}
	select {
	case r := <-a.replies:
		_, err := a.checkReply(r)
		if err == nil {
			err = a.request.Held.Refuse(kinds.NotReady, "%s answered before it was told to go", a.server.name)
		}
		return err
	case <-a.server.lost:
		return a.noReplyError(errReportsStopped)
	default:
		return nil
	}
}

// nextReply waits for the next reply. It returns an error if the server is lost, the
// agent refuses or the context ends.
func (a *attempt) nextReply() (*pb.CallReply, error) {
	lost := a.server.lost
	if a.request.Held.Sent() && !a.request.Repeatable {
		// The request was sent and must not be repeated: only its own answer shows
		// the outcome, so a lost server does not end the wait.
		lost = nil
	}
	select {
	case r := <-a.replies:
		return a.checkReply(r)
	case <-lost:
		return nil, a.noReplyError(errReportsStopped)
	case <-a.ctx.Done():
		return nil, a.noReplyError(a.ctx.Err())
	}
}

// checkReply returns the reply's message, or an error for a refusal or a broken stream.
func (a *attempt) checkReply(r reply) (*pb.CallReply, error) {
	if r.err != nil {
		return nil, a.noReplyError(r.err)
	}
	refused := r.msg.GetRefusal()
	if refused == nil {
		return r.msg, nil
	}
	err := refusal.Decode(refused)
	a.request.RecordRefusal(err)
	a.backendFailed = a.isBackendFailure(err)
	return nil, err
}

// isBackendFailure reports whether a refusal tells that the backend server failed under this attempt. The outcome of
// a key may be unknown for other reasons, until the agent is told to go.
func (a *attempt) isBackendFailure(err *kinds.Error) bool {
	switch kinds.Kind(err.Kind()) {
	case kinds.BackendFailed:
		return true
	case kinds.OutcomeUnknown:
		return a.toldToGo
	}
	return false
}

// noReplyError returns the error for an attempt that ended without a reply from the
// agent.
func (a *attempt) noReplyError(cause error) error {
	a.noReply, a.request.unanswered = true, true
	switch {
	case a.request.Repeatable:
		a.request.RecordMayHaveRun()
		return kinds.New(kinds.BackendFailed, "%s gave no whole answer", a.server.name).WithCause(cause)
	case a.request.Held.Sent():
		return kinds.New(kinds.OutcomeUnknown, "the request was sent to %s and its answer was lost", a.server.name).WithCause(cause)
	case a.isDeadlineReached():
		return a.request.Held.Refuse(kinds.DeadlineTooShort, "the deadline passed before %s was told to go", a.server.name).WithCause(cause)
	default:
		return a.request.Held.Refuse(kinds.NotReady, "%s was lost before the request was sent", a.server.name).WithCause(cause)
	}
}

// isDeadlineReached reports whether the attempt's context has ended, or its deadline is so close
// that the agent's copy of it may have passed.
func (a *attempt) isDeadlineReached() bool {
	deadline, ok := a.ctx.Deadline()
	return a.ctx.Err() != nil || ok && time.Until(deadline) <= deadlineSkew
}

// unreachableError returns the error for an attempt whose stream could not be opened.
// grpc opens a stream only on a ready connection, and the request is sent after that, so
// this attempt did not run. If the call has an idempotency key, this proves little: an
// earlier attempt may have run at the same server.
func (a *attempt) unreachableError(cause error) error {
	if a.ctx.Err() != nil || a.request.key != "" {
		return a.noReplyError(cause)
	}
	a.noReply = true
	return a.request.RecordUnreachable(a.server.name, cause)
}

// readAnswer reads the answer until it is complete or has more than maxBytes bytes.
func (a *attempt) readAnswer(maxBytes int, first *pb.CallReply) (*result, error) {
	res := &result{attempt: a}
	for msg, err := first, error(nil); ; msg = nil {
		if msg == nil {
			if msg, err = a.nextReply(); err != nil {
				return nil, err
			}
		}
		done, err := res.addReply(msg)
		if err != nil {
			return nil, err
		}
		if done || len(res.body) > maxBytes && res.head != nil {
			res.complete = done
			return res, a.checkStreamable(res)
		}
	}
}

// checkStreamable returns an error if a long answer can't be forwarded in parts because
// the caller could not distinguish a part from the complete answer: in HTTP/1.0 an
// answer without a length ends when its connection is closed.
func (a *attempt) checkStreamable(res *result) error {
	if _, known := res.contentLength(a.request); known || res.complete || a.request.HTTP.ProtoAtLeast(1, 1) {
		return nil
	}
	const tooLong = "the answer is too long for HTTP/1.0 without a length"
	if a.request.Repeatable {
		a.request.RecordMayHaveRun()
		return kinds.New(kinds.Internal, tooLong)
	}
	return kinds.New(kinds.OutcomeUnknown, "the request ran at %s; %s", a.server.name, tooLong)
}

// addReply adds a reply to the answer. It returns true once the answer is complete.
func (res *result) addReply(msg *pb.CallReply) (bool, error) {
	switch p := msg.Part.(type) {
	case *pb.CallReply_Head:
		if err := fleet.CheckHead(p.Head); err != nil {
			return false, res.attempt.noReplyError(err)
		}
		res.head = p.Head
	case *pb.CallReply_Body:
		res.body = append(res.body, p.Body...)
	case *pb.CallReply_End:
		return true, res.checkLength(p.End.BodyBytes)
	}
	return false, nil
}

// checkLength compares the length that the agent reported with the bytes received. To a
// caller, a truncated answer looks complete, so it must never receive one.
func (res *result) checkLength(sent int64) error {
	got := res.forwardedBytes + int64(len(res.body))
	if res.head != nil && got == sent {
		return nil
	}
	return res.attempt.noReplyError(errShortAnswer)
}
