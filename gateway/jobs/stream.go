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
	"dandelionsill.org/gateway/link"
	"dandelionsill.org/platform/hosted"
)

// endReason is why a stream ended.
type endReason uint8

const (
	complete     endReason = iota
	broken                 // the connection ended before the stream did
	refused                // the engine did not accept the sample
	unreachable            // no connection to the engine could be opened
	misdirected            // the address belongs to another server now
	failed                 // the engine returned an error
	impossible             // the engine reported that it can never run the item
	tooOld                 // the engine's weights are older than the job allows
	wrongVersion           // the weights are not those that started the text
	superseded             // this process has ended the stream
	withheld               // the engine may be cold and has got its requests of this second, or must get none
)

var endReasonNames = map[endReason]string{
	complete: "complete", broken: "broken", refused: "refused", unreachable: "unreached", misdirected: "misdirected", failed: "failed", impossible: "never", tooOld: "too_old", wrongVersion: "mixed", superseded: "outdated", withheld: "withheld",
}

// startStream opens a stream of an item at an engine; r.mu is held.
func (r *Runner) startStream(parent context.Context, a *activeItem, server members.Server, now time.Time) {
	ctx, stop := context.WithCancel(parent)
	a.phase, a.server, a.domain, a.stop = running, server.ID, server.FailureDomain, stop
	a.streamStartedAt, a.lastEventAt, a.streamEvents = now, now, 0
	if a.streamNumber == 0 {
		a.firstStreamAt = now
	}
	a.streamNumber++
	if jobs.HasStaleEvent(a.events, a.job.MinVersion) {
		samplesRestarted.Add(1)
		a.restart()
	}
	if a.textSince.IsZero() {
		a.textSince, a.eventsBefore = now, len(a.events)
	}
	streamsStarted.Add(1)
	s := &stream{
		runner: r, active: a, number: a.streamNumber, server: server.ID, serverName: server.Name, addr: server.Addr, resumedAfter: len(a.events),
		requiredVersion: a.requiredVersion(), isFar: r.neighbours.isFar(server.FailureDomain), beforeSend: r.cold.beforeSend(a, server, now),
		service: a.service, region: server.Region, versions: a.versions,
	}
	r.report(a, true)
	r.tasks.Go(func() {
		defer stop()
		end, status, err := s.run(ctx)
		if ctx.Err() != nil {
			return // the item was requeued or stopped before
		}
		r.handleStreamEnd(parent, s, end, status, err)
	})
}

// stream is one run of an item at an engine.
type stream struct {
	runner          *Runner
	active          *activeItem
	number          uint64
	server          string // id of the server's incarnation
	serverName      string // name that the server uses for itself
	addr            string
	resumedAfter    int // number of events from earlier streams
	requiredVersion uint64
	isFar           bool        // the engine is in another region
	beforeSend      func() bool // nil: the engine needs no care
	service, region string      // of the engine
	versions        jobs.VersionRule
}

// mayStillSend is called right before the item is written to the engine. Since that was picked, its
// failure domain may have been evacuated, or the item's allowed regions have changed: a connection had
// to be opened, or the process was stopped.
func (s *stream) mayStillSend() bool {
	snap := s.runner.view.Current()
	if listed, known := snap.Server(s.service, s.server); known && listed.Evacuated {
		return false
	}
	job, item := s.active.job, &s.active.item
	if !regionsNow(snap.Table, job.Regions, item.Host, item.Path, job.Organisation).Allows(s.region) {
		return false
	}
	return s.beforeSend == nil || s.beforeSend()
}

// request returns the request for the engine.
func (s *stream) request() *backend.Request {
	item := &s.active.item
	header := make(http.Header, len(item.Header)+3)
	for name, value := range item.Header {
		header.Set(name, value)
	}
	hosted.SetOrganisation(header, s.active.job.Organisation)
	hosted.SetAttemptID(header, item.ID)
	hosted.SetExpectedServer(header, s.serverName)
	if s.resumedAfter > 0 {
		hosted.SetLastEventID(header, s.resumedAfter)
	}
	return &backend.Request{Method: http.MethodPost, URI: item.Path, Host: item.Host, Header: header, Body: item.Body, ID: item.ID, BeforeSend: s.mayStillSend}
}

func (s *stream) run(ctx context.Context) (endReason, int, error) {
	ctx, span := trace.Tracer("gateway: jobs").Start(ctx, "jobs.stream",
		oteltrace.WithAttributes(attribute.String("id", s.active.item.ID), attribute.String("server", s.server)))
	defer span.End()
	s.recordBytes(len(s.active.item.Body))
	answer, err := s.runner.pool.Do(ctx, s.addr, s.request())
	if errors.Is(err, backend.ErrWithheld) {
		return withheld, 0, err
	}
	if errors.Is(err, backend.ErrNotSent) {
		return unreachable, 0, err
	}
	if err != nil {
		return broken, 0, err
	}
	if answer.Status >= http.StatusMultipleChoices {
		answer.Discard() // reading a small answer to its end keeps the connection
		return endReasonOf(answer), answer.Status, nil
	}
	defer answer.Close()
	version := hosted.WeightVersion(answer.Header)
	if version < s.active.job.MinVersion {
		s.runner.recordVersion(s, version)
		return tooOld, answer.Status, nil
	}
	if s.requiredVersion != 0 && version != s.requiredVersion {
		s.runner.recordVersion(s, version)
		return wrongVersion, answer.Status, nil
	}
	end, err := s.readEvents(answer, version)
	return end, answer.Status, err
}

// endReasonOf returns the reason for an answer without a stream.
func endReasonOf(answer *backend.Answer) endReason {
	switch {
	case answer.Status == http.StatusMisdirectedRequest:
		return misdirected
	case hosted.NotExecuted(answer.Status, answer.Header):
		return refused
	case answer.Status == http.StatusUnprocessableEntity:
		return impossible
	default:
		return failed
	}
}

// readEvents reads the stream's events, which have to continue the known ones.
func (s *stream) readEvents(answer *backend.Answer, version uint64) (endReason, error) {
	reader := hosted.NewEventReader(answer.Body)
	next := s.resumedAfter + 1
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
			return broken, errors.Errorf("event %d instead of event %d", event.ID, next)
		}
		next++
		s.recordBytes(len(event.Data))
		if event.Version > 0 {
			version = event.Version
		}
		if version < s.active.job.MinVersion {
			return tooOld, nil
		}
		if s.versions != jobs.AnyVersions && s.requiredVersion == 0 {
			s.requiredVersion = version
		}
		if s.requiredVersion != 0 && version != s.requiredVersion {
			return wrongVersion, nil
		}
		if !s.runner.addEvent(s, jobs.Event{Data: event.Data, Version: version}) {
			return superseded, nil
		}
	}
}

// recordBytes counts bytes that go to the engine or come from it.
func (s *stream) recordBytes(n int) {
	if s.isFar {
		link.Record(link.Samples, n)
	}
}

// recordVersion records that an engine's answer had other weights than expected when it was
// chosen.
func (r *Runner) recordVersion(s *stream, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := jobs.EngineKey{Server: s.server, Model: s.active.model()}
	r.observedVersions[key], r.deniedAt[key] = version, time.Now()
}

// addEvent adds an event to the item. It returns false if the stream is not the item's current
// one.
func (r *Runner) addEvent(s *stream, e jobs.Event) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := s.active
	if a.streamNumber != s.number || a.phase != running {
		return false
	}
	now := time.Now()
	delete(r.refusals, s.server)
	r.probation.RecordSuccess(s.server)
	r.domains.RecordEvent(a.domain)
	if gap := now.Sub(a.lastEventAt); a.streamEvents > 0 {
		r.paces.Observe(a.server, gap, now)
		r.streamTimeouts.ObserveNext(gap)
	} else {
		r.streamTimeouts.ObserveFirst(gap)
		r.observedVersions[jobs.EngineKey{Server: s.server, Model: a.model()}] = e.Version
	}
	a.streamEvents++
	a.lastEventAt = now
	a.events = append(a.events, e)
	if len(a.events)-a.reportedEvents >= eventsPerReport {
		r.report(a, false)
	}
	return true
}

// eventsPerReport is how many events are collected before they go to the outbox.
const eventsPerReport = 6

// handleStreamEnd decides how to continue with an item whose stream has ended.
func (r *Runner) handleStreamEnd(ctx context.Context, s *stream, end endReason, status int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := s.active
	if a.streamNumber != s.number || a.phase != running {
		return
	}
	now := time.Now()
	if end != complete {
		r.zlog.Info("Stream ended early.", zap.String("id", a.item.ID), zap.String("job", a.job.ID), zap.String("server", s.server),
			zap.String("why", endReasonNames[end]), zap.Int("status", status), zap.Int("behind", s.resumedAfter), zap.Int("events", len(a.events)),
			zap.Duration("took", now.Sub(a.streamStartedAt)), zap.Error(err))
	}
	switch end {
	case complete:
		r.completeText(ctx, a)
	case refused:
		// The cooldown doubles with each successive refusal.
		r.refusals[s.server] = min(r.refusals[s.server]+1, maxCooldownDoublings)
		r.exclude(s.server, fullCooldown<<(r.refusals[s.server]-1), now)
		r.requeue(a, avoidFull, now)
	case unreachable:
		r.domains.RecordFailure(a.domain, a.server, now)
		r.exclude(s.server, r.probation.RecordFailure(s.server), now)
		r.requeue(a, avoidFailed, now)
	case withheld:
		a.brokenStreams-- // the text is no worse for it
		r.requeue(a, avoidFull, now)
	case misdirected:
		r.exclude(s.server, replacedCooldown, now)
		r.requeue(a, avoidFailed, now)
	case tooOld:
		versionsTooOld.Add(1)
		a.restart()
		r.requeue(a, avoidFull, now)
	case wrongVersion:
		if r.versionRule(a.job) == jobs.OneVersion {
			samplesRestarted.Add(1)
			a.restart()
		}
		r.requeue(a, avoidFull, now)
	case impossible:
		r.abandon(a, "never")
	case failed:
		a.failures++
		r.giveUpFailed(a)
		if a.phase == running {
			r.requeue(a, avoidFailed, now)
		}
	default:
		streamsBroken.Add(1)
		r.requeue(a, avoidFailed, now)
	}
	r.requestPlan()
}

// exclude gives no sample to an engine for a while.
func (r *Runner) exclude(server string, d time.Duration, now time.Time) {
	if until := now.Add(d); until.After(r.excludedUntil[server]) {
		r.excludedUntil[server] = until
	}
}

// abandon ends an item without a text.
func (r *Runner) abandon(a *activeItem, why string) {
	samplesAbandoned.Add(1)
	r.zlog.Info("Sample given up.", zap.String("id", a.item.ID), zap.String("job", a.job.ID), zap.String("why", why), zap.Int("failures", a.failures))
	r.deliver(a, jobs.Result{Job: a.job.ID, Item: a.item.ID, GivenUp: true})
}

// deliver appends an item's result to the log; r.mu is held.
func (r *Runner) deliver(a *activeItem, result jobs.Result) {
	a.phase = ended
	a.stop = nil
	resultsWritten.Add(1)
	now := time.Now()
	r.zlog.Info("Sample done.", zap.String("id", a.item.ID), zap.String("job", a.job.ID), zap.Bool("given_up", result.GivenUp),
		zap.Int("events", len(a.events)), zap.Uint64s("versions", result.Versions), zap.Uint64("floor", a.job.MinVersion),
		zap.String("server", a.server), zap.Uint64("streams", a.streamNumber), zap.Int("hint", a.size.ExpectedOutput),
		zap.Duration("waited", a.firstStreamAt.Sub(a.takenAt)), zap.Duration("streamed", a.textCompleteAt.Sub(a.firstStreamAt)), zap.Duration("scored", now.Sub(a.textCompleteAt)))
	r.out.addResult(a.job, a.claim, result)
}

// completeText requests the score of a complete text, or delivers it if the item needs none;
// r.mu is held.
func (r *Runner) completeText(ctx context.Context, a *activeItem) {
	samplesFinished.Add(1)
	a.stop, a.complete, a.textCompleteAt = nil, true, time.Now()
	r.observeLength(a)
	if a.item.Score == nil {
		r.deliver(a, a.result(""))
		return
	}
	a.phase = scoring
	r.report(a, false)
	r.tasks.Go(func() { r.fetchScore(ctx, a) })
}
