package once

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	fold "dandelionsill.org/fold/once"
	"dandelionsill.org/platform"
)

const latency = 2 * time.Millisecond

// appendOutcome is how the fake log handles one append.
type appendOutcome uint8

const (
	stored           appendOutcome = iota
	storedUnanswered               // stored, but the answer is lost
	requestLost                    // not stored; looks like a lost answer
	storedLate                     // stored one second after the agent got the error of a lost answer
	refused                        // the log is unavailable
	rateLimited
)

// fakeLog is one stream in memory. Its latency passes in the test's virtual time.
type fakeLog struct {
	mu          sync.Mutex
	records     []platform.Record
	appends     int
	reads       int
	changed     chan struct{}
	nextOutcome func() appendOutcome // called for each append; nil: all are stored
	failReads   bool
}

func newFakeLog() *fakeLog { return &fakeLog{changed: make(chan struct{})} }

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) (uint64, error) {
	time.Sleep(latency)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	outcome := stored
	if l.nextOutcome != nil {
		outcome = l.nextOutcome()
	}
	switch outcome {
	case refused:
		return 0, platform.ErrLogUnavailable
	case rateLimited:
		return 0, platform.ErrRate
	case requestLost:
		return 0, platform.ErrAppendUnknown
	case storedLate:
		time.AfterFunc(time.Second, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.addRecord(data)
		})
		return 0, platform.ErrAppendUnknown
	}
	l.addRecord(data)
	if outcome == storedUnanswered {
		return 0, platform.ErrAppendUnknown
	}
	return uint64(len(l.records) - 1), nil
}

func (l *fakeLog) addRecord(data []byte) {
	l.records = append(l.records, platform.Record{Offset: uint64(len(l.records)), Time: time.Now(), Data: data})
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *fakeLog) Read(ctx context.Context, _ string, from uint64, limit int, wait time.Duration) (platform.Page, error) {
	time.Sleep(latency)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	l.mu.Lock()
	l.reads++
	l.mu.Unlock()
	for {
		l.mu.Lock()
		end, changed := uint64(len(l.records)), l.changed
		if l.failReads {
			l.mu.Unlock()
			return platform.Page{}, platform.ErrLogUnavailable
		}
		if from < end || wait == 0 {
			from = min(from, end)
			to := min(end, from+uint64(limit))
			page := platform.Page{Records: l.records[from:to], Next: to, End: end}
			l.mu.Unlock()
			return page, nil
		}
		l.mu.Unlock()
		select {
		case <-ctx.Done():
			return platform.Page{}, ctx.Err()
		case <-timer.C:
			wait = 0
		case <-changed:
		}
	}
}

// dropRecords removes all records, as a log that has lost its data.
func (l *fakeLog) dropRecords() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = nil
}

func (l *fakeLog) setOutcomes(nextOutcome func() appendOutcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextOutcome = nextOutcome
}

func (l *fakeLog) appendCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// alwaysOutcome returns a function that gives every append the same outcome.
func alwaysOutcome(outcome appendOutcome) func() appendOutcome {
	return func() appendOutcome { return outcome }
}

var testLimits = Limits{Window: 10 * time.Minute, Skew: time.Second, MinInterval: time.Millisecond}

// start runs a new table, which is a new incarnation of the agent, until the test
// ends or stop is called.
func start(t testing.TB, log platform.Log, name string) (table *Table, stop func()) {
	table = newTable(log, name)
	return table, run(t, table)
}

// run runs a table until the test ends or stop is called.
func run(t testing.TB, table *Table) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		table.Run(ctx)
	}()
	stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return stop
}

func newTable(log platform.Log, name string) *Table {
	return New(Config{
		Owner: fold.Owner{Name: name, Incarnation: uuid.NewString()}, Service: "orders", Log: log,
		Limits: func() Limits { return testLimits },
	})
}

// newKey returns a random key that was issued at the given time.
func newKey(at time.Time) fold.Key {
	var u uuid.UUID
	for i := range u {
		u[i] = byte(rand.Uint32())
	}
	ms := at.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (8 * (5 - i)))
	}
	u[6], u[8] = 0x70|u[6]&0xf, 0x80|u[8]&0x3f
	return fold.Key{Caller: "shop", ID: u}
}

func newRequest() Request { return Request{Key: newKey(time.Now()), Hash: fold.Hash{1}} }
