package calls

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"dandelionsill.org/entry/answer"
	"dandelionsill.org/entry/fleet"
	"dandelionsill.org/entry/front"
	"dandelionsill.org/kinds"
	"dandelionsill.org/wire/pb"
)

const manifestText = `
[fleet]
name = test
[service orders]
[route orders.read]
methods = GET,HEAD
repeat = always
[route orders.renew]
prefix = /renew
require_key = true
[route orders.write]
[caller shop]
token_sha256 = e3b98a4da31a127d4bde6e43033f66ba274cab0eb7eb1c70ec41402bf6273dd8
allow = orders
[caller poor]
token_sha256 = 148de9c5a7a44d19e56cd9ae1a554bf67847afb0c58f6e12fa29ac7ddfca9940
allow = orders
retry_percent = 0
`

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func (r httpReply) failure(t *testing.T) answer.ErrorDetail {
	require.NoError(t, r.err)
	var body answer.ErrorBody
	require.NoError(t, json.Unmarshal([]byte(r.body), &body), r.body)
	return body.Error
}

func withNewKey() func(*http.Request) {
	return withHeader(HeaderIdempotencyKey, uuid.Must(uuid.NewV7()).String())
}

func TestCallIsForwarded(t *testing.T) {
	s := startEntry(t, Config{}, answerRequest)
	got := s.send(t, "GET", "/svc/orders/a%2Fb/c?x=1&y=%20", withHeader("X-Request-Id", "r-1"))
	require.Equal(t, 200, got.status)
	require.Equal(t, "vm-0 /a%2Fb/c?x=1&y=%20", got.body)
	require.Equal(t, "r-1", got.header.Get("X-Request-Id"))
	require.Equal(t, "vm-0", got.header.Get("Dandelion-Server"))
	require.Equal(t, 200, s.send(t, "POST", "/svc/orders/x").status)
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	s := startEntry(t, Config{}, answerRequest)
	cases := []struct {
		name, method, path string
		change             func(*http.Request)
		status             int
		kind               string
	}{
		{"no token", "GET", "/svc/orders/x", withHeader("Authorization", ""), 401, "unauthenticated"},
		{"wrong token", "GET", "/svc/orders/x", withHeader("Authorization", "Bearer no"), 401, "unauthenticated"},
		{"unknown service", "GET", "/svc/nope/x", withHeader("A", "b"), 404, "not_found"},
		{"path with escaped dots", "GET", "/svc/orders/%2e%2e/x", withHeader("A", "b"), 404, "not_found"},
		{"bad timeout", "GET", "/svc/orders/x", withHeader(front.HeaderTimeout, "soon"), 400, "bad_request"},
		{"timeout of 0", "GET", "/svc/orders/x", withHeader(front.HeaderTimeout, "0"), 400, "bad_request"},
		{"bad request id", "GET", "/svc/orders/x", withHeader("X-Request-Id", "a b"), 400, "bad_request"},
		{"no key", "POST", "/svc/orders/renew", withHeader("A", "b"), 400, "bad_request"},
		{"key is not a UUIDv7", "POST", "/svc/orders/x", withHeader(HeaderIdempotencyKey, uuid.NewString()), 400, "bad_request"},
		{"body too large", "POST", "/svc/orders/x", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 1<<21))), 1<<21
		}, 413, "too_large"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := s.send(t, c.method, c.path, c.change)
			require.Equal(t, c.status, got.status, got.body)
			require.Equal(t, c.kind, got.failure(t).Kind)
			require.True(t, got.failure(t).NotRun)
		})
	}
	require.Zero(t, s.agents[0].opened.Load())
}

// A server's process dies while a write waits there for a slot. The entry has not sent
// CallGo, so the write is proven not to have run. The entry sends it to another server,
// and the caller receives one answer.
func TestWriteIsRetriedWhenTheAgentDiesBeforeReady(t *testing.T) {
	s := startEntry(t, Config{}, func(f *fakeAgent, _ *pb.CallOpen, st stream) error {
		f.crash()
		<-st.Context().Done()
		return nil
	}, answerRequest)
	got := s.send(t, "POST", "/svc/orders/x")
	require.Equal(t, "vm-1 /x", got.body)
	require.EqualValues(t, 1, s.agents[1].ran.Load())
	require.Equal(t, []fleet.Outcome{fleet.Failed}, s.fleet.outcomes["vm-0"])
}

// A server fails, for example because a switch of its failure domain does. The retry
// goes to another failure domain, although the first one has a less loaded server.
func TestRetryPrefersAnotherFailureDomain(t *testing.T) {
	crashes := func(*fakeAgent, *pb.CallOpen, stream) error { return io.ErrUnexpectedEOF }
	s := startEntry(t, Config{}, crashes, crashes, answerRequest)
	s.fleet.snap.ByName["vm-1"].FailureDomain = s.fleet.snap.ByName["vm-0"].FailureDomain
	require.Equal(t, "vm-2 /x", s.send(t, "GET", "/svc/orders/x").body)
	require.Zero(t, s.agents[1].opened.Load())
}

// The agent sends CallReady for a write and dies before CallGo. The entry notices the
// lost connection before it sends CallGo, and sends the write to another server: it
// still runs once.
func TestWriteIsRetriedWhenTheAgentDiesBeforeGo(t *testing.T) {
	s := startEntry(t, Config{}, func(f *fakeAgent, _ *pb.CallOpen, st stream) error {
		_ = st.Send(&pb.CallReply{Part: &pb.CallReply_Ready{Ready: &pb.CallReady{}}})
		return io.ErrUnexpectedEOF
	}, answerRequest)
	s.handler.beforeGo = func(a *attempt) {
		require.Eventually(t, func() bool { return a.server.name != "vm-0" || len(a.replies) > 0 }, 20*time.Second, time.Millisecond)
	}
	got := s.send(t, "POST", "/svc/orders/x")
	require.Equal(t, "vm-1 /x", got.body)
	require.EqualValues(t, 1, s.agents[1].ran.Load())
}

// The write runs and the agent dies before it answers. The entry can't know the outcome:
// a retry could run the write twice, and "not run" would be wrong. The caller receives
// "outcome unknown" and no other server is asked.
func TestWriteOutcomeIsUnknownWhenTheAgentDiesAfterGo(t *testing.T) {
	for name, started := range map[string]bool{"before the answer": false, "mid-answer": true} {
		t.Run(name, func(t *testing.T) {
			s := startEntry(t, Config{}, func(f *fakeAgent, _ *pb.CallOpen, st stream) error {
				require.True(t, f.offerToRun(st))
				f.ran.Add(1)
				if started {
					sendHead(st, false)
					sendBody(st, "half of the ans")
				}
				f.crash()
				<-st.Context().Done()
				return nil
			}, answerRequest)
			got := s.send(t, "POST", "/svc/orders/x")
			require.Equal(t, 502, got.status)
			require.Equal(t, "outcome_unknown", got.failure(t).Kind)
			require.False(t, got.failure(t).NotRun)
			require.Zero(t, s.agents[1].opened.Load())
		})
	}
}

// The answer to a read breaks off in the middle, and the read is retried on another
// server. The caller receives only the second, complete answer and no byte of the first.
func TestReadIsRetriedWhenTheAgentDiesMidAnswer(t *testing.T) {
	s := startEntry(t, Config{}, func(f *fakeAgent, _ *pb.CallOpen, st stream) error {
		// The stream breaks only after its parts, so that they are certain to arrive.
		sendHead(st, false)
		sendBody(st, "half of the ans")
		return io.ErrUnexpectedEOF
	}, answerRequest)
	require.Equal(t, "vm-1 /x", s.send(t, "GET", "/svc/orders/x").body)
}

// The last part of an answer is lost, and the stream then ends without an error. The
// length in CallEnd does not match the bytes received, so that the answer is not
// delivered as complete.
func TestShortAnswerIsRejected(t *testing.T) {
	short := func(f *fakeAgent, open *pb.CallOpen, st stream) error {
		if !open.Idempotent && !f.offerToRun(st) {
			return nil
		}
		sendHead(st, false)
		sendBody(st, "short")
		sendEnd(st, 500)
		return nil
	}
	s := startEntry(t, Config{}, short, answerRequest)
	require.Equal(t, "vm-1 /x", s.send(t, "GET", "/svc/orders/x").body)
	require.Equal(t, "outcome_unknown", s.send(t, "POST", "/svc/orders/x").failure(t).Kind)
}

// An answer that is too large to be buffered is forwarded in parts and then breaks off.
// The entry aborts the caller's connection too, so that no client takes the part for the
// complete answer.
func TestLargeAnswerThatBreaksOffBreaksTheConnection(t *testing.T) {
	s := startEntry(t, Config{MaxBuffer: 10}, func(f *fakeAgent, _ *pb.CallOpen, st stream) error {
		sendHead(st, false)
		sendBody(st, strings.Repeat("x", 100))
		sendEnd(st, 500)
		return nil
	})
	require.Error(t, s.send(t, "GET", "/svc/orders/x").err)
	s.agents[0].script = func(f *fakeAgent, _ *pb.CallOpen, st stream) error {
		sendHead(st, false)
		for range 10 {
			sendBody(st, strings.Repeat("x", 100))
		}
		sendEnd(st, 1000)
		return nil
	}
	complete := s.send(t, "GET", "/svc/orders/x")
	require.NoError(t, complete.err)
	require.Len(t, complete.body, 1000)
}

// Servers leave (a planned stop) and refuse with proof that the request did not run, one
// of them after CallGo. The write is sent to a server that stays. The retry budget,
// which is for failures, is not used.
func TestLeavingServersUseNoRetryBudget(t *testing.T) {
	leaving := &pb.Refusal{Kind: "leaving", NotRun: true}
	s := startEntry(t, Config{MaxAttempts: 1}, refuseWith(leaving), func(f *fakeAgent, _ *pb.CallOpen, st stream) error {
		f.offerToRun(st)
		return sendRefusal(st, leaving)
	}, answerRequest)
	got := s.send(t, "POST", "/svc/orders/x", withHeader("Authorization", "Bearer p"))
	require.Equal(t, "vm-2 /x", got.body)
	require.Equal(t, []fleet.Outcome{fleet.Refused}, s.fleet.outcomes["vm-0"])
}

// Two servers have stopped but are still in the entry's list, so that their connections
// are refused. No byte of the request was sent. Reads and writes must therefore go to
// the remaining server, even for a caller without a retry budget, instead of failing
// with backend_failed until the list is updated.
func TestStoppedServersUseNoRetryBudget(t *testing.T) {
	s := startEntry(t, Config{MaxAttempts: 1}, answerRequest, answerRequest, answerRequest)
	s.agents[0].server.Stop()
	s.agents[1].server.Stop()
	for _, method := range []string{"GET", "POST"} {
		got := s.send(t, method, "/svc/orders/x", withHeader("Authorization", "Bearer p"))
		require.Equal(t, "vm-2 /x", got.body, method)
	}
	require.Equal(t, []fleet.Outcome{fleet.Failed, fleet.Failed}, s.fleet.outcomes["vm-0"])
}

// Every server fails. Without a retry budget, each request makes one attempt; with one,
// the number of additional attempts is bounded. The load on the servers must not
// multiply while they fail.
func TestExhaustedBudgetStopsRetries(t *testing.T) {
	crashes := func(f *fakeAgent, _ *pb.CallOpen, _ stream) error { return io.ErrUnexpectedEOF }
	s := startEntry(t, Config{}, crashes, crashes, crashes, crashes)
	opened := func() (n int64) {
		for _, a := range s.agents {
			n += a.opened.Load()
		}
		return n
	}
	for range 20 {
		got := s.send(t, "GET", "/svc/orders/x", withHeader("Authorization", "Bearer p"))
		require.Equal(t, "backend_failed", got.failure(t).Kind)
	}
	require.EqualValues(t, 20, opened())
	for range 50 {
		s.send(t, "GET", "/svc/orders/x")
	}
	require.LessOrEqual(t, opened(), int64(20+50+10+5))
}

// A read was sent to a server that died, and the next server refuses with "not run".
// That proof covers only the second server. The read may have run on the first, so the
// caller must not receive "not run".
func TestNotRunAppliesToOneServerOnly(t *testing.T) {
	s := startEntry(t, Config{}, func(f *fakeAgent, _ *pb.CallOpen, _ stream) error { return io.ErrUnexpectedEOF },
		refuseWith(&pb.Refusal{Kind: "overloaded", NotRun: true}))
	got := s.send(t, "GET", "/svc/orders/x").failure(t)
	require.Equal(t, "backend_failed", got.Kind)
	require.False(t, got.NotRun)
}

// A frozen agent does not reply, and its connection stays open. Its reports stop, and a
// read is retried elsewhere long before the deadline.
func TestReadIsRetriedWhenTheAgentFreezes(t *testing.T) {
	s := startEntry(t, Config{}, func(f *fakeAgent, _ *pb.CallOpen, st stream) error {
		close(f.lost)
		<-st.Context().Done()
		return nil
	}, answerRequest)
	require.Equal(t, "vm-1 /x", s.send(t, "GET", "/svc/orders/x").body)
}

// Either the deadline passes while the write waits for a slot, or the queues are longer
// than the deadline. In both cases the request did not run, and the answer says so. A
// read that was sent may have run.
func TestExpiredDeadlines(t *testing.T) {
	s := startEntry(t, Config{}, func(f *fakeAgent, _ *pb.CallOpen, st stream) error {
		<-st.Context().Done()
		return nil
	})
	got := s.send(t, "POST", "/svc/orders/x", withHeader(front.HeaderTimeout, "100")).failure(t)
	require.Equal(t, "deadline_too_short", got.Kind)
	require.True(t, got.NotRun)
	got = s.send(t, "GET", "/svc/orders/x", withHeader(front.HeaderTimeout, "100")).failure(t)
	require.Equal(t, "deadline_exceeded", got.Kind)
	require.False(t, got.NotRun)
	before := s.agents[0].opened.Load()
	s.fleet.snap.ByName["vm-0"].State.QueueWaitMs = 60_000
	refused := s.send(t, "GET", "/svc/orders/x", withHeader(front.HeaderTimeout, "1000"))
	require.Equal(t, "deadline_too_short", refused.failure(t).Kind)
	require.NotEmpty(t, refused.header.Get("Retry-After"))
	require.Equal(t, before, s.agents[0].opened.Load())
}

// A caller repeats a keyed request through another entry. The agent that owns the key
// has the first answer. Another agent names that owner in its refusal; the entry then
// asks the owner once and forwards the first answer, marked as replayed. Nothing runs
// twice.
func TestKeyedCallIsForwardedToItsOwner(t *testing.T) {
	replays := func(f *fakeAgent, open *pb.CallOpen, st stream) error {
		sendHead(st, true)
		sendBody(st, "first")
		sendEnd(st, 5)
		return nil
	}
	claimed := &pb.Refusal{Kind: "claimed_elsewhere", NotRun: true, Holder: "holder"}
	s := startEntry(t, Config{}, refuseWith(claimed))
	s.fleet.unlisted["holder"] = startAgent(t, "holder", replays)
	got := s.send(t, "POST", "/svc/orders/renew", withNewKey())
	require.Equal(t, "first", got.body)
	require.Equal(t, "true", got.header.Get("Dandelion-Replayed"))
	require.Equal(t, "holder", got.header.Get("Dandelion-Server"))
}

// The owner of the key is gone. It may have run the request, and only it knows. The
// caller receives "outcome unknown", and no other server runs the write.
func TestOutcomeIsUnknownWhenTheKeyOwnerIsGone(t *testing.T) {
	claimed := &pb.Refusal{Kind: "claimed_elsewhere", NotRun: true, Holder: "holder"}
	for name, setup := range map[string]func(*testEntry){
		"not in the list": func(*testEntry) {},
		"dead": func(s *testEntry) {
			s.fleet.unlisted["holder"] = startAgent(t, "holder", answerRequest)
			s.fleet.unlisted["holder"].server.Stop()
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := startEntry(t, Config{}, refuseWith(claimed), answerRequest)
			s.fleet.snap.ByPool[fleet.ServicePool("orders")] = s.fleet.snap.ByPool[fleet.ServicePool("orders")][:1]
			setup(s)
			got := s.send(t, "POST", "/svc/orders/renew", withNewKey()).failure(t)
			require.Equal(t, "outcome_unknown", got.Kind)
			require.Zero(t, s.agents[1].opened.Load())
		})
	}
}

// A caller repeats a keyed request whose first answer was lost, at the agent that ran
// it, which is now frozen. The entry could prove that this attempt did not run. But a
// caller that received "not run" would choose a new key and the request would run twice.
// It must receive "outcome unknown".
func TestOutcomeIsUnknownWhenTheKeyOwnerIsFrozen(t *testing.T) {
	s := startEntry(t, Config{}, func(_ *fakeAgent, _ *pb.CallOpen, st stream) error {
		<-st.Context().Done()
		return nil
	})
	got := s.send(t, "POST", "/svc/orders/renew", withNewKey(), withHeader(front.HeaderTimeout, "200")).failure(t)
	require.Equal(t, "outcome_unknown", got.Kind)
	require.False(t, got.NotRun)
	// A refusal by a later server does not prove that the first one did not run the
	// request.
	crashes := func(f *fakeAgent, _ *pb.CallOpen, _ stream) error { return io.ErrUnexpectedEOF }
	overloaded := refuseWith(&pb.Refusal{Kind: "overloaded", NotRun: true})
	s = startEntry(t, Config{MaxAttempts: 2}, crashes, overloaded, overloaded, overloaded)
	for range 20 {
		before := s.agents[0].opened.Load()
		got = s.send(t, "POST", "/svc/orders/renew", withNewKey()).failure(t)
		reached := s.agents[0].opened.Load() > before
		require.Equal(t, reached, got.Kind == "outcome_unknown")
		require.Equal(t, !reached, got.NotRun)
	}
}

// Answers come late and in reverse order: each server answers only after all requests
// have been received, the last request first. Each caller must receive the answer to its
// own request.
func TestLateAnswersReachTheirOwnCaller(t *testing.T) {
	const n = 20
	turn := make([]chan struct{}, n+1)
	for i := range turn {
		turn[i] = make(chan struct{})
	}
	arrived := sync.WaitGroup{}
	arrived.Add(n)
	late := func(f *fakeAgent, open *pb.CallOpen, st stream) error {
		var i int
		_, _ = fmt.Sscanf(open.Path, "/%d", &i)
		arrived.Done()
		<-turn[i+1]
		defer close(turn[i])
		return answerRequest(f, open, st)
	}
	s := startEntry(t, Config{}, late, late)
	go func() { arrived.Wait(); close(turn[n]) }()
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() {
			got := s.send(t, "GET", fmt.Sprintf("/svc/orders/%d", i), withHeader("X-Request-Id", "same"))
			if !strings.HasSuffix(got.body, fmt.Sprintf(" /%d", i)) {
				t.Errorf("request %d got %q", i, got.body)
			}
		})
	}
	all.Wait()
}

func TestTokensAndHopByHopHeadersAreNotForwarded(t *testing.T) {
	in := http.Header{"Authorization": {"Bearer t"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "Accept": {"a", "b"}}
	names := map[string]int{}
	for _, h := range requestHeaders(in) {
		names[h.Name]++
	}
	require.Equal(t, map[string]int{"Accept": 2}, names)
}

// A write was sent and its attempt fails, with and without an expired context.
// noReplyError must never return "not run" for it.
func TestSentWriteIsNeverNotRun(t *testing.T) {
	c := &call{Attempts: front.NewAttempts(&front.Request{Held: kinds.Hold()}, false, 1)}
	c.Held.MarkSent()
	for _, ctx := range []context.Context{context.Background(), cancelled()} {
		e, ok := kinds.As((&attempt{request: c, ctx: ctx}).noReplyError(io.EOF))
		require.True(t, ok)
		require.False(t, e.NotRun())
		require.Equal(t, string(kinds.OutcomeUnknown), e.Kind())
	}
}

// Guards against "not ready", which invites a repetition, for a deadline whose copy in the agent
// ends the stream just before the entry's own context ends.
func TestStreamThatEndsAtItsDeadlineIsNotNotReady(t *testing.T) {
	for remaining, want := range map[time.Duration]kinds.NotRunKind{time.Hour: kinds.NotReady, deadlineSkew: kinds.DeadlineTooShort} {
		ctx, cancel := context.WithTimeout(t.Context(), remaining)
		c := &call{Attempts: front.NewAttempts(&front.Request{Held: kinds.Hold()}, false, 1)}
		e, ok := kinds.As((&attempt{request: c, ctx: ctx}).noReplyError(io.EOF))
		cancel()
		require.True(t, ok)
		require.True(t, e.NotRun())
		require.Equal(t, string(want), e.Kind())
	}
}

// The deadline passes between two attempts of a keyed call, of which the first got no
// reply.
func TestOutcomeIsUnknownWhenTheDeadlinePassesBetweenKeyedAttempts(t *testing.T) {
	s := startEntry(t, Config{}, answerRequest)
	attempts := front.NewAttempts(&front.Request{Held: kinds.Hold(), View: testView()}, false, 1)
	_, err := s.handler.run(context.Background(), &call{Attempts: attempts, key: "k", unanswered: true})
	require.Equal(t, string(kinds.OutcomeUnknown), kinds.Of(err))
}

func cancelled() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// A caller must not receive not_run: true for a keyed request that ran: it would choose
// a new key and the request would run twice. vm-1 runs the request and is frozen
// (SIGSTOP) before it answers. The caller repeats the key with a short deadline. vm-0
// names vm-1 as the owner. vm-1 is outside this entry's subset, so that nothing reports
// it as lost, and the deadline passes before its CallReady. The error was
// deadline_too_short, which forwardToOwner did not turn into outcome_unknown as it did
// not_ready.
func TestOutcomeIsUnknownWhenAFrozenOwnerIsOutsideTheSubset(t *testing.T) {
	claimed := &pb.Refusal{Kind: "claimed_elsewhere", NotRun: true, Holder: "holder"}
	s := startEntry(t, Config{}, refuseWith(claimed))
	s.fleet.unlisted["holder"] = startAgent(t, "holder", func(_ *fakeAgent, _ *pb.CallOpen, st stream) error {
		<-st.Context().Done() // frozen: the kernel keeps the connection open
		return st.Context().Err()
	})
	got := s.send(t, "POST", "/svc/orders/renew", withNewKey(), withHeader(front.HeaderTimeout, "300")).failure(t)
	require.Equal(t, "outcome_unknown", got.Kind, got.Message)
	require.False(t, got.NotRun)
}
