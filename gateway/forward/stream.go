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

// copyBufferBytes is the size of the buffer that streams are copied with.
const copyBufferBytes = 16 << 10

// Timeouts of streams that can be resumed. Callers abandon a stream after a gap of two
// seconds or four times its objective. Half of that leaves another server as much time.
const (
	// maxEventGap bounds the time between two events.
	maxEventGap = time.Second
	// firstEventObjectives times the objective bounds the wait for the first event, if
	// that is longer than maxEventGap.
	firstEventObjectives = 2
)

// Stream forwards a request whose answer is a series of events, and passes each event
// on as it arrives. If a server refuses the request, the next one is asked. If the
// route allows streams to be resumed, a stream that breaks off or stalls is resumed at
// another server after the last event that the caller has. Any other broken stream must
// not look complete to the caller, so its connection is aborted.
//
// Stream returns the status that was written, or the error to report if nothing was.
func (f *Forwarder) Stream(ctx context.Context, call Call, w http.ResponseWriter) (int, *kinds.Error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &streamState{
		callState: f.newCallState(call), writer: w, lastEvent: hosted.LastEventID(call.Header),
	}
	defer func() { s.reportResult(nil) }()
	defer s.usage.Done()
	for {
		if s.isQuarantined() {
			return s.fail(s.noServerError())
		}
		if err := s.errorAtStop(); err != nil {
			return s.fail(err)
		}
		if s.refusals <= maxRefusals && s.lacksRegion() {
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
				s.subject.RecordCompletion()
				f.durations.observe(call.Route.Name, time.Since(s.start))
			}
			return s.status, nil
		case end == streamRefused:
			s.refusals++
			continue
		case ctx.Err() != nil:
			return s.fail(s.contextError(ctx))
		}
		s.mayHaveRun++
		if err := s.errorAtStop(); err != nil {
			return s.fail(err)
		}
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
	streamRefused streamEnd = "refused" // the server did not run the request
	streamBroken  streamEnd = "broken"
)

// streamState is the state of one stream that is being forwarded. All fields belong to
// the goroutine of Stream.
type streamState struct {
	*callState
	writer    http.ResponseWriter
	status    int    // of the first server's answer; 0: nothing has been written yet
	lastEvent int    // id of the last event written to the caller
	version   uint64 // weight version of that event, as reported to the caller
}

// errorAtStop returns the error of a stream as that of a call. What the caller has begun to read goes on.
func (s *streamState) errorAtStop() *kinds.Error {
	if s.status != 0 {
		return nil
	}
	return s.callState.errorAtStop()
}

// fail returns err if nothing has been written to the caller; otherwise it aborts the
// caller's connection.
func (s *streamState) fail(err *kinds.Error) (int, *kinds.Error) {
	if s.status != 0 {
		panic(http.ErrAbortHandler)
	}
	return 0, err
}

// streamFrom forwards the stream of one server, from the event after the last one that
// the caller has.
func (s *streamState) streamFrom(callerCtx context.Context, c choice) (end streamEnd, err error) {
	ctx, cancel := context.WithCancel(callerCtx)
	defer cancel()
	gapTimer := time.AfterFunc(max(maxEventGap, firstEventObjectives*s.call.Route.LatencyObjective), cancel)
	defer gapTimer.Stop()
	if !s.call.Route.Resumable {
		gapTimer.Stop()
	}
	// Until it has got anything, the caller can be told that this process stops.
	unbind := func() bool { return true }
	if s.status == 0 {
		unbind = s.forwarder.Stop.AfterEnd(cancel)
	}
	defer unbind()
	if err := s.forwarder.Bodies.acquire(ctx, s.call.Deadline, c.server.ID, len(s.call.Body)); err != nil {
		return streamRefused, err
	}
	defer s.forwarder.Bodies.release(c.server.ID, len(s.call.Body))
	if err := s.forwarder.checkStillAllowed(&s.call, s.service, c.server.ID); err != nil {
		return streamRefused, err
	}
	start := time.Now()
	s.forwarder.serverStats.attemptStarted(c.server.ID)
	answer, err := s.forwarder.open(ctx, s.remainingCall(), c.server)
	// Only the time to the head counts for ejection: a stream's length depends on the request.
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
	unbind()
	s.usage.RecordExecution(0) // the head arrives together with the first event
	return s.forwardAnswer(answer, gapTimer)
}

// remainingCall returns the call for the events that the caller does not have yet.
func (s *streamState) remainingCall() Call {
	call := s.call
	if s.status != 0 && s.lastEvent > 0 {
		call.Header = call.Header.Clone()
		hosted.SetLastEventID(call.Header, s.lastEvent)
	}
	return call
}

// forwardAnswer passes a server's answer on. The caller gets the head of the first
// answer only; answers that resume the stream add their events.
func (s *streamState) forwardAnswer(answer *backend.Answer, gapTimer *time.Timer) (streamEnd, error) {
	ok := answer.Status < http.StatusMultipleChoices
	switch {
	case s.status == 0:
		CopyHeader(s.writer.Header(), answer.Header)
		s.writer.WriteHeader(answer.Status)
		s.status, s.version = answer.Status, hosted.WeightVersion(answer.Header)
	case !ok:
		return streamBroken, errors.Errorf("status %d in place of the rest", answer.Status)
	}
	if !ok {
		answer.Bound(maxBodyBytes)
	}
	if !ok || !s.call.Route.Resumable {
		return s.copyBody(answer)
	}
	return s.forwardEvents(answer, gapTimer)
}

// forwardEvents passes complete events on, each once and in order.
func (s *streamState) forwardEvents(answer *backend.Answer, gapTimer *time.Timer) (streamEnd, error) {
	reader := hosted.NewRawEventReader(answer.Body)
	version := hosted.WeightVersion(answer.Header)
	for {
		event, err := reader.Next()
		if err == io.EOF {
			answer.MarkComplete()
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
			// The server that resumes the stream has other weights than the one before.
			raw = hosted.VersionLine(version) + raw
		}
		if s.call.Paced { // otherwise the timer keeps a caller that does not read from holding its server
			gapTimer.Stop()
		}
		s.write([]byte(raw))
		if s.call.Paced {
			gapTimer.Reset(maxEventGap)
		}
		s.lastEvent, s.version = event.ID, version
	}
}

// copyBody passes the body of an answer on unchanged.
func (s *streamState) copyBody(answer *backend.Answer) (streamEnd, error) {
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := answer.Body.Read(buf)
		if n > 0 {
			s.write(buf[:n])
		}
		if err == io.EOF {
			answer.MarkComplete()
			return streamDone, nil
		}
		if err != nil {
			return streamBroken, errors.Trace(err)
		}
	}
}

// write sends bytes to the caller immediately. It aborts the call if the caller has
// disconnected.
func (s *streamState) write(p []byte) {
	if _, err := s.writer.Write(p); err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = http.NewResponseController(s.writer).Flush() // the next Write reports a failure
}

// open sends the request to a server and reads the head of the answer.
func (f *Forwarder) open(ctx context.Context, call Call, server members.Server) (*backend.Answer, error) {
	header := call.Header.Clone()
	hosted.SetAttemptID(header, call.ID)
	hosted.SetExpectedServer(header, server.Name)
	hosted.SetDeadline(header, time.Until(call.Deadline))
	hosted.SetOrganisation(header, call.Organisation)
	return f.Pool.Do(ctx, server.Addr, &backend.Request{
		Method: call.Method, URI: call.URI, Host: call.Host, Header: header, Body: call.Body, ID: call.ID,
		BeforeSend: f.cold.beforeSend(&call, server),
	})
}
