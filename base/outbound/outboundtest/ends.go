package outboundtest

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"

	"golang.org/x/sys/unix"
)

// ResetRounds is how many requests a test sends to a server that resets its connections. It is a race whether the
// client's read or its write learns of a reset.
const ResetRounds = 300

// UploadBytes is the size of a request's body that takes many writes.
const UploadBytes = 900 << 10

// WithoutLength returns the answer's bytes in the form that ends with its connection.
func (a Answer) WithoutLength() string { return a.raw(a.start(), "") + a.Body }

// EarlyEnds returns each part of the answer that can't be taken for the whole, by name: of its head, and of its body where the head
// tells how long that is.
func EarlyEnds(a Answer) map[string]string {
	parts := map[string]string{}
	head := a.raw(a.start(), "")
	for n := range len(head) {
		parts[fmt.Sprintf("head, %d bytes", n)] = head[:n]
	}
	for name, whole := range map[string]string{"length": a.Sound(), "chunks": a.raw(a.start(), "Transfer-Encoding: chunked\r\n") + a.chunked()} {
		for n := range len(whole) {
			parts[fmt.Sprintf("%s, %d bytes", name, n)] = whole[:n]
		}
	}
	return parts
}

// NewResettingServer starts a server that reads the head of a request, answers with raw and resets the connection,
// whether or not the rest of the request has arrived.
func NewResettingServer(t testing.TB, raw string) *Server { return newEarlyServer(t, raw, false) }

// NewEarlyServer starts a server that reads the head of a request, answers with raw and ends the connection in order. Then it
// resets the connection, as the kernel does if more of the request arrives.
func NewEarlyServer(t testing.TB, raw string) *Server { return newEarlyServer(t, raw, true) }

func newEarlyServer(t testing.TB, raw string, inOrder bool) *Server {
	s := &Server{}
	s.start(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		s.requests.Add(1)
		_, _ = c.Write([]byte(raw)) // a client that has left shows in its own result
		if inOrder {
			_ = c.(*net.TCPConn).CloseWrite()
		}
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	return s
}

// LateReader returns a connection of a client whose write learns of a reset before its read does. The server must
// reset it once it has got the start of a request.
func LateReader(c net.Conn) net.Conn {
	return &lateReader{TCPConn: c.(*net.TCPConn), writeFailed: make(chan struct{}), readFailed: make(chan struct{})}
}

type lateReader struct {
	*net.TCPConn
	writeFailed, readFailed         chan struct{}
	writeFailedOnce, readFailedOnce sync.Once
}

// Write implements net.Conn. It holds the last byte back until the connection is reset, and returns only after a read has
// failed, since net/http closes the connection after a failed write.
func (c *lateReader) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p[:len(p)-1])
	if err == nil {
		c.waitForReset()
		_, err = c.TCPConn.Write(p[len(p)-1:])
	}
	c.writeFailedOnce.Do(func() { close(c.writeFailed) })
	<-c.readFailed
	return n, err
}

// Read implements net.Conn.
func (c *lateReader) Read(p []byte) (int, error) {
	<-c.writeFailed
	n, err := c.TCPConn.Read(p)
	if err != nil {
		c.readFailedOnce.Do(func() { close(c.readFailed) })
	}
	return n, err
}

// Close implements net.Conn.
func (c *lateReader) Close() error {
	c.writeFailedOnce.Do(func() { close(c.writeFailed) })
	c.readFailedOnce.Do(func() { close(c.readFailed) })
	return c.TCPConn.Close()
}

// waitForReset waits until no more can be written to or read from the connection.
func (c *lateReader) waitForReset() {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd)}}, int(MaxWait.Milliseconds()))
	})
}
