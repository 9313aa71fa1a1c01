package jobs

import (
	"context"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"dandelionsill.org/base/sleep"
	"dandelionsill.org/decide/gather"
	"dandelionsill.org/fold/jobs"
	"dandelionsill.org/kinds"
	"dandelionsill.org/platform"
)

// Times of calls.
const (
	// maxSyncWait is how long a call about an unknown job waits for this process
	// to be sure; a process that can't be sure says so.
	maxSyncWait = 900 * time.Millisecond
	// maxProofWait is how long a refusal waits for the proof that nothing of the job
	// runs: a read of the log takes some milliseconds where it answers at all.
	maxProofWait = 200 * time.Millisecond
	// callerRetryPause lies between two appends for a caller that waits. Trainers give
	// a step up after some seconds: a longer pause loses steps whose time ends just
	// after a store that was away is back.
	callerRetryPause = 50 * time.Millisecond
	// retryAfter is when a caller is told to try again: a store that refuses
	// calls does so for seconds, and another entry may reach it.
	retryAfter = 400 * time.Millisecond
	// maxOwnerSilence is how lately an owner must have shown that it lives to be
	// given another job: three of its signs of life. As an outage of the log ends, its
	// last one is up to two of them and a read that waits older than the outage; with
	// two, the entry took the step itself, and steps went to several owners.
	maxOwnerSilence = 1200 * time.Millisecond
	// defaultOwnerCapacity is how many items an owner takes on that has not told its
	// capacity.
	defaultOwnerCapacity = 250
	// fullStepItems is the capacity from which on a process can run a whole step.
	fullStepItems = 250
	// maxCandidateSilence is how lately such a process must have shown that it lives.
	maxCandidateSilence = idleHeartbeatInterval + time.Second
	// refsPerRecord is how many items the part of a submission names: some 50 B
	// each, and the platform takes 256 KB a record.
	refsPerRecord = 1000
	// itemOverheadBytes is what an item's names and headers take, in bytes.
	itemOverheadBytes = 1000
)

// Service answers the calls about batch jobs.
type Service struct {
	index      *Index
	log        Log
	zlog       *zap.Logger
	writer     jobs.Writer
	partitions int // partitions of the texts' stream
	// capacity is how many items this process can run.
	capacity    int
	submissions atomic.Uint64 // submissions of this process
}

// NewService returns the calls' side of a book; parts is the number of
// partitions of the texts' stream, the same in all processes, capacity the
// number of items that this process can run.
func NewService(index *Index, log Log, writer jobs.Writer, partitions, capacity int, zlog *zap.Logger) *Service {
	return &Service{index: index, log: log, writer: writer, partitions: max(1, partitions), capacity: capacity, zlog: zlog}
}

// Submit accepts a job durably: nil means that the log has it. It tries until
// ctx ends, and says "not run" only if the job does not stand in the log.
func (s *Service) Submit(ctx context.Context, head jobs.Head, items []jobs.Item) *kinds.Error {
	if s.hasJob(head.ID) {
		return s.checkSameJob(&head)
	}
	if s.index.HasMissedRecords() {
		// It may stand already: accepted a second time here, this process would
		// number its results otherwise than all others do.
		return outcomeUnknown("records of batch jobs were missed").WithRetryAfter(retryAfter)
	}
	failed := s.appendJob(ctx, head, items)
	if failed == nil && s.hasJob(head.ID) {
		return s.checkSameJob(&head)
	}
	if failed == nil || !failed.NotRun() || s.isProvenAbsent(ctx, head.ID) {
		return failed
	}
	return outcomeUnknown("another entry may have accepted the batch job")
}

// checkSameJob tells whether a job that stands is the one that is handed in; one of another
// organisation only has its id.
func (s *Service) checkSameJob(head *jobs.Head) *kinds.Error {
	if s.isVisibleTo(head.ID, head.Organisation) {
		return nil
	}
	return kinds.Hold().Refuse(kinds.KeyReused, "the id of batch job %q is taken", head.ID)
}

// isVisibleTo tells whether a job stands that belongs to an organisation, or to nobody.
func (s *Service) isVisibleTo(job, organisation string) bool {
	s.index.mu.Lock()
	defer s.index.mu.Unlock()
	j := s.index.state.Jobs[job]
	return j != nil && (j.Organisation == "" || j.Organisation == organisation)
}

// IsPublic tells whether a job is known that belongs to nobody.
func (s *Service) IsPublic(job string) bool { return s.isVisibleTo(job, "") }

// CheckAccess tells whether callers of an organisation may know of a job; it waits until this
// process is sure. kinds.NotFound: for them there is none.
func (s *Service) CheckAccess(ctx context.Context, job, organisation string) *kinds.Error {
	if err := s.checkExists(ctx, job); err != nil {
		return err
	}
	if s.isVisibleTo(job, organisation) {
		return nil
	}
	return jobNotFound(job)
}

func jobNotFound(job string) *kinds.Error {
	return kinds.Hold().Refuse(kinds.NotFound, "no batch job %q", job)
}

// outcomeUnknown is the answer to a submission of a job that may have been accepted
// before: it does not say "not run".
func outcomeUnknown(why string) *kinds.Error {
	held := kinds.Hold()
	held.Send()
	return held.Refuse(kinds.LogUnavailable, "%s", why)
}

// isProvenAbsent proves that a job does not stand. An earlier submission of it may have
// been accepted elsewhere since this process last read the log; "not run" would
// then be untrue of a job that runs.
func (s *Service) isProvenAbsent(ctx context.Context, job string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), maxProofWait)
	defer cancel()
	return s.index.Sync(ctx) && !s.hasJob(job)
}

func (s *Service) appendJob(ctx context.Context, head jobs.Head, items []jobs.Item) *kinds.Error {
	head.SubmittedMS = time.Now().UnixMilli()
	done := func() bool { return s.hasJob(head.ID) }
	itemsAt, failed := s.appendItems(ctx, head.ID, items, done)
	if failed != nil || done() {
		return failed
	}
	records, err := s.encodeSubmission(head, items, itemsAt)
	if err != nil {
		return kinds.Hold().Refuse(kinds.BadRequest, "%v", err)
	}
	_, failed = s.appendUntil(ctx, Stream, records, done)
	return failed
}

// appendItems appends a job's items with their bodies. By themselves they run
// nothing, whatever becomes of the append. A partition that does not take them is left
// for the next one: the log may be away in parts, and the job names where its items
// stand.
func (s *Service) appendItems(ctx context.Context, job string, items []jobs.Item, done func() bool) (jobs.TextRef, *kinds.Error) {
	records, err := encodeItems(s.writer, job, items)
	if err != nil {
		return jobs.TextRef{}, kinds.Hold().Refuse(kinds.BadRequest, "%v", err)
	}
	for part := partitionOf(job, s.partitions); ; part = (part + 1) % s.partitions {
		offset, err := s.appendBatches(ctx, textStream(part), records)
		if err == nil || done() {
			return jobs.TextRef{Part: part, Offset: offset}, nil
		}
		if errors.Is(err, platform.ErrLogRefused) {
			s.zlog.Error("The log refuses records.", zap.Int("records", len(records)), zap.Error(err))
			return jobs.TextRef{}, kinds.Hold().Refuse(kinds.TooLarge, "the log does not take a batch job of this size")
		}
		s.zlog.Warn("Items were not appended.", zap.String("job", job), zap.Int("part", part), zap.Error(err))
		if !sleep.For(ctx, sleep.Jitter(callerRetryPause)) {
			return jobs.TextRef{}, kinds.Hold().Refuse(kinds.LogUnavailable, "the log takes no records").WithRetryAfter(retryAfter)
		}
	}
}

// appendBatches appends records to a stream, as many at a time as the log takes, and
// returns the offset of the first.
func (s *Service) appendBatches(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	first := uint64(0)
	for i, batch := range batchRecords(records) {
		offset, err := s.log.AppendAll(ctx, stream, batch)
		if err != nil {
			appendFailures.Add(1)
			return 0, errors.Trace(err)
		}
		if i == 0 {
			first = offset
		}
	}
	return first, nil
}

func (s *Service) hasJob(job string) bool {
	s.index.mu.Lock()
	defer s.index.mu.Unlock()
	return s.index.state.Jobs[job] != nil
}

// encodeSubmission splits a job into records that the log takes.
func (s *Service) encodeSubmission(head jobs.Head, items []jobs.Item, itemsAt jobs.TextRef) ([][]byte, error) {
	refs := make([]jobs.ItemRef, 0, len(items))
	for _, item := range items {
		refs = append(refs, jobs.ItemRef{ID: item.ID, Group: item.Group})
	}
	parts := slices.Collect(slices.Chunk(refs, refsPerRecord))
	owner := s.chooseOwner(len(items))
	name := s.writer.Node + "/" + s.writer.Life + "/" + strconv.FormatUint(s.submissions.Add(1), 10)
	records := make([][]byte, 0, len(parts))
	for i, part := range parts {
		r := jobs.Record{Writer: s.writer, Accept: &jobs.Accept{Head: head, Owner: owner, At: itemsAt, Submission: name, Part: i, Parts: len(parts), Items: part}}
		data, err := r.Encode()
		if err != nil {
			return nil, errors.Trace(err)
		}
		records = append(records, data)
	}
	return records, nil
}

// chooseOwner chooses who runs a job of some items: an chooseOwner of earlier jobs that
// shows that it lives and has room. It has connections to the engines, knows
// their pace and what else runs there; with a new chooseOwner for each step, seven of
// ten connections were opened for that alone. Else it is this process, or one
// that can run the job where this one is too small. nil: this process.
func (s *Service) chooseOwner(items int) *jobs.Writer {
	s.index.mu.Lock()
	defer s.index.mu.Unlock()
	var candidate *jobs.Writer
	for _, o := range s.index.state.Owners() {
		silence := s.index.silenceOf(o.Owner, time.Now())
		switch {
		case o.Items+items > capacityOrDefault(o.Capacity):
		case o.Items > 0 && silence <= maxOwnerSilence, silence <= maxOwnerSilence && o.Capacity >= fullStepItems:
			return &o.Owner
		case candidate == nil && silence <= maxCandidateSilence && o.Capacity >= fullStepItems:
			candidate = &o.Owner
		}
	}
	if s.capacity >= items {
		return nil
	}
	return candidate
}

func capacityOrDefault(reported int) int {
	if reported == 0 {
		return defaultOwnerCapacity
	}
	return reported
}

// Capacity is how many items a VM can have in its hands: a stream makes 27 events of
// 350 B a second, which go on to the log, and takes about 0.1% of a core. Past the
// engines' places items only wait, for 3 KB of memory each, and an owner that has
// all steps of a service chooses among all of them, where two owners take places
// from each other, so that fewer groups are whole in time. A share of processor and
// link is left for callers.
func Capacity(cpuShare, linkMbps float64) int {
	const (
		itemsPerCore = 2000
		itemsPerMbps = 2
		maxItems     = 1600
	)
	return int(min(maxItems, itemsPerCore*cpuShare, itemsPerMbps*linkMbps))
}

// appendUntil appends until the log takes the records, done says that they are
// not needed any more, or ctx ends.
func (s *Service) appendUntil(ctx context.Context, stream string, records [][]byte, done func() bool) (uint64, *kinds.Error) {
	held := kinds.Hold()
	for {
		offset, err := s.log.AppendAll(ctx, stream, records)
		if err == nil || done() {
			return offset, nil
		}
		appendFailures.Add(1)
		switch {
		case errors.Is(err, platform.ErrAppendUnknown):
			held.Send()
		case errors.Is(err, platform.ErrLogRefused):
			s.zlog.Error("The log refuses records.", zap.Int("records", len(records)), zap.Error(err))
			return 0, held.Refuse(kinds.TooLarge, "the log does not take a batch job of this size")
		}
		s.zlog.Warn("Append failed.", zap.Bool("may_stand", held.Sent()), zap.Error(err))
		if !sleep.For(ctx, sleep.Jitter(callerRetryPause)) {
			return 0, held.Refuse(kinds.LogUnavailable, "the log takes no records").WithRetryAfter(retryAfter)
		}
		if done() {
			return 0, nil
		}
	}
}

// End ends a job durably. kinds.NotFound: there is no such job.
func (s *Service) End(ctx context.Context, job string) *kinds.Error {
	if err := s.checkExists(ctx, job); err != nil {
		return err
	}
	ended := func() bool {
		s.index.mu.Lock()
		defer s.index.mu.Unlock()
		j := s.index.state.Jobs[job]
		return j == nil || j.Ended
	}
	if ended() {
		return nil
	}
	r := jobs.Record{Writer: s.writer, Ends: []string{job}}
	data, err := r.Encode()
	if err != nil {
		return kinds.New(kinds.Internal, "%v", err)
	}
	_, failed := s.appendUntil(ctx, Stream, [][]byte{data}, ended)
	return failed
}

// checkExists tells whether a job exists; it waits until this process is sure.
func (s *Service) checkExists(ctx context.Context, job string) *kinds.Error {
	if s.hasJob(job) && s.index.CaughtUp() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, maxSyncWait)
	defer cancel()
	if !s.index.Sync(ctx) {
		return notFollowing()
	}
	if s.hasJob(job) {
		return nil
	}
	if s.index.HasMissedRecords() {
		return notFollowing()
	}
	return jobNotFound(job)
}

// Results returns a job's number of items and its results from a position on.
// Where there is none yet it waits for one, at most wait, and as long as
// gather.Hold says for more.
func (s *Service) Results(ctx context.Context, job string, after int, wait time.Duration) (int, []jobs.Result, *kinds.Error) {
	if err := s.checkExists(ctx, job); err != nil {
		return 0, nil, err
	}
	start := time.Now()
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		changed := s.index.Changed.Next()
		total, results, closed, read := s.results(job, after)
		read.Waited, read.MaxWait, read.Empty = time.Since(start), wait, len(results) == 0
		hold := gather.Hold(read)
		if closed && read.Empty {
			hold = 0
		}
		if hold <= 0 {
			return s.answerWithTexts(ctx, job, after, total, results)
		}
		timeout.Reset(hold)
		select {
		case <-changed:
		case <-timeout.C:
		case <-ctx.Done():
			return total, nil, nil
		}
	}
}

// answerWithTexts returns results with their texts.
func (s *Service) answerWithTexts(ctx context.Context, job string, after, total int, results []jobs.Result) (int, []jobs.Result, *kinds.Error) {
	if len(results) == 0 {
		return total, nil, s.checkUpToDate()
	}
	filled, err := s.index.Texts.fill(ctx, results)
	if err != nil {
		s.zlog.Warn("A text can't be read.", zap.String("job", job), zap.Int("after", after), zap.Error(err))
		return 0, nil, kinds.Hold().Refuse(kinds.LogUnavailable, "the texts can't be read now").WithRetryAfter(retryAfter)
	}
	return total, filled, nil
}

// checkUpToDate is the answer in place of "no result yet" from a process that does not
// follow the log now: others may have given results that it has not read.
func (s *Service) checkUpToDate() *kinds.Error {
	if s.index.UpToDate() {
		return nil
	}
	return notFollowing()
}

func notFollowing() *kinds.Error {
	return kinds.Hold().Refuse(kinds.LogUnavailable, "this entry does not follow the log now").WithRetryAfter(retryAfter)
}

func (s *Service) results(job string, after int) (total int, results []jobs.Result, closed bool, read gather.Read) {
	s.index.mu.Lock()
	defer s.index.mu.Unlock()
	j := s.index.state.Jobs[job]
	if j == nil {
		return 0, nil, true, read
	}
	if after < len(j.Results) {
		results = j.Results[after:len(j.Results):len(j.Results)]
	}
	read.Enough = j.Ended || j.Enough()
	read.Due = time.Until(time.UnixMilli(j.SubmittedMS + j.DueMS))
	read.Expected = s.index.expectedWait(j, time.Now())
	return j.Total, results, !j.Open(), read
}

// Body returns the body of an item of a job that was not ended.
func (s *Service) Body(ctx context.Context, job, item string) ([]byte, *kinds.Error) {
	if err := s.checkExists(ctx, job); err != nil {
		return nil, err
	}
	ref, ok := s.itemsRef(job, item)
	if !ok {
		return nil, kinds.Hold().Refuse(kinds.NotFound, "no item %q in batch job %q", item, job)
	}
	found, err := readItem(ctx, s.index.log, job, item, ref)
	if err != nil {
		s.zlog.Warn("A body can't be read.", zap.String("job", job), zap.String("id", item), zap.Error(err))
		return nil, kinds.Hold().Refuse(kinds.LogUnavailable, "the bodies can't be read now").WithRetryAfter(retryAfter)
	}
	return found.Body, nil
}

// itemsRef tells where the items of a job stand that was not ended and has one.
func (s *Service) itemsRef(job, item string) (jobs.TextRef, bool) {
	s.index.mu.Lock()
	defer s.index.mu.Unlock()
	j := s.index.state.Jobs[job]
	if j == nil || j.Ended || j.Items[item] == nil {
		return jobs.TextRef{}, false
	}
	return j.At, true
}
