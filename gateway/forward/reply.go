package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"dandelionsill.org/base/budget"
	"dandelionsill.org/base/metrics"
	"dandelionsill.org/decide/members"
	"dandelionsill.org/gateway/backend"
	"dandelionsill.org/platform/hosted"
)

const (
	// answerStepBytes is the first step in which an answer of unknown length is read; later steps
	// double what was read.
	answerStepBytes = 4 << 10
	// maxRestGap bounds a server's pause within an answer that is passed on while it arrives, after the
	// deadline. That does not end such an answer, because a late one is still delivered.
	maxRestGap = 5 * time.Second
)

var unbuffered = metrics.Counter("forward_answers_unbuffered_total")

// replyBody is the part of a Reply's body that has not been read from the server yet, and the room that the
// rest takes.
type replyBody struct {
	room     budget.Reservation
	rest     *backend.Answer // nil: Body is complete
	deadline time.Time       // of the call
	// onClose is called once the rest needs its server no more.
	onClose func()
}

// Length returns the length of the complete body in bytes; -1 if it is not known yet.
func (r *Reply) Length() int64 {
	if r.rest == nil {
		return int64(len(r.Body))
	}
	return r.rest.Length
}

// WriteBody writes the complete body to the caller. If a part of it has still to come from the server, it is read as
// fast as the caller takes it, until ctx ends; after an error the caller's connection must be
// aborted, so that what it got does not look complete.
func (r *Reply) WriteBody(ctx context.Context, w io.Writer) error {
	_, err := w.Write(r.Body)
	if r.rest == nil {
		return nil // a disconnected caller shows in its request's context
	}
	if err != nil {
		return errors.Trace(err)
	}
	r.rest.Bound(maxBodyBytes + 1 - len(r.Body))
	r.Body = nil
	r.room.Release()
	defer context.AfterFunc(ctx, r.rest.Abort)()
	return errors.Trace(copyRest(w, r.rest.Body, r.rest.Abort, r.deadline))
}

// copyRest copies the rest of an answer to w. It aborts the answer if its server pauses until the deadline, or after it for
// longer than maxRestGap; the time that w takes does not count.
func copyRest(w io.Writer, rest io.Reader, abort func(), deadline time.Time) error {
	maxGap := func() time.Duration { return max(maxRestGap, time.Until(deadline)) }
	gap := time.AfterFunc(maxGap(), abort)
	defer gap.Stop()
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := rest.Read(buf)
		gap.Stop()
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return errors.Trace(err)
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("%w: %w", backend.ErrBroken, err)
		}
		gap.Reset(maxGap())
	}
}

// Close gives up what the reply holds. Further calls do nothing.
func (r *Reply) Close() {
	r.room.Release()
	if r.rest != nil && r.onClose != nil {
		r.rest.Close()
		r.onClose()
		r.onClose = nil
	}
}

// replySet holds the replies of all attempts of one call, of which the call returns one at most. A
// nil *replySet holds none.
type replySet struct {
	mu       sync.Mutex
	replies  []*Reply
	returned bool
}

// newReplySet returns the set for a call whose answer may be passed on before it is complete; nil if all
// answers are buffered.
func (f *Forwarder) newReplySet(call *Call) *replySet {
	if f.Answers == nil || !call.PassOn {
		return nil
	}
	return &replySet{}
}

// add adds the reply of an attempt. It closes one that comes after the call has returned.
func (s *replySet) add(r *Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.returned {
		r.Close()
		return
	}
	s.replies = append(s.replies, r)
}

// closeOthers closes all replies but the one that the call returns; nil if it returns none.
func (s *replySet) closeOthers(returned *Reply) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.returned = true
	for _, r := range s.replies {
		if r != returned {
			r.Close()
		}
	}
}

// receive reads a server's answer within the room that there is for answers. One that does not fit has been run all
// the same, so that its rest stays at the server until the caller reads it.
func (f *Forwarder) receive(call *Call, server members.Server, answer *backend.Answer) (*Reply, error) {
	if !isSigned(answer) {
		answer.Close()
		return nil, errors.Annotate(backend.ErrBroken, "success without a signature")
	}
	reply := &Reply{Status: answer.Status, Header: answer.Header, Server: server.ID, replyBody: replyBody{room: f.Answers.Reserve()}}
	complete, err := reply.read(answer)
	if err == nil && !complete && !answer.Detach() {
		err = errors.Annotate(backend.ErrBroken, "the call ended within the answer")
	}
	if err != nil {
		reply.room.Release()
		answer.Close()
		return nil, err
	}
	if complete {
		answer.Close()
	} else {
		f.keepOpen(call, server, reply, answer)
	}
	call.replies.add(reply)
	return reply, nil
}

// keepOpen leaves the rest of an answer at its server, which counts as a request in flight there.
func (f *Forwarder) keepOpen(call *Call, server members.Server, reply *Reply, answer *backend.Answer) {
	reply.rest, reply.deadline = answer, call.Deadline
	f.serverStats.addInFlight(server.ID, 1)
	reply.onClose = func() { f.serverStats.addInFlight(server.ID, -1) }
	unbuffered.Add(1)
	f.log.Info("No room for an answer; it is passed on as fast as its caller reads.", zap.String("id", call.ID), zap.String("server", server.ID),
		zap.Int("status", answer.Status), zap.Int64("length", answer.Length), zap.Int("buffered", len(reply.Body)), zap.Int64("held", f.Answers.InUse()))
}

// isSigned reports whether the answer is a failure or bears its server's signature. A success without a
// signature did not come from the server.
func isSigned(answer *backend.Answer) bool {
	return answer.Status >= http.StatusMultipleChoices || hosted.Seal(answer.Header) != ""
}

// read reads the body as far as there is room for it. It reports whether that is all of it.
func (r *Reply) read(answer *backend.Answer) (bool, error) {
	switch {
	case answer.Body == http.NoBody: // of a HEAD request, whatever length its head states
	case answer.Length > maxBodyBytes:
		return false, errors.Annotatef(backend.ErrBroken, "body of over %d bytes", maxBodyBytes)
	case answer.Length < 0:
		return r.readInSteps(answer)
	case !r.room.Grow(answer.Length):
		return false, nil
	default:
		r.Body = make([]byte, answer.Length)
		if _, err := io.ReadFull(answer.Body, r.Body); err != nil {
			return false, fmt.Errorf("%w: %w", backend.ErrBroken, err)
		}
	}
	answer.MarkComplete()
	return true, nil
}

// readInSteps reads a body of unknown length.
func (r *Reply) readInSteps(answer *backend.Answer) (bool, error) {
	for {
		if len(r.Body) == cap(r.Body) {
			step := max(answerStepBytes, int64(cap(r.Body)))
			if !r.room.Grow(step) {
				return false, nil
			}
			larger := make([]byte, len(r.Body), int64(cap(r.Body))+step)
			copy(larger, r.Body)
			r.Body = larger
		}
		n, err := answer.Body.Read(r.Body[len(r.Body):cap(r.Body)])
		r.Body = r.Body[:len(r.Body)+n]
		switch {
		case len(r.Body) > maxBodyBytes:
			return false, errors.Annotatef(backend.ErrBroken, "body of over %d bytes", maxBodyBytes)
		case err == io.EOF:
			answer.MarkComplete()
			return true, nil
		case err != nil:
			return false, fmt.Errorf("%w: %w", backend.ErrBroken, err)
		}
	}
}

// addInFlight changes the number of requests in flight at a server without recording a result.
func (st *serverStats) addInFlight(server string, n int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.inFlight[server] += n
	if st.inFlight[server] <= 0 {
		delete(st.inFlight, server)
	}
}
