package front_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dandelionsill.org/base/metrics"
	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/gateway/pace"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// wanted is the answer that a test's request asks its server for, in the header X-Wanted.
type wanted struct {
	size     int
	chunked  bool
	status   int
	breakAt  int // bytes after which the server breaks the answer off; -1: never
	unsigned bool
}

const headerWanted = "X-Wanted"

// answerPiece is the number of bytes that a server writes at a time; it breaks off between two of these.
const answerPiece = 8 << 10

func (a wanted) String() string {
	return fmt.Sprintf("%d %t %d %d %t", a.size, a.chunked, a.status, a.breakAt, a.unsigned)
}

// serveWanted answers as the request wants.
func serveWanted(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	var a wanted
	if _, err := fmt.Sscan(r.Header.Get(headerWanted), &a.size, &a.chunked, &a.status, &a.breakAt, &a.unsigned); err != nil {
		panic(err)
	}
	if !a.unsigned {
		sealed(w, r)
	}
	if !a.chunked {
		w.Header().Set("Content-Length", strconv.Itoa(a.size))
	}
	w.WriteHeader(a.status)
	for sent := 0; sent < a.size; sent += answerPiece {
		if a.breakAt >= 0 && sent >= a.breakAt {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(make([]byte, min(answerPiece, a.size-sent))); err != nil {
			return
		}
		if a.chunked {
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// request returns a request for an answer.
func (a wanted) request(ctx context.Context, url, id string, body io.Reader) *http.Request {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		panic(err)
	}
	r.Host = "app.example"
	r.Header.Set(hostedtest.HeaderAttempt, id)
	r.Header.Set(hostedtest.HeaderDeadline, "20000")
	r.Header.Set(headerWanted, a.String())
	return r
}

// Load: twenty answers of 2 MB at once through a gateway with room for 64 KB. The requests have run once, so that
// each answer is delivered whole, and never more than the room is held.
func TestAnswersAreDeliveredWithoutRoom(t *testing.T) {
	for name, chunked := range map[string]bool{"length told": false, "in chunks": true} {
		t.Run(name, func(t *testing.T) {
			pf := gatewaytest.NewPlatform(t, 0, 2)
			f, url := newBoundedFront(t, pf, 64<<10)
			var ran sync.Map
			passedOn := metrics.Counter("forward_answers_unbuffered_total")
			before := passedOn.Value()
			replaceServers(t, pf, f, func(w http.ResponseWriter, r *http.Request) {
				if _, again := ran.LoadOrStore(r.Header.Get(hostedtest.HeaderAttempt), true); again {
					t.Error("a request that may run once has run again")
				}
				serveWanted(w, r)
			})
			var callers sync.WaitGroup
			for i := range 20 {
				callers.Go(func() {
					resp, err := http.DefaultClient.Do(wanted{2 << 20, chunked, 200, -1, false}.request(t.Context(), url+"/write/x", fmt.Sprint("r", i), nil))
					if err != nil {
						t.Error(err)
						return
					}
					defer func() { _ = resp.Body.Close() }()
					n, err := io.Copy(io.Discard, resp.Body)
					if err != nil || n != 2<<20 || resp.StatusCode != 200 || resp.Header.Get(hostedtest.HeaderSeal) == "" {
						t.Errorf("status %d, %d bytes, %v", resp.StatusCode, n, err)
					}
					if !chunked && resp.ContentLength != 2<<20 {
						t.Errorf("length %d", resp.ContentLength)
					}
				})
			}
			callers.Wait()
			waitEmpty(t, f)
			require.EqualValues(t, 20, passedOn.Value()-before)
		})
	}
}

// Guards against a caller that never reads and holds an answer, its connection and the server's for good. What is held
// for it meanwhile leaves others their room.
func TestCallerThatDoesNotReadIsCutOff(t *testing.T) {
	for name, size := range map[string]int{"buffered": 8 << 20, "passed on": 30 << 20} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pf := gatewaytest.NewPlatform(t, 0, 1)
			f, _ := newBoundedFront(t, pf, 16<<20)
			serverDone := make(chan struct{})
			replaceServers(t, pf, f, func(w http.ResponseWriter, r *http.Request) {
				serveWanted(w, r)
				if r.Header.Get(hostedtest.HeaderAttempt) == "unread" {
					close(serverDone)
				}
			})
			srv := httptest.NewUnstartedServer(f)
			srv.Config.ConnContext = pace.BoundSendBuffer
			srv.Start()
			defer srv.Close()
			unread, err := http.DefaultClient.Do(wanted{size, false, 200, -1, false}.request(t.Context(), srv.URL+"/write/x", "unread", nil))
			require.NoError(t, err)
			defer func() { _ = unread.Body.Close() }()
			resp, err := http.DefaultClient.Do(wanted{1 << 20, false, 200, -1, false}.request(t.Context(), srv.URL+"/write/x", "other", nil))
			require.NoError(t, err)
			n, err := io.Copy(io.Discard, resp.Body)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.EqualValues(t, 1<<20, n)
			waitEmpty(t, f)
			<-serverDone
			_, err = io.Copy(io.Discard, unread.Body)
			require.Error(t, err, "it must not look complete")
		})
	}
}

// Guards against a caller that never reads its stream and holds it, and its engine, for good. Another caller's stream
// is whole meanwhile.
func TestCallerThatDoesNotReadItsStreamIsCutOff(t *testing.T) {
	t.Parallel()
	pf := gatewaytest.NewPlatform(t, 1, 0)
	f, _ := newBoundedFront(t, pf, 1<<20)
	replace(t, pf, f, pf.Engines, func(w http.ResponseWriter, r *http.Request) {
		sealed(w, r)
		events := 1 << 20 // more than all buffers on the way take
		if r.Header.Get(hostedtest.HeaderAttempt) == "short" {
			events = 5
		}
		for n := 1; n <= events; n++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %01000d\n\n", n, n); err != nil {
				return
			}
		}
	})
	srv := httptest.NewUnstartedServer(f)
	srv.Config.ConnContext = pace.BoundSendBuffer
	srv.Start()
	defer srv.Close()
	unread, err := http.DefaultClient.Do(wanted{}.request(t.Context(), srv.URL+"/chat/x", "unread", nil))
	require.NoError(t, err)
	defer func() { _ = unread.Body.Close() }()
	short, err := http.DefaultClient.Do(wanted{}.request(t.Context(), srv.URL+"/chat/x", "short", nil))
	require.NoError(t, err)
	body, err := io.ReadAll(short.Body)
	require.NoError(t, err)
	require.NoError(t, short.Body.Close())
	require.Equal(t, 5, bytes.Count(body, []byte("id: ")))
	waitEmpty(t, f)
	_, err = io.Copy(io.Discard, unread.Body)
	require.Error(t, err, "it must not look complete")
}

// Random requests that end in random ways, of which the budget has room for a few: an answer that looks complete is
// complete and signed, and afterwards nothing is held.
func TestNothingIsHeldAfterRandomOutcomes(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 2)
	f, url := newBoundedFront(t, pf, 128<<10)
	replaceServers(t, pf, f, serveWanted)
	rapid.Check(t, func(rt *rapid.T) {
		var callers sync.WaitGroup
		for i := range rapid.IntRange(1, 8).Draw(rt, "requests") {
			a := wanted{
				size: rapid.IntRange(0, 200<<10).Draw(rt, "answer"), chunked: rapid.Bool().Draw(rt, "chunked"),
				status:  rapid.SampledFrom([]int{200, 200, 200, 404, 500}).Draw(rt, "status"),
				breakAt: rapid.SampledFrom([]int{-1, -1, 0, 6 * answerPiece}).Draw(rt, "break"), unsigned: rapid.IntRange(0, 9).Draw(rt, "unsigned") == 0,
			}
			path := rapid.SampledFrom([]string{"/score/x", "/write/x"}).Draw(rt, "path")
			body := bytes.NewReader(make([]byte, rapid.IntRange(0, 60<<10).Draw(rt, "body")))
			leaveAfter := rapid.SampledFrom([]time.Duration{time.Minute, time.Minute, 0, time.Millisecond, 4 * time.Millisecond}).Draw(rt, "leave")
			inChunks := rapid.Bool().Draw(rt, "body in chunks")
			callers.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), leaveAfter)
				defer cancel()
				r := a.request(ctx, url+path, fmt.Sprint("r", i), body)
				if inChunks {
					r.ContentLength = -1
				}
				checkAnswer(t, a, r)
			})
		}
		callers.Wait()
		waitEmpty(t, f)
	})
}

// checkAnswer sends a request and fails if its answer looks complete and is not the wanted one.
func checkAnswer(t *testing.T, a wanted, r *http.Request) {
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil || resp.StatusCode != a.status || resp.Header.Get(hostedtest.HeaderSeal) == "" && a.status != 200 {
		return
	}
	if int(n) != a.size || a.unsigned || a.breakAt >= 0 && a.breakAt < a.size {
		t.Errorf("%d bytes of %v look complete", n, a)
	}
}
