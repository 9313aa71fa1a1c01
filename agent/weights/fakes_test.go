package weights

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/confsync"
	"dandelionsill.org/manifest"
	"dandelionsill.org/platform"
)

// fakeEngine executes orders with onOrder, which a test replaces.
type fakeEngine struct {
	platform.Engine
	mu      sync.Mutex
	st      platform.EngineState
	err     error
	tokens  []uint64 // tokens of the orders received
	onOrder func(*fakeEngine, platform.WeightInfo, uint64) error
}

func (e *fakeEngine) State(context.Context) (platform.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.st, e.err
}

func (e *fakeEngine) LoadWeights(_ context.Context, info platform.WeightInfo, data io.Reader, token uint64) error {
	if _, err := io.Copy(io.Discard, data); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tokens = append(e.tokens, token)
	return e.onOrder(e, info, token)
}

func (e *fakeEngine) set(change func(*platform.EngineState)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.st)
}

func (e *fakeEngine) orders() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.tokens)
}

func obeyOrder(e *fakeEngine, info platform.WeightInfo, token uint64) error {
	if token < e.st.Order {
		return platform.ErrFenced
	}
	e.st.Version, e.st.State, e.st.Order = info.Version, stateServing, token
	return nil
}

type fakeLog struct {
	mu         sync.Mutex
	records    []platform.Record
	first      uint64
	down       bool
	loseAnswer bool
}

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, platform.ErrLogUnavailable
	}
	offset := l.first + uint64(len(l.records))
	l.records = append(l.records, platform.Record{Offset: offset, Data: data})
	if l.loseAnswer {
		return 0, platform.ErrAppendUnknown
	}
	return offset, nil
}

func (l *fakeLog) Read(_ context.Context, _ string, from uint64, _ int, _ time.Duration) (platform.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := l.first + uint64(len(l.records))
	p := platform.Page{Next: end, First: l.first, End: end}
	switch {
	case l.down:
		return platform.Page{}, platform.ErrLogUnavailable
	case from < l.first:
		return p, platform.ErrTruncated
	}
	p.Records = l.records[min(from, end)-l.first:]
	return p, nil
}

type fakeStore struct {
	platform.WeightStore
	mu         sync.Mutex
	fetches    int
	latest     uint64
	corrupt    bool
	maxVersion uint64 // newer versions can't be fetched; 0 means that all can
}

func weightsOf(version uint64) ([]byte, platform.WeightInfo) {
	data := bytes.Repeat([]byte{byte(version)}, 1000)
	sum := sha256.Sum256(data)
	return data, platform.WeightInfo{Model: "m", Version: version, Bytes: 1000, Digest: hex.EncodeToString(sum[:])}
}

func (s *fakeStore) Latest(context.Context, string) (platform.WeightInfo, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, info := weightsOf(s.latest)
	return info, nil
}

func (s *fakeStore) Fetch(_ context.Context, _ string, version uint64) (io.ReadCloser, platform.WeightInfo, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetches++
	if s.maxVersion != 0 && version > s.maxVersion {
		return nil, platform.WeightInfo{}, platform.ErrNotFound
	}
	data, info := weightsOf(version)
	if s.corrupt {
		data[500]++
	}
	return io.NopCloser(bytes.NewReader(data)), info, nil
}

type fakeStreams struct {
	noStreams
	mu        sync.Mutex
	discarded []string
	running   Running // only for the test's goroutine
	cancelled int
}

func (s *fakeStreams) Running() Running { return s.running }
func (s *fakeStreams) CancelUnmixed()   { s.cancelled += s.running.Unmixed }

func (s *fakeStreams) Discard(_ bool, why string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.discarded = append(s.discarded, why)
}

// testKeeper is a keeper whose engine, log, store, streams and clock are
// controlled by the test.
type testKeeper struct {
	*Keeper
	t       *testing.T
	engine  *fakeEngine
	log     *fakeLog
	store   *fakeStore
	streams *fakeStreams
	view    *confsync.View
	mu      sync.Mutex
	clock   time.Time
}

func newTestKeeper(t *testing.T, change func(*Config)) *testKeeper {
	b := &testKeeper{
		t: t, log: &fakeLog{}, store: &fakeStore{}, streams: &fakeStreams{}, clock: time.Unix(1e9, 0),
		engine: &fakeEngine{onOrder: obeyOrder, st: platform.EngineState{Boot: "b1", Model: "m", Version: 7, State: stateServing}},
		view:   &confsync.View{Manifest: &manifest.Manifest{}, Versions: map[string]uint64{"m": 7}},
	}
	cfg := Config{
		Server: "vm1", Model: "m", Engine: b.engine, Store: b.store, Log: b.log,
		View: confsync.Static{V: b.view}, Now: b.now,
	}
	if change != nil {
		change(&cfg)
	}
	b.Keeper = New(cfg)
	b.SetStreams(b.streams)
	return b
}

func (b *testKeeper) now() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.clock
}

// advance moves the clock forward as seen by a running process.
func (b *testKeeper) advance(d time.Duration) {
	b.freeze(d)
	b.pauses.markAlive()
}

// freeze moves the clock forward as seen by a paused process.
func (b *testKeeper) freeze(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.clock = b.clock.Add(d)
}

func (b *testKeeper) mustClaim() {
	b.t.Helper()
	require.NoError(b.t, b.claim.attempt(b.t.Context()))
}

// stepUntil runs steps and advances the clock until cond holds.
func (b *testKeeper) stepUntil(cond func() bool) {
	b.t.Helper()
	for range 200 {
		if cond() {
			return
		}
		b.step(b.t.Context())
		b.awaitFetch()
		b.advance(b.cfg.ReadBackInterval)
	}
	require.Fail(b.t, "the condition was not met within 200 steps")
}

// awaitFetch waits for the end of a background fetch.
func (b *testKeeper) awaitFetch() {
	require.Eventually(b.t, func() bool {
		b.copies.mu.Lock()
		defer b.copies.mu.Unlock()
		return b.copies.fetchingVersion == 0
	}, 10*time.Second, time.Millisecond)
}

func (b *testKeeper) servingVersion() uint64 {
	v, _ := b.Serving()
	return v
}

// newServingKeeper returns a keeper that holds its claim and serves the
// engine's version.
func newServingKeeper(t *testing.T, change func(*Config)) *testKeeper {
	b := newTestKeeper(t, change)
	b.mustClaim()
	b.step(t.Context())
	require.EqualValues(t, 7, b.servingVersion())
	return b
}
