package inbound

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"dandelionsill.org/base/budget"
)

const maxWait = 30 * time.Second

// server is an HTTP server within bounds.
type server struct {
	*http.Server
	bounds   *Bounds
	listener *Listener
	addr     string
}

// serve starts a server for callers until the test ends.
func serve(t testing.TB, set Settings, b *budget.Budget, cfg HTTPConfig, handler http.HandlerFunc) *server {
	return serveUse(t, Callers, set, b, cfg, handler)
}

// serveUse starts a server until the test ends.
func serveUse(t testing.TB, use Use, set Settings, b *budget.Budget, cfg HTTPConfig, handler http.HandlerFunc) *server {
	s := &server{Server: &http.Server{Handler: handler}, bounds: New(set, b, zap.NewNop())}
	Guard(s.Server, cfg)
	var err error
	s.listener, err = s.bounds.Listen("127.0.0.1:0", use)
	require.NoError(t, err)
	s.addr = s.listener.Addr().String()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(s.listener)
	}()
	t.Cleanup(func() {
		_ = s.Close()
		<-done
	})
	return s
}

func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = w.Write(body)
}

// ask sends bytes on a new connection and returns the first answer.
func ask(t testing.TB, addr, text string) *http.Response {
	conn := dial(t, addr)
	go func() { _, _ = io.WriteString(conn, text) }() // fails if the server closes the connection
	return readAnswer(t, bufio.NewReader(conn))
}

func dial(t testing.TB, addr string) net.Conn {
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(maxWait)))
	return conn
}

func readAnswer(t testing.TB, from *bufio.Reader) *http.Response {
	resp, err := http.ReadResponse(from, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	resp.Body = io.NopCloser(bytes.NewReader(body))
	return resp
}

func shortLines(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

const start = "POST / HTTP/1.1\r\nHost: a\r\n"

// A head of any form within the limit is served in calm, one beyond it is told so, and both give back what they held.
func TestLargestHeadIsServed(t *testing.T) {
	const limit = 16 << 10
	s := serve(t, Settings{}, nil, HTTPConfig{HeadBytes: func() int { return limit }}, echo)
	for name, fill := range map[string]string{
		"short lines": shortLines(2600), "one line": "a: " + strings.Repeat("b", limit-100) + "\r\n",
		"same lines": strings.Repeat("a:\r\n", 4000), "continued": "a: b\r\n" + strings.Repeat(" c\r\n", 3900),
	} {
		require.LessOrEqual(t, len(fill), limit, name)
		require.Equal(t, http.StatusOK, ask(t, s.addr, start+fill+"Content-Length: 1\r\n\r\nx").StatusCode, name)
	}
	for name, fill := range map[string]string{
		"lines": shortLines(20_000), "line": "a: " + strings.Repeat("b", 8*limit), "request line": "",
	} {
		text := start + fill
		if fill == "" {
			text = "GET /" + strings.Repeat("a", 8*limit)
		}
		resp := ask(t, s.addr, text)
		require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, resp.StatusCode, name)
		require.Empty(t, resp.Header.Get("Retry-After"))
	}
	requireNothingHeld(t, s)
}

// requireNothingHeld waits until a server holds nothing for heads.
func requireNothingHeld(t testing.TB, s *server) {
	require.Eventually(t, func() bool { return s.bounds.heads.InUse() == 0 }, maxWait, time.Millisecond)
}

// scarceBudget returns a budget and a function that leaves only 70 KB of it for heads, until the function that it returns is called.
func scarceBudget(t testing.TB) (*budget.Budget, func() (release func())) {
	b := budget.New(2 << 20)
	other := b.Share("other", 0)
	return b, func() func() {
		taken := b.Total() * 92 / 100
		require.True(t, other.Acquire(taken))
		return func() { other.Release(taken) }
	}
}

// Guards against a refusal for lack of room that callers take for final, or that does not promise that nothing ran.
func TestHeadWithoutRoomIsToldToComeBack(t *testing.T) {
	b, crowdOut := scarceBudget(t)
	ran := false
	s := serve(t, Settings{}, b, HTTPConfig{Refusal: func(status int) (http.Header, []byte) {
		return http.Header{"X-Not-Run": {"1"}}, []byte(strconv.Itoa(status))
	}}, func(http.ResponseWriter, *http.Request) { ran = true })
	release := crowdOut()
	heavy := start + shortLines(2600)
	for _, text := range []string{heavy, heavy + "\r\n"} {
		resp := ask(t, s.addr, text)
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.Equal(t, "1", resp.Header.Get("X-Not-Run"))
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, "503", string(body))
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
		require.True(t, resp.Close)
	}
	conn := dial(t, s.addr)
	_, err := io.WriteString(conn, heavy)
	require.NoError(t, err)
	all, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Equal(t, 1, strings.Count(string(all), "HTTP/1.1"), "one answer")
	require.False(t, ran)
	require.Equal(t, http.StatusOK, ask(t, s.addr, start+"\r\n").StatusCode, "an ordinary head needs no room")
	release()
	require.Equal(t, http.StatusOK, ask(t, s.addr, heavy+"\r\n").StatusCode)
	requireNothingHeld(t, s)
}

// Guards against heads that fill a process that is not told its memory, while their requests wait.
func TestHeadsAreBoundedWithoutMemory(t *testing.T) {
	const clients = 100
	release := make(chan struct{})
	s := serve(t, Settings{}, nil, HTTPConfig{}, func(http.ResponseWriter, *http.Request) { <-release })
	statuses := make(chan int, clients)
	var all sync.WaitGroup
	for range clients {
		all.Go(func() {
			conn, err := net.Dial("tcp", s.addr)
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, start+shortLines(2600)+"\r\n") // fails if the server refuses early
			if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				statuses <- resp.StatusCode
			}
		})
	}
	require.Equal(t, http.StatusServiceUnavailable, <-statuses, "while all others wait")
	require.LessOrEqual(t, s.bounds.heads.InUse(), int64(defaultHeads))
	close(release)
	all.Wait()
	require.Equal(t, http.StatusOK, ask(t, s.addr, start+shortLines(2600)+"\r\n").StatusCode)
}

// Guards against heads that nobody counts because they were read together with the request before.
func TestPipelinedHeadsAreCounted(t *testing.T) {
	b, crowdOut := scarceBudget(t)
	s := serve(t, Settings{}, b, HTTPConfig{}, echo)
	crowdOut()
	for _, lines := range []int{700, 2600} { // in the buffer as a whole, and in part
		conn := dial(t, s.addr)
		go func() { _, _ = io.WriteString(conn, start+"\r\n"+start+shortLines(lines)+"\r\n") }()
		from := bufio.NewReader(conn)
		resp := readAnswer(t, from)
		if resp.StatusCode == http.StatusOK { // else it was read together with the head that is too heavy
			resp = readAnswer(t, from)
		}
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	}
	requireNothingHeld(t, s)
}

// Guards against trailers that nobody counts.
func TestTrailersAreCounted(t *testing.T) {
	b, crowdOut := scarceBudget(t)
	begun, ended := make(chan struct{}, 1), make(chan error, 1)
	s := serve(t, Settings{}, b, HTTPConfig{}, func(_ http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		_, err := io.ReadAll(r.Body)
		ended <- err
	})
	send := func() error {
		conn := dial(t, s.addr)
		_, err := io.WriteString(conn, start+"Transfer-Encoding: chunked\r\n\r\n")
		require.NoError(t, err)
		<-begun // so that head and trailer are read apart
		_, err = io.WriteString(conn, "1\r\nx\r\n0\r\n"+shortLines(600)+"\r\n")
		require.NoError(t, err)
		return <-ended
	}
	require.NoError(t, send())
	requireNothingHeld(t, s)
	crowdOut()
	require.ErrorIs(t, send(), budget.ErrNoRoom)
	requireNothingHeld(t, s)
}

// Guards against single lines that nobody counts although very much is made of them, and against refused requests that hold it
// until their clients close the connection.
func TestListsInLinesAreCounted(t *testing.T) {
	b, crowdOut := scarceBudget(t)
	s := serve(t, Settings{}, b, HTTPConfig{}, echo)
	names := strings.ReplaceAll(shortLines(2600), ":\r\n", ",")
	trailers := start + "Transfer-Encoding: chunked\r\nTrailer: " + names + "\r\n\r\n0\r\n\r\n"
	query := strings.Replace(start, "/ ", "/?"+strings.ReplaceAll(names, ",", "&")+" ", 1) + "\r\n"
	for _, text := range []string{trailers, query} {
		require.Equal(t, http.StatusOK, ask(t, s.addr, text).StatusCode)
	}
	requireNothingHeld(t, s)
	release := crowdOut()
	for _, text := range []string{trailers, query} {
		require.Equal(t, http.StatusServiceUnavailable, ask(t, s.addr, text).StatusCode)
	}
	requireNothingHeld(t, s)
	release()
	require.Equal(t, http.StatusOK, ask(t, s.addr, trailers).StatusCode)
}

// Guards against bodies that neither a handler nor the connection counts. What one holds is given back once it is answered.
func TestBodiesOfOtherHandlersAreCounted(t *testing.T) {
	for _, ownBodies := range []bool{false, true} {
		b, crowdOut := scarceBudget(t)
		ended := make(chan error, 1)
		s := serve(t, Settings{}, b, HTTPConfig{OwnBodies: ownBodies}, func(_ http.ResponseWriter, r *http.Request) {
			_, err := io.ReadAll(r.Body)
			ended <- err
		})
		crowdOut()
		conn := dial(t, s.addr)
		from := bufio.NewReader(conn)
		send := func(size int) {
			_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", start, size, strings.Repeat("x", size)) // fails once the server closes
		}
		for range 20 {
			send(10 << 10)
			require.NoError(t, <-ended)
			require.Equal(t, http.StatusOK, readAnswer(t, from).StatusCode)
		}
		send(100 << 10)
		if ownBodies {
			require.NoError(t, <-ended)
		} else {
			require.ErrorIs(t, <-ended, budget.ErrNoRoom)
		}
		_ = conn.Close()
		require.Eventually(t, func() bool { return s.bounds.callers.InUse() == 0 }, maxWait, time.Millisecond)
	}
}

// Guards against a kept-open connection whose count of lines grows with each ordinary request.
func TestOrdinaryRequestsHoldNothing(t *testing.T) {
	var s *server
	held := int64(0)
	s = serve(t, Settings{}, nil, HTTPConfig{}, func(w http.ResponseWriter, r *http.Request) {
		held = max(held, s.bounds.heads.InUse())
		echo(w, r)
	})
	conn := dial(t, s.addr)
	from := bufio.NewReader(conn)
	body := strings.Repeat("line\n", 200)
	for range 200 {
		_, err := fmt.Fprintf(conn, "%s%sContent-Length: %d\r\n\r\n%s", start, shortLines(12), len(body), body)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, readAnswer(t, from).StatusCode)
	}
	require.LessOrEqual(t, held, int64(200*lineCost), "at most the lines of the body's beginning")
	requireNothingHeld(t, s)
}

// Guards against two readers that disagree on where a request ends: whatever bytes come, in whatever pieces, the handler sees the
// same requests as that of net/http alone.
func TestRequestsAreThoseOfNetHTTP(t *testing.T) {
	pieces := []string{
		"GET / HTTP/1.1\r\n", "POST /x HTTP/1.1\r\n", "Host: a\r\n", "Host: a\n", "\r\n", "\n", "\r", "a: b\r\n", " c\r\n", "\tc\n",
		"Content-Length: 3\r\n", "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", "Transfer-Encoding: x\r\n", "3\r\nabc\r\n", "0\r\n", "abc",
		"GET", ":", " ", "\x00", "1;x=y\r\nz\r\n", "Expect: 100-continue\r\n", "OPTIONS * HTTP/1.1\r\n", "Connection: close\r\n", "a : b\r\n",
	}
	recorder := func(mu *sync.Mutex, seen *[]string) http.HandlerFunc {
		return func(_ http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			mu.Lock()
			defer mu.Unlock()
			*seen = append(*seen, fmt.Sprintf("%s %s %v %q %v %v", r.Method, r.RequestURI, r.Header, body, err, r.Trailer))
		}
	}
	var mu sync.Mutex
	var guarded, plain []string
	s := serve(t, Settings{}, nil, HTTPConfig{}, recorder(&mu, &guarded))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	other := &http.Server{Handler: recorder(&mu, &plain), DisableGeneralOptionsHandler: true}
	go func() { _ = other.Serve(listener) }()
	t.Cleanup(func() { _ = other.Close() })
	rapid.Check(t, func(rt *rapid.T) {
		parts := rapid.SliceOfN(rapid.SampledFrom(pieces), 1, 30).Draw(rt, "parts")
		mu.Lock()
		guarded, plain = nil, nil
		mu.Unlock()
		for _, addr := range []string{s.addr, listener.Addr().String()} {
			conn, err := net.Dial("tcp", addr)
			require.NoError(rt, err)
			for _, part := range parts {
				if _, err := io.WriteString(conn, part); err != nil {
					break // the server has closed the connection
				}
			}
			_ = conn.(*net.TCPConn).CloseWrite() // fails on a closed connection
			_ = conn.SetDeadline(time.Now().Add(maxWait))
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
		}
		mu.Lock()
		defer mu.Unlock()
		require.Equal(rt, plain, guarded)
	})
}

// Connections get places in order of need: one on which no request has arrived makes room for a new one, one with a request in
// progress does not, and other listeners keep what is reserved for them.
func TestWaitingConnectionsMakeRoom(t *testing.T) {
	release := make(chan struct{})
	arrived := make(chan struct{}, 100)
	s := serve(t, Settings{Descriptors: 32}, nil, HTTPConfig{}, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		arrived <- struct{}{}
		<-release
	})
	peers, err := s.bounds.Listen("127.0.0.1:0", Peers)
	require.NoError(t, err)
	defer func() { require.NoError(t, peers.Close()) }()
	most := 16 - Peers.reserved(16)
	var idle []net.Conn
	for i := range 2 * most {
		conn := dial(t, s.addr)
		_, err := io.WriteString(conn, []string{"", start, start + "Content-Length: 5\r\n\r\nabc"}[i%3])
		require.NoError(t, err)
		idle = append(idle, conn)
	}
	for range most {
		conn := dial(t, s.addr)
		_, err := io.WriteString(conn, start+"\r\n")
		require.NoError(t, err)
		<-arrived
	}
	for _, conn := range idle {
		_, err := io.Copy(io.Discard, conn) // ends with the server's end or reset
		require.False(t, errorIsTimeout(err))
	}
	refused := dial(t, s.addr)
	_, err = io.Copy(io.Discard, refused)
	require.False(t, errorIsTimeout(err))
	s.bounds.mu.Lock()
	require.Equal(t, most, s.listener.open)
	require.Equal(t, Peers.reserved(16), s.bounds.most(peers))
	s.bounds.mu.Unlock()
	close(release)
	require.Eventually(t, func() bool {
		s.bounds.mu.Lock()
		defer s.bounds.mu.Unlock()
		return s.listener.waiting.Len() > 0 // a connection is idle again
	}, maxWait, time.Millisecond)
	require.Equal(t, http.StatusOK, ask(t, s.addr, start+"\r\n").StatusCode)
}

func errorIsTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// Guards against a client that reads nothing and holds a connection, and its handler, for good.
func TestAnswerThatIsNotReadEnds(t *testing.T) {
	failed := make(chan error, 1)
	s := serve(t, Settings{}, nil, HTTPConfig{}, func(w http.ResponseWriter, _ *http.Request) {
		for {
			if _, err := w.Write(make([]byte, 1<<20)); err != nil {
				failed <- err
				return
			}
		}
	})
	s.bounds.mu.Lock()
	s.bounds.stallTimeout = 50 * time.Millisecond
	s.bounds.mu.Unlock()
	conn := dial(t, s.addr)
	_, err := io.WriteString(conn, start+"\r\n")
	require.NoError(t, err)
	require.True(t, errorIsTimeout(<-failed))
}

// The deadline that a handler sets for its writes replaces that of every write.
func TestHandlersOwnWriteDeadlineStays(t *testing.T) {
	failed := make(chan error, 1)
	s := serve(t, Settings{}, nil, HTTPConfig{}, func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
		for {
			if _, err := w.Write(make([]byte, 1<<20)); err != nil {
				failed <- err
				return
			}
		}
	})
	conn := dial(t, s.addr)
	_, err := io.WriteString(conn, start+"\r\n")
	require.NoError(t, err)
	require.True(t, errorIsTimeout(<-failed))
}

// A server's stop ends connections on which no request has arrived.
func TestShutdown(t *testing.T) {
	s := serve(t, Settings{}, nil, HTTPConfig{}, echo)
	conn := dial(t, s.addr)
	_, err := io.WriteString(conn, start+"\r\n")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, readAnswer(t, bufio.NewReader(conn)).StatusCode)
	ctx, cancel := context.WithTimeout(t.Context(), maxWait)
	defer cancel()
	require.NoError(t, s.Shutdown(ctx))
	s.bounds.mu.Lock()
	defer s.bounds.mu.Unlock()
	require.Zero(t, s.listener.open)
	require.Zero(t, s.bounds.callers.InUse())
}

// BenchmarkKeptConnection measures what the bounds add to a request on a connection that is kept open.
func BenchmarkKeptConnection(b *testing.B) {
	s := serve(b, Settings{}, nil, HTTPConfig{}, func(http.ResponseWriter, *http.Request) {})
	client := &http.Client{}
	defer client.CloseIdleConnections()
	b.ReportAllocs()
	for b.Loop() {
		resp, err := client.Get("http://" + s.addr)
		require.NoError(b, err)
		_ = resp.Body.Close()
	}
}
