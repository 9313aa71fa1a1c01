package engine

import (
	"net/http"
	"strconv"
	"time"

	"dandelionsill.org/platform"
	"dandelionsill.org/standin/truth"
	"dandelionsill.org/standin/web"
)

const (
	minReportEvery = 10 * time.Millisecond
	maxReportEvery = 100 * time.Millisecond
	reportsPerLag  = 4
	rateSmoothing  = 0.2
	kvCapacity     = 1 << 17 // tokens

	truthKept = 500_000 // ended runs
	truthPage = 20_000

	howCancelled = "cancelled"
)

// reports is the history that lagging load reports come from, oldest first.
type reports struct {
	list   []platform.EngineLoad
	tokens int64
	at     time.Time
	rate   float64
}

func (e *Engine) report() {
	every := min(max(e.scaled(e.cfg.LoadLag)/reportsPerLag, minReportEvery), maxReportEvery)
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			e.sample(time.Now())
		case <-e.ctx.Done():
			return
		}
	}
}

func (e *Engine) sample(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := &e.reports
	if !r.at.IsZero() {
		made := float64(e.truth.totals.Tokens - r.tokens)
		r.rate += rateSmoothing * (made/now.Sub(r.at).Seconds() - r.rate)
	}
	r.tokens = e.truth.totals.Tokens
	r.at = now
	r.list = append(r.list, e.load(now))
	visible := now.Add(-e.scaled(e.cfg.LoadLag)).UnixMilli()
	for len(r.list) > 1 && r.list[1].AsOfMS <= visible {
		r.list = r.list[1:]
	}
}

func (e *Engine) load(now time.Time) platform.EngineLoad {
	kv := 0
	for _, s := range e.running {
		kv += tokensOf(len(s.job.Prompt)) + s.next
	}
	return platform.EngineLoad{
		AsOfMS:   now.UnixMilli(),
		Slots:    e.cfg.Slots,
		Running:  len(e.running),
		Waiting:  len(e.waiting),
		KVUsed:   min(1, float64(kv)/kvCapacity),
		TokensPerSecond: e.reports.rate,
	}
}

func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	e.mu.Lock()
	load := e.load(now)
	if e.cfg.LoadLag > 0 && len(e.reports.list) > 0 {
		load = e.reports.list[0]
	}
	e.mu.Unlock()
	web.JSON(w, http.StatusOK, load)
}

// VersionTokens counts the tokens that one version made.
type VersionTokens struct {
	Version uint64 `json:"version"`
	Tokens  int    `json:"tokens"`
}

// Run is one stream in the truth.
type Run struct {
	ID         string          `json:"id"`
	PromptHash string          `json:"prompt_hash"` // truth.PromptHash, hex
	Seed       uint64          `json:"seed"`
	Resumed    int             `json:"resumed"` // tokens of the resume text
	Tokens     int             `json:"tokens"`  // made by this run
	ByVersion  []VersionTokens `json:"by_version"`
	Prefill    int             `json:"prefill"` // tokens computed
	PrefixHit  bool            `json:"prefix_hit"`
	StartedMS  int64           `json:"started_ms"`
	AdmittedMS int64           `json:"admitted_ms"` // 0: never
	EndedMS    int64           `json:"ended_ms"`    // 0: not yet
	Outcome        string          `json:"how"`         // "stop", "length", "cancelled", "crashed", "closed"; "": not yet
}

func newRun(j job) *Run {
	return &Run{
		ID:         j.ID,
		PromptHash: strconv.FormatUint(truth.PromptHash(j.Prompt), 16),
		Seed:       j.Seed,
		Resumed:    j.ResumeTokens,
		StartedMS:  time.Now().UnixMilli(),
	}
}

// Totals are the truth's sums since the process started.
type Totals struct {
	Runs            int              `json:"runs"`
	RunsEnded       int              `json:"runs_ended"`
	RunsCancelled   int              `json:"runs_cancelled"`
	Tokens          int64            `json:"tokens"`
	TokensCancelled int64            `json:"tokens_cancelled"` // made by runs that did not finish
	TokensByVersion map[uint64]int64 `json:"tokens_by_version"`
	PrefillTokens   int              `json:"prefill_tokens"`
	Steps           int64            `json:"steps"`
	Loads           int              `json:"loads"`
	LoadsFailed     int              `json:"loads_failed"`
	Fenced          int              `json:"fenced"`
	StaleObeyed     int              `json:"stale_obeyed"` // orders with an older token obeyed
}

// truthLog is the account of all runs.
type truthLog struct {
	totals Totals
	ended  []*Run // the last truthKept, by the time of their end
	first  int    // index of ended[0]
	live   map[*Run]struct{}
}

func (t *truthLog) begin(r *Run) {
	if t.live == nil {
		t.live = map[*Run]struct{}{}
		t.totals.TokensByVersion = map[uint64]int64{}
	}
	t.totals.Runs++
	t.live[r] = struct{}{}
}

func (t *truthLog) end(r *Run, how string) {
	delete(t.live, r)
	r.Outcome = how
	r.EndedMS = time.Now().UnixMilli()
	t.totals.RunsEnded++
	if how != "stop" && how != "length" {
		t.totals.RunsCancelled++
		t.totals.TokensCancelled += int64(r.Tokens)
	}
	t.ended = append(t.ended, r)
	if n := len(t.ended); n > 2*truthKept {
		t.ended = append([]*Run{}, t.ended[n-truthKept:]...)
		t.first += n - truthKept
	}
}

func (e *Engine) count(s *stream, version uint64) {
	e.truth.totals.Tokens++
	e.truth.totals.TokensByVersion[version]++
	s.run.Tokens++
	if k := len(s.run.ByVersion) - 1; k >= 0 && s.run.ByVersion[k].Version == version {
		s.run.ByVersion[k].Tokens++
		return
	}
	s.run.ByVersion = append(s.run.ByVersion, VersionTokens{version, 1})
}

// Truth is the answer of GET /truth.
type Truth struct {
	Totals  Totals `json:"totals"`
	Runs    []Run  `json:"runs"`    // ended, from index since on
	Next    int    `json:"next"`    // the since of the next page
	More    bool   `json:"more"`    // there is a next page now
	Running []Run  `json:"running"` // not ended; on the last page only
}

// Truth returns the totals and a page of runs; only totals when asked so.
func (e *Engine) Truth(since int, totals bool) Truth {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := &e.truth
	out := Truth{Totals: t.totals, Runs: []Run{}, Running: []Run{}, Next: since}
	out.Totals.TokensByVersion = map[uint64]int64{}
	for v, n := range t.totals.TokensByVersion {
		out.Totals.TokensByVersion[v] = n
	}
	if totals {
		return out
	}
	from := min(max(since-t.first, 0), len(t.ended))
	to := min(from+truthPage, len(t.ended))
	for _, r := range t.ended[from:to] {
		out.Runs = append(out.Runs, *r)
	}
	out.Next = t.first + to
	out.More = to < len(t.ended)
	if !out.More {
		for r := range t.live {
			out.Running = append(out.Running, copyRun(r))
		}
	}
	return out
}

// copyRun detaches a run that still grows.
func copyRun(r *Run) Run {
	c := *r
	c.ByVersion = append([]VersionTokens{}, r.ByVersion...)
	return c
}

func (e *Engine) getTruth(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.Atoi(q.Get("since"))
	web.JSON(w, http.StatusOK, e.Truth(since, q.Get("totals") != ""))
}
