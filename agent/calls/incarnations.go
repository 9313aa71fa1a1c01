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

// probeTimeout bounds the connection attempt that checks whether the backend server's
// process has ended. It can be short because the server runs on this VM, and should
// be because a retry at another server waits for the result.
const probeTimeout = 100 * time.Millisecond

// incarnations distinguishes the incarnations of the backend server: one has ended
// when connections are refused, and the next has started when one is accepted again.
type incarnations struct {
	prefix string // name of this agent and of its own incarnation
	dialer net.Dialer

	mu    sync.Mutex
	count int  // incarnations that ended and were followed by another
	down  bool // the last connection was refused
}

// newIncarnations returns the incarnations of the backend server of the agent name.
func newIncarnations(name string) *incarnations {
	return &incarnations{prefix: name + "#" + strconv.FormatInt(time.Now().UnixNano(), 36), dialer: net.Dialer{Timeout: dialTimeout}}
}

// dial connects to the backend server and counts a new incarnation if the previous
// one has ended.
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

// endedIncarnation returns the name of the backend server's incarnation that has
// ended, or "" if the server runs or its state can't be determined.
func (s *incarnations) endedIncarnation(ctx context.Context, addr string) string {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := s.dial(ctx, "tcp", addr)
	if err == nil {
		_ = conn.Close() // it was opened only as a probe
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

// withEndedIncarnation adds the name of the backend server's incarnation to the error
// of a request that was sent and got no complete answer, if that incarnation has
// ended. With it the entry can keep the request from crashing further servers.
func (b *backend) withEndedIncarnation(ctx context.Context, err *kinds.Error) *kinds.Error {
	if err.NotRun() || ctx.Err() != nil {
		return err
	}
	if server := b.incarnations.endedIncarnation(ctx, b.addr); server != "" {
		return err.WithEndedServer(server)
	}
	return err
}
