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

// copyBufferBytes is the size of one piece of a stream, in bytes.
const copyBufferBytes = 16 << 10

// Silence of a stream that can be resumed. Callers give a stream up after a gap
// of two seconds or four times its objective; half of that leaves another server
// as much time.
const (
	maxEventGap = time.Second
	// firstEventObjectives of the objective is waited for the first event, if that is more.
	firstEventObjectives = 2
)

// Stream forwards a request whose answer is a series of events, each as it
// arrives. Before the answer's first byte another server is asked where the one
// before refused. Where the route lets a stream be resumed, one that breaks off
// or falls silent goes on at another server behind the last event that the caller
// has; any other must not look complete.
func (f *Forwarder) Stream(ctx context.Context, call Call, w http.ResponseWriter) (int, *kinds.Error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &streamState{
		callState: f.newCallState(call), w: w, lastEvent: hosted.Resumed(call.Header),
	}
	defer func() { s.reportResult(nil) }()
	defer s.usage.Done()
	for {
		if s.isQuarantined() {
			return s.fail(s.noServerError())
		}
		c, ok := s.pick()
		if !ok || s.refusals > maxRefusals {
			return s.fail(s.refuse(kinds.Overloaded, "no server took the stream"))
		}
		s.tried[c.server.ID] = true
		s.asked = append(s.asked, c.server.ID)
		end, err := s.streamFrom(ctx, c)
		f.log.Info("Stream of a server ended.", zap.String("id", call.ID), zap.String("service", s.service), zap.String("server", c.server.ID),
			zap.String("picked", c.reason), zap.String("end", string(end)), zap.Int("last_event", s.lastEvent), zap.Error(err))
		if end == streamBroken && ctx.Err() == nil && f.ServerCrashed(ctx, s.service, c.server) {
			s.recordCrash(&c)
		}
		switch {
		case end == streamDone:
			if s.status < http.StatusInternalServerError {
				s.subject.Survived()
			}
			return s.status, nil
		case end == streamRefused:
			s.refusals++
			continue
		case ctx.Err() != nil:
			return s.fail(s.contextError(ctx))
		}
		s.mayHaveRun++
		if !call.Route.Repeatable() || s.mayHaveRun >= call.Route.MaxAttempts || s.status >= http.StatusMultipleChoices {
			return s.fail(kinds.New(kinds.OutcomeUnknown, "the stream broke off: %v", err))
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

// streamState is one stream on its way to its caller. All fields belong to the
// goroutine of Stream.
type streamState struct {
	*callState
	w         http.ResponseWriter
	status    int    // of the first server's answer; 0: nothing was written yet
	lastEvent int    // id of the last event that the caller has
	version   uint64 // weights that made it, as the caller was told
}

// fail tells the error to a caller that has nothing yet; any other sees its
// connection break.
func (s *streamState) fail(err *kinds.Error) (int, *kinds.Error) {
	if s.status != 0 {
		panic(http.ErrAbortHandler)
	}
	return 0, err
}

// streamFrom forwards the stream of one server, behind the events that the caller has.
func (s *streamState) streamFrom(callerCtx context.Context, c choice) (end streamEnd, err error) {
	ctx, cancel := context.WithCancel(callerCtx)
	defer cancel()
	gapTimer := time.AfterFunc(max(maxEventGap, firstEventObjectives*s.call.Route.Objective), cancel)
	defer gapTimer.Stop()
	if !s.call.Route.Resumable {
		gapTimer.Stop()
	}
	start := time.Now()
	s.forwarder.serverStats.attemptStarted(c.server.ID)
	answer, err := s.forwarder.open(ctx, s.remainingCall(), c.server)
	// A server is judged by how soon it begins: how long a stream is is not its doing.
	headTime := time.Since(start)
	defer func() {
		s.forwarder.serverStats.attemptEnded(s.service, c.server.ID, headTime, end == streamBroken && callerCtx.Err() == nil)
	}()
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
	return s.forwardAnswer(answer, gapTimer)
}

// remainingCall is the call for what the caller does not have yet.
func (s *streamState) remainingCall() Call {
	call := s.call
	if s.status != 0 && s.lastEvent > 0 {
		call.Header = call.Header.Clone()
		hosted.SetResume(call.Header, s.lastEvent)
	}
	return call
}

// forwardAnswer passes an answer on. The head of a resumed stream stays that of its
// first server.
func (s *streamState) forwardAnswer(answer *backend.Answer, gapTimer *time.Timer) (streamEnd, error) {
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
		return s.copyBody(answer)
	}
	return s.forwardEvents(answer, gapTimer)
}

// forwardEvents passes whole forwardEvents on, each once and in their order.
func (s *streamState) forwardEvents(answer *backend.Answer, gapTimer *time.Timer) (streamEnd, error) {
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
		if event.ID != s.lastEvent+1 {
			return streamBroken, errors.Errorf("event %d where %d is due", event.ID, s.lastEvent+1)
		}
		gapTimer.Reset(maxEventGap)
		raw := event.Raw
		if event.Version > 0 {
			version = event.Version
		} else if version != s.version {
			// The server that goes on has other weights than the one before.
			raw = hosted.VersionLine(version) + raw
		}
		s.write([]byte(raw))
		s.lastEvent, s.version = event.ID, version
	}
}

// copyBody passes an answer on as it is.
func (s *streamState) copyBody(answer *backend.Answer) (streamEnd, error) {
	buf := make([]byte, copyBufferBytes)
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
func (s *streamState) write(p []byte) {
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
