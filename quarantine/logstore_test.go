package quarantine_test

import (
	"context"
	"math"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/adapters/httplog"
	"dandelionsill.org/decide/poison"
	"dandelionsill.org/platform"
	"dandelionsill.org/quarantine"
	"dandelionsill.org/standin/logsvc"
)

// noPeers implements quarantine.Peers for a process without peers.
type noPeers struct{}

func (noPeers) Addrs() []string                                         { return nil }
func (noPeers) Send(context.Context, string, []quarantine.Change) error { return nil }

// startWithLogStore starts the quarantine of a process without peers, which is stopped at the test's end.
func startWithLogStore(t *testing.T, url string) *quarantine.Quarantine {
	log := httplog.New(url, "p")
	q := quarantine.New(zap.NewNop())
	q.EnableSharing(quarantine.NewLogStore(log), noPeers{}, 0)
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	loops.Go(func() { q.Run(ctx) })
	t.Cleanup(func() { cancel(); loops.Wait(); log.Close() })
	require.Eventually(t, q.Initialized, testTimeout, time.Millisecond)
	return q
}

// With a platform that has only a log without keys, processes that reach none of their peers
// must still receive each other's crashes, and so must a process that starts later.
func TestQuarantineWithLogStore(t *testing.T) {
	service := httptest.NewServer(logsvc.New(logsvc.Config{}))
	defer service.Close()
	start := func() *quarantine.Quarantine { return startWithLogStore(t, service.URL) }
	one, two := start(), start()
	for _, server := range []string{"s1", "s2", "s3"} {
		one.RecordCrash("r", server)
	}
	one.RecordCrash("suspect", "s9")
	one.RecordNoAnswer("suspect")
	requireVerdict(t, two, "r", poison.Quarantined)
	requireVerdict(t, two, "suspect", poison.Suspect)
	one.RecordCompletion("suspect")
	requireVerdict(t, two, "suspect", poison.Clear)
	three := start()
	require.Equal(t, poison.Quarantined, three.Verdict("r"))
	require.Equal(t, poison.Clear, three.Verdict("suspect"))
}

// Failure: the log has expired the records of a quarantine when a process reads it again after an outage. Guards
// against a quarantine that ends early: a log without keys lists only what it still holds.
func TestQuarantineOutlivesItsRecordsInALog(t *testing.T) {
	logs := logsvc.New(logsvc.Config{})
	var isDown atomic.Bool
	var refused atomic.Int64
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isDown.Load() {
			refused.Add(1)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		logs.ServeHTTP(w, r)
	}))
	defer service.Close()
	one, two := startWithLogStore(t, service.URL), startWithLogStore(t, service.URL)
	for _, server := range []string{"s1", "s2", "s3"} {
		one.RecordCrash("r", server)
	}
	requireVerdict(t, two, "r", poison.Quarantined)
	isDown.Store(true)
	service.CloseClientConnections()
	const bothRead = 6 // more than one process sends before the other one notices
	require.Eventually(t, func() bool { return refused.Load() >= bothRead }, testTimeout, time.Millisecond)
	logs.Truncate(platform.StreamCrashes, math.MaxUint64)
	isDown.Store(false)
	one.RecordCrash("later", "s9")
	one.RecordNoAnswer("later")
	requireVerdict(t, two, "later", poison.Suspect)
	require.Equal(t, poison.Quarantined, two.Verdict("r"))
}

// Of the records with the same key only the newest is returned, and none if the key was
// dropped. Records that can't be decoded are skipped.
func TestLogStoreNewest(t *testing.T) {
	service := httptest.NewServer(logsvc.New(logsvc.Config{}))
	defer service.Close()
	log := httplog.New(service.URL, "p")
	defer log.Close()
	store := quarantine.NewLogStore(log)
	ctx := t.Context()
	put := func(key, value string) {
		require.NoError(t, store.PutAll(ctx, "x", []platform.KeyedRecord{{Key: key, Value: []byte(value)}}))
	}
	put("a", "1")
	put("b", "1")
	put("a", "2")
	put("b", "")
	_, err := log.Append(ctx, "x", []byte("of another release"))
	require.NoError(t, err)
	records, next, err := store.Newest(ctx, "x")
	require.NoError(t, err)
	require.Equal(t, []platform.KeyedRecord{{Key: "a", Value: []byte("2")}}, records)
	put("c", "1")
	records, _, err = store.ReadKeyed(ctx, "x", next, testTimeout)
	require.NoError(t, err)
	require.Equal(t, []platform.KeyedRecord{{Key: "c", Value: []byte("1")}}, records)
}
