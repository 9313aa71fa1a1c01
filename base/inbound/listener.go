package inbound

import (
	"container/list"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/net/http2"
	"golang.org/x/sys/unix"

	"dandelionsill.org/base/budget"
)

// Listener accepts connections within the bounds of its process. At the bound, a new connection replaces the one that has
// waited longest for a request to arrive; if none waits, the new one is closed, but for listeners with few clients, where the
// oldest one is.
type Listener struct {
	net.Listener
	bounds *Bounds
	use    Use
	share  *budget.Share
	bytes  *budget.Share // for messages and answers of gRPC; nil: they are not bounded

	// The mutex of bounds guards these.
	open, peak       int
	evicted, refused int64
	waiting          list.List        // of *Conn, the longest waiting first
	all              list.List        // of *Conn, the oldest first
	byAddr           map[string]*Conn // by remote address, until their server has ended with them
}

// Listen listens on addr (IP:port) for a use.
func (b *Bounds) Listen(addr string, use Use) (*Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// Connections inherit it. A platform that does not know the option has buffers of its own.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, b.receiveBuffer)
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, b.sendBuffer)
		})
	}}
	inner, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	l := &Listener{Listener: inner, bounds: b, use: use, share: b.share(use), bytes: b.streamBytes, byAddr: map[string]*Conn{}}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listeners = append(b.listeners, l)
	return l, nil
}

// Accept implements net.Listener. It returns connections of type *Conn.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c, evicted := l.admit(raw.(*net.TCPConn))
		if evicted != nil {
			l.bounds.log.Info("Closed a connection to make room for a new one.",
				zap.String("listener", l.use.name), zap.Stringer("client", evicted.RemoteAddr()))
		}
		if c != nil {
			return c, nil
		}
		_ = raw.Close()
		l.bounds.log.Warn("Closed a new connection; all others have requests in progress.",
			zap.String("listener", l.use.name), zap.Stringer("client", raw.RemoteAddr()))
	}
}

// admit returns the connection if there is room for it, else nil, and the last connection that it closed to make room.
func (l *Listener) admit(raw *net.TCPConn) (admitted, evicted *Conn) {
	l.bounds.mu.Lock()
	defer l.bounds.mu.Unlock()
	for !l.take() {
		c := l.evict()
		if c == nil {
			l.refused++
			return nil, evicted
		}
		evicted = c
	}
	c := &Conn{TCPConn: raw, listener: l, held: l.bounds.heads.Reserve(), body: l.share.Reserve(), stallTimeout: l.bounds.stallTimeout, refusals: newRefusals()}
	c.arriving.left, c.leaving.outgoing = len(http2.ClientPreface), true
	c.head.reading = true
	l.byAddr[raw.RemoteAddr().String()] = c
	c.inAll = l.all.PushBack(c)
	c.setWaiting(true)
	return c, evicted
}

// take takes a place for a connection and its bytes, and returns false if there is no room. The bounds' mutex is held.
func (l *Listener) take() bool {
	if l.open >= l.bounds.most(l) || !l.share.Acquire(l.use.cost) {
		return false
	}
	l.open++
	l.peak = max(l.peak, l.open)
	return true
}

// most returns how many connections a listener may have open now: as many as leave the others what is reserved for them. The
// mutex is held.
func (b *Bounds) most(l *Listener) int {
	if l.use.most > 0 {
		return l.use.most
	}
	most := b.places
	for _, other := range b.listeners {
		if other != l {
			most -= max(other.open, other.use.reserved(b.places))
		}
	}
	return max(most, l.use.reserved(b.places))
}

// evict closes the connection that has waited longest for a request to arrive, and returns it; nil: none waits. If the clients
// are few and answers short, it closes the oldest connection then. The bounds' mutex is held.
func (l *Listener) evict() *Conn {
	first := l.waiting.Front()
	if first == nil && l.use.most > 0 {
		first = l.all.Front()
	}
	if first == nil {
		return nil
	}
	c := first.Value.(*Conn)
	l.evicted++
	c.leave()
	c.abort()
	return c
}

// find returns the connection from a remote address, also if it has made room for another one; nil: none.
func (l *Listener) find(addr net.Addr) *Conn {
	l.bounds.mu.Lock()
	defer l.bounds.mu.Unlock()
	return l.byAddr[addr.String()]
}

// forget is called when a connection's server has ended with it. The bounds' mutex is held.
func (l *Listener) forget(c *Conn) {
	if addr := c.RemoteAddr().String(); l.byAddr[addr] == c { // else a newer connection from the same address
		delete(l.byAddr, addr)
	}
}

// Conn is a connection that has a place.
type Conn struct {
	*net.TCPConn
	listener *Listener

	// The mutex of the listener's bounds guards these.
	inAll   *list.Element // in the listener's list of all connections
	element *list.Element // in the listener's list of waiting connections; nil: not in it
	left    bool          // the place is free again
	streams int           // open gRPC streams

	http         *HTTPConfig // nil: the connection is not for HTTP/1
	ownDeadline  atomic.Bool // the handler has set a deadline for its writes
	bodyRefused  atomic.Bool // there was no room for a trailer; the connection can't be read further
	aborted      atomic.Bool // the connection was closed before its server ended with it
	answer10     http10Answer
	stallTimeout time.Duration

	// Of a gRPC connection. Only its reader uses the first two, and only its writer the last.
	arriving frames
	ahead    []byte // has been read, but not yet by grpc-go
	leaving  frames
	refusals *refusals

	mu    sync.Mutex       // guards these
	calls map[uint32]*call // by stream; nil before the first one
	head  head
	held  budget.Reservation // for the head and the trailer of the current request
	body  budget.Reservation // for its body
}

// leave gives the connection's place back. The bounds' mutex is held.
func (c *Conn) leave() {
	if c.left {
		return
	}
	c.left = true
	l := c.listener
	c.setWaiting(false)
	l.all.Remove(c.inAll)
	l.open--
	l.share.Release(l.use.cost)
}

// setWaiting says whether the connection waits for a request to arrive. The bounds' mutex is held.
func (c *Conn) setWaiting(waits bool) {
	switch {
	case waits && c.element == nil && !c.left:
		c.element = c.listener.waiting.PushBack(c)
	case !waits && c.element != nil:
		c.listener.waiting.Remove(c.element)
		c.element = nil
	}
}

// abort closes the connection. Its reader sees the end, and its server closes it then.
func (c *Conn) abort() {
	c.aborted.Store(true)
	c.refusals.stop()
	_ = c.TCPConn.Close() // its server's Close tells of an error
}

// Close implements net.Conn. It is called once the connection's server has ended with it.
func (c *Conn) Close() error {
	c.refusals.stop()
	if !c.answer10.isCutShort() {
		c.endAnswer()
	}
	err := c.TCPConn.Close()
	c.listener.bounds.mu.Lock()
	c.leave()
	c.listener.forget(c)
	c.listener.bounds.mu.Unlock()
	c.endCalls()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held.Release()
	c.body.Release()
	return err
}
