// Package service is a stand-in for a backend service such as a registry or
// ordering service. It answers requests to any path by describing them, and counts
// every run.
package service

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dandelionsill.org/standin/web"
)

const maxBody = 64 << 20 // bytes

// Config configures the service.
type Config struct {
	Name        string        // server name in each answer
	ServiceTime time.Duration // mean duration of a run, which is exponentially distributed
	TimeScale   float64       // factor on ServiceTime; 0 means 1
	Seed        uint64
}

// AddFlags defines a flag in fs for each setting.
func (c *Config) AddFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.Name, "name", "service", "name told in each answer")
	fs.DurationVar(&c.ServiceTime, "service-time", 5*time.Millisecond, "mean time of one run (exponential)")
	fs.Float64Var(&c.TimeScale, "time-scale", 1, "factor on all durations")
	fs.Uint64Var(&c.Seed, "seed", 1, "seed of all randomness")
}

// Faults are the fault switches set by POST /admin/faults. A share is the
// probability in [0, 1] that the fault affects a request.
type Faults struct {
	SlowMS            int     `json:"slow_ms"`     // added to the duration of each run
	HangBefore        bool    `json:"hang_before"` // requests do not run and get no answer
	Hang              bool    `json:"hang"`        // requests run but get no answer
	DropBefore        float64 `json:"drop_before"` // share: the connection drops before the run
	DropAfter         float64 `json:"drop_after"`  // share: the connection drops after the run, without an answer
	DropInBody        float64 `json:"cut_body"`    // share: the connection drops after the run, in the middle of the body
	MaxFaultyRequests int     `json:"times"`       // the faults end after affecting this many requests; 0: never
}

// Answer is the answer of a run, which describes its request.
type Answer struct {
	Run            int    `json:"run"` // number of the run in this process, from 1
	Server         string `json:"server"`
	Method         string `json:"method"`
	Path           string `json:"path"` // path and query
	BodySHA256     string `json:"body_sha256"`
	BodyBytes      int    `json:"body_bytes"`
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key"`
}

// Run is the ground truth about one run.
type Run struct {
	Answer
	StartedMS int64  `json:"started_ms"`
	EndedMS   int64  `json:"ended_ms"` // 0: still running
	Outcome   string `json:"how"`      // "answered", "lost", "cut", "gone"; "": still running
}

// Service is a simulated backend service that serves requests as an http.Handler.
type Service struct {
	Faults web.Faults[Faults]

	cfg Config

	mu             sync.Mutex
	rng            *rand.Rand
	faultyRequests int // requests affected by a fault since the switches were set
	runs           []*Run
	byKey          map[string]int
	byRequestID    map[string]int
	concurrent     int
	peakConcurrent int
	hanging        int // requests that are hanging
}

// New returns a service.
func New(cfg Config) *Service {
	s := &Service{cfg: cfg, byKey: map[string]int{}, byRequestID: map[string]int{}}
	s.rng = rand.New(rand.NewPCG(cfg.Seed, 0))
	if s.cfg.TimeScale <= 0 {
		s.cfg.TimeScale = 1
	}
	s.Faults.OnApply = func(Faults) {
		s.mu.Lock()
		s.faultyRequests = 0
		s.mu.Unlock()
	}
	return s
}

// ServeHTTP implements http.Handler. It does not use http.ServeMux, which redirects
// paths that are not in canonical form.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/livez":
		web.Livez(w, r)
	case "/truth":
		s.getTruth(w, r)
	case "/admin/faults":
		s.Faults.ServeHTTP(w, r)
	default:
		s.handleRun(w, r)
	}
}

// fault is the fault that affects one request.
type fault uint8

const (
	noFault fault = iota
	hangBefore
	dropBefore
	hang
	dropAfter
	dropInBody
)

// drawFault picks the fault and the duration of one request at random.
func (s *Service) drawFault() (fault, time.Duration) {
	f := s.Faults.Get()
	s.mu.Lock()
	defer s.mu.Unlock()
	d := time.Duration(s.rng.ExpFloat64() * float64(s.cfg.ServiceTime) * s.cfg.TimeScale)
	if f.MaxFaultyRequests > 0 && s.faultyRequests >= f.MaxFaultyRequests {
		return noFault, d
	}
	d += time.Duration(f.SlowMS) * time.Millisecond
	drawn := s.pickFault(f)
	if drawn != noFault || f.SlowMS > 0 {
		s.faultyRequests++
	}
	return drawn, d
}

// pickFault picks a fault at random by the shares of f. The caller holds the lock.
func (s *Service) pickFault(f Faults) fault {
	x := s.rng.Float64()
	switch {
	case f.HangBefore:
		return hangBefore
	case f.Hang:
		return hang
	case x < f.DropBefore:
		return dropBefore
	case x < f.DropBefore+f.DropAfter:
		return dropAfter
	case x < f.DropBefore+f.DropAfter+f.DropInBody:
		return dropInBody
	}
	return noFault
}

func (s *Service) handleRun(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		web.Error(w, http.StatusBadRequest, err.Error())
		return
	}
	drawn, d := s.drawFault()
	switch drawn {
	case hangBefore:
		s.hangUntilClosed(r)
	case dropBefore:
		web.Drop()
	}
	run := s.startRun(r, body)
	outcome := "gone"
	defer func() { s.endRun(run, outcome) }()
	web.Sleep(r.Context(), d)
	switch drawn {
	case hang:
		s.hangUntilClosed(r)
	case dropAfter:
		outcome = "lost"
		web.Drop()
	}
	if r.Context().Err() != nil {
		return
	}
	outcome = "answered"
	if drawn == dropInBody {
		outcome = "cut"
	}
	s.writeAnswer(w, run.Answer, drawn == dropInBody)
}

// hangUntilClosed holds a request until its client disconnects and never answers it.
func (s *Service) hangUntilClosed(r *http.Request) {
	s.addHanging(1)
	defer s.addHanging(-1)
	web.Hang(r)
	web.Drop()
}

func (s *Service) addHanging(delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hanging += delta
}

// Hanging returns the number of requests that are hanging.
func (s *Service) Hanging() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hanging
}

// writeAnswer writes the answer, or half of it before dropping the connection if
// dropHalfway is set.
func (s *Service) writeAnswer(w http.ResponseWriter, a Answer, dropHalfway bool) {
	data, err := json.Marshal(a)
	if err != nil {
		web.Error(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if !dropHalfway {
		_, _ = w.Write(data)
		return
	}
	_, _ = w.Write(data[:len(data)/2])
	_ = http.NewResponseController(w).Flush()
	web.Drop()
}

// startRun records a run. From here on the request counts as executed, whatever
// happens to its answer.
func (s *Service) startRun(r *http.Request, body []byte) *Run {
	sum := sha256.Sum256(body)
	a := Answer{
		Server:         s.cfg.Name,
		Method:         r.Method,
		Path:           r.URL.RequestURI(),
		BodySHA256:     hex.EncodeToString(sum[:]),
		BodyBytes:      len(body),
		RequestID:      r.Header.Get("X-Request-Id"),
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a.Run = len(s.runs) + 1
	run := &Run{Answer: a, StartedMS: time.Now().UnixMilli()}
	s.runs = append(s.runs, run)
	if a.IdempotencyKey != "" {
		s.byKey[a.IdempotencyKey]++
	}
	if a.RequestID != "" {
		s.byRequestID[a.RequestID]++
	}
	s.concurrent++
	s.peakConcurrent = max(s.peakConcurrent, s.concurrent)
	return run
}

func (s *Service) endRun(run *Run, outcome string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.EndedMS = time.Now().UnixMilli()
	run.Outcome = outcome
	s.concurrent--
}

// Truth is the answer of GET /truth.
type Truth struct {
	Runs           int            `json:"runs"`
	PeakConcurrent int            `json:"peak"`          // maximum number of concurrent runs
	ByKey          map[string]int `json:"by_key"`        // Idempotency-Key -> runs
	ByRequestID    map[string]int `json:"by_request_id"` // X-Request-Id -> runs
	List           []Run          `json:"list"`
}

// Truth returns the counts and the runs starting at index since. With totalsOnly
// the list and the maps are empty.
func (s *Service) Truth(since int, totalsOnly bool) Truth {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := Truth{Runs: len(s.runs), PeakConcurrent: s.peakConcurrent, ByKey: map[string]int{}, ByRequestID: map[string]int{}, List: []Run{}}
	if totalsOnly {
		return t
	}
	for k, n := range s.byKey {
		t.ByKey[k] = n
	}
	for k, n := range s.byRequestID {
		t.ByRequestID[k] = n
	}
	for _, run := range s.runs[min(max(since, 0), len(s.runs)):] {
		t.List = append(t.List, *run)
	}
	return t
}

func (s *Service) getTruth(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.Atoi(q.Get("since"))
	web.JSON(w, http.StatusOK, s.Truth(since, q.Get("totals") != ""))
}
