package calls

import (
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/decide/poison"
	"dandelionsill.org/kinds"
	"dandelionsill.org/quarantine"
	"dandelionsill.org/wire/pb"
	"dandelionsill.org/wire/refusal"
)

// crashingAgent returns the script of an agent whose backend server crashes on paths
// that contain "deadly" and is running again for the next request.
func crashingAgent(crashes *atomic.Int64) func(*fakeAgent, *pb.CallOpen, stream) error {
	return func(f *fakeAgent, open *pb.CallOpen, s stream) error {
		if !strings.Contains(open.Path, "deadly") {
			return answerRequest(f, open, s)
		}
		if !open.Idempotent && !f.offerToRun(s) {
			return errors.New("the entry did not send CallGo")
		}
		crashes.Add(1)
		err := kinds.New(kinds.BackendFailed, "no whole answer")
		if !open.Idempotent {
			err = kinds.New(kinds.OutcomeUnknown, "the request was sent; no whole answer came")
		}
		return sendRefusal(s, refusal.Encode(err.WithEndedServer(f.name+"/"+open.RequestId)))
	}
}

func crashingAgents(crashes *atomic.Int64) (Config, []func(*fakeAgent, *pb.CallOpen, stream) error) {
	script := crashingAgent(crashes)
	return Config{Quarantine: quarantine.New(zap.NewNop())}, []func(*fakeAgent, *pb.CallOpen, stream) error{script, script, script, script, script}
}

// A request crashes the backend server of each agent that runs it. It must not be
// retried on all four agents, and again on four more each time its caller repeats it.
// After three crashes the caller is told at once that the request did not run and when
// to retry, and requests of other callers are served.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	var crashes atomic.Int64
	cfg, agents := crashingAgents(&crashes)
	s := startEntry(t, cfg, agents...)
	first := s.send(t, http.MethodGet, "/svc/orders/deadly").failure(t)
	require.Equal(t, string(kinds.BackendFailed), first.Kind)
	require.EqualValues(t, poison.QuarantineThreshold, crashes.Load())
	for range 3 {
		again := s.send(t, http.MethodGet, "/svc/orders/deadly").failure(t)
		require.Equal(t, string(kinds.Quarantined), again.Kind)
		require.True(t, again.NotRun)
		require.Positive(t, again.RetryAfterMS)
	}
	require.EqualValues(t, poison.QuarantineThreshold, crashes.Load())
	require.Equal(t, http.StatusOK, s.send(t, http.MethodGet, "/svc/orders/other").status)
}

// A write that must run only once crashes a backend server each time its caller sends it
// again. The fourth time it is refused as "not run", which is true for this attempt.
func TestCrashingWriteIsQuarantined(t *testing.T) {
	var crashes atomic.Int64
	cfg, agents := crashingAgents(&crashes)
	s := startEntry(t, cfg, agents...)
	for range poison.QuarantineThreshold {
		require.Equal(t, string(kinds.OutcomeUnknown), s.send(t, http.MethodPost, "/svc/orders/deadly").failure(t).Kind)
	}
	refused := s.send(t, http.MethodPost, "/svc/orders/deadly").failure(t)
	require.Equal(t, string(kinds.Quarantined), refused.Kind)
	require.True(t, refused.NotRun)
	require.EqualValues(t, poison.QuarantineThreshold, crashes.Load())
}

// A backend server crashes repeatedly while it has a request that another server then
// answers. The request did not cause the crashes and must be served each time.
func TestBystanderIsServed(t *testing.T) {
	var crashes atomic.Int64
	cfg := Config{Quarantine: quarantine.New(zap.NewNop())}
	s := startEntry(t, cfg, crashingAgent(&crashes), answerRequest)
	for range 2 * poison.QuarantineThreshold {
		require.Equal(t, http.StatusOK, s.send(t, http.MethodGet, "/svc/orders/deadly").status)
	}
	require.EqualValues(t, 2*poison.QuarantineThreshold, crashes.Load())
	require.True(t, cfg.Quarantine.Empty())
}
