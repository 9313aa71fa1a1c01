package engine

import (
	"time"

	"dandelionsill.org/platform"
	"dandelionsill.org/standin/truth"
)

const (
	charsPerToken = 4
	notStarted    = -1
	// maxBehind bounds how far the step clock may trail the wall clock; a
	// process that was stopped does not make up for the pause.
	maxBehind = 100 * time.Millisecond
)

// job is the body of POST /v1/completions.
type job struct {
	ID           string `json:"id"`
	Model        string `json:"model"`
	Prompt       string `json:"prompt"`
	MaxTokens    int    `json:"max_tokens"` // of the whole output, resumed tokens included; 0: no limit
	Seed         uint64 `json:"seed"`
	Priority     int    `json:"priority"`
	Stream       bool   `json:"stream"` // the answer is always a stream
	ResumeText   string `json:"resume_text"`
	ResumeTokens int    `json:"resume_tokens"`
	KV           []byte `json:"kv"`
}

// chunk is a run of tokens of one version.
type chunk struct {
	text    []byte
	tokens  int
	version uint64 // that made the tokens
	label   uint64 // that the engine reports; 0: none
	finish  string
	since   time.Time
}

// stream is one generation. The engine's lock guards all of it but notify.
type stream struct {
	job         job
	arrival     uint64
	writer      truth.Writer
	target      int // tokens of the whole output
	next        int // index of the next token
	prefillLeft int // tokens; notStarted until the first step looks at it
	ready       bool
	done        bool
	cut         bool // the connection is dropped
	cur         chunk
	out         []chunk // for the handler
	notify      chan struct{}
	run         *Run
}

func (s *stream) tell() {
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

func (s *stream) flush() {
	if s.cur.tokens == 0 && s.cur.finish == "" {
		return
	}
	s.out = append(s.out, s.cur)
	s.cur = chunk{}
	s.tell()
}

func (e *Engine) newStream(j job) *stream {
	return &stream{
		job:         j,
		writer:      truth.NewWriter(j.Prompt, j.Seed),
		target:      truth.OutputTokens(j.Prompt, j.Seed, e.cfg.MeanTokens, e.cfg.Sigma, j.MaxTokens),
		next:        j.ResumeTokens,
		prefillLeft: notStarted,
		notify:      make(chan struct{}, 1),
		run:         newRun(j),
	}
}

// run is the engine's one worker: plan a step, let its time pass, emit.
func (e *Engine) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var clock time.Time
	for {
		d, busy := e.plan()
		if !busy {
			select {
			case <-e.wake:
				continue
			case <-e.ctx.Done():
				return
			}
		}
		now := time.Now()
		if now.Sub(clock) > maxBehind {
			clock = now
		}
		clock = clock.Add(d)
		timer.Reset(clock.Sub(now))
		select {
		case <-timer.C:
		case <-e.ctx.Done():
			return
		}
		e.emit()
	}
}

func (e *Engine) stopped(now time.Time) bool {
	return e.state == stateLoading || e.version == 0 || now.Before(e.frozenUntil)
}

// plan fills the batch, does its prefill and returns the step's wall time.
func (e *Engine) plan() (time.Duration, bool) {
	slow := e.Faults.Get().SlowFactor
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped(time.Now()) {
		return 0, false
	}
	e.admit()
	if len(e.running) == 0 {
		return 0, false
	}
	d := e.cfg.StepBase + time.Duration(len(e.running))*e.cfg.StepPerStream
	d += time.Duration(e.prefill()) * e.cfg.PrefillToken
	d = e.scaled(d)
	if slow > 0 {
		d = time.Duration(float64(d) * slow)
	}
	e.truth.totals.Steps++
	return d, true
}

func (e *Engine) admit() {
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

// prefill spends the step's prefill budget in batch order and returns the
// tokens done.
func (e *Engine) prefill() int {
	used := 0
	for _, s := range e.running {
		if s.ready {
			continue
		}
		if used == e.cfg.MaxPrefillPerStep {
			break
		}
		if s.prefillLeft == notStarted {
			s.prefillLeft = e.prefillTokens(s)
		}
		n := min(s.prefillLeft, e.cfg.MaxPrefillPerStep-used)
		s.prefillLeft -= n
		s.run.Prefill += n
		used += n
		if s.prefillLeft == 0 {
			s.ready = true
			e.cacheEvents(e.cache.touch(platform.PrefixHash(s.job.Prompt)))
		}
	}
	e.truth.totals.PrefillTokens += used
	return used
}

// prefillTokens is what a stream must compute before its first token. An
// imported KV cache saves what it covers, a cached prefix its own part.
func (e *Engine) prefillTokens(s *stream) int {
	prompt := tokensOf(len(s.job.Prompt))
	if covered, ok := kvCovers(s.job); ok {
		return max(0, s.job.ResumeTokens-covered)
	}
	if e.cache.has(platform.PrefixHash(s.job.Prompt)) {
		s.run.PrefixHit = true
		prompt -= tokensOf(min(len(s.job.Prompt), platform.PrefixBytes))
	}
	return prompt + s.job.ResumeTokens
}

func tokensOf(chars int) int { return (chars + charsPerToken - 1) / charsPerToken }

// emit gives each ready stream its token of the step that has passed.
func (e *Engine) emit() {
	now := time.Now()
	faults := e.Faults.Get()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped(now) {
		return // the step was in the machine when the order came; it is void
	}
	keep := e.running[:0]
	for _, s := range e.running {
		if s.ready {
			e.token(s, faults, now)
		}
		if !s.done {
			keep = append(keep, s)
		}
	}
	clear(e.running[len(keep):])
	e.running = keep
}

// versionFor is the version that makes the stream's next token. After a
// partial load each chunk's is drawn anew.
func (e *Engine) versionFor(s *stream) uint64 {
	if e.state != stateFailed {
		return e.version
	}
	if s.cur.tokens > 0 && (s.cur.version == e.mixed[0] || s.cur.version == e.mixed[1]) {
		return s.cur.version
	}
	return e.mixed[e.rng.IntN(len(e.mixed))]
}

func (e *Engine) token(s *stream, f Faults, now time.Time) {
	if s.next < s.target {
		version := e.versionFor(s)
		if s.cur.tokens > 0 && s.cur.version != version {
			s.flush()
		}
		if s.cur.tokens == 0 {
			s.cur.since = now
			s.cur.version = version
			s.cur.label = e.label(version, f)
		}
		s.cur.text = s.writer.Append(s.cur.text, s.next, version)
		s.cur.tokens++
		s.next++
		e.count(s, version)
	}
	if s.next >= s.target {
		s.cur.finish = finishOf(s)
		s.flush()
		e.end(s, finishOf(s))
		return
	}
	if s.cur.tokens >= e.cfg.MaxChunkTokens || now.Sub(s.cur.since) >= e.cfg.MaxChunkDelay {
		s.flush()
	}
}

func finishOf(s *stream) string {
	if s.job.MaxTokens > 0 && s.target == s.job.MaxTokens {
		return "length"
	}
	return "stop"
}

// label is the version that the engine reports for a chunk.
func (e *Engine) label(version uint64, f Faults) uint64 {
	if f.NoVersion {
		return 0
	}
	if e.state == stateFailed && f.FailedLabel == labelIntended {
		return e.mixed[1]
	}
	return version
}

// end closes a stream's account; it stays known for KV export.
func (e *Engine) end(s *stream, how string) {
	if s.done {
		return
	}
	s.done = true
	e.kv.keep(s)
	e.truth.end(s.run, how)
	s.tell()
}
