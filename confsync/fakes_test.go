package confsync

import (
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"dandelionsill.org/base/sleep"
	"dandelionsill.org/fold/control"
	"dandelionsill.org/manifest"
	"dandelionsill.org/platform"
	"dandelionsill.org/wire/pb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var (
	signer   = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	testKeys = manifest.Keys{"k": signer.Public().(ed25519.PublicKey)}
)

// retention is the log retention in the test manifests. It is short because the
// tests run all exchanges that fall into their virtual time.
const retention = 6 * time.Minute

// revision returns a signed revision; tag distinguishes two contents.
func revision(number uint64, tag string) *pb.SignedRevision {
	text := fmt.Sprintf("# %s\n[fleet]\nname = f\nlog_retention = %s\nkey_window = 1m\n", tag, retention)
	return manifest.Sign(signer, "k", number, number-1, []byte(text))
}

// fakeLog is the platform's log in memory, with faults that a test can set.
type fakeLog struct {
	mu      sync.Mutex
	records []platform.Record // all records ever appended
	first   uint64            // earlier records are truncated
	changed chan struct{}

	retain       time.Duration // 0: no truncation by age
	down         bool
	loseAnswers  bool
	disconnected map[string]bool
}

func newFakeLog() *fakeLog {
	return &fakeLog{changed: make(chan struct{}), disconnected: map[string]bool{}}
}

// setFaults changes faults and wakes the waiting readers.
func (l *fakeLog) setFaults(change func(l *fakeLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
	l.notifyReaders()
}

func (l *fakeLog) notifyReaders() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *fakeLog) truncate() {
	for l.retain > 0 && l.first < uint64(len(l.records)) && time.Since(l.records[l.first].Time) > l.retain {
		l.first++
	}
}

// retained returns the records that a reader can still get.
func (l *fakeLog) retained() []platform.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.truncate()
	return l.records[l.first:]
}

// commit appends a commit as the pipeline does, regardless of the faults.
func (l *fakeLog) commit(rev *pb.SignedRevision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(control.EncodeCommit(fmt.Sprint("c", len(l.records)), rev))
}

func (l *fakeLog) add(data []byte) uint64 {
	offset := uint64(len(l.records))
	l.records = append(l.records, platform.Record{Offset: offset, Time: time.Now(), Data: data})
	l.notifyReaders()
	return offset
}

// client returns the log as one process sees it.
func (l *fakeLog) client(name string) platform.Log { return logClient{l, name} }

type logClient struct {
	*fakeLog
	name string
}

func (c logClient) unavailable() bool { return c.down || c.disconnected[c.name] }

func (c logClient) Append(_ context.Context, _ string, data []byte) (uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unavailable() {
		return 0, platform.ErrLogUnavailable
	}
	offset := c.add(data)
	if c.loseAnswers {
		return 0, platform.ErrAppendUnknown
	}
	return offset, nil
}

func (c logClient) Read(ctx context.Context, _ string, from uint64, records int, wait time.Duration) (platform.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, changed, err := c.page(from, records)
		if err != nil || len(page.Records) > 0 || page.End < from {
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}

func (c logClient) page(from uint64, records int) (platform.Page, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.truncate()
	if c.unavailable() {
		return platform.Page{}, nil, platform.ErrLogUnavailable
	}
	page := platform.Page{First: c.first, End: uint64(len(c.records)), Next: from}
	if from < c.first {
		return page, nil, platform.ErrTruncated
	}
	if from < page.End {
		page.Records = c.records[from:min(page.End, from+uint64(records))]
		page.Next = from + uint64(len(page.Records))
	}
	return page, c.changed, nil
}

// site is a set of processes with one log and a network in memory. It runs in a
// synctest bubble: time is virtual and stands still while any goroutine runs.
type site struct {
	t    require.TestingT
	log  *fakeLog
	seed uint64

	latency time.Duration // of an exchange

	mu          sync.Mutex
	names       []string // of the running processes; copied on write
	keepers     map[string]*Keeper
	stops       map[string]func()
	partitioned func(a, b string) bool // whether a can't reach b
}

func newSite(t require.TestingT) *site {
	return &site{t: t, log: newFakeLog(), keepers: map[string]*Keeper{}, stops: map[string]func(){}, partitioned: func(a, b string) bool { return false }}
}

// inBubble runs a test with virtual time.
func inBubble(t *testing.T, test func(t *testing.T, s *site)) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		defer s.stopAll()
		test(t, s)
	})
}

func (s *site) addresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.names
}

// start starts a process. Its name is also its address.
func (s *site) start(name string) *Keeper {
	s.seed++
	source := rand.New(rand.NewPCG(s.seed, 1))
	var mu sync.Mutex
	random := func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return source.Float64()
	}
	k, err := newKeeper(Config{Name: name, Addr: name, Log: s.log.client(name), Keys: testKeys, Peers: s.addresses}, memoryExchanger{s, name}, random)
	require.NoError(s.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.Run(ctx)
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keepers[name] = k
	s.names = append(slices.Clone(s.names), name)
	s.stops[name] = func() { cancel(); <-done }
	return k
}

func (s *site) startMany(n int) {
	for i := range n {
		s.start(fmt.Sprint("p", i))
	}
}

func (s *site) get(name string) *Keeper {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keepers[name]
}

func (s *site) stop(name string) {
	s.mu.Lock()
	stop := s.stops[name]
	delete(s.keepers, name)
	delete(s.stops, name)
	s.names = slices.DeleteFunc(slices.Clone(s.names), func(n string) bool { return n == name })
	s.mu.Unlock()
	stop()
}

func (s *site) stopAll() {
	for _, name := range s.addresses() {
		s.stop(name)
	}
}

// awaitAll waits in virtual time until the condition holds for all processes.
func (s *site) awaitAll(limit time.Duration, what string, holds func(k *Keeper) bool) {
	deadline := time.Now().Add(limit)
	for _, name := range s.addresses() {
		k := s.get(name)
		for !holds(k) {
			timer := time.NewTimer(time.Until(deadline))
			select {
			case <-k.Changed():
				timer.Stop()
			case <-timer.C:
				require.True(s.t, holds(k), "%s at %s: %+v", what, name, k.Status())
			}
		}
	}
}

// awaitRevision waits until the revision is in force at all processes.
func (s *site) awaitRevision(limit time.Duration, number uint64) {
	s.awaitAll(limit, fmt.Sprint("revision ", number), func(k *Keeper) bool { return k.View().Number == number })
}

// memoryExchanger passes one process's exchanges on in memory, encoded as on a
// real network.
type memoryExchanger struct {
	site *site
	from string
}

var errUnreachable = errors.New("unreachable")

func (e memoryExchanger) exchange(ctx context.Context, addr string, req *pb.ExchangeRequest) (*pb.ExchangeReply, error) {
	sleep.For(ctx, e.site.latency)
	peer := e.site.get(addr)
	if peer == nil || e.site.partitioned(e.from, addr) {
		return nil, errUnreachable
	}
	reply, err := peer.Exchange(ctx, roundTrip(e.site.t, req))
	return roundTrip(e.site.t, reply), err
}

func (memoryExchanger) Close() {}

// roundTrip encodes and decodes a message.
func roundTrip[M proto.Message](t require.TestingT, m M) M {
	data, err := proto.Marshal(m)
	require.NoError(t, err)
	decoded := m.ProtoReflect().New().Interface().(M)
	require.NoError(t, proto.Unmarshal(data, decoded))
	return decoded
}
