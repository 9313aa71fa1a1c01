package outbound

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"dandelionsill.org/base/metrics"
)

// ErrReset is the error of a read that finds the end of a connection which its server has not ended in order. An answer that
// ends there is not whole.
var ErrReset = errors.New("connection reset")

var resetsHidden = metrics.Counter("outbound_resets_hidden_total")

// tcpCloseWait is the state of a connection that only the peer has ended, in order; see tcp_states.h of Linux.
const tcpCloseWait = 8

// Conn is a connection to a server. Its reads check the heads of answers, and return io.EOF only if the server ended the
// connection in order. It may have one reader and one writer at a time.
type Conn struct {
	*endChecker
	Answers *Reader
}

// NewConn returns a connection on which no request has been sent. c is a TCP connection; of one that is no socket, each end counts
// as one in order.
func NewConn(c net.Conn) *Conn {
	ends := &endChecker{Conn: c}
	return &Conn{endChecker: ends, Answers: newReader(ends)}
}

// NetConn returns the connection as it was dialled.
func (c *Conn) NetConn() net.Conn { return c.endChecker.Conn }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) { return c.Answers.Read(p) }

// endChecker is a connection whose reads return io.EOF only if the peer ended it in order. A socket reports a reset once: if a
// write gets that report, a read gets an end of file, as after an orderly end.
type endChecker struct {
	net.Conn
	readErr error // of the read after which no more is read

	writing  sync.Mutex // held during a write
	writeErr error      // of the first write that failed
}

// Read implements net.Conn.
func (c *endChecker) Read(p []byte) (int, error) {
	if c.readErr != nil {
		return 0, c.readErr
	}
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.checkEnd()
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.readErr = err
	}
	return n, err
}

// Write implements net.Conn.
func (c *endChecker) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// checkEnd returns io.EOF if the peer ended the connection in order, else an ErrReset error.
func (c *endChecker) checkEnd() error {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return io.EOF
	}
	if state, err := tcpState(socket); err != nil {
		return err
	} else if state == tcpCloseWait {
		return io.EOF
	}
	// A write in progress returns at once, since the connection can't be written to any more.
	c.writing.Lock()
	defer c.writing.Unlock()
	cause := c.writeErr
	if cause == nil {
		cause = pendingError(socket)
	}
	// The first error is EPIPE only if the reset came after the peer's end, before which all of the answer has arrived.
	if errors.Is(cause, syscall.EPIPE) {
		return io.EOF
	}
	resetsHidden.Add(1)
	return errors.Annotatef(ErrReset, "%v", cause)
}

// tcpState returns the state of a connection.
func tcpState(socket syscall.Conn) (state uint8, err error) {
	controlErr := control(socket, func(fd int) {
		var info *unix.TCPInfo
		if info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return state, errors.Trace(err)
}

// pendingError returns the error that neither a read nor a write has got yet; nil: none.
func pendingError(socket syscall.Conn) (pending error) {
	err := control(socket, func(fd int) {
		number, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
		switch {
		case err != nil:
			pending = err
		case number != 0:
			pending = syscall.Errno(number)
		}
	})
	if err != nil {
		return err
	}
	return pending
}

// control calls f with a socket's file descriptor. It returns an error if the socket is closed.
func control(socket syscall.Conn, f func(fd int)) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(raw.Control(func(fd uintptr) { f(int(fd)) }))
}
