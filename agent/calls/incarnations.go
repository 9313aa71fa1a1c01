package calls

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"dandelionsill.org/kinds"
)

// probeTimeout bounds the question whether the backend server has ended: a retry
// elsewhere waits for it. It runs on this VM.
const probeTimeout = 100 * time.Millisecond

// incarnations tells the incarnations of the backend server apart: one ends when it refuses
// connections, and the next has begun when it takes one.
type incarnations struct {
	prefix string // this agent's, and that of its own start
	dialer net.Dialer

	mu    sync.Mutex
	count int
	down  bool
}

func newIncarnations(name string) *incarnations {
	return &incarnations{prefix: name + "#" + strconv.FormatInt(time.Now().UnixNano(), 36), dialer: net.Dialer{Timeout: dialTimeout}}
}

// dial connects to the backend server.
func (s *incarnations) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := s.dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		s.count++
		s.down = false
	}
	return conn, nil
}

// endedIncarnation names the start that has endedIncarnation; empty: the server runs, or can't be asked.
func (s *incarnations) endedIncarnation(ctx context.Context, addr string) string {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := s.dial(ctx, "tcp", addr)
	if err == nil {
		_ = conn.Close() // it was opened only to ask
		return ""
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
	return s.prefix + "/" + strconv.Itoa(s.count)
}

// withEndedIncarnation names the backend server's start in the error of a request that was sent and
// got no whole answer, if that start has ended. The entry that has the request keeps it
// from ending the next one.
func (b *backend) withEndedIncarnation(ctx context.Context, err *kinds.Error) *kinds.Error {
	if err.NotRun() || ctx.Err() != nil {
		return err
	}
	if server := b.incarnations.endedIncarnation(ctx, b.addr); server != "" {
		return err.WithEnded(server)
	}
	return err
}
