package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"dandelionsill.org/platform/hosted/hostedtest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func requestID(h http.Header) string { return h.Get("X-Id") }

// testServer is a server that answers each request on a connection by calling reply. It
// counts the connections.
type testServer struct {
	addr  string
	conns atomic.Int64
}

func newTestServer(t *testing.T, reply func(r *http.Request, w net.Conn) (keepOpen bool)) *testServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &testServer{addr: l.Addr().String()}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.conns.Add(1)
			go serveConn(c, reply)
		}
	}()
	t.Cleanup(func() { _ = l.Close(); <-done })
	return p
}

func serveConn(c net.Conn, reply func(*http.Request, net.Conn) bool) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if !reply(req, c) {
			return
		}
	}
}

func writeOK(w io.Writer, id, body, extra string) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, extra, len(body), body)
}

func request(id string) *Request {
	return &Request{Method: "POST", URI: "/a?b=c", Host: "h", Header: http.Header{"X-Id": {id}}, Body: []byte("body"), ID: id}
}

// newPool returns a pool that waits for connections for as long as the test: none of the tests is
// about the time that a connection takes, which is long on a busy machine.
func newPool(t *testing.T) *Pool {
	p := NewPool(requestID)
	p.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	}
	t.Cleanup(func() { p.Retain(nil) })
	return p
}

func fetch(t *testing.T, p *Pool, addr, id string) (string, error) {
	a, err := p.Do(t.Context(), addr, request(id))
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := a.ReadAll(1 << 20)
	return string(body), err
}

// The request reaches the server as the caller sent it, and the second request uses the
// connection of the first.
func TestRequestsShareAConnection(t *testing.T) {
	var seen []string
	p := newTestServer(t, func(r *http.Request, w net.Conn) bool {
		body, _ := io.ReadAll(r.Body)
		seen = append(seen, fmt.Sprint(r.Method, " ", r.RequestURI, " ", r.Host, " ", string(body), " ", r.Header.Get("User-Agent")))
		writeOK(w, r.Header.Get("X-Id"), "x", "")
		return true
	})
	pool := newPool(t)
	for _, id := range []string{"1", "2"} {
		body, err := fetch(t, pool, p.addr, id)
		require.NoError(t, err)
		require.Equal(t, "x", body)
	}
	require.EqualValues(t, 1, p.conns.Load())
	require.Equal(t, []string{"POST /a?b=c h body ", "POST /a?b=c h body "}, seen)
	require.True(t, pool.HasIdle(p.addr))
}

// A faulty server sends a second answer after the first, in the same bytes or while its
// connection is idle. If it were taken for the answer to the next request, a caller
// would get another caller's bytes.
func TestExtraAnswerIsDiscarded(t *testing.T) {
	late := make(chan struct{})
	p := newTestServer(t, func(r *http.Request, w net.Conn) bool {
		id := r.Header.Get("X-Id")
		answers := bufio.NewWriter(w) // one write: both answers are there at once
		defer answers.Flush()
		writeOK(answers, id, "answer to "+id, "")
		switch id {
		case "1":
			writeOK(answers, id, "again to "+id, "")
		case "3":
			time.AfterFunc(20*time.Millisecond, func() { writeOK(w, id, "late to "+id, ""); close(late) })
		}
		return true
	})
	pool := newPool(t)
	for _, id := range []string{"1", "2", "3"} {
		body, err := fetch(t, pool, p.addr, id)
		require.NoError(t, err)
		require.Equal(t, "answer to "+id, body)
	}
	<-late
	require.Eventually(t, func() bool {
		body, err := fetch(t, pool, p.addr, "4")
		return err == nil && body == "answer to 4"
	}, 5*time.Second, time.Millisecond)
}

// The second answer may come at any moment: before the connection is checked, or after
// the next request was sent. That request then ends with ErrMismatch, its outcome
// unknown. It never gets the other request's bytes, and the request after it is served,
// because the connection was closed.
func TestLateExtraAnswerIsNotUsedForNextRequest(t *testing.T) {
	p := newTestServer(t, func(r *http.Request, w net.Conn) bool {
		id := r.Header.Get("X-Id")
		writeOK(w, id, "answer to "+id, "")
		if strings.HasPrefix(id, "twice") {
			writeOK(w, id, "again to "+id, "")
		}
		return true
	})
	pool := newPool(t)
	for i := range 200 {
		for _, kind := range []string{"twice", "next", "last"} {
			id := fmt.Sprint(kind, i)
			body, err := fetch(t, pool, p.addr, id)
			if kind == "next" && err != nil {
				require.ErrorIs(t, err, ErrMismatch)
				require.NotErrorIs(t, err, ErrNotSent)
				continue
			}
			require.NoError(t, err)
			require.Equal(t, "answer to "+id, body)
		}
	}
}

// The late answer arrives after the next request was sent. It carries another id, and
// the outcome of the request is unknown.
func TestAnswerOfAnotherRequestIsRefused(t *testing.T) {
	p := newTestServer(t, func(r *http.Request, w net.Conn) bool {
		writeOK(w, "other", "not yours", "")
		return true
	})
	_, err := fetch(t, newPool(t), p.addr, "1")
	require.ErrorIs(t, err, ErrMismatch)
	require.NotErrorIs(t, err, ErrNotSent)
}

// Servers close idle connections. A request written on a closed connection would be
// lost with its outcome unknown, so a closed connection must not be used.
func TestClosedConnectionIsNotUsed(t *testing.T) {
	closed := make(chan struct{}, 2)
	p := newTestServer(t, func(r *http.Request, w net.Conn) bool {
		writeOK(w, r.Header.Get("X-Id"), "x", "")
		_ = w.Close()
		closed <- struct{}{}
		return false
	})
	pool := newPool(t)
	for _, id := range []string{"1", "2"} {
		require.Eventually(t, func() bool {
			body, err := fetch(t, pool, p.addr, id)
			return err == nil && body == "x"
		}, 5*time.Second, time.Millisecond)
		<-closed
	}
}

// "Connection: close" and the stated keep-alive timeout are honoured.
func TestKeepAliveHeaderIsHonoured(t *testing.T) {
	header := "Connection: close\r\n"
	p := newTestServer(t, func(r *http.Request, w net.Conn) bool {
		writeOK(w, r.Header.Get("X-Id"), "x", header)
		return true
	})
	pool := newPool(t)
	_, err := fetch(t, pool, p.addr, "1")
	require.NoError(t, err)
	require.False(t, pool.HasIdle(p.addr))
	header = "Keep-Alive: timeout=1\r\n"
	_, err = fetch(t, pool, p.addr, "2")
	require.NoError(t, err)
	require.False(t, pool.HasIdle(p.addr), "one second minus the margin is zero")
	require.Equal(t, 9*time.Second, keepAliveTimeout("max=3, timeout=10"))
	require.Equal(t, defaultKeepAlive, keepAliveTimeout("timeout=soon"))
}

// The server breaks off within a body with a length, within chunks, or within the head.
// Each case must be an error, or half an answer would look complete.
func TestBrokenAnswersAreErrors(t *testing.T) {
	for name, bytes := range map[string]string{
		"length":   "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"chunks":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"head":     "HTTP/1.1 200 OK\r\nContent-",
		"no bytes": "",
		"garbage":  "\x00\x01 not http\r\n\r\n",
	} {
		p := newTestServer(t, func(_ *http.Request, w net.Conn) bool {
			_, _ = io.WriteString(w, bytes)
			return false
		})
		_, err := fetch(t, newPool(t), p.addr, "1")
		require.ErrorIs(t, err, ErrBroken, name)
	}
}

// An answer without a length ends with its connection. If the connection is reset, the
// answer is not complete.
func TestResetAnswerIsIncomplete(t *testing.T) {
	p := newTestServer(t, func(r *http.Request, w net.Conn) bool {
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\n\r\nhalf")
		if r.Header.Get("X-Id") == "reset" {
			_ = w.(*net.TCPConn).SetLinger(0)
		}
		return false
	})
	pool := newPool(t)
	body, err := fetch(t, pool, p.addr, "1")
	require.NoError(t, err)
	require.Equal(t, "half", body)
	_, err = fetch(t, pool, p.addr, "reset")
	require.ErrorIs(t, err, ErrBroken)
}

// A server rejects a long body before it has read it, and reads the rest later. The
// next request on that connection would be written within the body.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	proceed := make(chan struct{})
	p := newTestServer(t, func(r *http.Request, w net.Conn) bool {
		writeOK(w, r.Header.Get("X-Id"), "early", "")
		<-proceed
		return false
	})
	defer close(proceed)
	pool := newPool(t)
	req := request("1")
	req.Body = []byte(strings.Repeat("x", 32<<20))
	a, err := pool.Do(t.Context(), p.addr, req)
	require.NoError(t, err)
	body, err := a.ReadAll(100)
	require.NoError(t, err)
	require.Equal(t, "early", string(body))
	a.Close()
	require.False(t, pool.HasIdle(p.addr))
}

// The caller disconnects. The connection is closed immediately, so that the server
// stops.
// Failure: a server in trouble sends bytes without end in place of a head. Guards against a process that
// reads them until it runs out of memory.
func TestEndlessHeadIsBroken(t *testing.T) {
	for name, endless := range map[string]hostedtest.Endless{
		"status line": hostedtest.EndlessStatus, "header fields": hostedtest.EndlessHead, "interim answers": hostedtest.EndlessInterim,
	} {
		t.Run(name, func(t *testing.T) {
			server := newTestServer(t, func(_ *http.Request, w net.Conn) bool {
				hostedtest.WriteEndless(w, endless, func(int) {})
				return false
			})
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, err := NewPool(requestID).Do(ctx, server.addr, &Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}})
			require.ErrorIs(t, err, ErrBroken)
			require.NoError(t, ctx.Err(), "the request must not wait for its deadline")
		})
	}
}

func TestCancelClosesConnection(t *testing.T) {
	stopped := make(chan struct{})
	arrived := make(chan struct{})
	p := newTestServer(t, func(_ *http.Request, w net.Conn) bool {
		close(arrived)
		_, _ = w.Read(make([]byte, 1))
		close(stopped)
		return false
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-arrived; cancel() }()
	_, err := newPool(t).Do(ctx, p.addr, request("1"))
	require.Error(t, err)
	<-stopped
}

// No process listens at the address. No byte was sent, so the request may be sent to
// another server, even if it may run only once.
func TestRefusedConnectionProvesNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	_, err = newPool(t).Do(t.Context(), l.Addr().String(), request("1"))
	require.ErrorIs(t, err, ErrNotSent)
}

// BenchmarkDo measures a small request and its answer on an idle connection.
func BenchmarkDo(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveConn(c, func(r *http.Request, w net.Conn) bool {
				_, _ = io.Copy(io.Discard, r.Body)
				writeOK(w, "1", strings.Repeat("x", 800), "")
				return true
			})
		}
	}()
	pool := NewPool(requestID)
	defer pool.Retain(nil)
	for b.Loop() {
		a, err := pool.Do(context.Background(), l.Addr().String(), request("1"))
		require.NoError(b, err)
		_, err = a.ReadAll(1 << 20)
		require.NoError(b, err)
		a.Close()
	}
}

// After a connection broke, only a machine that refuses connections shows that the
// server's process ended. A server that accepts a new connection is alive, and that
// connection is kept for the retry.
func TestEndedServerRefusesConnections(t *testing.T) {
	p := newTestServer(t, func(r *http.Request, w net.Conn) bool { writeOK(w, r.Header.Get("X-Id"), "x", ""); return true })
	pool := NewPool(requestID)
	require.False(t, pool.ServerEnded(t.Context(), p.addr))
	require.True(t, pool.HasIdle(p.addr))
	pool.Retain(nil)

	gone, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, gone.Close())
	require.True(t, pool.ServerEnded(t.Context(), gone.Addr().String()))

	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	require.False(t, pool.ServerEnded(cancelled, gone.Addr().String()), "a machine that does not answer proves nothing")
}
