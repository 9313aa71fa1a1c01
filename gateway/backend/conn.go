package backend

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// conn is one connection to a backend server; it carries one request at a time.
type conn struct {
	net.Conn
	r *bufio.Reader
	w *bufio.Writer
	// expires is when the server may close it by itself.
	expires time.Time
}

// Sizes of a connection's buffers, in bytes; most answers fit into one.
const (
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
)

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, r: bufio.NewReaderSize(c, readBuffer), w: bufio.NewWriterSize(c, writeBuffer)}
}

// usable tells whether a kept connection can carry another request. A server
// that closed it, or that sent bytes behind its last answer, shows here
// without a read: such bytes belong to no request, and a request on a closed
// connection would be lost with its outcome unknown.
func (c *conn) usable(now time.Time) bool {
	if !now.Before(c.expires) || c.r.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// Lifetimes of kept connections.
const (
	// defaultKeep is for servers that state no timeout.
	defaultKeep = 4 * time.Second
	// keepMargin is left of a stated timeout, so that a request does not cross
	// the server's close.
	keepMargin = time.Second
)

// keepFor reads "timeout=N" of a Keep-Alive header, in whole seconds.
func keepFor(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil { // an unreadable timeout is one not stated
			break
		}
		return time.Duration(seconds)*time.Second - keepMargin
	}
	return defaultKeep
}
