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

// lane holds what is to be appended to one partition of the texts. The log may be away
// in parts: what the others take does not wait for this one. The outbox's mutex guards
// it.
type lane struct {
	part  int
	texts map[claimed]*jobTexts
	// releases are jobs to be given up behind their texts.
	releases []string
	// busy: it is being appended.
	busy bool
	// away: the partition took nothing the last time. Only whoever appends reads it.
	away bool
}

// claimed is a job under a claim. A process that lost a job and has it again goes on from
// what the log had: what it made before, and has not appended yet, is of other runs.
// Put under the new claim, events of two runs would stand in one text.
type claimed struct {
	job   string
	claim uint64
}

// jobTexts is what is to be appended of one job's texts.
type jobTexts struct {
	progress []jobs.Progress
	results  []jobs.Result // with their texts
}

// lane returns the lane of a partition; o.mu is held.
func (o *outbox) lane(part int) *lane {
	l := o.lanes[part]
	if l == nil {
		l = &lane{part: part, texts: map[claimed]*jobTexts{}}
		o.lanes[part] = l
	}
	return l
}

// of returns the pending texts of a job; o.mu is held.
func (l *lane) of(c claimed) *jobTexts {
	t := l.texts[c]
	if t == nil {
		t = &jobTexts{}
		l.texts[c] = t
	}
	return t
}

func (l *lane) empty() bool { return len(l.texts) == 0 && len(l.releases) == 0 }

// kick begins to append what a lane holds, unless that is being done; o.mu is held.
func (o *outbox) kick(l *lane) {
	if l.busy || l.empty() || o.flushing == nil {
		return
	}
	l.busy = true
	o.flushing(l)
}

func (o *outbox) kickAll() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, l := range o.lanes {
		o.kick(l)
	}
}

// runLane appends until the lane is empty or ctx ends.
func (o *outbox) runLane(ctx context.Context, l *lane) {
	delay := retryFirst
	for o.more(l) {
		wait := flushGap // results of one moment share an append
		if o.flushLane(ctx, l) {
			delay = retryFirst
		} else {
			wait, delay = sleep.Jitter(delay), min(retryMost, 2*delay)
		}
		if !sleep.For(ctx, wait) {
			return
		}
	}
}

// more tells whether the lane holds anything; it is no longer busy where not.
func (o *outbox) more(l *lane) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	l.busy = !l.empty()
	return l.busy
}

// flushLane appends once what a lane holds, and has the jobs' stream tell of it. Where
// the partition does not take it, results go to another one, for each names where its
// text stands; the text so far has to stand behind its job's items and waits. A
// partition that is silent takes a second to be found so: the next results do not wait
// for that.
func (o *outbox) flushLane(ctx context.Context, l *lane) bool {
	o.mu.Lock()
	texts, releases := l.texts, l.releases
	l.texts, l.releases = map[claimed]*jobTexts{}, nil
	o.mu.Unlock()
	progress, results := o.split(texts)
	if l.away {
		results = o.appendGroups(ctx, o.otherPart(l.part), results)
	}
	failed := o.appendGroups(ctx, l.part, append(progress, results...))
	if l.away = len(failed) > 0; !l.away {
		o.listed(nil, releases)
		return true
	}
	progress, results = divide(failed)
	failed = append(progress, o.appendGroups(ctx, o.otherPart(l.part), results)...)
	o.putBack(l, failed, releases)
	return false
}

// otherPart is any partition but one, where there is another.
func (o *outbox) otherPart(part int) int {
	if o.parts == 1 {
		return part
	}
	return (part + 1 + rand.IntN(o.parts-1)) % o.parts
}

// split makes records of texts: those of texts so far, and those of whole texts.
func (o *outbox) split(texts map[claimed]*jobTexts) (progress, results []textGroup) {
	var groups []textGroup
	for c, t := range texts {
		for _, g := range splitTexts(o.writer, c, t) {
			data, err := g.record.Encode()
			if err != nil {
				o.zlog.Error("Texts can't be encoded and are lost.", zap.String("job", c.job), zap.Error(err))
				continue
			}
			g.data = data
			groups = append(groups, g)
		}
	}
	return divide(groups)
}

// appendGroups appends records to a partition, as many at a time as the log takes, and
// returns those that it did not take. What it refuses for what it is is lost.
func (o *outbox) appendGroups(ctx context.Context, part int, groups []textGroup) []textGroup {
	for len(groups) > 0 {
		call := nextCall(groups)
		offset, err := o.try(ctx, textStream(part), call)
		if err != nil && !errors.Is(err, platform.ErrLogRefused) {
			return groups
		}
		if err == nil {
			o.stand(part, offset, groups[:len(call)])
		}
		groups = groups[len(call):]
	}
	return nil
}

// stand has the jobs' stream tell of results whose texts stand from an offset on.
func (o *outbox) stand(part int, offset uint64, groups []textGroup) {
	var results []jobs.Result
	for i, g := range groups {
		at := offset + uint64(i)
		for _, res := range g.results {
			res.Ref = &jobs.TextRef{Partition: part, Offset: at, Bytes: len(res.Text)}
			o.kept(textKey{part, at, res.Item}, res.Text)
			results = append(results, res)
		}
	}
	o.listed(results, nil)
}

// listed has the jobs' stream tell of results, and of jobs that are given up.
func (o *outbox) listed(results []jobs.Result, releases []string) {
	if len(results) == 0 && len(releases) == 0 {
		return
	}
	o.add(true, func(r *jobs.Record) {
		r.Results = append(r.Results, results...)
		r.Releases = append(r.Releases, releases...)
	})
}

// putBack puts what was not appended before what has come meanwhile.
func (o *outbox) putBack(l *lane, groups []textGroup, releases []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	newer := l.texts
	l.texts = map[claimed]*jobTexts{}
	for _, g := range groups {
		t := l.of(claimed{g.record.Job, g.record.Claim})
		t.progress = append(t.progress, g.record.Progress...)
		t.results = append(t.results, g.results...)
	}
	for c, n := range newer {
		t := l.of(c)
		t.progress = append(t.progress, n.progress...)
		t.results = append(t.results, n.results...)
	}
	l.releases = append(releases, l.releases...)
}
