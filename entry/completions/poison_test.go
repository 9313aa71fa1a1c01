package completions

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/decide/poison"
	"dandelionsill.org/kinds"
	"dandelionsill.org/wire/pb"
	"dandelionsill.org/wire/refusal"
)

// A prompt crashes each engine that starts it, after a token or two. It must not be
// resumed at one engine after another, and again when its caller repeats it. A fourth
// engine never receives it: the caller is told that it did not run and when to retry.
func TestCrashingPromptIsQuarantined(t *testing.T) {
	var crashes atomic.Int64
	crashingAgent := func(f *fakeAgent, req *pb.GenerateRequest, s stream) error {
		if req.Prompt != "deadly" {
			return generateAt(7)(f, req, s)
		}
		crashes.Add(1)
		sendChunk(s, tokenText(req, resumedTokens(req.Resume)), 1, 7)
		err := kinds.New(kinds.BackendFailed, "the engine's stream broke off").WithEndedServer(f.name + "/" + req.RequestId)
		return s.Send(&pb.GenerateReply{Part: &pb.GenerateReply_Refusal{Refusal: refusal.Encode(err)}})
	}
	s := startEntry(t, crashingAgent, crashingAgent, crashingAgent, crashingAgent, crashingAgent)
	const deadly = `{"model":"drafter","prompt":"deadly"}`
	status, _, failure := s.postDecoded(t, deadly)
	require.Equal(t, http.StatusBadGateway, status)
	require.False(t, failure.NotRun)
	require.EqualValues(t, poison.QuarantineThreshold, crashes.Load())
	_, _, failure = s.postDecoded(t, deadly)
	require.Equal(t, string(kinds.Quarantined), failure.Kind)
	require.True(t, failure.NotRun)
	require.Positive(t, failure.RetryAfterMS)
	require.EqualValues(t, poison.QuarantineThreshold, crashes.Load())
	status, _, _ = s.postDecoded(t, `{"model":"drafter","prompt":"p"}`)
	require.Equal(t, http.StatusOK, status)
}
