package jobs

import (
	"context"
	"math/rand/v2"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"dandelionsill.org/base/sleep"
	"dandelionsill.org/fold/jobs"
	"dandelionsill.org/platform"
)

// partitionAppender holds what is to be appended to one partition of the texts. The log may be away
// in parts: what the others take does not wait for this one. The outbox's mutex guards
// it.
type partitionAppender struct {
	part  int
	texts map[jobClaim]*pendingTexts
	// releases are jobs to be given up behind their texts.
	releases []string
	// appending: it is being appended.
	appending bool
	// unavailable: the partition took nothing the last time. Only whoever appends reads it.
	unavailable bool
}

// jobClaim is a job under a claim. A process that lost a job and has it again goes on from
// what the log had: what it made before, and has not appended yet, is of other runs.
// Put under the new claim, events of two runs would stand in one text.
type jobClaim struct {
	job   string
	claim uint64
}

// pendingTexts is what is to be appended of one job's texts.
type pendingTexts struct {
	progress []jobs.Progress
	results  []jobs.Result // with their texts
}

// partitionAppender returns the partitionAppender of a partition; o.mu is held.
func (o *outbox) partitionAppender(part int) *partitionAppender {
	a := o.appenders[part]
	if a == nil {
		a = &partitionAppender{part: part, texts: map[jobClaim]*pendingTexts{}}
		o.appenders[part] = a
	}
	return a
}

// textsOf returns the pending texts textsOf a job; o.mu is held.
func (a *partitionAppender) textsOf(c jobClaim) *pendingTexts {
	t := a.texts[c]
	if t == nil {
		t = &pendingTexts{}
		a.texts[c] = t
	}
	return t
}

func (a *partitionAppender) isEmpty() bool { return len(a.texts) == 0 && len(a.releases) == 0 }

// startIfIdle begins to append what a lane holds, unless that is being done; o.mu is held.
func (o *outbox) startIfIdle(a *partitionAppender) {
	if a.appending || a.isEmpty() || o.startRun == nil {
		return
	}
	a.appending = true
	o.startRun(a)
}

func (o *outbox) startAllIdle() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, a := range o.appenders {
		o.startIfIdle(a)
	}
}

// runAppender appends until the lane is empty or ctx ends.
func (o *outbox) runAppender(ctx context.Context, a *partitionAppender) {
	delay := minRetryDelay
	for o.hasMore(a) {
		wait := flushPause // results of one moment share an append
		if o.flushAppender(ctx, a) {
			delay = minRetryDelay
		} else {
			wait, delay = sleep.Jitter(delay), min(maxRetryDelay, 2*delay)
		}
		if !sleep.For(ctx, wait) {
			return
		}
	}
}

// hasMore tells whether the lane holds anything; it is no longer busy where not.
func (o *outbox) hasMore(a *partitionAppender) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	a.appending = !a.isEmpty()
	return a.appending
}

// flushAppender appends once what a lane holds, and has the jobs' stream tell of it. Where
// the partition does not take it, results go to another one, for each names where its
// text stands; the text so far has to stand behind its job's items and waits. A
// partition that is silent takes a second to be found so: the next results do not wait
// for that.
func (o *outbox) flushAppender(ctx context.Context, a *partitionAppender) bool {
	o.mu.Lock()
	texts, releases := a.texts, a.releases
	a.texts, a.releases = map[jobClaim]*pendingTexts{}, nil
	o.mu.Unlock()
	progress, results := o.encodeTexts(texts)
	if a.unavailable {
		results = o.appendGroups(ctx, o.otherPartition(a.part), results)
	}
	failed := o.appendGroups(ctx, a.part, append(progress, results...))
	if a.unavailable = len(failed) > 0; !a.unavailable {
		o.addListing(nil, releases)
		return true
	}
	progress, results = separateResults(failed)
	failed = append(progress, o.appendGroups(ctx, o.otherPartition(a.part), results)...)
	o.putBack(a, failed, releases)
	return false
}

// otherPartition is any partition but one, where there is another.
func (o *outbox) otherPartition(part int) int {
	if o.partitions == 1 {
		return part
	}
	return (part + 1 + rand.IntN(o.partitions-1)) % o.partitions
}

// encodeTexts makes records of texts: those of texts so far, and those of whole texts.
func (o *outbox) encodeTexts(texts map[jobClaim]*pendingTexts) (progress, results []textGroup) {
	var groups []textGroup
	for c, t := range texts {
		for _, g := range groupTexts(o.writer, c, t) {
			data, err := g.record.Encode()
			if err != nil {
				o.zlog.Error("Texts can't be encoded and are lost.", zap.String("job", c.job), zap.Error(err))
				continue
			}
			g.data = data
			groups = append(groups, g)
		}
	}
	return separateResults(groups)
}

// appendGroups appends records to a partition, as many at a time as the log takes, and
// returns those that it did not take. What it refuses for what it is is lost.
func (o *outbox) appendGroups(ctx context.Context, part int, groups []textGroup) []textGroup {
	for len(groups) > 0 {
		call := nextBatch(groups)
		offset, err := o.appendOnce(ctx, textStream(part), call)
		if err != nil && !errors.Is(err, platform.ErrLogRefused) {
			return groups
		}
		if err == nil {
			o.listAppended(part, offset, groups[:len(call)])
		}
		groups = groups[len(call):]
	}
	return nil
}

// listAppended has the jobs' stream tell of results whose texts listAppended from an offset on.
func (o *outbox) listAppended(part int, offset uint64, groups []textGroup) {
	var results []jobs.Result
	for i, g := range groups {
		at := offset + uint64(i)
		for _, res := range g.results {
			res.Ref = &jobs.TextRef{Part: part, Offset: at, Bytes: len(res.Text)}
			o.onTextAppended(textKey{part, at, res.Item}, res.Text)
			results = append(results, res)
		}
	}
	o.addListing(results, nil)
}

// addListing has the jobs' stream tell of results, and of jobs that are given up.
func (o *outbox) addListing(results []jobs.Result, releases []string) {
	if len(results) == 0 && len(releases) == 0 {
		return
	}
	o.add(true, func(r *jobs.Record) {
		r.Results = append(r.Results, results...)
		r.Releases = append(r.Releases, releases...)
	})
}

// putBack puts what was not appended before what has come meanwhile.
func (o *outbox) putBack(a *partitionAppender, groups []textGroup, releases []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	newer := a.texts
	a.texts = map[jobClaim]*pendingTexts{}
	for _, g := range groups {
		t := a.textsOf(jobClaim{g.record.Job, g.record.Claim})
		t.progress = append(t.progress, g.record.Progress...)
		t.results = append(t.results, g.results...)
	}
	for c, n := range newer {
		t := a.textsOf(c)
		t.progress = append(t.progress, n.progress...)
		t.results = append(t.results, n.results...)
	}
	a.releases = append(releases, a.releases...)
}
