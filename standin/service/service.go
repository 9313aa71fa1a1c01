// Package service is a stand-in for a plain service (registry, ordering): it
// answers any path, echoes what it was asked, and counts every run.
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
	Name        string        // told in each answer
	ServiceTime time.Duration // mean time of one run
	TimeScale   float64       // factor on ServiceTime; 0: 1
	Seed        uint64
}

// AddFlags adds the configuration to fs.
func (c *Config) AddFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.Name, "name", "service", "name told in each answer")
	fs.DurationVar(&c.ServiceTime, "service-time", 5*time.Millisecond, "mean time of one run (exponential)")
	fs.Float64Var(&c.TimeScale, "time-scale", 1, "factor on all durations")
	fs.Uint64Var(&c.Seed, "seed", 1, "seed of all randomness")
}

// Faults are the switches at POST /admin/faults. Shares are in [0, 1].
type Faults struct {
	SlowMS     int     `json:"slow_ms"`     // added to each run
	HangBefore bool    `json:"hang_before"` // never runs, never answers
	Hang       bool    `json:"hang"`        // runs, never answers
	DropBefore float64 `json:"drop_before"` // share: connection dropped, not run
	DropAfter  float64 `json:"drop_after"`  // share: run, connection dropped without an answer
	DropInBody    float64 `json:"cut_body"`    // share: run, connection dropped in the middle of the body
	MaxFaultyRequests      int     `json:"times"`       // the faults end after this many faulty requests; 0: never
}

// Answer is what a run answers.
type Answer struct {
	Run        int    `json:"run"` // counts runs of this process from 1
	Server     string `json:"server"`
	Method     string `json:"method"`
	Path       string `json:"path"` // path and query
	BodySHA256 string `json:"body_sha256"`
	BodyBytes  int    `json:"body_bytes"`
	RequestID  string `json:"request_id"`
	IdempotencyKey        string `json:"idempotency_key"`
}

// Run is one run in the truth.
type Run struct {
	Answer
	StartedMS int64  `json:"started_ms"`
	EndedMS   int64  `json:"ended_ms"` // 0: still running
	Outcome       string `json:"how"`      // "answered", "lost", "cut", "gone"; "": still running
}

// Service is the stand-in; it is an http.Handler.
type Service struct {
	Faults web.Faults[Faults]

	cfg Config

	mu         sync.Mutex
	rng        *rand.Rand
	faulty     int // requests that a fault has met since the switches were set
	runs       []*Run
	byKey      map[string]int
	byID       map[string]int
	concurrent int
	peak       int
	hanging    int // requests that hang now
}

// New makes a service.
func New(cfg Config) *Service {
	s := &Service{cfg: cfg, byKey: map[string]int{}, byID: map[string]int{}}
	s.rng = rand.New(rand.NewPCG(cfg.Seed, 0))
	if s.cfg.TimeScale <= 0 {
		s.cfg.TimeScale = 1
	}
	s.Faults.OnApply = func(Faults) {
		s.mu.Lock()
		s.faulty = 0
		s.mu.Unlock()
	}
	return s
}

// ServeHTTP does without http.ServeMux, which redirects uncommon paths.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/livez":
		web.Livez(w, r)
	case "/truth":
		s.truth(w, r)
	case "/admin/faults":
		s.Faults.ServeHTTP(w, r)
	default:
		s.serve(w, r)
	}
}

// fault is what happens to one request.
type fault uint8

const (
	none fault = iota
	hangBefore
	dropBefore
	hang
	dropAfter
	cutBody
)

// draw decides the fault and the duration of one request.
func (s *Service) draw() (fault, time.Duration) {
	f := s.Faults.Get()
	s.mu.Lock()
	defer s.mu.Unlock()
	d := time.Duration(s.rng.ExpFloat64() * float64(s.cfg.ServiceTime) * s.cfg.TimeScale)
	if f.MaxFaultyRequests > 0 && s.faulty >= f.MaxFaultyRequests {
		return none, d
	}
	d += time.Duration(f.SlowMS) * time.Millisecond
	met := s.pick(f)
	if met != none || f.SlowMS > 0 {
		s.faulty++
	}
	return met, d
}

func (s *Service) pick(f Faults) fault {
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
		return cutBody
	}
	return none
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		web.Error(w, http.StatusBadRequest, err.Error())
		return
	}
	met, d := s.draw()
	switch met {
	case hangBefore:
		s.hang(r)
	case dropBefore:
		web.Drop()
	}
	run := s.start(r, body)
	how := "gone"
	defer func() { s.end(run, how) }()
	web.Sleep(r.Context(), d)
	switch met {
	case hang:
		s.hang(r)
	case dropAfter:
		how = "lost"
		web.Drop()
	}
	if r.Context().Err() != nil {
		return
	}
	how = "answered"
	if met == cutBody {
		how = "cut"
	}
	s.answer(w, run.Answer, met == cutBody)
}

// hang keeps a request until its client goes away, and gives no answer.
func (s *Service) hang(r *http.Request) {
	s.countHanging(1)
	defer s.countHanging(-1)
	web.Hang(r)
	web.Drop()
}

func (s *Service) countHanging(by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hanging += by
}

// Hanging is the number of requests that hang now.
func (s *Service) Hanging() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hanging
}

func (s *Service) answer(w http.ResponseWriter, a Answer, cut bool) {
	data, err := json.Marshal(a)
	if err != nil {
		web.Error(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if !cut {
		_, _ = w.Write(data)
		return
	}
	_, _ = w.Write(data[:len(data)/2])
	_ = http.NewResponseController(w).Flush()
	web.Drop()
}

// start counts a run: from here on its effect stands, whatever happens to the
// answer.
func (s *Service) start(r *http.Request, body []byte) *Run {
	sum := sha256.Sum256(body)
	a := Answer{
		Server:     s.cfg.Name,
		Method:     r.Method,
		Path:       r.URL.RequestURI(),
		BodySHA256: hex.EncodeToString(sum[:]),
		BodyBytes:  len(body),
		RequestID:  r.Header.Get("X-Request-Id"),
		IdempotencyKey:        r.Header.Get("Idempotency-Key"),
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
		s.byID[a.RequestID]++
	}
	s.concurrent++
	s.peak = max(s.peak, s.concurrent)
	return run
}

func (s *Service) end(run *Run, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.EndedMS = time.Now().UnixMilli()
	run.Outcome = how
	s.concurrent--
}

// Truth is the answer of GET /truth.
type Truth struct {
	Runs        int            `json:"runs"`
	PeakConcurrent        int            `json:"peak"`          // most runs at once
	ByKey       map[string]int `json:"by_key"`        // Idempotency-Key -> runs
	ByRequestID map[string]int `json:"by_request_id"` // X-Request-Id -> runs
	List        []Run          `json:"list"`
}

// Truth returns all counts and the runs from index since on; no list and no
// maps when totals is set.
func (s *Service) Truth(since int, totals bool) Truth {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := Truth{Runs: len(s.runs), PeakConcurrent: s.peak, ByKey: map[string]int{}, ByRequestID: map[string]int{}, List: []Run{}}
	if totals {
		return t
	}
	for k, n := range s.byKey {
		t.ByKey[k] = n
	}
	for k, n := range s.byID {
		t.ByRequestID[k] = n
	}
	for _, run := range s.runs[min(max(since, 0), len(s.runs)):] {
		t.List = append(t.List, *run)
	}
	return t
}

func (s *Service) truth(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.Atoi(q.Get("since"))
	web.JSON(w, http.StatusOK, s.Truth(since, q.Get("totals") != ""))
}
