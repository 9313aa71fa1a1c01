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
	c       *call
	to      target
	end     func(fleet.Outcome)
	cancel  context.CancelFunc
	stream  grpc.BidiStreamingClient[pb.CallSend, pb.CallReply]
	replies chan reply
	ctx     context.Context
	// broke: the try ended without the agent's reply.
	broke bool
}

// try runs one attempt up to a whole answer, or one too large to be held back.
func (h *Handler) try(ctx context.Context, c *call, to target) (*result, error) {
	a := &attempt{c: c, to: to, end: h.cfg.Agents.Begin(to.name), replies: make(chan reply, 1)}
	a.ctx, a.cancel = context.WithCancel(ctx)
	res, err := h.talk(a)
	if err != nil {
		a.close(a.outcome())
		return nil, err
	}
	return res, nil
}

func (a *attempt) close(outcome fleet.Outcome) {
	a.cancel()
	a.end(outcome)
	if a.to.release != nil {
		a.to.release()
	}
}

// outcome tells how the try speaks for its server. One that the deadline or
// the caller ended says nothing: a caller's short deadlines must not eject a
// healthy server.
func (a *attempt) outcome() fleet.Outcome {
	switch {
	case !a.broke:
		return fleet.Refused
	case a.ctx.Err() != nil:
		return fleet.Abandoned
	default:
		return fleet.Failed
	}
}

func (h *Handler) talk(a *attempt) (*result, error) {
	a.c.Begin()
	stream, err := a.to.client.Call(a.ctx)
	if err != nil {
		return nil, a.unreached(err)
	}
	a.stream = stream
	go a.receive()
	open := &pb.CallSend{Part: &pb.CallSend_Open{Open: a.c.open(a.c.View.Number)}}
	// The error of a failed Send comes with the next reply.
	_ = stream.Send(open)
	if a.c.Repeatable {
		return a.collect(h.cfg.MaxBuffer, nil)
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
	first, err := a.next()
	if err != nil {
		return nil, err
	}
	if first.GetReady() == nil {
		// A held answer of the key's first run, or a refusal.
		return a.collect(h.cfg.MaxBuffer, first)
	}
	h.beforeGo(a)
	if err := a.stillThere(); err != nil {
		return nil, err
	}
	// Given up before the send, not after: a process that fails in between
	// must answer "outcome unknown".
	a.c.Held.Send()
	_ = a.stream.Send(&pb.CallSend{Part: &pb.CallSend_Go{Go: &pb.CallGo{}}})
	return a.collect(h.cfg.MaxBuffer, nil)
}

// stillThere tells what came between CallReady and CallGo: a lost connection,
// a refusal, the deadline, the caller's end.
func (a *attempt) stillThere() error {
	if a.ctx.Err() != nil {
		return a.broken(a.ctx.Err())
	}
	select {
	case r := <-a.replies:
		_, err := a.check(r)
		if err == nil {
			err = a.c.Held.Refuse(kinds.NotReady, "%s answered before it was told to go", a.to.name)
		}
		return err
	case <-a.to.lost:
		return a.broken(errLost)
	default:
		return nil
	}
}

// next waits for a reply.
func (a *attempt) next() (*pb.CallReply, error) {
	lost := a.to.lost
	if a.c.Held.Sent() && !a.c.Repeatable {
		// Sent and not repeatable: only its own answer can tell the outcome.
		lost = nil
	}
	select {
	case r := <-a.replies:
		return a.check(r)
	case <-lost:
		return nil, a.broken(errLost)
	case <-a.ctx.Done():
		return nil, a.broken(a.ctx.Err())
	}
}

// check turns a refusal or a broken stream into an error.
func (a *attempt) check(r reply) (*pb.CallReply, error) {
	if r.err != nil {
		return nil, a.broken(r.err)
	}
	refused := r.msg.GetRefusal()
	if refused == nil {
		return r.msg, nil
	}
	err := refusal.Decode(refused)
	a.c.Refused(err)
	return nil, err
}

// broken is the error of a try that ended without the agent's reply.
func (a *attempt) broken(cause error) error {
	a.broke, a.c.unanswered = true, true
	switch {
	case a.c.Repeatable:
		a.c.Broke()
		return kinds.New(kinds.BackendFailed, "%s gave no whole answer", a.to.name).WithCause(cause)
	case a.c.Held.Sent():
		return kinds.New(kinds.OutcomeUnknown, "the request was sent to %s and its answer was lost", a.to.name).WithCause(cause)
	case a.ctx.Err() != nil:
		return a.c.Held.Refuse(kinds.DeadlineTooShort, "the deadline passed before %s was told to go", a.to.name).WithCause(cause)
	default:
		return a.c.Held.Refuse(kinds.NotReady, "%s was lost before the request was sent", a.to.name).WithCause(cause)
	}
}

// unreached is the error of a try for which no stream could be opened. grpc
// opens it on a ready connection only, and the request is sent after it. With a
// key that proves little: an earlier try may have run at this very server.
func (a *attempt) unreached(cause error) error {
	if a.ctx.Err() != nil || a.c.key != "" {
		return a.broken(cause)
	}
	a.broke = true
	return a.c.Unreached(a.to.name, cause)
}

// collect reads the answer until it is whole, or holds more than max bytes.
func (a *attempt) collect(max int, first *pb.CallReply) (*result, error) {
	res := &result{attempt: a}
	for msg, err := first, error(nil); ; msg = nil {
		if msg == nil {
			if msg, err = a.next(); err != nil {
				return nil, err
			}
		}
		done, err := res.take(msg)
		if err != nil {
			return nil, err
		}
		if done || len(res.body) > max && res.head != nil {
			res.whole = done
			return res, a.mayPart(res)
		}
	}
}

// mayPart refuses to pass a long answer on in parts where the caller could not
// tell a part from the whole: in HTTP/1.0 an answer without a length ends with
// its connection.
func (a *attempt) mayPart(res *result) error {
	if _, known := res.length(a.c); known || res.whole || a.c.HTTP.ProtoAtLeast(1, 1) {
		return nil
	}
	const tooLong = "the answer is too long for HTTP/1.0 without a length"
	if a.c.Repeatable {
		a.c.Broke()
		return kinds.New(kinds.Internal, tooLong)
	}
	return kinds.New(kinds.OutcomeUnknown, "the request ran at %s; %s", a.to.name, tooLong)
}

// take adds a reply; true: the answer is whole.
func (res *result) take(msg *pb.CallReply) (bool, error) {
	switch p := msg.Part.(type) {
	case *pb.CallReply_Head:
		res.head = p.Head
	case *pb.CallReply_Body:
		res.body = append(res.body, p.Body...)
	case *pb.CallReply_End:
		return true, res.checkWhole(p.End.BodyBytes)
	}
	return false, nil
}

// checkWhole compares the length that the agent passed on with what came. A
// short answer looks whole to a caller; it must never get one.
func (res *result) checkWhole(sent int64) error {
	got := res.passed + int64(len(res.body))
	if res.head != nil && got == sent {
		return nil
	}
	return res.attempt.broken(errShort)
}
