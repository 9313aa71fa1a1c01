// Package logsvc is a stand-in for the platform's append-only log service. It has
// streams with offsets, one append rate limit for all streams, limited retention,
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
	maxRecordBytes = 4 << 20 // bytes
	maxReadWait    = 60 * time.Second
	maxPageRecords = 1000
)

// Config configures the log.
type Config struct {
	Rate      float64       // appends per second over all streams; 0: no limit
	Burst     int           // appends allowed in a burst
	Retention time.Duration // age at which records are dropped; 0: never
	Seed      uint64
}

// AddFlags defines a flag in fs for each setting.
func (c *Config) AddFlags(fs *flag.FlagSet) {
	fs.Float64Var(&c.Rate, "rate", 300, "appends a second over all streams; 0: no limit")
	fs.IntVar(&c.Burst, "burst", 60, "appends at once")
	fs.DurationVar(&c.Retention, "retention", 0, "drop records older than this; 0: keep")
	fs.Uint64Var(&c.Seed, "seed", 1, "seed of the faults' randomness")
}

// Faults are the fault switches set by POST /admin/faults.
type Faults struct {
	Down         bool     `json:"down"`          // every request is refused with 503
	SlowMS       int      `json:"slow_ms"`       // delay before each request
	LoseAnswers  float64  `json:"lose_answers"`  // share of appends that are stored but whose connection drops without an answer
	LoseRequests float64  `json:"lose_requests"` // share of appends that are not stored and whose connection drops
	DropClients  []string `json:"cut"`           // clients (header X-Client) whose connections drop
}

type record struct {
	Offset uint64 `json:"offset"`
	TimeMS int64  `json:"time_ms"`
	Data   []byte `json:"data"`
}

// AppendedRecord is a record in the ground truth, which retention does not affect.
type AppendedRecord struct {
	Stream string `json:"stream"`
	record
	Client     string `json:"client"`
	AnswerLost bool   `json:"answer_lost"`
}

type stream struct {
	records    []record
	endOffset  uint64
	nextAppend chan struct{} // closed at the next append and then replaced
}

func (s *stream) firstOffset() uint64 { return s.endOffset - uint64(len(s.records)) }

// Log is a simulated log service that serves its API as an http.Handler.
type Log struct {
	Faults web.Faults[Faults]

	cfg Config
	mux *http.ServeMux

	mu           sync.Mutex
	rng          *rand.Rand
	limiter      *rate.Limiter
	streams      map[string]*stream
	appended     []AppendedRecord
	refusals     map[string]int
	reads        int
	faultsChange chan struct{} // closed when the faults change and then replaced
}

// New returns an empty log.
func New(cfg Config) *Log {
	l := &Log{
		cfg:          cfg,
		mux:          http.NewServeMux(),
		rng:          rand.New(rand.NewPCG(cfg.Seed, 0)),
		limiter:      rate.NewLimiter(rate.Inf, 1),
		streams:      map[string]*stream{},
		refusals:     map[string]int{},
		faultsChange: make(chan struct{}),
	}
	if cfg.Rate > 0 {
		l.limiter = rate.NewLimiter(rate.Limit(cfg.Rate), max(1, cfg.Burst))
	}
	l.Faults.OnApply = func(Faults) { l.wakeReaders() }
	l.mux.HandleFunc("POST /streams/{stream}/append", l.postAppend)
	l.mux.HandleFunc("GET /streams/{stream}/read", l.getRead)
	l.mux.HandleFunc("GET /truth", l.getTruth)
	l.mux.HandleFunc("GET /livez", web.Livez)
	l.mux.Handle("/admin/faults", &l.Faults)
	return l
}

func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// wakeReaders wakes all long polls so that changed faults affect them too.
func (l *Log) wakeReaders() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.faultsChange)
	l.faultsChange = make(chan struct{})
}

// applyFaults applies the faults that precede a request's execution. It returns
// false if it has refused the request.
func (l *Log) applyFaults(w http.ResponseWriter, r *http.Request) bool {
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

// refuse counts a refusal under its reason and answers with it.
func (l *Log) refuse(w http.ResponseWriter, reason string, status int) {
	l.mu.Lock()
	l.refusals[reason]++
	l.mu.Unlock()
	web.Error(w, status, reason)
}

func (l *Log) postAppend(w http.ResponseWriter, r *http.Request) {
	if !l.applyFaults(w, r) {
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		l.refuse(w, "body", http.StatusRequestEntityTooLarge)
		return
	}
	f := l.Faults.Get()
	if l.drawFault(f.LoseRequests) {
		web.Drop()
	}
	if !l.limiter.Allow() {
		w.Header().Set("Retry-After", "1")
		l.refuse(w, "rate", http.StatusTooManyRequests)
		return
	}
	lost := l.drawFault(f.LoseAnswers)
	offset := l.appendRecord(r.PathValue("stream"), data, r.Header.Get(protocol.Client), lost)
	if lost {
		web.Drop()
	}
	web.JSON(w, http.StatusOK, struct {
		Offset uint64 `json:"offset"`
	}{offset})
}

// drawFault returns true with probability p.
func (l *Log) drawFault(p float64) bool {
	if p <= 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64() < p
}

// stream returns a stream, which it creates if needed. The caller holds the lock.
func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{nextAppend: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// appendRecord stores a record, wakes the stream's readers and returns the offset.
func (l *Log) appendRecord(name string, data []byte, client string, lost bool) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	rec := record{Offset: s.endOffset, TimeMS: time.Now().UnixMilli(), Data: data}
	s.records = append(s.records, rec)
	s.endOffset++
	close(s.nextAppend)
	s.nextAppend = make(chan struct{})
	l.appended = append(l.appended, AppendedRecord{Stream: name, record: rec, Client: client, AnswerLost: lost})
	return rec.Offset
}

// Truncate drops all records of a stream before an offset, as retention does.
func (l *Log) Truncate(name string, before uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	if first := s.firstOffset(); before > first {
		s.records = s.records[min(before-first, uint64(len(s.records))):]
	}
}

// dropExpired drops the records of s that are older than the retention.
func (l *Log) dropExpired(s *stream) {
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

// page is the answer of a read.
type page struct {
	Records []record `json:"records"`
	Next    uint64   `json:"next"`
	First   uint64   `json:"first"`
	End     uint64   `json:"end"`
}

// readNow returns the records available from an offset on, at most limit. truncated
// is true if records from that offset on were dropped. The channels close at the
// next append and at the next change of the faults.
func (l *Log) readNow(name string, from uint64, limit int) (p page, truncated bool, nextAppend, faultsChange <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.dropExpired(s)
	l.reads++
	p = page{Records: []record{}, Next: from, First: s.firstOffset(), End: s.endOffset}
	if from < p.First {
		return p, true, s.nextAppend, l.faultsChange
	}
	if from < s.endOffset {
		i := int(from - p.First)
		p.Records = s.records[i:min(i+limit, len(s.records))]
		p.Next = from + uint64(len(p.Records))
	}
	return p, false, s.nextAppend, l.faultsChange
}

// getRead answers as soon as there are records, the offset turns out to be
// truncated, or wait_ms has passed.
func (l *Log) getRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	if err != nil {
		web.Error(w, http.StatusBadRequest, "from: "+err.Error())
		return
	}
	limit, _ := strconv.Atoi(q.Get("max"))
	if limit <= 0 || limit > maxPageRecords {
		limit = maxPageRecords
	}
	waitMS, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, maxReadWait))
	defer timeout.Stop()
	for last := waitMS <= 0; ; {
		if !l.applyFaults(w, r) {
			return
		}
		p, truncated, nextAppend, faultsChange := l.readNow(r.PathValue("stream"), from, limit)
		switch {
		case truncated:
			web.JSON(w, http.StatusGone, p)
			return
		case len(p.Records) > 0 || last:
			web.JSON(w, http.StatusOK, p)
			return
		}
		select {
		case <-nextAppend:
		case <-faultsChange:
		case <-timeout.C:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

// Truth returns all records ever appended, starting at index since.
func (l *Log) Truth(since int) []AppendedRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.appended[min(max(since, 0), len(l.appended)):])
}

func (l *Log) getTruth(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	list := l.Truth(since)
	if r.URL.Query().Get("totals") != "" {
		list = nil
	}
	l.mu.Lock()
	out := struct {
		Appends  int              `json:"appends"`
		Reads    int              `json:"reads"`
		Refused  map[string]int   `json:"refused"`
		Appended []AppendedRecord `json:"appended"`
	}{len(l.appended), l.reads, map[string]int{}, list}
	for k, v := range l.refusals {
		out.Refused[k] = v
	}
	l.mu.Unlock()
	web.JSON(w, http.StatusOK, out)
}
