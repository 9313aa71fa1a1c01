package front

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"dandelionsill.org/confsync"
	"dandelionsill.org/decide/route"
	"dandelionsill.org/entry/answer"
	"dandelionsill.org/kinds"
	"dandelionsill.org/manifest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const manifestText = `
[fleet]
name = test
max_body_bytes = 1KiB
[model drafter]
[caller shop]
token_sha256 = e3b98a4da31a127d4bde6e43033f66ba274cab0eb7eb1c70ec41402bf6273dd8
allow = drafter
rate = 1
burst = 2
concurrent = 2
`

func testView(t *testing.T) confsync.Static {
	m, err := manifest.Parse("test", []byte(manifestText))
	require.NoError(t, err)
	return confsync.Static{V: &confsync.View{Number: 3, Manifest: m}}
}

func echoBody(_ context.Context, w http.ResponseWriter, r *Request) error {
	answer.JSON(w, r.ID, http.StatusOK, string(r.Body))
	return nil
}

func start(t *testing.T, cfg Config, h Handler) (*Front, string) {
	cfg.Viewer = testView(t)
	f := New(cfg)
	web := httptest.NewServer(f.Handle("test", h))
	t.Cleanup(web.Close)
	return f, web.URL
}

func send(t *testing.T, url, body string) (*http.Response, answer.ErrorDetail) {
	req, err := http.NewRequest("POST", url, strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer t")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	var got answer.ErrorBody
	_ = json.NewDecoder(resp.Body).Decode(&got)
	return resp, got.Error
}

func TestRateLimitRefusalHasRetryAfter(t *testing.T) {
	_, url := start(t, Config{Now: func() time.Time { return time.Unix(1, 0) }}, echoBody)
	for range 2 {
		resp, _ := send(t, url, "x")
		require.Equal(t, 200, resp.StatusCode)
	}
	resp, failure := send(t, url, "x")
	require.Equal(t, 429, resp.StatusCode)
	require.True(t, failure.NotRun)
	require.GreaterOrEqual(t, failure.RetryAfterMS, int64(1000))
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
}

func TestBodySizeLimit(t *testing.T) {
	_, url := start(t, Config{MaxBody: 1 << 20}, echoBody)
	resp, failure := send(t, url, strings.Repeat("x", 2000))
	require.Equal(t, 413, resp.StatusCode)
	require.True(t, failure.NotRun)
	require.Equal(t, "too_large", failure.Kind)
}

// A caller's connection breaks while it sends its body. The part received must not be
// taken for the complete body: a truncated order is a different order.
func TestTruncatedBodyIsNotServed(t *testing.T) {
	served := make(chan struct{}, 1)
	f, url := start(t, Config{}, func(context.Context, http.ResponseWriter, *Request) error {
		served <- struct{}{}
		return nil
	})
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	require.NoError(t, err)
	_, err = conn.Write([]byte("POST / HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer t\r\nContent-Length: 10\r\n\r\nhalf"))
	require.NoError(t, err)
	require.NoError(t, conn.(*net.TCPConn).CloseWrite())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, 400, resp.StatusCode)
	require.NoError(t, resp.Body.Close())
	require.NoError(t, conn.Close())
	require.Empty(t, served)
	require.NoError(t, f.Drain(context.Background()))
}

// The entry is told to stop while a caller waits for its answer. The caller still
// receives the complete answer. A new request is refused as "not run", so that the
// balancer or the caller may send it elsewhere. Drain returns only after the answer was
// sent.
func TestDrainWaitsForRequestsInFlight(t *testing.T) {
	handling, release := make(chan struct{}), make(chan struct{})
	f, url := start(t, Config{}, func(ctx context.Context, w http.ResponseWriter, r *Request) error {
		close(handling)
		<-release
		return echoBody(ctx, w, r)
	})
	first := make(chan int)
	go func() {
		resp, _ := send(t, url, "x")
		first <- resp.StatusCode
	}()
	<-handling
	drained := make(chan error, 1)
	go func() { drained <- f.Drain(context.Background()) }()
	require.Eventually(t, func() bool { f.mu.Lock(); defer f.mu.Unlock(); return f.draining }, 20*time.Second, time.Millisecond)
	resp, failure := send(t, url, "x")
	require.Equal(t, 503, resp.StatusCode)
	require.Equal(t, "leaving", failure.Kind)
	require.True(t, failure.NotRun)
	require.Empty(t, drained)
	close(release)
	require.Equal(t, 200, <-first)
	require.NoError(t, <-drained)
	require.NoError(t, f.Drain(context.Background()))
}

// After an attempt that may have run, the caller must not receive a later server's "not
// run".
func TestFinalErrorReportsPossibleExecution(t *testing.T) {
	ctx := context.Background()
	overloaded := kinds.Hold().Refuse(kinds.Overloaded, "x")
	request := func() *Request {
		return &Request{Held: kinds.Hold(), Deadline: time.Now().Add(time.Hour), TakeRetry: func() bool { return true }}
	}
	notRun := NewAttempts(request(), true, 3)
	notRun.StartAttempt()
	notRun.RecordRefusal(overloaded)
	require.True(t, notRun.ShouldRetry(ctx, overloaded, "a", "d"))
	require.Equal(t, error(overloaded), notRun.FinalError(ctx, overloaded))
	require.Equal(t, "deadline_too_short", kinds.Of(notRun.DeadlineError(nil)))

	mayHaveRun := NewAttempts(request(), true, 3)
	mayHaveRun.StartAttempt()
	mayHaveRun.RecordMayHaveRun()
	mayHaveRun.StartAttempt()
	mayHaveRun.RecordRefusal(overloaded)
	require.Equal(t, "backend_failed", kinds.Of(mayHaveRun.FinalError(ctx, overloaded)))
	require.Equal(t, "deadline_exceeded", kinds.Of(mayHaveRun.DeadlineError(nil)))
	require.Equal(t, "outcome_unknown", kinds.Of(mayHaveRun.Held.Refuse(kinds.Overloaded, "x")))

	write := NewAttempts(request(), false, 3)
	require.False(t, write.ShouldRetry(ctx, kinds.New(kinds.BackendFailed, "x"), "a", "d"))
	require.True(t, write.ShouldRetry(ctx, overloaded, "a", "d"))
	write.MaxAttempts = 0
	require.False(t, write.ShouldRetry(ctx, overloaded, "a", "d"))
}

func TestDecisionRecordTexts(t *testing.T) {
	require.Equal(t, "the less loaded of two at random; load 3; servers to choose from: 2; only outliers were left",
		describeChoice(route.Choice{Reason: "two choices", Load: 3, Eligible: 2, SkippedStage: route.StageEjected}))
	require.Equal(t, "holds this idempotency key", describeChoice(route.Choice{Reason: "holder of the key"}))
	require.Equal(t, "refused by vm-1, not run", describeFailure("vm-1", kinds.Hold().Refuse(kinds.Leaving, "x")))
	require.Equal(t, "no whole answer from vm-1", describeFailure("vm-1", kinds.New(kinds.BackendFailed, "x")))
}
