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

// partitionAppender holds what is to be appended to one partition of the texts. Single
// partitions of the log can be unavailable; appends to the others do not wait for this one.
// The outbox's mutex guards it.
type partitionAppender struct {
	part  textPart
	texts map[jobClaim]*pendingTexts
	// releases are jobs to be released after their texts are appended.
	releases []string
	// appending is true while a goroutine appends what this partitionAppender holds.
	appending bool
	// unavailable is true if the last append failed. Only the appending goroutine uses it.
	unavailable bool
}

// jobClaim is a job under one claim. A process that lost a job and owns it again resumes from
// what is in the log. Text that it generated under the earlier claim and has not appended yet comes
// from other runs: under the new claim, events of two runs would be mixed in one text.
type jobClaim struct {
	job   string
	claim uint64
}

// pendingTexts is the part of one job's texts that is to be appended.
type pendingTexts struct {
	progress []jobs.Progress
	results  []jobs.Result // with their texts
}

// partitionAppender returns the appender of a partition, and creates it if needed; o.mu is held.
func (o *outbox) partitionAppender(part textPart) *partitionAppender {
	a := o.appenders[part]
	if a == nil {
		a = &partitionAppender{part: part, texts: map[jobClaim]*pendingTexts{}}
		o.appenders[part] = a
	}
	return a
}

// textsOf returns the pending texts of a job, and creates them if needed; o.mu is held.
func (a *partitionAppender) textsOf(c jobClaim) *pendingTexts {
	t := a.texts[c]
	if t == nil {
		t = &pendingTexts{}
		a.texts[c] = t
	}
	return t
}

func (a *partitionAppender) isEmpty() bool { return len(a.texts) == 0 && len(a.releases) == 0 }

// startIfIdle starts to append what a holds, unless that is running already; o.mu is held.
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

// runAppender appends until a is empty or ctx ends.
func (o *outbox) runAppender(ctx context.Context, a *partitionAppender) {
	delay := minRetryDelay
	for o.hasMore(a) {
		wait := flushPause // results of the same moment share an append
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

// hasMore reports whether a holds anything; if not, it ends the run.
func (o *outbox) hasMore(a *partitionAppender) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	a.appending = !a.isEmpty()
	return a.appending
}

// flushAppender appends once what a holds, and adds the results to the jobs' stream. It
// reports whether the partition accepted everything. Results that the partition does not
// accept go to another one, because each result names where its text is. Partial texts have to
// follow their job's items in the same partition, so they wait. A failed append to an
// unresponsive partition takes a second: until the partition accepts records again, results
// are sent to another one first.
func (o *outbox) flushAppender(ctx context.Context, a *partitionAppender) bool {
	o.mu.Lock()
	texts, releases := a.texts, a.releases
	a.texts, a.releases = map[jobClaim]*pendingTexts{}, nil
	size := sizeOfTexts(texts)
	o.appendingBytes.Add(size)
	o.mu.Unlock()
	defer o.appendingBytes.Add(-size)
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

// otherPartition returns a random partition of the same stream other than part, or part if there
// is only one.
func (o *outbox) otherPartition(part textPart) textPart {
	if o.partitions > 1 {
		part.part = (part.part + 1 + rand.IntN(o.partitions-1)) % o.partitions
	}
	return part
}

// encodeTexts encodes texts as records: those with partial texts, and those with results.
func (o *outbox) encodeTexts(texts map[jobClaim]*pendingTexts) (progress, results []textGroup) {
	var groups []textGroup
	for c, t := range texts {
		for _, g := range groupTexts(o.writer, c, t) {
			data, err := g.record.Encode()
			if err != nil {
				o.zlog.Error("Encoding texts failed; they are lost.", zap.String("job", c.job), zap.Error(err))
				continue
			}
			g.data = data
			groups = append(groups, g)
		}
	}
	return separateResults(groups)
}

// appendGroups appends records to a partition, in batches of a size that the log accepts, and
// returns those that were not appended. Records that the log refuses as invalid are lost.
func (o *outbox) appendGroups(ctx context.Context, part textPart, groups []textGroup) []textGroup {
	for len(groups) > 0 {
		call := nextBatch(groups)
		offset, err := o.appendOnce(ctx, part.stream(), call)
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

// listAppended adds results to the jobs' stream whose texts are stored from an offset on.
func (o *outbox) listAppended(part textPart, offset uint64, groups []textGroup) {
	var results []jobs.Result
	for i, g := range groups {
		at := offset + uint64(i)
		for _, res := range g.results {
			res.Ref = &jobs.TextRef{Regions: part.regions, Partition: part.part, Offset: at, Bytes: len(res.Text)}
			o.onTextAppended(textKey{part, at, res.Item}, res.Text)
			results = append(results, res)
		}
	}
	o.addListing(results, nil)
}

// addListing adds results and releases of jobs to the next record of the jobs' stream.
func (o *outbox) addListing(results []jobs.Result, releases []string) {
	if len(results) == 0 && len(releases) == 0 {
		return
	}
	o.add(true, func(r *jobs.Record) {
		r.Results = append(r.Results, results...)
		r.Releases = append(r.Releases, releases...)
	})
}

// putBack puts what was not appended in front of what was added meanwhile.
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
