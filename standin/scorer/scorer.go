// Package scorer is a stand-in for a service that scores samples.
package scorer

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"sync"
	"time"

	"dandelionsill.org/standin/web"
)

const maxBody = 16 << 20 // bytes

// Config configures the scorer.
type Config struct {
	ScoreTime time.Duration // duration of scoring one text
}

// AddFlags defines a flag in fs for each setting.
func (c *Config) AddFlags(fs *flag.FlagSet) {
	fs.DurationVar(&c.ScoreTime, "score-time", 2*time.Millisecond, "time that one score takes")
}

// Faults are the fault switches set by POST /admin/faults.
type Faults struct {
	Down   bool `json:"down"`    // every request is refused with 503
	SlowMS int  `json:"slow_ms"` // added to the duration of each answer
	Twice  bool `json:"twice"`   // the body contains the answer's JSON twice
}

// Answer is the answer to a scoring request.
type Answer struct {
	Score float64 `json:"score"`
}

// Score returns the score of a text in [0, 1), a pure function of the text.
func Score(text string) float64 {
	const unit = 1.0 / (1 << 53)
	sum := sha256.Sum256([]byte(text))
	return float64(binary.BigEndian.Uint64(sum[:])>>11) * unit
}

// Scorer is a simulated scoring service that serves its API as an http.Handler.
type Scorer struct {
	Faults web.Faults[Faults]

	cfg Config
	mux *http.ServeMux

	mu         sync.Mutex
	runs       int
	runsByText map[string]int // SHA-256 of the text in hex -> runs
}

// New returns a scorer.
func New(cfg Config) *Scorer {
	s := &Scorer{cfg: cfg, mux: http.NewServeMux(), runsByText: map[string]int{}}
	s.mux.HandleFunc("/", s.handleScore)
	s.mux.HandleFunc("GET /truth", s.getTruth)
	s.mux.HandleFunc("GET /livez", web.Livez)
	s.mux.Handle("/admin/faults", &s.Faults)
	return s
}

func (s *Scorer) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// scoredText returns the field "text" of a JSON body, or the whole body if it has
// no such field.
func scoredText(body []byte) string {
	var in struct {
		Text *string `json:"text"`
	}
	if json.Unmarshal(body, &in) == nil && in.Text != nil {
		return *in.Text
	}
	return string(body)
}

func (s *Scorer) handleScore(w http.ResponseWriter, r *http.Request) {
	f := s.Faults.Get()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		web.Error(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	if f.Down {
		web.Error(w, http.StatusServiceUnavailable, "down")
		return
	}
	t := scoredText(body)
	s.countRun(t)
	web.Sleep(r.Context(), s.cfg.ScoreTime+time.Duration(f.SlowMS)*time.Millisecond)
	answer := Answer{Score(t)}
	web.JSON(w, http.StatusOK, answer)
	if f.Twice {
		_ = json.NewEncoder(w).Encode(answer)
	}
}

// countRun counts one run for a text.
func (s *Scorer) countRun(text string) {
	sum := sha256.Sum256([]byte(text))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
	s.runsByText[hex.EncodeToString(sum[:])]++
}

func (s *Scorer) getTruth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	web.JSON(w, http.StatusOK, struct {
		Runs  int            `json:"runs"`
		Texts map[string]int `json:"texts"`
	}{s.runs, s.runsByText})
}
