package fanout

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/decide/fanout"
	"dandelionsill.org/platform"
)

// Properties of the modelled log: its bandwidth, and when its clients stop to wait for an answer.
const (
	logBytesPerS = 80e6
	logLatency   = 4 * time.Millisecond
	logTimeout   = 900 * time.Millisecond
	// entryBytes is the size of a server's entry; each server writes it every heartbeatInterval.
	entryBytes        = 370
	heartbeatInterval = 2 * time.Second
)

// modelLog is a log whose answers share a bandwidth, in virtual time. Its stream consists of the
// entries that a number of servers write regularly.
type modelLog struct {
	mu        sync.Mutex
	started   time.Time
	servers   int
	busyUntil time.Time
	bytes     int64
	calls     int
	down      bool
}

// end returns the number of entries written so far; mu is held.
func (l *modelLog) end() uint64 {
	return uint64(time.Since(l.started).Seconds() * float64(l.servers) / heartbeatInterval.Seconds())
}

func (l *modelLog) record(offset uint64) platform.Record {
	data := make([]byte, entryBytes)
	copy(data, fmt.Sprintf("server-%d=ready %d ", offset%uint64(l.servers), offset))
	return platform.Record{Offset: offset, Data: data}
}

// answer returns the records from an offset on, after the time that the log needs for them.
func (l *modelLog) answer(ctx context.Context, from func(end uint64) uint64) (platform.Page, error) {
	l.mu.Lock()
	l.calls++
	end := l.end()
	page := platform.Page{Next: end, End: end}
	for offset := from(end); offset < end; offset++ {
		page.Records = append(page.Records, l.record(offset))
	}
	size := len(page.Records) * entryBytes
	l.bytes += int64(size)
	start := time.Now()
	if l.busyUntil.After(start) {
		start = l.busyUntil
	}
	l.busyUntil = start.Add(time.Duration(float64(size) / logBytesPerS * float64(time.Second)))
	done, down := l.busyUntil.Add(logLatency), l.down
	l.mu.Unlock()
	if down {
		return platform.Page{}, platform.ErrLogUnavailable
	}
	if time.Until(done) > logTimeout {
		time.Sleep(logTimeout)
		return platform.Page{}, fmt.Errorf("%w: timeout", platform.ErrLogUnavailable)
	}
	time.Sleep(time.Until(done))
	return page, ctx.Err()
}

func (l *modelLog) Read(ctx context.Context, _ string, from uint64, _ int, wait time.Duration) (platform.Page, error) {
	l.mu.Lock()
	isEmpty := l.end() <= from
	l.mu.Unlock()
	if isEmpty {
		time.Sleep(wait)
	}
	return l.answer(ctx, func(uint64) uint64 { return from })
}

func (l *modelLog) ReadNewest(ctx context.Context, _ string) (platform.Page, error) {
	return l.answer(ctx, func(end uint64) uint64 { return end - min(end, uint64(l.servers)) })
}

// totals returns the bytes and calls of all processes so far.
func (l *modelLog) totals() (int64, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes, l.calls
}

func (l *modelLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// modelProcess is a process of a modelled fleet.
type modelProcess struct {
	reader  *Reader
	members []fanout.Member
	mu      sync.Mutex
	read    time.Time // when the last read that succeeded was sent, less its page's age
}

func (p *modelProcess) Members() []fanout.Member { return p.members }

func (p *modelProcess) Loaded() <-chan struct{} {
	closed := make(chan struct{})
	close(closed)
	return closed
}

// follow reads the list, and then the changes, until ctx ends.
func (p *modelProcess) follow(ctx context.Context) {
	for ctx.Err() == nil {
		page, err := p.reader.ReadNewest(ctx, testStream)
		for err == nil && ctx.Err() == nil {
			sent := time.Now()
			next := page.Next
			if page, err = p.reader.Read(ctx, testStream, next, 0, time.Second); err != nil {
				break
			}
			p.mu.Lock()
			p.read = sent.Add(-page.Age)
			p.mu.Unlock()
			time.Sleep(60*time.Millisecond - time.Since(sent))
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (p *modelProcess) readAge() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.read)
}

// modelFleet is a fleet in virtual time. It carries the calls between its processes without
// sockets.
type modelFleet struct {
	log       *modelLog
	processes []*modelProcess
	byAddr    map[string]*modelProcess
	stop      func()
}

func (f *modelFleet) RoundTrip(r *http.Request) (*http.Response, error) {
	answer := httptest.NewRecorder()
	f.byAddr[r.URL.Host].reader.ServeHTTP(answer, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return answer.Result(), nil
}

// startModelFleet starts a number of processes in five failure domains, two of three of them
// gateways.
func startModelFleet(processes, servers int) *modelFleet {
	f := &modelFleet{log: &modelLog{started: time.Now().Add(-time.Hour), servers: servers}, byAddr: map[string]*modelProcess{}}
	var gateways []fanout.Member
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	f.stop = func() { cancel(); loops.Wait() }
	start := time.Now()
	for i := range processes {
		self := fanout.Member{VM: fmt.Sprintf("vm-%d", i), FailureDomain: fmt.Sprintf("zone-%d", i%5)}
		p := &modelProcess{}
		f.processes = append(f.processes, p)
		if i%3 != 0 {
			self.Addr = fmt.Sprintf("vm-%d:1", i)
			f.byAddr[self.Addr] = p
			gateways = append(gateways, self)
		}
		p.reader = NewReader(Config{
			Self: self, Log: f.log, Gateways: p, Streams: []Stream{{Name: testStream, KeyOf: splitPair, IsRepeat: isSameWord}},
			Now: func() time.Duration { return time.Since(start) + time.Second }, Logger: zap.NewNop(), Transport: f,
		})
	}
	for _, p := range f.processes {
		self := p.reader.cfg.Self.VM
		for _, g := range gateways {
			if g.VM != self {
				p.members = append(p.members, g)
			}
		}
		loops.Go(func() { p.follow(ctx) })
	}
	return f
}

// oldestRead returns the age of what the process knows that is furthest behind.
func (f *modelFleet) oldestRead() time.Duration {
	oldest := time.Duration(0)
	for _, p := range f.processes {
		oldest = max(oldest, p.readAge())
	}
	return oldest
}

// Guards against a load on the log that grows with the square of the fleet. 983 processes that
// each followed the entries of 430 servers asked more bytes than the log gives, took its late
// answers for an outage, and never followed it again.
func TestLoadOnLogAtFleetSizes(t *testing.T) {
	loadOf := func(processes int) (bytesPerS, callsPerS float64) {
		synctest.Test(t, func(t *testing.T) {
			f := startModelFleet(processes, 430)
			defer f.stop()
			time.Sleep(2 * time.Second)
			require.Less(t, f.oldestRead(), time.Second, "%d processes", processes)
			bytes, calls := f.log.totals()
			const seconds = 2
			time.Sleep(seconds * time.Second)
			require.Less(t, f.oldestRead(), time.Second, "%d processes", processes)
			laterBytes, laterCalls := f.log.totals()
			bytesPerS, callsPerS = float64(laterBytes-bytes)/seconds, float64(laterCalls-calls)/seconds
		})
		return bytesPerS, callsPerS
	}
	bytes, calls := loadOf(300)
	for _, processes := range []int{983, 2000} {
		moreBytes, moreCalls := loadOf(processes)
		require.InEpsilon(t, bytes, moreBytes, 0.1, "%d processes", processes)
		require.InEpsilon(t, calls, moreCalls, 0.1, "%d processes", processes)
	}
	require.Less(t, bytes, logBytesPerS/20)
}

// Guards against a log that does not recover from an outage because all processes read from it
// at once: each process is up to date again within two seconds.
func TestFleetRecoversFromOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startModelFleet(983, 430)
		defer f.stop()
		time.Sleep(2 * time.Second)
		f.log.setDown(true)
		time.Sleep(5 * time.Second)
		f.log.setDown(false)
		time.Sleep(2 * time.Second)
		require.Less(t, f.oldestRead(), time.Second)
	})
}
