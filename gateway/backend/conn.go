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
	reader *bufio.Reader
	writer *bufio.Writer
	// expires is when the server may close it by itself.
	expires time.Time
}

// Sizes of a connection's buffers, in bytes; most answers fit into one.
const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
)

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBufferBytes), writer: bufio.NewWriterSize(c, writeBufferBytes)}
}

// isUsable tells whether a kept connection can carry another request. A server
// that closed it, or that sent bytes behind its last answer, shows here
// without a read: such bytes belong to no request, and a request on a closed
// connection would be lost with its outcome unknown.
func (c *conn) isUsable(now time.Time) bool {
	if !now.Before(c.expires) || c.reader.Buffered() > 0 {
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
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && idle
}

// Lifetimes of kept connections.
const (
	// defaultKeepAlive is for servers that state no timeout.
	defaultKeepAlive = 4 * time.Second
	// keepAliveMargin is left of a stated timeout, so that a request does not cross
	// the server's close.
	keepAliveMargin = time.Second
)

// keepAliveTimeout reads "timeout=N" of a Keep-Alive header, in whole seconds.
func keepAliveTimeout(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil { // an unreadable timeout is one not stated
			break
		}
		return time.Duration(seconds)*time.Second - keepAliveMargin
	}
	return defaultKeepAlive
}
