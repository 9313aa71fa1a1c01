package forward

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"dandelionsill.org/decide/members"
	"dandelionsill.org/decide/route"
	"dandelionsill.org/decide/table"
	"dandelionsill.org/gateway/backend"
	"dandelionsill.org/gateway/view"
)

// pick returns the server that a new forwarder's policy picks of an idle server and a busy one.
func pick(b *ServerBodies, n int) string {
	candidates := []route.Candidate{{Name: "idle", Ready: true, Slots: 6}, {Name: "busy", Ready: true, Slots: 6, OwnLoad: 5}}
	b.markFull(candidates, n)
	policy := New(&view.View{}, nil, "zone-a", zap.NewNop()).policy
	return candidates[policy.Pick(&route.Request{}, candidates, rand.New(rand.NewPCG(1, 1)), &route.Scratch{}).Index].Name
}

// Guards against a request that waits at a server without room while a busier one has room, and against a refusal
// where all are full: then it waits.
func TestServerWithRoomIsPicked(t *testing.T) {
	b := NewServerBodies(100)
	require.Equal(t, "idle", pick(b, 80))
	require.Nil(t, b.tryAcquire("idle", 60))
	require.Equal(t, "idle", pick(b, 40))
	require.Equal(t, "busy", pick(b, 80))
	require.Nil(t, b.tryAcquire("busy", 60))
	require.Equal(t, "idle", pick(b, 80))
	require.Equal(t, "idle", pick(nil, 80))
}

// Guards against a request that waits at a full server beyond the time in which it could still be told that it did not
// run, and against a wait that misses the release.
func TestWaitForRoomEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewServerBodies(100)
		start := time.Now()
		require.NoError(t, b.acquire(t.Context(), start.Add(time.Second), "s", 200), "alone, a larger body is sent")
		require.ErrorIs(t, b.acquire(t.Context(), start.Add(time.Second), "s", 1), backend.ErrNotSent)
		require.Equal(t, time.Second-minAttemptTime, time.Since(start))
		gone, cancel := context.WithCancel(t.Context())
		cancel()
		require.ErrorIs(t, b.acquire(gone, start.Add(time.Hour), "s", 1), backend.ErrNotSent)
		time.AfterFunc(time.Minute, func() { b.release("s", 200) })
		require.NoError(t, b.acquire(t.Context(), start.Add(time.Hour), "s", 100))
		b.release("s", 100)
		require.Empty(t, b.held)
	})
}

// Guards against an answer that breaks off before its deadline because there was no room for it and its server pauses,
// and against a server that holds its caller for good afterwards.
func TestPauseOfServerWithinDeadline(t *testing.T) {
	for pause, whole := range map[time.Duration]bool{4 * maxRestGap: true, 7 * maxRestGap: false} {
		synctest.Test(t, func(t *testing.T) {
			rest, server := io.Pipe()
			go func() {
				_, _ = server.Write([]byte("first"))
				time.Sleep(pause) // virtual
				_, _ = server.Write([]byte("second"))
				_ = server.Close()
			}()
			var got bytes.Buffer
			err := copyRest(&got, rest, func() { _ = rest.Close() }, time.Now().Add(5*maxRestGap))
			if whole {
				require.NoError(t, err)
				require.Equal(t, "firstsecond", got.String())
			} else {
				require.ErrorIs(t, err, backend.ErrBroken)
			}
			time.Sleep(pause) // virtual: the server ends
		})
	}
}

// pausingWriter takes 3 gaps for each write.
type pausingWriter struct{ *httptest.ResponseRecorder }

func (w pausingWriter) Write(p []byte) (int, error) {
	time.Sleep(3 * maxEventGap) // virtual
	return w.ResponseRecorder.Write(p)
}

// Guards against a stream that breaks off, and is held against its server, because its caller reads slowly: only
// the server's own pauses count.
func TestSlowCallerDoesNotBreakStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		gapTimer := time.AfterFunc(maxEventGap, cancel)
		defer gapTimer.Stop()
		w := pausingWriter{httptest.NewRecorder()}
		s := &streamState{callState: &callState{call: Call{Route: &table.Route{Resumable: true}, Paced: true}}, writer: w}
		end, err := s.forwardAnswer(&backend.Answer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(events))}, gapTimer)
		require.NoError(t, err)
		require.Equal(t, streamDone, end)
		require.Equal(t, events, w.Body.String())
		require.NoError(t, ctx.Err())
	})
}

// Random bodies at random servers: no server holds more than the limit, but for one body that is larger by itself.
func TestServerHoldsNoMoreThanLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewServerBodies(100)
		taken := map[string][]int{}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			server := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "server")
			if bodies := taken[server]; len(bodies) > 0 && rapid.Bool().Draw(t, "release") {
				b.release(server, bodies[0])
				taken[server] = bodies[1:]
				continue
			}
			n := rapid.IntRange(1, 150).Draw(t, "n")
			if b.tryAcquire(server, int64(n)) == nil {
				taken[server] = append(taken[server], n)
			}
			require.True(t, b.held[server] <= 100 || len(taken[server]) == 1)
		}
		for server, bodies := range taken {
			for _, n := range bodies {
				b.release(server, n)
			}
		}
		require.Empty(t, b.held)
	})
}

// Guards against a healthy server that is ejected because requests waited in vain for its room, and against a
// wait that counts as the time that the server took.
func TestWaitForRoomIsNoEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New(&view.View{}, nil, "zone-a", zap.NewNop())
		f.Bodies = NewServerBodies(100)
		servers := []members.Server{{ID: "full"}, {ID: "a"}, {ID: "b"}, {ID: "c"}}
		require.Nil(t, f.Bodies.tryAcquire("full", 100))
		for range 5 {
			call := Call{Body: make([]byte, 100), Deadline: time.Now().Add(time.Second)}
			for _, healthy := range servers[1:] {
				f.serverStats.attemptStarted(healthy.ID)
				f.serverStats.attemptEnded("s", healthy.ID, time.Millisecond, false)
			}
			o := f.attempt(t.Context(), call, "s", choice{server: servers[0]})
			require.True(t, o.notRun)
			require.False(t, o.started())
		}
		for _, c := range f.serverStats.candidates("s", "zone-a", nil, servers, time.Now()) {
			require.False(t, c.Ejected, c.Name)
			require.Zero(t, c.OwnLoad)
		}
	})
}
