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
	patient = 20 * time.Second
)

func start(t *testing.T, cfg logsvc.Config, name string) (*logsvc.Log, *httplog.Log) {
	t.Helper()
	l := logsvc.New(cfg)
	srv := httptest.NewServer(l)
	t.Cleanup(srv.Close)
	return l, httplog.New(srv.URL, name)
}

func add(t *testing.T, c *httplog.Log, data string) uint64 {
	t.Helper()
	offset, err := c.Append(t.Context(), stream, []byte(data))
	require.NoError(t, err)
	return offset
}

// The log takes the record and its answer is lost. The appender can't tell
// this from a record that never arrived; only reading back does.
func TestLostAnswerAndLostRequestLookAlike(t *testing.T) {
	l, c := start(t, logsvc.Config{}, "a")
	l.Faults.Apply(logsvc.Faults{LoseAnswers: 1})
	_, err := c.Append(t.Context(), stream, []byte("taken"))
	require.ErrorIs(t, err, platform.ErrAppendUnknown)
	l.Faults.Apply(logsvc.Faults{LoseRequests: 1})
	_, err = c.Append(t.Context(), stream, []byte("not taken"))
	require.ErrorIs(t, err, platform.ErrAppendUnknown)
	l.Faults.Apply(logsvc.Faults{})
	require.EqualValues(t, 1, add(t, c, "next"))

	p, err := c.Read(t.Context(), stream, 0, 10, 0)
	require.NoError(t, err)
	require.Equal(t, []string{"taken", "next"}, data(p))
	require.True(t, l.Truth(0)[0].AnswerLost)
}

func data(p platform.Page) []string {
	var out []string
	for _, r := range p.Records {
		out = append(out, string(r.Data))
	}
	return out
}

func TestRefusalsAreNotTaken(t *testing.T) {
	l, c := start(t, logsvc.Config{Rate: 1e-6, Burst: 2}, "a")
	l.Faults.Apply(logsvc.Faults{Down: true})
	_, err := c.Append(t.Context(), stream, []byte("x"))
	require.ErrorIs(t, err, platform.ErrLogUnavailable)
	_, err = c.Read(t.Context(), stream, 0, 1, 0)
	require.ErrorIs(t, err, platform.ErrLogUnavailable)
	l.Faults.Apply(logsvc.Faults{})
	add(t, c, "1")
	_, err = c.Append(t.Context(), platform.StreamControl, []byte("2"))
	require.NoError(t, err)
	_, err = c.Append(t.Context(), stream, []byte("over the rate of all streams"))
	require.ErrorIs(t, err, platform.ErrRate)
	require.Len(t, l.Truth(0), 2)
}

// A reader that slept through the retention learns where the log now begins.
func TestTruncatedReadTellsWhereToGoOn(t *testing.T) {
	l, c := start(t, logsvc.Config{}, "a")
	for _, s := range []string{"0", "1", "2"} {
		add(t, c, s)
	}
	l.Truncate(stream, 2)
	p, err := c.Read(t.Context(), stream, 0, 10, 0)
	require.ErrorIs(t, err, platform.ErrTruncated)
	require.Equal(t, []uint64{2, 3}, []uint64{p.First, p.End})
	p, err = c.Read(t.Context(), stream, p.First, 10, 0)
	require.NoError(t, err)
	require.Equal(t, []string{"2"}, data(p))
}

func TestRetentionDropsOldRecords(t *testing.T) {
	_, c := start(t, logsvc.Config{Retention: 20 * time.Millisecond}, "a")
	add(t, c, "old")
	require.Eventually(t, func() bool {
		p, err := c.Read(t.Context(), stream, 1, 10, 0)
		return err == nil && p.First == 1
	}, patient, 5*time.Millisecond)
}

// Hundreds of daemons wait for the next record at once; one append wakes all.
func TestAppendWakesEveryLongPoll(t *testing.T) {
	const readers = 200
	_, c := start(t, logsvc.Config{}, "a")
	got := make(chan error, readers)
	for range readers {
		go func() {
			p, err := c.Read(t.Context(), stream, 0, 10, patient)
			if err == nil && len(p.Records) != 1 {
				err = platform.ErrTruncated
			}
			got <- err
		}()
	}
	add(t, c, "wake")
	for range readers {
		require.NoError(t, <-got)
	}
}

// A cut process loses the long poll that it holds, and every later request;
// others go on.
func TestCutClientAlone(t *testing.T) {
	l := logsvc.New(logsvc.Config{})
	srv := httptest.NewServer(l)
	t.Cleanup(srv.Close)
	cut, other := httplog.New(srv.URL, "cut"), httplog.New(srv.URL, "other")
	held := make(chan error, 1)
	go func() {
		_, err := cut.Read(t.Context(), stream, 0, 10, patient)
		held <- err
	}()
	l.Faults.Apply(logsvc.Faults{DropClients: []string{"cut"}})
	require.Error(t, <-held)
	_, err := cut.Append(t.Context(), stream, []byte("x"))
	require.ErrorIs(t, err, platform.ErrAppendUnknown)
	require.EqualValues(t, 0, add(t, other, "y"))
}
