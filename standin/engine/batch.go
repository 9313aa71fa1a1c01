package engine

import (
	"time"

	"dandelionsill.org/platform"
	"dandelionsill.org/standin/truth"
)

const (
	bytesPerToken     = 4
	prefillNotStarted = -1
	// maxClockLag is the furthest that the step clock may lag the wall clock. A
	// process that was suspended skips the steps that it missed.
	maxClockLag = 100 * time.Millisecond
)

// job is the body of POST /v1/completions.
type job struct {
	ID           string `json:"id"`
	Model        string `json:"model"`
	Prompt       string `json:"prompt"`
	MaxTokens    int    `json:"max_tokens"` // limit on the whole output including resumed tokens; 0: no limit
	Seed         uint64 `json:"seed"`
	Priority     int    `json:"priority"`
	Stream       bool   `json:"stream"` // ignored: the answer is always a stream
	ResumeText   string `json:"resume_text"`
	ResumeTokens int    `json:"resume_tokens"`
	KV           []byte `json:"kv"`
}

// chunk is a sequence of tokens that one version generated.
type chunk struct {
	text            []byte
	tokens          int
	version         uint64 // version that generated the tokens
	reportedVersion uint64 // version that the engine reports; 0: none
	finishReason    string
	startedAt       time.Time
}

// stream is one generation. The engine's lock guards every field except notify.
type stream struct {
	job            job
	arrival        uint64
	writer         truth.Writer
	targetTokens   int // length of the whole output in tokens, including resumed ones
	nextToken      int // index of the next token
	prefillLeft    int // tokens; prefillNotStarted until the stream's first step
	prefilled      bool
	done           bool
	dropConnection bool // the handler must drop the connection
	current        chunk
	unsent         []chunk // chunks that the handler has not yet written
	notify         chan struct{}
	run            *Run
}

// notifyHandler wakes the handler that writes the stream.
func (s *stream) notifyHandler() {
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

// flushChunk hands the current chunk to the handler unless it is empty.
func (s *stream) flushChunk() {
	if s.current.tokens == 0 && s.current.finishReason == "" {
		return
	}
	s.unsent = append(s.unsent, s.current)
	s.current = chunk{}
	s.notifyHandler()
}

func (e *Engine) newStream(j job) *stream {
	return &stream{
		job:          j,
		writer:       truth.NewWriter(j.Prompt, j.Seed),
		targetTokens: truth.OutputTokens(j.Prompt, j.Seed, e.cfg.MeanTokens, e.cfg.Sigma, j.MaxTokens),
		nextToken:    j.ResumeTokens,
		prefillLeft:  prefillNotStarted,
		notify:       make(chan struct{}, 1),
		run:          newRun(j),
	}
}

// runSteps is the engine's only worker. It plans a step, waits for the step's
// duration and emits the step's tokens, until Close.
func (e *Engine) runSteps() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var clock time.Time
	for {
		d, busy := e.planStep()
		if !busy {
			select {
			case <-e.wake:
				continue
			case <-e.ctx.Done():
				return
			}
		}
		now := time.Now()
		if now.Sub(clock) > maxClockLag {
			clock = now
		}
		clock = clock.Add(d)
		timer.Reset(clock.Sub(now))
		select {
		case <-timer.C:
		case <-e.ctx.Done():
			return
		}
		e.emitTokens()
	}
}

// isPaused reports whether the engine generates no tokens: it loads weights,
// has none, or is frozen by a fault.
func (e *Engine) isPaused(now time.Time) bool {
	return e.state == stateLoading || e.version == 0 || now.Before(e.frozenUntil)
}

// planStep fills the batch, runs its prefill and returns the step's wall time.
// It returns false if there is nothing to do.
func (e *Engine) planStep() (time.Duration, bool) {
	slow := e.Faults.Get().SlowFactor
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isPaused(time.Now()) {
		return 0, false
	}
	e.fillBatch()
	if len(e.running) == 0 {
		return 0, false
	}
	d := e.cfg.StepBase + time.Duration(len(e.running))*e.cfg.StepPerStream
	d += time.Duration(e.runPrefill()) * e.cfg.PrefillToken
	d = e.scaled(d)
	if slow > 0 {
		d = time.Duration(float64(d) * slow)
	}
	e.truth.totals.Steps++
	return d, true
}

// fillBatch moves waiting streams into free slots of the batch.
func (e *Engine) fillBatch() {
	n := min(e.cfg.Slots-len(e.running), len(e.waiting))
	if n <= 0 {
		return
	}
	now := time.Now().UnixMilli()
	for _, s := range e.waiting[:n] {
		s.run.AdmittedMS = now
	}
	e.running = append(e.running, e.waiting[:n]...)
	e.waiting = append(e.waiting[:0], e.waiting[n:]...)
}

// runPrefill prefills at most MaxPrefillPerStep tokens in batch order and returns
// how many it did.
func (e *Engine) runPrefill() int {
	used := 0
	for _, s := range e.running {
		if s.prefilled {
			continue
		}
		if used == e.cfg.MaxPrefillPerStep {
			break
		}
		if s.prefillLeft == prefillNotStarted {
			s.prefillLeft = e.prefillTokens(s)
		}
		n := min(s.prefillLeft, e.cfg.MaxPrefillPerStep-used)
		s.prefillLeft -= n
		s.run.Prefill += n
		used += n
		if s.prefillLeft == 0 {
			s.prefilled = true
			e.publishCacheEvents(e.cache.touch(platform.PrefixHash(s.job.Prompt)))
		}
	}
	e.truth.totals.PrefillTokens += used
	return used
}

// prefillTokens returns how many tokens a stream must prefill before it generates
// its first token. It leaves out the prompt and the output tokens that an imported
// KV cache covers, or else the prompt prefix if that is cached.
func (e *Engine) prefillTokens(s *stream) int {
	prompt := tokensForBytes(len(s.job.Prompt))
	if covered, ok := importedKVTokens(s.job); ok {
		return max(0, s.job.ResumeTokens-covered)
	}
	if e.cache.contains(platform.PrefixHash(s.job.Prompt)) {
		s.run.PrefixHit = true
		prompt -= tokensForBytes(min(len(s.job.Prompt), platform.PrefixBytes))
	}
	return prompt + s.job.ResumeTokens
}

// tokensForBytes returns the number of tokens of a text, rounded up.
func tokensForBytes(bytes int) int { return (bytes + bytesPerToken - 1) / bytesPerToken }

// emitTokens appends the token of the elapsed step to each prefilled stream and
// removes the streams that end.
func (e *Engine) emitTokens() {
	now := time.Now()
	faults := e.Faults.Get()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isPaused(now) {
		return // an order or a freeze arrived during the step: its tokens are discarded
	}
	keep := e.running[:0]
	for _, s := range e.running {
		if s.prefilled {
			e.emitToken(s, faults, now)
		}
		if !s.done {
			keep = append(keep, s)
		}
	}
	clear(e.running[len(keep):])
	e.running = keep
}

// versionFor returns the version that generates the stream's next token. After a
// partial load it picks the old or new version at random for each chunk.
func (e *Engine) versionFor(s *stream) uint64 {
	if e.state != stateFailed {
		return e.version
	}
	if s.current.tokens > 0 && (s.current.version == e.mixedVersions[0] || s.current.version == e.mixedVersions[1]) {
		return s.current.version
	}
	return e.mixedVersions[e.rng.IntN(len(e.mixedVersions))]
}

// emitToken generates the stream's next token, flushes the current chunk if it
// is due and ends the stream after its last token.
func (e *Engine) emitToken(s *stream, f Faults, now time.Time) {
	if s.nextToken < s.targetTokens {
		version := e.versionFor(s)
		if s.current.tokens > 0 && s.current.version != version {
			s.flushChunk()
		}
		if s.current.tokens == 0 {
			s.current.startedAt = now
			s.current.version = version
			s.current.reportedVersion = e.versionToReport(version, f)
		}
		s.current.text = s.writer.Append(s.current.text, s.nextToken, version)
		s.current.tokens++
		s.nextToken++
		e.countToken(s, version)
	}
	if s.nextToken >= s.targetTokens {
		s.current.finishReason = finishReasonOf(s)
		s.flushChunk()
		e.endStream(s, finishReasonOf(s))
		return
	}
	if s.current.tokens >= e.cfg.MaxChunkTokens || now.Sub(s.current.startedAt) >= e.cfg.MaxChunkDelay {
		s.flushChunk()
	}
}

// finishReasonOf returns the finish reason of a stream that reached its target.
func finishReasonOf(s *stream) string {
	if s.job.MaxTokens > 0 && s.targetTokens == s.job.MaxTokens {
		return "length"
	}
	return "stop"
}

// versionToReport returns the version that the engine reports for a chunk that
// version generates, or 0 for none. Faults can make it differ from version.
func (e *Engine) versionToReport(version uint64, f Faults) uint64 {
	if f.NoVersion {
		return 0
	}
	if e.state == stateFailed && f.FailedLabel == failedLabelIntended {
		return e.mixedVersions[1]
	}
	return version
}

// endStream records the end of a stream, whose KV cache can still be exported.
// It does nothing if the stream has ended before.
func (e *Engine) endStream(s *stream, outcome string) {
	if s.done {
		return
	}
	s.done = true
	e.kv.add(s)
	e.truth.recordEnd(s.run, outcome)
	s.notifyHandler()
}
