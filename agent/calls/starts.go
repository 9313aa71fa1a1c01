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

// endedTimeout bounds the question whether the backend server has ended: a retry
// elsewhere waits for it. It runs on this VM.
const endedTimeout = 100 * time.Millisecond

// starts tells the starts of the backend server apart: one ends when it refuses
// connections, and the next has begun when it takes one.
type starts struct {
	name   string // this agent's, and that of its own start
	dialer net.Dialer

	mu    sync.Mutex
	count int
	down  bool
}

func newStarts(name string) *starts {
	return &starts{name: name + "#" + strconv.FormatInt(time.Now().UnixNano(), 36), dialer: net.Dialer{Timeout: dialTimeout}}
}

// dial connects to the backend server.
func (s *starts) dial(ctx context.Context, network, addr string) (net.Conn, error) {
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

// ended names the start that has ended; empty: the server runs, or can't be asked.
func (s *starts) ended(ctx context.Context, addr string) string {
	ctx, cancel := context.WithTimeout(ctx, endedTimeout)
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
	return s.name + "/" + strconv.Itoa(s.count)
}

// blame names the backend server's start in the error of a request that was sent and
// got no whole answer, if that start has ended. The entry that has the request keeps it
// from ending the next one.
func (b *backend) blame(ctx context.Context, err *kinds.Error) *kinds.Error {
	if err.NotRun() || ctx.Err() != nil {
		return err
	}
	if ended := b.starts.ended(ctx, b.addr); ended != "" {
		return err.WithEnded(ended)
	}
	return err
}
