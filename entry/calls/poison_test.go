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

// mortal plays agents whose backend servers end under paths with "deadly" in them and
// are back for the next request.
func mortal(ended *atomic.Int64) func(*fakeAgent, *pb.CallOpen, stream) error {
	return func(f *fakeAgent, open *pb.CallOpen, s stream) error {
		if !strings.Contains(open.Path, "deadly") {
			return answers(f, open, s)
		}
		if !open.Idempotent && !f.ready(s) {
			return errors.New("no go")
		}
		ended.Add(1)
		err := kinds.New(kinds.BackendFailed, "no whole answer")
		if !open.Idempotent {
			err = kinds.New(kinds.OutcomeUnknown, "the request was sent; no whole answer came")
		}
		return refuse(s, refusal.Encode(err.WithEnded(f.name+"/"+open.RequestId)))
	}
}

func guarded(ended *atomic.Int64) (Config, []func(*fakeAgent, *pb.CallOpen, stream) error) {
	script := mortal(ended)
	return Config{Quarantine: quarantine.New(zap.NewNop())}, []func(*fakeAgent, *pb.CallOpen, stream) error{script, script, script, script, script}
}

// A request ends the backend server of each agent that runs it. Its tries went on to
// four agents, and each time its caller asked again to four more. Now three servers end;
// then its caller is told at once that it did not run and when to come back, and other
// callers' requests are served.
func TestRequestThatEndsServersIsStopped(t *testing.T) {
	var ended atomic.Int64
	cfg, agents := guarded(&ended)
	s := start(t, cfg, agents...)
	first := s.send(t, http.MethodGet, "/svc/orders/deadly").failure(t)
	require.Equal(t, string(kinds.BackendFailed), first.Kind)
	require.EqualValues(t, poison.QuarantineThreshold, ended.Load())
	for range 3 {
		again := s.send(t, http.MethodGet, "/svc/orders/deadly").failure(t)
		require.Equal(t, string(kinds.Quarantined), again.Kind)
		require.True(t, again.NotRun)
		require.Positive(t, again.RetryAfterMS)
	}
	require.EqualValues(t, poison.QuarantineThreshold, ended.Load())
	require.Equal(t, http.StatusOK, s.send(t, http.MethodGet, "/svc/orders/other").status)
}

// A write that must run once ends a backend server each time its caller sends it anew.
// The fourth time it is refused, which is true: this try has not run.
func TestWriteThatEndsServersIsStopped(t *testing.T) {
	var ended atomic.Int64
	cfg, agents := guarded(&ended)
	s := start(t, cfg, agents...)
	for range poison.QuarantineThreshold {
		require.Equal(t, string(kinds.OutcomeUnknown), s.send(t, http.MethodPost, "/svc/orders/deadly").failure(t).Kind)
	}
	refused := s.send(t, http.MethodPost, "/svc/orders/deadly").failure(t)
	require.Equal(t, string(kinds.Quarantined), refused.Kind)
	require.True(t, refused.NotRun)
	require.EqualValues(t, poison.QuarantineThreshold, ended.Load())
}

// A backend server ends while it has a request that another one then answers, over and
// over. The request is a bystander and is served each time.
func TestBystanderIsServed(t *testing.T) {
	var ended atomic.Int64
	cfg := Config{Quarantine: quarantine.New(zap.NewNop())}
	s := start(t, cfg, mortal(&ended), answers)
	for range 2 * poison.QuarantineThreshold {
		require.Equal(t, http.StatusOK, s.send(t, http.MethodGet, "/svc/orders/deadly").status)
	}
	require.EqualValues(t, 2*poison.QuarantineThreshold, ended.Load())
	require.True(t, cfg.Quarantine.Empty())
}
