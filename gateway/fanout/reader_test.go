package fanout

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"dandelionsill.org/base/boottime"
	"dandelionsill.org/base/sleep"
	"dandelionsill.org/decide/fanout"
	"dandelionsill.org/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	testStream  = "jobs"
	otherStream = "feed"
	maxTime     = 30 * time.Second
)

// memoryLog is a log in memory that counts who reads from it.
type memoryLog struct {
	mu      sync.Mutex
	changed chan struct{}
	records []platform.Record
	down    bool
	// unavailable is a stream that can't be read.
	unavailable string
}

func (l *memoryLog) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *memoryLog) append(data string) {
	l.update(func() {
		l.records = append(l.records, platform.Record{Offset: uint64(len(l.records)), Data: []byte(data)})
	})
}

// memberLog is the log as one process reads it.
type memberLog struct {
	*memoryLog
	reads atomic.Int64
	cut   atomic.Bool // this process can't reach the log
}

func (l *memberLog) Read(ctx context.Context, stream string, from uint64, _ int, wait time.Duration) (platform.Page, error) {
	l.reads.Add(1)
	timeout := time.After(wait)
	for {
		l.mu.Lock()
		end, changed, down := uint64(len(l.records)), l.changed, l.down || stream == l.unavailable
		page := platform.Page{Next: max(from, end), End: end}
		if from < end {
			page.Records = append(page.Records, l.records[from:]...)
		}
		l.mu.Unlock()
		if down || l.cut.Load() {
			return platform.Page{Next: from}, platform.ErrLogUnavailable
		}
		if len(page.Records) > 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return page, nil
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}

func (l *memberLog) ReadNewest(ctx context.Context, stream string) (platform.Page, error) {
	return l.Read(ctx, stream, 0, 0, 0)
}

// process is a gateway, or an agent, that follows the log.
type process struct {
	self    fanout.Member
	log     *memberLog
	reader  *Reader
	server  *httptest.Server
	frozen  atomic.Bool // its server gives no answers
	next    atomic.Uint64
	failed  atomic.Int64 // number of reads
	members []fanout.Member
	stop    context.CancelFunc
	done    chan struct{}
}

func (p *process) Members() []fanout.Member { return p.members }

func (p *process) Loaded() <-chan struct{} {
	closed := make(chan struct{})
	close(closed)
	return closed
}

// follow reads the stream until ctx ends.
func (p *process) follow(ctx context.Context) {
	defer close(p.done)
	for ctx.Err() == nil {
		page, err := p.reader.Read(ctx, testStream, p.next.Load(), 0, time.Second)
		if err != nil {
			p.failed.Add(1)
			sleep.For(ctx, 5*time.Millisecond) // the pause of a caller that repeats a read
			continue
		}
		p.next.Store(page.Next)
	}
}

// fleet is a failure domain of processes.
type fleet struct {
	log       *memoryLog
	processes []*process // gateways by rank, then agents
	gateways  int
}

// newFleet starts a failure domain; all its processes follow the log.
func newFleet(t *testing.T, gateways, agents int) *fleet {
	f := &fleet{log: &memoryLog{changed: make(chan struct{})}, gateways: gateways}
	var members []fanout.Member
	for i := range gateways + agents {
		p := &process{self: fanout.Member{VM: fmt.Sprintf("vm-%d", i), FailureDomain: "a"}, log: &memberLog{memoryLog: f.log}, done: make(chan struct{})}
		f.processes = append(f.processes, p)
		if i >= gateways {
			continue
		}
		p.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if p.frozen.Load() {
				<-r.Context().Done()
				return
			}
			p.reader.ServeHTTP(w, r)
		}))
		p.self.Addr = p.server.Listener.Addr().String()
		members = append(members, p.self)
	}
	for _, p := range f.processes {
		for _, m := range members {
			if m.VM != p.self.VM {
				p.members = append(p.members, m)
			}
		}
		p.reader = NewReader(Config{Self: p.self, Log: p.log, Gateways: p, Streams: []Stream{{Name: testStream}, {Name: otherStream}}, Now: boottime.Now, Logger: zap.NewNop()})
		p.reader.started -= maxStartTime
	}
	f.start(t)
	return f
}

func (f *fleet) start(t *testing.T) {
	for _, p := range f.processes {
		ctx, cancel := context.WithCancel(context.Background())
		p.stop = cancel
		go p.follow(ctx)
	}
	t.Cleanup(func() {
		for _, p := range f.processes {
			p.stop()
		}
		for _, p := range f.processes {
			<-p.done
			p.reader.http.CloseIdleConnections()
		}
		for _, p := range f.processes {
			if p.server != nil {
				p.server.CloseClientConnections()
				p.server.Close()
			}
		}
	})
}

// roots returns the gateways that read from the log.
func (f *fleet) roots() []*process {
	var roots []*process
	for _, p := range f.processes {
		if p.reader.Mode() == ModeRoot {
			roots = append(roots, p)
		}
	}
	return roots
}

// appendAndWait appends a record and waits until all processes have read it, except those that
// excluded returns true for.
func (f *fleet) appendAndWait(t *testing.T, excluded func(*process) bool) {
	f.log.append("record")
	end := uint64(len(f.log.records))
	require.Eventually(t, func() bool {
		for _, p := range f.processes {
			if !excluded(p) && p.next.Load() < end {
				return false
			}
		}
		return true
	}, maxTime, time.Millisecond)
}

func none(*process) bool { return false }

// Guards against a load on the log that grows with the fleet: all processes get each record,
// while only the roots read from the log.
func TestRecordsReachAllThroughRoots(t *testing.T) {
	f := newFleet(t, 120, 40)
	for range 5 {
		f.appendAndWait(t, none)
	}
	require.Len(t, f.roots(), 3)
	for _, p := range f.processes {
		if p.reader.Mode() == ModeChild {
			require.Zero(t, p.log.reads.Load(), p.self.VM)
		}
	}
}

// Guards against processes that read nothing any more after gateways were frozen, were killed, or
// lost their connection to the log: first one root, then all.
func TestReadersReplaceFailedRoots(t *testing.T) {
	for name, fail := range map[string]func(*process){
		"frozen":          func(p *process) { p.frozen.Store(true); p.stop() },
		"killed":          func(p *process) { p.stop(); p.server.CloseClientConnections(); p.server.Listener.Close() },
		"cut off the log": func(p *process) { p.log.cut.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 110, 10)
			f.appendAndWait(t, none)
			roots := f.roots()
			failed := map[*process]bool{}
			isFailed := func(p *process) bool { return failed[p] }
			for _, root := range roots {
				fail(root)
				failed[root] = true
				f.appendAndWait(t, isFailed)
			}
		})
	}
}

// Guards against all processes reading from the log when it is available again after an outage,
// or in the outage: then only those read that read from it before.
func TestOutageOfLogAddsNoReaders(t *testing.T) {
	f := newFleet(t, 120, 10)
	f.appendAndWait(t, none)
	f.log.update(func() { f.log.down = true })
	require.Eventually(t, func() bool {
		for _, p := range f.processes {
			if p.failed.Load() == 0 {
				return false
			}
		}
		return true
	}, maxTime, time.Millisecond, "all notice the outage")
	f.log.update(func() { f.log.down = false })
	f.appendAndWait(t, none)
	for _, p := range f.processes {
		if p.reader.Mode() == ModeChild {
			require.LessOrEqual(t, p.log.reads.Load(), int64(1), p.self.VM)
		}
	}
}

// Guards against a stream that nobody follows any more because another one is unavailable.
func TestUnavailableStreamStopsNoOther(t *testing.T) {
	f := newFleet(t, 110, 0)
	f.appendAndWait(t, none)
	f.log.update(func() { f.log.unavailable = otherStream })
	ctx, cancel := context.WithCancel(t.Context())
	var readers sync.WaitGroup
	var failed atomic.Int64
	for _, p := range f.processes {
		readers.Go(func() {
			for ctx.Err() == nil {
				if _, err := p.reader.Read(ctx, otherStream, 0, 0, time.Second); err != nil {
					failed.Add(1)
				}
				sleep.For(ctx, 5*time.Millisecond)
			}
		})
	}
	require.Eventually(t, func() bool { return failed.Load() > 500 }, maxTime, time.Millisecond)
	for _, p := range f.processes {
		p.failed.Store(0)
	}
	for range 10 {
		f.appendAndWait(t, none)
	}
	for _, p := range f.processes {
		require.Zero(t, p.failed.Load(), p.self.VM)
	}
	cancel()
	readers.Wait()
}

// Guards against a process that takes a list from a gateway that has read less than itself, and
// brings back what was removed.
func TestOlderListIsNotUsed(t *testing.T) {
	parent := httptest.NewServer(nil)
	t.Cleanup(parent.Close)
	config := Config{Streams: []Stream{{Name: "list", KeyOf: splitPair}}, Now: boottime.Now, Logger: zap.NewNop()}
	behind := NewReader(config)
	behind.buffers["list"].replaceNewest(platform.Page{Next: 4, Records: []platform.Record{{Offset: 1, Data: []byte("a=1")}}}, boottime.Now())
	parent.Config.Handler = behind

	p := &process{}
	for i := range 120 {
		p.members = append(p.members, fanout.Member{VM: fmt.Sprintf("vm-%d", i), Addr: parent.Listener.Addr().String(), FailureDomain: "a"})
	}
	log := &memberLog{memoryLog: &memoryLog{changed: make(chan struct{})}}
	config.Self, config.Gateways, config.Log = fanout.Member{VM: "agent", FailureDomain: "a"}, p, log
	r := NewReader(config)
	t.Cleanup(r.http.CloseIdleConnections)
	page, err := r.ReadNewest(t.Context(), "list")
	require.NoError(t, err)
	require.Equal(t, []string{"a=1"}, dataOf(page))

	r.started -= maxStartTime
	r.buffers["list"].add(4, pageOf(4, "a="), boottime.Now())
	_, err = r.ReadNewest(t.Context(), "list")
	require.ErrorIs(t, err, platform.ErrLogUnavailable)
	require.Zero(t, log.reads.Load())
}
