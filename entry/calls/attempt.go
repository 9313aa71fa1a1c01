package calls

import (
	"context"

	"google.golang.org/grpc"

	"dandelionsill.org/entry/fleet"
	"dandelionsill.org/kinds"
	"dandelionsill.org/wire/pb"
	"dandelionsill.org/wire/refusal"
)

// target is a server that a try goes to.
type target struct {
	name   string
	client pb.AgentClient
	lost   <-chan struct{} // closed when the server's reports stop
	// release ends a connection made for this try; nil: there is none.
	release func()
}

// reply is a message of the agent, or the stream's end.
type reply struct {
	msg *pb.CallReply
	err error
}

// attempt is one try of a call at one server. It owns its stream: nothing of
// another try or request can reach it.
type attempt struct {
	request       *call
	server        target
	reportOutcome func(fleet.Outcome)
	cancel        context.CancelFunc
	stream        grpc.BidiStreamingClient[pb.CallSend, pb.CallReply]
	replies       chan reply
	ctx           context.Context
	// noReply: the try ended without the agent's reply.
	noReply bool
}

// runAttempt runs one attempt up to a whole answer, or one too large to be held back.
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

// outcome tells how the try speaks for its server. One that the deadline or
// the caller ended says nothing: a caller's short deadlines must not eject a
// healthy server.
func (a *attempt) outcome() fleet.Outcome {
	switch {
	case !a.noReply:
		return fleet.Refused
	case a.ctx.Err() != nil:
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
	// The error of a failed Send comes with the next reply.
	_ = stream.Send(openMsg)
	if a.request.Repeatable {
		return a.readAnswer(h.cfg.MaxBuffer, nil)
	}
	return h.handshake(a)
}

// receive hands replies over one by one until the stream or attempt ends.
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

// handshake waits for CallReady and sends CallGo. Up to CallGo every failure
// is proof that the request did not run.
func (h *Handler) handshake(a *attempt) (*result, error) {
	first, err := a.nextReply()
	if err != nil {
		return nil, err
	}
	if first.GetReady() == nil {
		// A held answer of the key's first run, or a refusal.
		return a.readAnswer(h.cfg.MaxBuffer, first)
	}
	h.beforeGo(a)
	if err := a.checkBeforeGo(); err != nil {
		return nil, err
	}
	// Given up before the send, not after: a process that fails in between
	// must answer "outcome unknown".
	a.request.Held.Send()
	_ = a.stream.Send(&pb.CallSend{Part: &pb.CallSend_Go{Go: &pb.CallGo{}}})
	return a.readAnswer(h.cfg.MaxBuffer, nil)
}

// checkBeforeGo tells what came between CallReady and CallGo: a lost connection,
// a refusal, the deadline, the caller's end.
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

// nextReply waits for a reply.
func (a *attempt) nextReply() (*pb.CallReply, error) {
	lost := a.server.lost
	if a.request.Held.Sent() && !a.request.Repeatable {
		// Sent and not repeatable: only its own answer can tell the outcome.
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

// checkReply turns a refusal or a broken stream into an error.
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
	return nil, err
}

// noReplyError is the error of a try that ended without the agent's reply.
func (a *attempt) noReplyError(cause error) error {
	a.noReply, a.request.unanswered = true, true
	switch {
	case a.request.Repeatable:
		a.request.RecordMayHaveRun()
		return kinds.New(kinds.BackendFailed, "%s gave no whole answer", a.server.name).WithCause(cause)
	case a.request.Held.Sent():
		return kinds.New(kinds.OutcomeUnknown, "the request was sent to %s and its answer was lost", a.server.name).WithCause(cause)
	case a.ctx.Err() != nil:
		return a.request.Held.Refuse(kinds.DeadlineTooShort, "the deadline passed before %s was told to go", a.server.name).WithCause(cause)
	default:
		return a.request.Held.Refuse(kinds.NotReady, "%s was lost before the request was sent", a.server.name).WithCause(cause)
	}
}

// unreachableError is the error of a try for which no stream could be opened. grpc
// opens it on a ready connection only, and the request is sent after it. With a
// key that proves little: an earlier try may have run at this very server.
func (a *attempt) unreachableError(cause error) error {
	if a.ctx.Err() != nil || a.request.key != "" {
		return a.noReplyError(cause)
	}
	a.noReply = true
	return a.request.RecordUnreachable(a.server.name, cause)
}

// readAnswer reads the answer until it is whole, or holds more than max bytes.
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

// checkStreamable refuses to pass a long answer on in parts where the caller could not
// tell a part from the whole: in HTTP/1.0 an answer without a length ends with
// its connection.
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

// addReply adds a reply; true: the answer is whole.
func (res *result) addReply(msg *pb.CallReply) (bool, error) {
	switch p := msg.Part.(type) {
	case *pb.CallReply_Head:
		res.head = p.Head
	case *pb.CallReply_Body:
		res.body = append(res.body, p.Body...)
	case *pb.CallReply_End:
		return true, res.checkLength(p.End.BodyBytes)
	}
	return false, nil
}

// checkLength compares the length that the agent passed on with what came. A
// short answer looks whole to a caller; it must never get one.
func (res *result) checkLength(sent int64) error {
	got := res.forwardedBytes + int64(len(res.body))
	if res.head != nil && got == sent {
		return nil
	}
	return res.attempt.noReplyError(errShortAnswer)
}
