package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"dandelionsill.org/decide/members"
	"dandelionsill.org/decide/route"
	"dandelionsill.org/gateway/backend"
	"dandelionsill.org/kinds"
	"dandelionsill.org/platform/hosted"
)

// copyBuffer is the size of one piece of a stream, in bytes.
const copyBuffer = 16 << 10

// Stream forwards a request whose answer is a series of events, each as it
// arrives. Before the answer's first byte another server is asked where the
// one before refused; after it the stream is this server's, and one that
// breaks off must not look complete.
func (f *Forwarder) Stream(ctx context.Context, call Call, w http.ResponseWriter) (int, *kinds.Error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &sending{f: f, call: call, held: kinds.Hold(), service: call.Route.Pick(route.Hash(call.ID)), tried: map[string]bool{}, start: time.Now()}
	for {
		c, ok := s.pick()
		if !ok || s.refusals > refusalsMost {
			return 0, s.refuse(kinds.Overloaded, "no server took the stream")
		}
		s.tried[c.server.ID] = true
		s.asked = append(s.asked, c.server.ID)
		answer, err := f.open(ctx, call, c.server)
		switch {
		case errors.Is(err, backend.ErrNotSent):
			s.refusals++
			continue
		case err != nil:
			s.mayRun++
			if ctx.Err() != nil {
				return 0, s.outOfTime(ctx)
			}
			if call.Route.Repeatable() && s.mayRun < call.Route.MaxAttempts {
				continue
			}
			return 0, kinds.New(kinds.OutcomeUnknown, "%v", err)
		case hosted.NotExecuted(answer.Status, answer.Header):
			answer.Discard()
			s.refusals++
			continue
		}
		return f.copyStream(w, answer), nil
	}
}

// open sends the request to a server and reads the head of its answer.
func (f *Forwarder) open(ctx context.Context, call Call, server members.Server) (*backend.Answer, error) {
	header := call.Header.Clone()
	hosted.SetAttemptID(header, call.ID)
	hosted.SetExpectedServer(header, server.ID)
	hosted.SetDeadline(header, time.Until(call.Deadline))
	return f.Pool.Do(ctx, server.Addr, &backend.Request{
		Method: call.Method, URI: call.URI, Host: call.Host, Header: header, Body: call.Body, ID: call.ID,
	})
}

// copyStream passes the answer on and aborts the caller's connection where the
// server's broke off.
func (f *Forwarder) copyStream(w http.ResponseWriter, answer *backend.Answer) int {
	defer answer.Close()
	CopyHeader(w.Header(), answer.Header)
	w.WriteHeader(answer.Status)
	control := http.NewResponseController(w)
	buf := make([]byte, copyBuffer)
	for {
		n, err := answer.Body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				panic(http.ErrAbortHandler)
			}
			_ = control.Flush() // a failed write shows at the next piece
		}
		if err == io.EOF {
			answer.Finished()
			return answer.Status
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}
