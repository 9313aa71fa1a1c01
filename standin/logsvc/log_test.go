package logsvc_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/adapters/httplog"
	"dandelionsill.org/platform"
	"dandelionsill.org/standin/logsvc"
)

const (
	stream  = platform.StreamOncePrefix + "orders"
	maxWait = 20 * time.Second
)

func startLog(t *testing.T, cfg logsvc.Config, name string) (*logsvc.Log, *httplog.Log) {
	t.Helper()
	l := logsvc.New(cfg)
	srv := httptest.NewServer(l)
	t.Cleanup(srv.Close)
	return l, httplog.New(srv.URL, name)
}

func appendRecord(t *testing.T, c *httplog.Log, data string) uint64 {
	t.Helper()
	offset, err := c.Append(t.Context(), stream, []byte(data))
	require.NoError(t, err)
	return offset
}

// The log stores a record but its answer is lost. The appender cannot distinguish
// this from a record that never arrived, except by reading the stream.
func TestLostAnswerAndLostRequestAreIndistinguishable(t *testing.T) {
	l, c := startLog(t, logsvc.Config{}, "a")
	l.Faults.Apply(logsvc.Faults{LoseAnswers: 1})
	_, err := c.Append(t.Context(), stream, []byte("taken"))
	require.ErrorIs(t, err, platform.ErrAppendUnknown)
	l.Faults.Apply(logsvc.Faults{LoseRequests: 1})
	_, err = c.Append(t.Context(), stream, []byte("not taken"))
	require.ErrorIs(t, err, platform.ErrAppendUnknown)
	l.Faults.Apply(logsvc.Faults{})
	require.EqualValues(t, 1, appendRecord(t, c, "next"))

	p, err := c.Read(t.Context(), stream, 0, 10, 0)
	require.NoError(t, err)
	require.Equal(t, []string{"taken", "next"}, recordTexts(p))
	require.True(t, l.Truth(0)[0].AnswerLost)
}

func recordTexts(p platform.Page) []string {
	var out []string
	for _, r := range p.Records {
		out = append(out, string(r.Data))
	}
	return out
}

func TestRefusedAppendsAreNotStored(t *testing.T) {
	l, c := startLog(t, logsvc.Config{Rate: 1e-6, Burst: 2}, "a")
	l.Faults.Apply(logsvc.Faults{Down: true})
	_, err := c.Append(t.Context(), stream, []byte("x"))
	require.ErrorIs(t, err, platform.ErrLogUnavailable)
	_, err = c.Read(t.Context(), stream, 0, 1, 0)
	require.ErrorIs(t, err, platform.ErrLogUnavailable)
	l.Faults.Apply(logsvc.Faults{})
	appendRecord(t, c, "1")
	_, err = c.Append(t.Context(), platform.StreamControl, []byte("2"))
	require.NoError(t, err)
	_, err = c.Append(t.Context(), stream, []byte("over the rate of all streams"))
	require.ErrorIs(t, err, platform.ErrRate)
	require.Len(t, l.Truth(0), 2)
}

// A reader whose offset has fallen out of retention learns the first available
// offset.
func TestTruncatedReadReturnsFirstOffset(t *testing.T) {
	l, c := startLog(t, logsvc.Config{}, "a")
	for _, s := range []string{"0", "1", "2"} {
		appendRecord(t, c, s)
	}
	l.Truncate(stream, 2)
	p, err := c.Read(t.Context(), stream, 0, 10, 0)
	require.ErrorIs(t, err, platform.ErrTruncated)
	require.Equal(t, []uint64{2, 3}, []uint64{p.First, p.End})
	p, err = c.Read(t.Context(), stream, p.First, 10, 0)
	require.NoError(t, err)
	require.Equal(t, []string{"2"}, recordTexts(p))
}

func TestRetentionDropsOldRecords(t *testing.T) {
	_, c := startLog(t, logsvc.Config{Retention: 20 * time.Millisecond}, "a")
	appendRecord(t, c, "old")
	require.Eventually(t, func() bool {
		p, err := c.Read(t.Context(), stream, 1, 10, 0)
		return err == nil && p.First == 1
	}, maxWait, 5*time.Millisecond)
}

// Hundreds of processes wait for the next record, and one append wakes them all.
func TestAppendWakesEveryLongPoll(t *testing.T) {
	const readers = 200
	_, c := startLog(t, logsvc.Config{}, "a")
	got := make(chan error, readers)
	for range readers {
		go func() {
			p, err := c.Read(t.Context(), stream, 0, 10, maxWait)
			if err == nil && len(p.Records) != 1 {
				err = platform.ErrTruncated
			}
			got <- err
		}()
	}
	appendRecord(t, c, "wake")
	for range readers {
		require.NoError(t, <-got)
	}
}

// A client in DropClients loses its open long poll and every later request. Other
// clients are not affected.
func TestDroppedClientDoesNotAffectOthers(t *testing.T) {
	l := logsvc.New(logsvc.Config{})
	srv := httptest.NewServer(l)
	t.Cleanup(srv.Close)
	dropped, other := httplog.New(srv.URL, "cut"), httplog.New(srv.URL, "other")
	pollErr := make(chan error, 1)
	go func() {
		_, err := dropped.Read(t.Context(), stream, 0, 10, maxWait)
		pollErr <- err
	}()
	l.Faults.Apply(logsvc.Faults{DropClients: []string{"cut"}})
	require.Error(t, <-pollErr)
	_, err := dropped.Append(t.Context(), stream, []byte("x"))
	require.ErrorIs(t, err, platform.ErrAppendUnknown)
	require.EqualValues(t, 0, appendRecord(t, other, "y"))
}
