package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"dandelionsill.org/decide/members"
	"dandelionsill.org/gateway/backend"
	"dandelionsill.org/kinds"
	"dandelionsill.org/platform/hosted"
)

// copyBuffer is the size of one piece of a stream, in bytes.
const copyBuffer = 16 << 10

// Silence of a stream that can be resumed. Callers give a stream up after a gap
// of two seconds or four times its objective; half of that leaves another server
// as much time.
const (
	streamGap = time.Second
	// firstGapShare of the objective is waited for the first event, if that is more.
	firstGapShare = 2
)

// Stream forwards a request whose answer is a series of events, each as it
// arrives. Before the answer's first byte another server is asked where the one
// before refused. Where the route lets a stream be resumed, one that breaks off
// or falls silent goes on at another server behind the last event that the caller
// has; any other must not look complete.
func (f *Forwarder) Stream(ctx context.Context, call Call, w http.ResponseWriter) (int, *kinds.Error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &streaming{
		sending: f.sending(call), w: w, last: hosted.Resumed(call.Header),
	}
	defer func() { s.judge(nil) }()
	defer s.usage.Done()
	for {
		if s.quarantined() {
			return s.giveUp(s.noServer())
		}
		c, ok := s.pick()
		if !ok || s.refusals > refusalsMost {
			return s.giveUp(s.refuse(kinds.Overloaded, "no server took the stream"))
		}
		s.tried[c.server.ID] = true
		s.asked = append(s.asked, c.server.ID)
		end, err := s.from(ctx, c)
		f.log.Info("Stream of a server ended.", zap.String("id", call.ID), zap.String("service", s.service), zap.String("server", c.server.ID),
			zap.String("picked", c.why), zap.String("end", string(end)), zap.Int("last_event", s.last), zap.Error(err))
		if end == streamBroken && ctx.Err() == nil && f.EndedUnder(ctx, s.service, c.server) {
			s.serverEnded(&c)
		}
		switch {
		case end == streamDone:
			if s.status < http.StatusInternalServerError {
				s.subject.RecordCompletion()
			}
			return s.status, nil
		case end == streamRefused:
			s.refusals++
			continue
		case ctx.Err() != nil:
			return s.giveUp(s.outOfTime(ctx))
		}
		s.mayRun++
		if !call.Route.Repeatable() || s.mayRun >= call.Route.MaxAttempts || s.status >= http.StatusMultipleChoices {
			return s.giveUp(kinds.New(kinds.OutcomeUnknown, "the stream broke off: %v", err))
		}
		clear(s.tried)
		s.tried[c.server.ID] = true
	}
}

// streamEnd is how the stream of one server ended.
type streamEnd string

const (
	streamDone    streamEnd = "done"
	streamRefused streamEnd = "refused" // it did not run
	streamBroken  streamEnd = "broken"
)

// streaming is one stream on its way to its caller. All fields belong to the
// goroutine of Stream.
type streaming struct {
	*sending
	w       http.ResponseWriter
	status  int    // of the first server's answer; 0: nothing was written yet
	last    int    // id of the last event that the caller has
	version uint64 // weights that made it, as the caller was told
}

// giveUp tells the error to a caller that has nothing yet; any other sees its
// connection break.
func (s *streaming) giveUp(err *kinds.Error) (int, *kinds.Error) {
	if s.status != 0 {
		panic(http.ErrAbortHandler)
	}
	return 0, err
}

// from forwards the stream of one server, behind the events that the caller has.
func (s *streaming) from(caller context.Context, c choice) (end streamEnd, err error) {
	ctx, cancel := context.WithCancel(caller)
	defer cancel()
	watch := time.AfterFunc(max(streamGap, firstGapShare*s.call.Route.LatencyObjective), cancel)
	defer watch.Stop()
	if !s.call.Route.Resumable {
		watch.Stop()
	}
	begun := time.Now()
	s.f.fleet.begun(c.server.ID)
	answer, err := s.f.open(ctx, s.rest(), c.server)
	// A server is judged by how soon it begins: how long a stream is is not its doing.
	headed := time.Since(begun)
	defer func() { s.f.fleet.ended(s.service, c.server.ID, headed, end == streamBroken && caller.Err() == nil) }()
	switch {
	case errors.Is(err, backend.ErrNotSent):
		return streamRefused, err
	case err != nil:
		return streamBroken, err
	case hosted.NotExecuted(answer.Status, answer.Header):
		answer.Discard()
		return streamRefused, nil
	}
	defer answer.Close()
	s.usage.Began(0) // the head comes with the first event
	return s.forward(answer, watch)
}

// rest is the call for what the caller does not have yet.
func (s *streaming) rest() Call {
	call := s.call
	if s.status != 0 && s.last > 0 {
		call.Header = call.Header.Clone()
		hosted.SetResume(call.Header, s.last)
	}
	return call
}

// forward passes an answer on. The head of a resumed stream stays that of its
// first server.
func (s *streaming) forward(answer *backend.Answer, watch *time.Timer) (streamEnd, error) {
	ok := answer.Status < http.StatusMultipleChoices
	switch {
	case s.status == 0:
		CopyHeader(s.w.Header(), answer.Header)
		s.w.WriteHeader(answer.Status)
		s.status, s.version = answer.Status, hosted.WeightVersion(answer.Header)
	case !ok:
		return streamBroken, errors.Errorf("status %d in place of the rest", answer.Status)
	}
	if !ok || !s.call.Route.Resumable {
		return s.copy(answer)
	}
	return s.events(answer, watch)
}

// events passes whole events on, each once and in their order.
func (s *streaming) events(answer *backend.Answer, watch *time.Timer) (streamEnd, error) {
	reader := hosted.NewRawEventReader(answer.Body)
	version := hosted.WeightVersion(answer.Header)
	for {
		event, err := reader.Next()
		if err == io.EOF {
			answer.Finished()
			return streamDone, nil
		}
		if err != nil {
			return streamBroken, errors.Trace(err)
		}
		if event.ID != s.last+1 {
			return streamBroken, errors.Errorf("event %d where %d is due", event.ID, s.last+1)
		}
		watch.Reset(streamGap)
		raw := event.Raw
		if event.Version > 0 {
			version = event.Version
		} else if version != s.version {
			// The server that goes on has other weights than the one before.
			raw = hosted.VersionLine(version) + raw
		}
		s.write([]byte(raw))
		s.last, s.version = event.ID, version
	}
}

// copy passes an answer on as it is.
func (s *streaming) copy(answer *backend.Answer) (streamEnd, error) {
	buf := make([]byte, copyBuffer)
	for {
		n, err := answer.Body.Read(buf)
		if n > 0 {
			s.write(buf[:n])
		}
		if err == io.EOF {
			answer.Finished()
			return streamDone, nil
		}
		if err != nil {
			return streamBroken, errors.Trace(err)
		}
	}
}

// write sends bytes to the caller at once; a caller that has gone ends the call.
func (s *streaming) write(p []byte) {
	if _, err := s.w.Write(p); err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = http.NewResponseController(s.w).Flush() // a failed write shows at the next piece
}

// open sends the request to a server and reads the head of its answer.
func (f *Forwarder) open(ctx context.Context, call Call, server members.Server) (*backend.Answer, error) {
	header := call.Header.Clone()
	hosted.SetAttemptID(header, call.ID)
	hosted.SetExpectedServer(header, server.Name)
	hosted.SetDeadline(header, time.Until(call.Deadline))
	hosted.SetOrganisation(header, call.Organisation)
	return f.Pool.Do(ctx, server.Addr, &backend.Request{
		Method: call.Method, URI: call.URI, Host: call.Host, Header: header, Body: call.Body, ID: call.ID,
	})
}
