// Package logsvc is a stand-in for the platform's append-only log service:
// streams with offsets, one append rate over all streams, limited retention,
// long-poll reads, outages and lost answers.
package logsvc

import (
	"flag"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"dandelionsill.org/adapters/protocol"
	"dandelionsill.org/standin/web"
)

const (
	maxRecord   = 4 << 20 // bytes
	maxReadWait = 60 * time.Second
	maxPage     = 1000
)

// Config configures the log.
type Config struct {
	Rate      float64       // appends a second over all streams; 0: no limit
	Burst     int           // appends at once
	Retention time.Duration // records older are dropped; 0: kept
	Seed      uint64
}

// AddFlags adds the configuration to fs.
func (c *Config) AddFlags(fs *flag.FlagSet) {
	fs.Float64Var(&c.Rate, "rate", 300, "appends a second over all streams; 0: no limit")
	fs.IntVar(&c.Burst, "burst", 60, "appends at once")
	fs.DurationVar(&c.Retention, "retention", 0, "drop records older than this; 0: keep")
	fs.Uint64Var(&c.Seed, "seed", 1, "seed of the faults' randomness")
}

// Faults are the switches at POST /admin/faults.
type Faults struct {
	Down         bool     `json:"down"`          // 503, nothing is taken
	SlowMS       int      `json:"slow_ms"`       // wait before each request
	LoseAnswers  float64  `json:"lose_answers"`  // share of appends taken whose answer is lost
	LoseRequests float64  `json:"lose_requests"` // share of appends not taken whose connection drops
	DropClients          []string `json:"cut"`           // clients (X-Client) whose connections drop
}

type record struct {
	Offset uint64 `json:"offset"`
	TimeMS int64  `json:"time_ms"`
	Data   []byte `json:"data"`
}

// AppendedRecord is one record in the truth.
type AppendedRecord struct {
	Stream string `json:"stream"`
	record
	Client string `json:"client"`
	AnswerLost   bool   `json:"answer_lost"`
}

type stream struct {
	records []record
	end     uint64
	more    chan struct{} // closed at the next append
}

func (s *stream) first() uint64 { return s.end - uint64(len(s.records)) }

// Log is the stand-in; it is an http.Handler.
type Log struct {
	Faults web.Faults[Faults]

	cfg Config
	mux *http.ServeMux

	mu       sync.Mutex
	rng      *rand.Rand
	limit    *rate.Limiter
	streams  map[string]*stream
	appended []AppendedRecord
	refused  map[string]int
	reads    int
	change   chan struct{} // closed when the faults change
}

// New makes an empty log.
func New(cfg Config) *Log {
	l := &Log{
		cfg:     cfg,
		mux:     http.NewServeMux(),
		rng:     rand.New(rand.NewPCG(cfg.Seed, 0)),
		limit:   rate.NewLimiter(rate.Inf, 1),
		streams: map[string]*stream{},
		refused: map[string]int{},
		change:  make(chan struct{}),
	}
	if cfg.Rate > 0 {
		l.limit = rate.NewLimiter(rate.Limit(cfg.Rate), max(1, cfg.Burst))
	}
	l.Faults.OnApply = func(Faults) { l.faultsChanged() }
	l.mux.HandleFunc("POST /streams/{stream}/append", l.append)
	l.mux.HandleFunc("GET /streams/{stream}/read", l.read)
	l.mux.HandleFunc("GET /truth", l.truth)
	l.mux.HandleFunc("GET /livez", web.Livez)
	l.mux.Handle("/admin/faults", &l.Faults)
	return l
}

func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// faultsChanged wakes long polls, so that an outage reaches them too.
func (l *Log) faultsChanged() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.change)
	l.change = make(chan struct{})
}

// admitted applies the faults that come before anything is done.
func (l *Log) admitted(w http.ResponseWriter, r *http.Request) bool {
	f := l.Faults.Get()
	if slices.Contains(f.DropClients, r.Header.Get(protocol.Client)) {
		web.Drop()
	}
	web.Sleep(r.Context(), time.Duration(f.SlowMS)*time.Millisecond)
	if f.Down {
		l.refuse(w, "down", http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (l *Log) refuse(w http.ResponseWriter, why string, status int) {
	l.mu.Lock()
	l.refused[why]++
	l.mu.Unlock()
	web.Error(w, status, why)
}

func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	if !l.admitted(w, r) {
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecord))
	if err != nil {
		l.refuse(w, "body", http.StatusRequestEntityTooLarge)
		return
	}
	f := l.Faults.Get()
	if l.chance(f.LoseRequests) {
		web.Drop()
	}
	if !l.limit.Allow() {
		w.Header().Set("Retry-After", "1")
		l.refuse(w, "rate", http.StatusTooManyRequests)
		return
	}
	lost := l.chance(f.LoseAnswers)
	offset := l.take(r.PathValue("stream"), data, r.Header.Get(protocol.Client), lost)
	if lost {
		web.Drop()
	}
	web.JSON(w, http.StatusOK, struct {
		Offset uint64 `json:"offset"`
	}{offset})
}

func (l *Log) chance(p float64) bool {
	if p <= 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64() < p
}

func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{more: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *Log) take(name string, data []byte, client string, lost bool) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	rec := record{Offset: s.end, TimeMS: time.Now().UnixMilli(), Data: data}
	s.records = append(s.records, rec)
	s.end++
	close(s.more)
	s.more = make(chan struct{})
	l.appended = append(l.appended, AppendedRecord{Stream: name, record: rec, Client: client, AnswerLost: lost})
	return rec.Offset
}

// Truncate drops all records of a stream before an offset, as retention does.
func (l *Log) Truncate(name string, before uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	if first := s.first(); before > first {
		s.records = s.records[min(before-first, uint64(len(s.records))):]
	}
}

func (l *Log) expire(s *stream) {
	if l.cfg.Retention <= 0 {
		return
	}
	oldest := time.Now().Add(-l.cfg.Retention).UnixMilli()
	n := 0
	for n < len(s.records) && s.records[n].TimeMS < oldest {
		n++
	}
	s.records = s.records[n:]
}

type page struct {
	Records []record `json:"records"`
	Next    uint64   `json:"next"`
	First   uint64   `json:"first"`
	End     uint64   `json:"end"`
}

// page returns what can be read now and channels that tell of more.
func (l *Log) page(name string, from uint64, limit int) (p page, gone bool, more, change <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.expire(s)
	l.reads++
	p = page{Records: []record{}, Next: from, First: s.first(), End: s.end}
	if from < p.First {
		return p, true, s.more, l.change
	}
	if from < s.end {
		i := int(from - p.First)
		p.Records = s.records[i:min(i+limit, len(s.records))]
		p.Next = from + uint64(len(p.Records))
	}
	return p, false, s.more, l.change
}

func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	if err != nil {
		web.Error(w, http.StatusBadRequest, "from: "+err.Error())
		return
	}
	limit, _ := strconv.Atoi(q.Get("max"))
	if limit <= 0 || limit > maxPage {
		limit = maxPage
	}
	waitMS, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, maxReadWait))
	defer timeout.Stop()
	for last := waitMS <= 0; ; {
		if !l.admitted(w, r) {
			return
		}
		p, gone, more, change := l.page(r.PathValue("stream"), from, limit)
		switch {
		case gone:
			web.JSON(w, http.StatusGone, p)
			return
		case len(p.Records) > 0 || last:
			web.JSON(w, http.StatusOK, p)
			return
		}
		select {
		case <-more:
		case <-change:
		case <-timeout.C:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

// Truth returns every record ever appended, from index since on.
func (l *Log) Truth(since int) []AppendedRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.appended[min(max(since, 0), len(l.appended)):])
}

func (l *Log) truth(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	list := l.Truth(since)
	if r.URL.Query().Get("totals") != "" {
		list = nil
	}
	l.mu.Lock()
	out := struct {
		Appends  int            `json:"appends"`
		Reads    int            `json:"reads"`
		Refused  map[string]int `json:"refused"`
		Appended []AppendedRecord     `json:"appended"`
	}{len(l.appended), l.reads, map[string]int{}, list}
	for k, v := range l.refused {
		out.Refused[k] = v
	}
	l.mu.Unlock()
	web.JSON(w, http.StatusOK, out)
}
