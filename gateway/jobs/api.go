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
	"dandelionsill.org/decide/residency"
	"dandelionsill.org/decide/table"
	"dandelionsill.org/fold/jobs"
	"dandelionsill.org/gateway/reach"
	"dandelionsill.org/gateway/stopping"
	"dandelionsill.org/kinds"
	"dandelionsill.org/platform"
)

// Time limits and sizes of calls.
const (
	// maxSyncWait is how long a call about an unknown job waits for this process
	// to reach the log's end. After that the answer is kinds.LogUnavailable.
	maxSyncWait = 900 * time.Millisecond
	// maxProofWait bounds the proof that a job was not accepted, which precedes the
	// answer "not run": a read of the log takes some milliseconds if it succeeds.
	maxProofWait = 200 * time.Millisecond
	// callerRetryPause is the pause between two appends while a caller waits. Trainers
	// abandon a step after some seconds: with a longer pause, steps were lost whose
	// deadline passed just after the store was available again.
	callerRetryPause = 50 * time.Millisecond
	// retryAfter is the delay after which a caller is asked to retry: a store that
	// refuses calls does so for seconds, and another entry may reach it.
	retryAfter = 400 * time.Millisecond
	// maxOwnerSilence is how old an owner's last record may be if it is to get another
	// job: three heartbeats. When an outage of the log ends, that record is older than
	// the outage by up to two heartbeats and one waiting read; with a limit of two
	// heartbeats the entry took the step itself, and steps went to several owners.
	maxOwnerSilence = 1200 * time.Millisecond
	// defaultOwnerCapacity is the assumed capacity, in items, of an owner that has not
	// reported one.
	defaultOwnerCapacity = 250
	// fullStepItems is the capacity from which on a process can run a complete step.
	fullStepItems = 250
	// maxCandidateSilence is maxOwnerSilence for an idle process with that capacity.
	maxCandidateSilence = idleHeartbeatInterval + time.Second
	// refsPerRecord is how many items one part of a submission names: each takes about
	// 50 B, and the platform accepts 256 KB a record.
	refsPerRecord = 1000
	// itemOverheadBytes is the size of an item's names and headers in a record.
	itemOverheadBytes = 1000
)

// Service handles the calls about batch jobs.
type Service struct {
	index      *Index
	log        Log
	zlog       *zap.Logger
	writer     jobs.Writer
	partitions int // of the texts' stream
	// capacity is how many items this process can run.
	capacity    int
	submissions atomic.Uint64 // by this process
	// table returns the configuration in force, nil while there is none.
	table      func() *table.Table
	reach      *reach.Monitor
	stop       *stopping.Stop // of this process; nil: it never stops
	neighbours *Neighbours    // nil: unknown
}

// NewService returns the service that answers from index. partitions is the number of
// partitions of the texts' stream, which is the same in all processes; capacity is the
// number of items that this process can run.
func NewService(index *Index, log Log, writer jobs.Writer, partitions, capacity int, zlog *zap.Logger) *Service {
	return &Service{index: index, log: log, writer: writer, partitions: max(1, partitions), capacity: capacity, table: func() *table.Table { return nil }, zlog: zlog}
}

// Submit accepts a job durably: nil means that the log has stored it. It retries until
// ctx ends, and reports "not run" only if the job is not in the log.
func (s *Service) Submit(ctx context.Context, spec jobs.Spec, items []jobs.Item) *kinds.Error {
	if s.hasJob(spec.ID) {
		return s.checkSameJob(&spec)
	}
	ctx, cancel := s.reach.Bound(ctx)
	defer cancel()
	if s.index.HasMissedRecords() {
		// The job may be stored already. If it were accepted a second time, this process
		// would number its results differently from all others.
		return outcomeUnknown("records of batch jobs were missed").WithRetryAfter(retryAfter)
	}
	failed := s.restrict(&spec, items)
	if failed == nil {
		failed = s.appendJob(ctx, spec, items)
	}
	if failed == nil && s.hasJob(spec.ID) {
		return s.checkSameJob(&spec)
	}
	if failed == nil || !failed.NotRun() || s.isProvenAbsent(ctx, spec.ID) {
		return failed
	}
	return outcomeUnknown("another entry may have accepted the batch job")
}

// checkSameJob checks a submission whose job id is stored already. It returns
// kinds.KeyReused if the stored job belongs to another organisation.
func (s *Service) checkSameJob(spec *jobs.Spec) *kinds.Error {
	if s.isVisibleTo(spec.ID, spec.Organisation) {
		return nil
	}
	return kinds.Hold().Refuse(kinds.KeyReused, "the id of batch job %q is taken", spec.ID)
}

// isVisibleTo reports whether the job is stored and belongs to the organisation or to none.
func (s *Service) isVisibleTo(job, organisation string) bool {
	s.index.mu.Lock()
	defer s.index.mu.Unlock()
	j := s.index.state.Jobs[job]
	return j != nil && (j.Organisation == "" || j.Organisation == organisation)
}

// IsPublic reports whether the job is known and belongs to no organisation.
func (s *Service) IsPublic(job string) bool { return s.isVisibleTo(job, "") }

// HasOrganisation reports whether the job is known and belongs to an organisation.
func (s *Service) HasOrganisation(job string) bool {
	s.index.mu.Lock()
	defer s.index.mu.Unlock()
	j := s.index.state.Jobs[job]
	return j != nil && j.Organisation != ""
}

// CheckAccess checks that callers of the organisation may access the job. It waits until
// this process is sure that the job exists, and returns kinds.NotFound if it does not
// exist or belongs to another organisation.
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

// outcomeUnknown returns the error for a submission whose job may have been accepted
// before. It does not report "not run".
func outcomeUnknown(why string) *kinds.Error {
	held := kinds.Hold()
	held.MarkSent()
	return held.Refuse(kinds.LogUnavailable, "%s", why)
}

// isProvenAbsent reports whether the job is certainly not in the log. Another entry may
// have accepted an earlier submission of it since this process last read the log; then
// "not run" would be wrong.
func (s *Service) isProvenAbsent(ctx context.Context, job string) bool {
	if s.reach.IsIsolated() {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), maxProofWait)
	defer cancel()
	return s.index.Sync(ctx) && !s.hasJob(job)
}

func (s *Service) appendJob(ctx context.Context, spec jobs.Spec, items []jobs.Item) *kinds.Error {
	spec.SubmittedMS = time.Now().UnixMilli()
	done := func() bool { return s.hasJob(spec.ID) }
	itemsAt, failed := s.appendItems(ctx, &spec, items, done)
	if failed != nil || done() {
		return failed
	}
	records, err := s.encodeSubmission(spec, items, itemsAt)
	if err != nil {
		return kinds.Hold().Refuse(kinds.BadRequest, "%v", err)
	}
	_, failed = s.appendUntil(ctx, Stream, records, done)
	return failed
}

// appendItems appends a job's items with their bodies and returns where they are stored.
// Items alone start nothing, so a failed or unknown append does no harm. If a partition
// does not accept them, the next one is tried: single partitions of the log can be
// unavailable, and the job record names where its items are.
func (s *Service) appendItems(ctx context.Context, spec *jobs.Spec, items []jobs.Item, done func() bool) (jobs.TextRef, *kinds.Error) {
	job, regions := spec.ID, holdersOf(spec.ID, residency.Only(spec.Regions)).Key()
	records, err := encodeItems(s.writer, job, items)
	if err != nil {
		return jobs.TextRef{}, kinds.Hold().Refuse(kinds.BadRequest, "%v", err)
	}
	for part := partitionOf(job, s.partitions); ; part = (part + 1) % s.partitions {
		offset, err := s.appendBatches(ctx, textPart{regions, part}.stream(), records)
		if err == nil || done() {
			return jobs.TextRef{Regions: regions, Partition: part, Offset: offset}, nil
		}
		if errors.Is(err, platform.ErrLogRefused) {
			s.zlog.Error("The log refused the records of a batch job.", zap.Int("records", len(records)), zap.Error(err))
			return jobs.TextRef{}, kinds.Hold().Refuse(kinds.TooLarge, "the log does not take a batch job of this size")
		}
		s.zlog.Warn("Appending the items of a batch job failed.", zap.String("job", job), zap.Int("part", part), zap.Error(err))
		if !sleep.For(ctx, sleep.Jitter(callerRetryPause)) {
			return jobs.TextRef{}, kinds.Hold().Refuse(kinds.LogUnavailable, "the log takes no records").WithRetryAfter(retryAfter)
		}
	}
}

// appendBatches appends records to a stream in as few appends as the log's limits allow,
// and returns the offset of the first record.
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

// encodeSubmission splits a job into records of a size that the log accepts.
func (s *Service) encodeSubmission(spec jobs.Spec, items []jobs.Item, itemsAt jobs.TextRef) ([][]byte, error) {
	refs := make([]jobs.ItemRef, 0, len(items))
	for _, item := range items {
		refs = append(refs, jobs.ItemRef{ID: item.ID, Group: item.Group})
	}
	parts := slices.Collect(slices.Chunk(refs, refsPerRecord))
	owner := s.chooseOwner(len(items), holders(&itemsAt))
	name := s.writer.VM + "/" + s.writer.Incarnation + "/" + strconv.FormatUint(s.submissions.Add(1), 10)
	records := make([][]byte, 0, len(parts))
	for i, part := range parts {
		r := jobs.Record{Writer: s.writer, Acceptance: &jobs.Acceptance{Spec: spec, Owner: owner, ItemsRef: itemsAt, Submission: name, Part: i, Parts: len(parts), Items: part}}
		data, err := r.Encode()
		if err != nil {
			return nil, errors.Trace(err)
		}
		records = append(records, data)
	}
	return records, nil
}

// appendUntil appends records until the log accepts them, done reports that they are no
// longer needed, or ctx ends. It returns the offset of the first record.
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
			held.MarkSent()
		case errors.Is(err, platform.ErrLogRefused):
			s.zlog.Error("The log refused the records of a batch job.", zap.Int("records", len(records)), zap.Error(err))
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

// End ends a job durably. It returns kinds.NotFound if the job does not exist.
func (s *Service) End(ctx context.Context, job string) *kinds.Error {
	ctx, cancel := s.reach.Bound(ctx)
	defer cancel()
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

// checkExists returns nil if the job exists. It waits until this process is sure, for at
// most maxSyncWait: kinds.NotFound means that the job does not exist, and
// kinds.LogUnavailable that this process can't determine it.
func (s *Service) checkExists(ctx context.Context, job string) *kinds.Error {
	if s.hasJob(job) && s.index.CaughtUp() {
		return nil
	}
	ctx, cancel := s.reach.Bound(ctx)
	defer cancel()
	ctx, cancelSync := context.WithTimeout(ctx, maxSyncWait)
	defer cancelSync()
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

// Results returns a job's number of items and its results from position after on. If there
// are none yet it waits for one, for at most wait, and then for further ones as long as
// gather.Hold returns.
func (s *Service) Results(ctx context.Context, job string, after int, wait time.Duration) (int, []jobs.Result, *kinds.Error) {
	if err := s.checkExists(ctx, job); err != nil {
		return 0, nil, err
	}
	start := time.Now()
	ctx, cancel := s.reach.Bound(ctx)
	defer cancel()
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
		if s.reach.IsIsolated() { // no result comes any more
			if read.Empty {
				return 0, nil, notFollowing()
			}
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
			if s.reach.IsIsolated() {
				continue
			}
			return total, nil, s.checkUpToDate()
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
		s.zlog.Warn("Reading the texts of results failed.", zap.String("job", job), zap.Int("after", after), zap.Error(err))
		return 0, nil, kinds.Hold().Refuse(kinds.LogUnavailable, "the texts can't be read now").WithRetryAfter(retryAfter)
	}
	return total, filled, nil
}

// checkUpToDate returns nil if this process follows the log now. Otherwise "no result yet"
// would be wrong: other entries may have returned results that it has not read.
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
	return j.Total, results, !j.IsOpen(), read
}

// Body returns the body of an item. The job must not have been ended.
func (s *Service) Body(ctx context.Context, job, item string) ([]byte, *kinds.Error) {
	if err := s.checkExists(ctx, job); err != nil {
		return nil, err
	}
	ref, ok := s.itemsRef(job, item)
	if !ok {
		return nil, kinds.Hold().Refuse(kinds.NotFound, "no item %q in batch job %q", item, job)
	}
	body, err := s.readBody(ctx, job, item, ref)
	if err != nil {
		s.zlog.Warn("Reading the body of an item failed.", zap.String("job", job), zap.String("id", item), zap.Error(err))
		return nil, kinds.Hold().Refuse(kinds.LogUnavailable, "the bodies can't be read now").WithRetryAfter(retryAfter)
	}
	return body, nil
}

// readBody reads the body of an item, through a process in the regions of the item's stream if
// this process must not read the stream.
func (s *Service) readBody(ctx context.Context, job, item string, ref jobs.TextRef) ([]byte, error) {
	if !s.index.places.allows(holders(&ref)) {
		return s.index.Texts.fetchItemBody(ctx, job, item, ref)
	}
	found, err := readItem(ctx, s.index.log, job, item, ref)
	return found.Body, err
}

// itemsRef returns where the job's items are stored; false: the job does not exist, was
// ended, or does not have the item.
func (s *Service) itemsRef(job, item string) (jobs.TextRef, bool) {
	s.index.mu.Lock()
	defer s.index.mu.Unlock()
	j := s.index.state.Jobs[job]
	if j == nil || j.Ended || j.Items[item] == nil {
		return jobs.TextRef{}, false
	}
	return j.ItemsRef, true
}
