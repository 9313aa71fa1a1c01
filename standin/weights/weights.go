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
	maxWeightsBytes = 1 << 30  // bytes
	maxWriteBytes   = 32 << 10 // bytes per write; also the burst of the byte rate, which a write must not exceed
)

// Config configures the store.
type Config struct {
	BytesPerSecond float64 // total rate of all fetches; 0: no limit
	Initial        string  // weights stored at startup: MODEL:VERSION:BYTES, comma separated
}

// AddFlags defines a flag in fs for each setting.
func (c *Config) AddFlags(fs *flag.FlagSet) {
	fs.Float64Var(&c.BytesPerSecond, "bytes-per-s", 0, "total rate of all fetches; 0: no limit")
	fs.StringVar(&c.Initial, "initial", "", "weights held at the start: MODEL:VERSION:BYTES, comma separated")
}

// Faults are the fault switches set by POST /admin/faults.
type Faults struct {
	Down           bool    `json:"down"`      // every request is refused with 503
	SlowMS         int     `json:"slow_ms"`   // delay before each answer
	DropAfterBytes int64   `json:"cut_bytes"` // a fetch's connection drops after this many bytes; 0: never
	RateFactor     float64 `json:"rate"`      // factor on the byte rate; 0 means 1
}

// Fetch is the ground truth about one fetch.
type Fetch struct {
	Model     string `json:"model"`
	Version   uint64 `json:"version"`
	Client    string `json:"client"`
	Bytes     int64  `json:"bytes"`
	Complete  bool   `json:"whole"`
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

// Weights is a simulated weight store that serves its API as an http.Handler.
type Weights struct {
	Faults web.Faults[Faults]

	mux     *http.ServeMux
	limiter *rate.Limiter

	mu        sync.Mutex
	entries   map[key]entry
	latest    map[string]uint64 // newest version by model
	fetches   []Fetch
	bytesSent int64
}

// New returns a store that holds the initial weights, or an error if their
// configuration is malformed.
func New(cfg Config) (*Weights, error) {
	s := &Weights{
		mux:     http.NewServeMux(),
		limiter: rate.NewLimiter(rate.Inf, maxWriteBytes),
		entries: map[key]entry{},
		latest:  map[string]uint64{},
	}
	if cfg.BytesPerSecond > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(cfg.BytesPerSecond), maxWriteBytes)
	}
	s.Faults.OnApply = func(f Faults) {
		if cfg.BytesPerSecond > 0 {
			s.limiter.SetLimit(rate.Limit(cfg.BytesPerSecond * factorOrOne(f.RateFactor)))
		}
	}
	if err := s.putInitial(cfg.Initial); err != nil {
		return nil, err
	}
	s.mux.HandleFunc("GET /models/{model}/latest", s.getLatest)
	s.mux.HandleFunc("GET /models/{model}/versions/{version}", s.getVersion)
	s.mux.HandleFunc("PUT /models/{model}/versions/{version}", s.putVersion)
	s.mux.HandleFunc("GET /truth", s.getTruth)
	s.mux.HandleFunc("GET /livez", web.Livez)
	s.mux.Handle("/admin/faults", &s.Faults)
	return s, nil
}

// factorOrOne returns f, or 1 if f is not positive.
func factorOrOne(f float64) float64 {
	if f <= 0 {
		return 1
	}
	return f
}

func (s *Weights) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// putInitial stores generated weights for each MODEL:VERSION:BYTES item.
func (s *Weights) putInitial(initial string) error {
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

// GenerateBytes returns size bytes of weights. They are a pure function of model
// and version.
func GenerateBytes(model string, version uint64, size int) []byte {
	var seed [32]byte
	sum := sha256.Sum256([]byte(model))
	copy(seed[:], sum[:])
	binary.BigEndian.PutUint64(seed[:8], version)
	data := make([]byte, size)
	_, _ = rand.NewChaCha8(seed).Read(data)
	return data
}

// Put stores a version and returns its description.
func (s *Weights) Put(model string, version uint64, data []byte) platform.WeightInfo {
	sum := sha256.Sum256(data)
	info := platform.WeightInfo{Model: model, Version: version, Bytes: int64(len(data)), Digest: hex.EncodeToString(sum[:])}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[key{model, version}] = entry{info, data}
	s.latest[model] = max(s.latest[model], version)
	return info
}

// applyFaults applies the faults that precede a request's execution. It returns
// false if it has refused the request.
func (s *Weights) applyFaults(w http.ResponseWriter, r *http.Request) bool {
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
	if !s.applyFaults(w, r) {
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

func (s *Weights) putVersion(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w, r) {
		return
	}
	version, err := strconv.ParseUint(r.PathValue("version"), 10, 64)
	if err != nil || version == 0 {
		web.Error(w, http.StatusBadRequest, "version: want a number from 1")
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxWeightsBytes))
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

func (s *Weights) getVersion(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w, r) {
		return
	}
	version, _ := strconv.ParseUint(r.PathValue("version"), 10, 64)
	e, ok := s.find(r.PathValue("model"), version)
	if !ok {
		web.Error(w, http.StatusNotFound, "no such version")
		return
	}
	f := Fetch{Model: e.info.Model, Version: version, Client: r.Header.Get(protocol.Client), StartedMS: time.Now().UnixMilli()}
	defer func() { s.recordFetch(f) }()
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(e.data)))
	w.Header().Set(protocol.WeightsModel, e.info.Model)
	w.Header().Set(protocol.WeightsVersion, strconv.FormatUint(version, 10))
	w.Header().Set(protocol.WeightsDigest, e.info.Digest)
	f.Bytes = s.sendLimited(r.Context(), w, e.data)
	f.Complete = f.Bytes == int64(len(e.data))
	if !f.Complete {
		web.Drop()
	}
}

// sendLimited writes data at the store's rate until an error, the end of ctx or
// the fault DropAfterBytes stops it. It returns the number of bytes written.
func (s *Weights) sendLimited(ctx context.Context, w io.Writer, data []byte) int64 {
	dropAfter := s.Faults.Get().DropAfterBytes
	var sent int64
	for len(data) > 0 {
		n := min(len(data), maxWriteBytes)
		if dropAfter > 0 {
			n = int(min(int64(n), dropAfter-sent))
		}
		if n == 0 || s.limiter.WaitN(ctx, n) != nil {
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

func (s *Weights) recordFetch(f Fetch) {
	f.EndedMS = time.Now().UnixMilli()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetches = append(s.fetches, f)
	s.bytesSent += f.Bytes
}

// Fetches returns all fetches that have ended.
func (s *Weights) Fetches() []Fetch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Fetch{}, s.fetches...)
}

func (s *Weights) getTruth(w http.ResponseWriter, _ *http.Request) {
	fetches := s.Fetches()
	s.mu.Lock()
	defer s.mu.Unlock()
	web.JSON(w, http.StatusOK, struct {
		Fetches   []Fetch           `json:"fetches"`
		BytesSent int64             `json:"bytes_sent"`
		Latest    map[string]uint64 `json:"latest"`
	}{fetches, s.bytesSent, s.latest})
}
