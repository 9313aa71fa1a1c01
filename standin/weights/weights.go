// Package weights is a stand-in for the platform's rate-limited weight store.
package weights

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"dandelionsill.org/adapters/protocol"
	"dandelionsill.org/platform"
	"dandelionsill.org/standin/web"
)

const (
	maxWeights = 1 << 30  // bytes
	piece      = 32 << 10 // bytes sent at once, the burst of the byte rate
)

// Config configures the store.
type Config struct {
	BytesPerSecond float64 // total rate of all fetches; 0: no limit
	Initial   string  // MODEL:VERSION:BYTES, comma separated
}

// AddFlags adds the configuration to fs.
func (c *Config) AddFlags(fs *flag.FlagSet) {
	fs.Float64Var(&c.BytesPerSecond, "bytes-per-s", 0, "total rate of all fetches; 0: no limit")
	fs.StringVar(&c.Initial, "initial", "", "weights held at the start: MODEL:VERSION:BYTES, comma separated")
}

// Faults are the switches at POST /admin/faults.
type Faults struct {
	Down     bool    `json:"down"`      // 503
	SlowMS   int     `json:"slow_ms"`   // wait before each answer
	DropAfterBytes int64   `json:"cut_bytes"` // a fetch is cut after so many bytes; 0: never
	RateFactor     float64 `json:"rate"`      // factor on the byte rate; 0: 1
}

// Fetch is one fetch in the truth.
type Fetch struct {
	Model     string `json:"model"`
	Version   uint64 `json:"version"`
	Client    string `json:"client"`
	Bytes     int64  `json:"bytes"`
	Complete     bool   `json:"whole"`
	StartedMS int64  `json:"started_ms"`
	EndedMS   int64  `json:"ended_ms"`
}

type key struct {
	model   string
	version uint64
}

type entry struct {
	info platform.WeightInfo
	data []byte
}

// Weights is the stand-in; it is an http.Handler.
type Weights struct {
	Faults web.Faults[Faults]

	mux   *http.ServeMux
	limit *rate.Limiter

	mu      sync.Mutex
	entries map[key]entry
	latest  map[string]uint64 // by model
	fetches []Fetch
	sent    int64
}

// New makes a store.
func New(cfg Config) (*Weights, error) {
	s := &Weights{
		mux:     http.NewServeMux(),
		limit:   rate.NewLimiter(rate.Inf, piece),
		entries: map[key]entry{},
		latest:  map[string]uint64{},
	}
	if cfg.BytesPerSecond > 0 {
		s.limit = rate.NewLimiter(rate.Limit(cfg.BytesPerSecond), piece)
	}
	s.Faults.OnApply = func(f Faults) {
		if cfg.BytesPerSecond > 0 {
			s.limit.SetLimit(rate.Limit(cfg.BytesPerSecond * factor(f.RateFactor)))
		}
	}
	if err := s.load(cfg.Initial); err != nil {
		return nil, err
	}
	s.mux.HandleFunc("GET /models/{model}/latest", s.getLatest)
	s.mux.HandleFunc("GET /models/{model}/versions/{version}", s.fetch)
	s.mux.HandleFunc("PUT /models/{model}/versions/{version}", s.put)
	s.mux.HandleFunc("GET /truth", s.truth)
	s.mux.HandleFunc("GET /livez", web.Livez)
	s.mux.Handle("/admin/faults", &s.Faults)
	return s, nil
}

func factor(f float64) float64 {
	if f <= 0 {
		return 1
	}
	return f
}

func (s *Weights) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Weights) load(initial string) error {
	if initial == "" {
		return nil
	}
	for item := range strings.SplitSeq(initial, ",") {
		parts := strings.Split(item, ":")
		if len(parts) != 3 {
			return fmt.Errorf("initial weights %q: want MODEL:VERSION:BYTES", item)
		}
		version, err := strconv.ParseUint(parts[1], 10, 64)
		if err != nil {
			return fmt.Errorf("initial weights %q: %w", item, err)
		}
		size, err := strconv.Atoi(parts[2])
		if err != nil {
			return fmt.Errorf("initial weights %q: %w", item, err)
		}
		s.Put(parts[0], version, GenerateBytes(parts[0], version, size))
	}
	return nil
}

// GenerateBytes makes deterministic weights of a version.
func GenerateBytes(model string, version uint64, size int) []byte {
	var seed [32]byte
	sum := sha256.Sum256([]byte(model))
	copy(seed[:], sum[:])
	binary.BigEndian.PutUint64(seed[:8], version)
	data := make([]byte, size)
	_, _ = rand.NewChaCha8(seed).Read(data)
	return data
}

// Put stores a version.
func (s *Weights) Put(model string, version uint64, data []byte) platform.WeightInfo {
	sum := sha256.Sum256(data)
	info := platform.WeightInfo{Model: model, Version: version, Bytes: int64(len(data)), Digest: hex.EncodeToString(sum[:])}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[key{model, version}] = entry{info, data}
	s.latest[model] = max(s.latest[model], version)
	return info
}

func (s *Weights) admitted(w http.ResponseWriter, r *http.Request) bool {
	f := s.Faults.Get()
	web.Sleep(r.Context(), time.Duration(f.SlowMS)*time.Millisecond)
	if f.Down {
		web.Error(w, http.StatusServiceUnavailable, "down")
	}
	return !f.Down
}

func (s *Weights) find(model string, version uint64) (entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key{model, version}]
	return e, ok
}

func (s *Weights) getLatest(w http.ResponseWriter, r *http.Request) {
	if !s.admitted(w, r) {
		return
	}
	model := r.PathValue("model")
	s.mu.Lock()
	version := s.latest[model]
	s.mu.Unlock()
	e, ok := s.find(model, version)
	if !ok {
		web.Error(w, http.StatusNotFound, "no weights")
		return
	}
	web.JSON(w, http.StatusOK, e.info)
}

func (s *Weights) put(w http.ResponseWriter, r *http.Request) {
	if !s.admitted(w, r) {
		return
	}
	version, err := strconv.ParseUint(r.PathValue("version"), 10, 64)
	if err != nil || version == 0 {
		web.Error(w, http.StatusBadRequest, "version: want a number from 1")
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxWeights))
	if err != nil {
		web.Error(w, http.StatusBadRequest, err.Error())
		return
	}
	sum := sha256.Sum256(data)
	if want := r.Header.Get(protocol.WeightsDigest); want != "" && want != hex.EncodeToString(sum[:]) {
		web.Error(w, http.StatusBadRequest, "digest does not match")
		return
	}
	web.JSON(w, http.StatusOK, s.Put(r.PathValue("model"), version, data))
}

func (s *Weights) fetch(w http.ResponseWriter, r *http.Request) {
	if !s.admitted(w, r) {
		return
	}
	version, _ := strconv.ParseUint(r.PathValue("version"), 10, 64)
	e, ok := s.find(r.PathValue("model"), version)
	if !ok {
		web.Error(w, http.StatusNotFound, "no such version")
		return
	}
	f := Fetch{Model: e.info.Model, Version: version, Client: r.Header.Get(protocol.Client), StartedMS: time.Now().UnixMilli()}
	defer func() { s.record(f) }()
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(e.data)))
	w.Header().Set(protocol.WeightsModel, e.info.Model)
	w.Header().Set(protocol.WeightsVersion, strconv.FormatUint(version, 10))
	w.Header().Set(protocol.WeightsDigest, e.info.Digest)
	f.Bytes = s.send(r.Context(), w, e.data)
	f.Complete = f.Bytes == int64(len(e.data))
	if !f.Complete {
		web.Drop()
	}
}

// send writes data at the store's rate and returns how much went out.
func (s *Weights) send(ctx context.Context, w io.Writer, data []byte) int64 {
	cut := s.Faults.Get().DropAfterBytes
	var sent int64
	for len(data) > 0 {
		n := min(len(data), piece)
		if cut > 0 {
			n = int(min(int64(n), cut-sent))
		}
		if n == 0 || s.limit.WaitN(ctx, n) != nil {
			break
		}
		n, err := w.Write(data[:n])
		sent += int64(n)
		if err != nil {
			break
		}
		data = data[n:]
	}
	return sent
}

func (s *Weights) record(f Fetch) {
	f.EndedMS = time.Now().UnixMilli()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetches = append(s.fetches, f)
	s.sent += f.Bytes
}

// Fetches returns every fetch that has ended.
func (s *Weights) Fetches() []Fetch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Fetch{}, s.fetches...)
}

func (s *Weights) truth(w http.ResponseWriter, _ *http.Request) {
	fetches := s.Fetches()
	s.mu.Lock()
	defer s.mu.Unlock()
	web.JSON(w, http.StatusOK, struct {
		Fetches   []Fetch           `json:"fetches"`
		BytesSent int64             `json:"bytes_sent"`
		Latest    map[string]uint64 `json:"latest"`
	}{fetches, s.sent, s.latest})
}
