package outboundtest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// MaxWait bounds what a test waits for; only a test that fails waits that long.
const MaxWait = 30 * time.Second

// Server answers each request with the same bytes. Only its clients end connections.
type Server struct {
	Addr     string // IP:port
	answer   func(request int) string
	requests atomic.Int64
	open     atomic.Int64 // connections
	accepted atomic.Int64
	sent     atomic.Int64 // bytes of the longest endless answer
}

// NewServer starts a server that answers with raw until the test has ended.
func NewServer(t testing.TB, raw string) *Server {
	return NewServerFunc(t, func(int) string { return raw })
}

// NewServerFunc starts a server whose answers depend on the number of the request, counted from 1.
func NewServerFunc(t testing.TB, answer func(request int) string) *Server {
	s := &Server{answer: answer}
	s.start(t, s.serve)
	return s
}

// start accepts connections until the test has ended.
func (s *Server) start(t testing.TB, serve func(net.Conn)) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.Addr = l.Addr().String()
	var mu sync.Mutex
	var conns []net.Conn
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			s.open.Add(1)
			s.accepted.Add(1)
			serving.Go(func() {
				defer s.open.Add(-1)
				defer c.Close()
				serve(c)
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		mu.Lock()
		for _, c := range conns {
			_ = c.Close()
		}
		mu.Unlock()
		serving.Wait()
	})
}

func (s *Server) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if _, err := io.WriteString(c, s.answer(int(s.requests.Add(1)))); err != nil {
			return
		}
	}
}

// URL returns the server's base URL.
func (s *Server) URL() string { return "http://" + s.Addr }

// Requests returns how many requests the server has received.
func (s *Server) Requests() int { return int(s.requests.Load()) }

// Connections returns how many connections clients have opened.
func (s *Server) Connections() int { return int(s.accepted.Load()) }

// RequireClosed waits until the clients have closed all connections.
func (s *Server) RequireClosed(t testing.TB) {
	t.Helper()
	require.Eventually(t, func() bool { return s.open.Load() == 0 }, MaxWait, time.Millisecond, "the connection must be closed")
}
