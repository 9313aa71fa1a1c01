package backend

import (
	"bufio"
	"io"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"

	"dandelionsill.org/base/outbound"
)

// conn is a connection to a backend server. It carries one request at a time.
type conn struct {
	*outbound.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// expires is when the server may close the idle connection.
	expires time.Time
}

// Sizes of a connection's buffers, in bytes; most answers fit into one.
const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
)

func newConn(c net.Conn) *conn {
	checked := outbound.NewConn(c)
	return &conn{Conn: checked, reader: bufio.NewReaderSize(checked, readBufferBytes), writer: bufio.NewWriterSize(checked, writeBufferBytes)}
}

var errBodyTooLong = errors.New("body of the answer is too long")

// boundedReader returns an error in place of more than a number of bytes.
type boundedReader struct {
	input io.Reader
	left  int // bytes that may still be read
	err   error
}

func (r *boundedReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, r.err
	}
	n, err := r.input.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}

// isUsable reports whether an idle connection can carry another request. It peeks at
// the socket without consuming bytes, to detect that the server closed the connection
// or sent bytes after its last answer. Such bytes belong to no request, and a request
// on a closed connection would be lost with its outcome unknown.
func (c *conn) isUsable(now time.Time) bool {
	if !now.Before(c.expires) || c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.NetConn().(syscall.Conn)
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

// Lifetimes of idle connections.
const (
	// defaultKeepAlive applies to servers that state no timeout.
	defaultKeepAlive = 4 * time.Second
	// keepAliveMargin is subtracted from a stated timeout, so that a request is not
	// sent while the server closes the connection.
	keepAliveMargin = time.Second
)

// keepAliveTimeout returns how long to keep a connection: the "timeout=N" of a
// Keep-Alive header, in whole seconds, minus keepAliveMargin.
func keepAliveTimeout(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil { // an unreadable timeout counts as not stated
			break
		}
		return time.Duration(seconds)*time.Second - keepAliveMargin
	}
	return defaultKeepAlive
}
