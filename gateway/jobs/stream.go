package jobs

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	oteltrace "go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"dandelionsill.org/base/trace"
	"dandelionsill.org/decide/members"
	"dandelionsill.org/fold/jobs"
	"dandelionsill.org/gateway/backend"
	"dandelionsill.org/platform/hosted"
	"dandelionsill.org/quarantine"
)

// ending is why a stream ended.
type ending uint8

const (
	complete    ending = iota
	broken             // the connection ended before the stream did
	refused            // the engine did not take the sample
	unreached          // no connection to the engine could be made
	misdirected        // another server has the address
	failed             // the engine answered that it failed
	never              // the engine answered that it can never be done
	tooOld             // the engine's weights are older than the job allows
	mixed              // the weights are not those that began the text
	outdated           // this process has ended the stream
)

var endingNames = map[ending]string{
	complete: "complete", broken: "broken", refused: "refused", unreached: "unreached", misdirected: "misdirected", failed: "failed", never: "never", tooOld: "too_old", mixed: "mixed", outdated: "outdated",
}

// start opens a stream of an item at an engine; r.mu is held.
func (r *Runner) start(parent context.Context, w *work, server members.Server, now time.Time) {
	ctx, stop := context.WithCancel(parent)
	w.phase, w.server, w.stop = running, server.ID, stop
	w.began, w.lastEvent, w.streamed = now, now, 0
	if w.stream == 0 {
		w.first = now
	}
	w.stream++
	if jobs.Stale(w.events, w.job.MinVersion) {
		samplesRestart.Add(1)
		w.restart()
	}
	if w.sinceText.IsZero() {
		w.sinceText, w.beforeText = now, len(w.events)
	}
	streamsStarted.Add(1)
	s := &stream{r: r, w: w, number: w.stream, server: server.ID, name: server.Name, addr: server.Addr, behind: len(w.events), only: w.only(), subject: r.subject(w)}
	r.note(w, true)
	service := w.service
	r.tasks.Go(func() {
		defer stop()
		end, status, err := s.exchange(ctx)
		if ctx.Err() != nil {
			return // the item was taken back before
		}
		switch {
		case end == broken && r.forward.ServerCrashed(ctx, service, server):
			r.zlog.Warn("A server ended under a sample.", zap.String("id", w.item.ID), zap.String("job", w.job.ID),
				zap.String("request", string(s.subject.Name())), zap.String("server", server.ID))
			s.subject.Ended(server.ID)
		case end == complete:
			s.subject.Survived()
		}
		r.streamEnded(parent, s, end, status, err)
	})
}

// stream is one run of an item at an engine.
type stream struct {
	r       *Runner
	w       *work
	number  uint64
	server  string // its start, as engines are told apart
	name    string // as the server calls itself
	addr    string
	behind  int // events that were known before
	only    uint64
	subject *quarantine.Subject
}

// message is the item as the engine gets it.
func (s *stream) message() *backend.Request {
	item := &s.w.item
	header := make(http.Header, len(item.Header)+3)
	for name, value := range item.Header {
		header.Set(name, value)
	}
	hosted.SetOrganisation(header, s.w.job.Organisation)
	hosted.SetAttemptID(header, item.ID)
	hosted.SetExpectedServer(header, s.name)
	if s.behind > 0 {
		hosted.SetResume(header, s.behind)
	}
	return &backend.Request{Method: http.MethodPost, URI: item.Path, Host: item.Host, Header: header, Body: item.Body, ID: item.ID}
}

func (s *stream) exchange(ctx context.Context) (ending, int, error) {
	ctx, span := trace.Tracer("gateway: jobs").Start(ctx, "jobs.stream",
		oteltrace.WithAttributes(attribute.String("id", s.w.item.ID), attribute.String("server", s.server)))
	defer span.End()
	answer, err := s.r.pool.Do(ctx, s.addr, s.message())
	if errors.Is(err, backend.ErrNotSent) {
		return unreached, 0, err
	}
	if err != nil {
		return broken, 0, err
	}
	if answer.Status >= http.StatusMultipleChoices {
		answer.Discard() // a whole small answer keeps the connection
		return endingOf(answer), answer.Status, nil
	}
	defer answer.Close()
	version := hosted.WeightVersion(answer.Header)
	if version < s.w.job.MinVersion {
		s.r.deny(s, version)
		return tooOld, answer.Status, nil
	}
	if s.only != 0 && version != s.only {
		s.r.deny(s, version)
		return mixed, answer.Status, nil
	}
	end, err := s.events(answer, version)
	return end, answer.Status, err
}

// endingOf is what an answer without a stream means.
func endingOf(answer *backend.Answer) ending {
	switch {
	case answer.Status == http.StatusMisdirectedRequest:
		return misdirected
	case hosted.NotExecuted(answer.Status, answer.Header):
		return refused
	case answer.Status == http.StatusUnprocessableEntity:
		return never
	default:
		return failed
	}
}

// events reads the stream's events. They have to follow on what is known.
func (s *stream) events(answer *backend.Answer, version uint64) (ending, error) {
	reader := hosted.NewEventReader(answer.Body)
	next := s.behind + 1
	for {
		event, err := reader.Next()
		if err == io.EOF {
			answer.MarkComplete()
			return complete, nil
		}
		if err != nil {
			return broken, errors.Trace(err)
		}
		if event.ID != next {
			return broken, errors.Errorf("event %d where %d is due", event.ID, next)
		}
		next++
		if event.Version > 0 {
			version = event.Version
		}
		if version < s.w.job.MinVersion {
			return tooOld, nil
		}
		if s.w.single && s.only == 0 {
			s.only = version
		}
		if s.only != 0 && version != s.only {
			return mixed, nil
		}
		if !s.r.event(s, jobs.Event{Data: event.Data, Version: version}) {
			return outdated, nil
		}
	}
}

// deny notes that an engine's answer told of other weights than those for which
// it was chosen.
func (r *Runner) deny(s *stream, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := jobs.EngineKey{Server: s.server, Model: s.w.model()}
	r.observed[key], r.denied[key] = version, time.Now()
}

// event adds an event to the item; false: the stream is no longer the item's.
func (r *Runner) event(s *stream, e jobs.Event) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := s.w
	if w.stream != s.number || w.phase != running {
		return false
	}
	now := time.Now()
	delete(r.refusals, s.server)
	r.probation.RecordSuccess(s.server)
	if gap := now.Sub(w.lastEvent); w.streamed > 0 {
		r.paces.Observe(w.server, gap, now)
		r.silence.ObserveNext(gap)
	} else {
		r.silence.ObserveFirst(gap)
		r.observed[jobs.EngineKey{Server: s.server, Model: w.model()}] = e.Version
	}
	w.streamed++
	w.lastEvent = now
	w.events = append(w.events, e)
	if len(w.events)-w.noted >= noteEvents {
		r.note(w, false)
	}
	return true
}

// noteEvents is how many events are gathered before they go to the outbox.
const noteEvents = 6

// streamEnded decides what becomes of an item whose stream has ended.
func (r *Runner) streamEnded(ctx context.Context, s *stream, end ending, status int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := s.w
	if w.stream != s.number || w.phase != running {
		return
	}
	now := time.Now()
	if end != complete {
		r.zlog.Info("Stream ended early.", zap.String("id", w.item.ID), zap.String("job", w.job.ID), zap.String("server", s.server),
			zap.String("why", endingNames[end]), zap.Int("status", status), zap.Int("behind", s.behind), zap.Int("events", len(w.events)),
			zap.Duration("took", now.Sub(w.began)), zap.Error(err))
	}
	switch end {
	case complete:
		r.textComplete(ctx, w)
	case refused:
		// A server that goes on refusing is left alone for longer each time.
		r.refusals[s.server] = min(r.refusals[s.server]+1, shunDoublings)
		r.shun(s.server, shunFull<<(r.refusals[s.server]-1), now)
		r.requeue(w, avoidFull, now)
	case unreached:
		r.shun(s.server, r.probation.RecordFailure(s.server), now)
		r.requeue(w, avoidFailed, now)
	case misdirected:
		r.shun(s.server, shunGone, now)
		r.requeue(w, avoidFailed, now)
	case tooOld:
		versionsTooOld.Add(1)
		w.restart()
		r.requeue(w, avoidFull, now)
	case mixed:
		samplesRestart.Add(1)
		w.restart()
		r.requeue(w, avoidFull, now)
	case never:
		r.giveUp(w, "never")
	case failed:
		w.failures++
		if w.failures >= r.attempts(w) {
			r.giveUp(w, "failures")
			break
		}
		r.requeue(w, avoidFailed, now)
	default:
		streamsBroken.Add(1)
		r.requeue(w, avoidFailed, now)
	}
	r.rouse()
}

// shun keeps all samples away from an engine for a while.
func (r *Runner) shun(server string, d time.Duration, now time.Time) {
	if until := now.Add(d); until.After(r.shunned[server]) {
		r.shunned[server] = until
	}
}

// attempts is how often an item may fail at engines.
func (r *Runner) attempts(w *work) int {
	if route := r.routeOf(w.job); route != nil {
		return route.MaxAttempts
	}
	return 1
}

// giveUp ends an item without a text.
func (r *Runner) giveUp(w *work, why string) {
	samplesGivenUp.Add(1)
	r.zlog.Info("Sample given up.", zap.String("id", w.item.ID), zap.String("job", w.job.ID), zap.String("why", why), zap.Int("failures", w.failures))
	r.deliver(w, jobs.Result{Job: w.job.ID, Item: w.item.ID, GivenUp: true})
}

// deliver sends an item's result to the log; r.mu is held.
func (r *Runner) deliver(w *work, result jobs.Result) {
	w.phase = ended
	w.stop = nil
	resultsWritten.Add(1)
	now := time.Now()
	r.zlog.Info("Sample done.", zap.String("id", w.item.ID), zap.String("job", w.job.ID), zap.Bool("given_up", result.GivenUp),
		zap.Int("events", len(w.events)), zap.Uint64s("versions", result.Versions), zap.Uint64("floor", w.job.MinVersion),
		zap.String("server", w.server), zap.Uint64("streams", w.stream), zap.Int("hint", w.size.Expected),
		zap.Duration("waited", w.first.Sub(w.owned)), zap.Duration("streamed", w.texted.Sub(w.first)), zap.Duration("scored", now.Sub(w.texted)))
	r.out.result(w.job, w.claim, result)
}

// textComplete asks for the score of a whole text; r.mu is held.
func (r *Runner) textComplete(ctx context.Context, w *work) {
	samplesFinished.Add(1)
	w.stop, w.whole, w.texted = nil, true, time.Now()
	r.learnLength(w)
	if w.item.Score == nil {
		r.deliver(w, w.result(""))
		return
	}
	w.phase = scoring
	r.note(w, false)
	r.tasks.Go(func() { r.score(ctx, w) })
}
