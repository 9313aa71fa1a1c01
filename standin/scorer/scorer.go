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
	ScoreTime time.Duration // time that one score takes
}

// AddFlags adds the configuration to fs.
func (c *Config) AddFlags(fs *flag.FlagSet) {
	fs.DurationVar(&c.ScoreTime, "score-time", 2*time.Millisecond, "time that one score takes")
}

// Faults are the switches at POST /admin/faults.
type Faults struct {
	Down   bool `json:"down"`    // 503
	SlowMS int  `json:"slow_ms"` // added to each answer
	Twice  bool `json:"twice"`   // the answer's JSON stands twice in the body
}

// Answer is the scorer's answer.
type Answer struct {
	Score float64 `json:"score"`
}

// Score is the deterministic score of a text, in [0, 1).
func Score(text string) float64 {
	const unit = 1.0 / (1 << 53)
	sum := sha256.Sum256([]byte(text))
	return float64(binary.BigEndian.Uint64(sum[:])>>11) * unit
}

// Scorer is the stand-in; it is an http.Handler.
type Scorer struct {
	Faults web.Faults[Faults]

	cfg Config
	mux *http.ServeMux

	mu    sync.Mutex
	runs  int
	texts map[string]int // sha256 of the text -> runs
}

// New makes a scorer.
func New(cfg Config) *Scorer {
	s := &Scorer{cfg: cfg, mux: http.NewServeMux(), texts: map[string]int{}}
	s.mux.HandleFunc("/", s.score)
	s.mux.HandleFunc("GET /truth", s.truth)
	s.mux.HandleFunc("GET /livez", web.Livez)
	s.mux.Handle("/admin/faults", &s.Faults)
	return s
}

func (s *Scorer) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// text returns the "text" of a JSON body, or the whole body where there is none.
func text(body []byte) string {
	var in struct {
		Text *string `json:"text"`
	}
	if json.Unmarshal(body, &in) == nil && in.Text != nil {
		return *in.Text
	}
	return string(body)
}

func (s *Scorer) score(w http.ResponseWriter, r *http.Request) {
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
	t := text(body)
	s.count(t)
	web.Sleep(r.Context(), s.cfg.ScoreTime+time.Duration(f.SlowMS)*time.Millisecond)
	answer := Answer{Score(t)}
	web.JSON(w, http.StatusOK, answer)
	if f.Twice {
		_ = json.NewEncoder(w).Encode(answer)
	}
}

func (s *Scorer) count(text string) {
	sum := sha256.Sum256([]byte(text))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
	s.texts[hex.EncodeToString(sum[:])]++
}

func (s *Scorer) truth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	web.JSON(w, http.StatusOK, struct {
		Runs  int            `json:"runs"`
		Texts map[string]int `json:"texts"`
	}{s.runs, s.texts})
}
