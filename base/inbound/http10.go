package inbound

import (
	"net/http"
	"sync/atomic"
)

// defaultLinger makes a connection end in order, and send what has been written; resetLinger makes it end with a reset. See
// net.TCPConn.SetLinger.
const (
	defaultLinger = -1
	resetLinger   = 0
)

// http10Answer is the answer to an HTTP/1.0 client, which takes the end of its connection for that of an answer without a
// length. Until the answer is whole, the connection ends with a reset, also if the process is killed.
type http10Answer struct {
	begun   atomic.Bool // and endAnswer has not been called
	handled atomic.Bool // its handler has returned
	unsent  atomic.Bool // a write to the connection has failed or not ended
}

// isCutShort reports whether the connection ends before the answer does.
func (a *http10Answer) isCutShort() bool {
	return a.begun.Load() && (!a.handled.Load() || a.unsent.Load())
}

// serveRequest calls a handler. One that panics gives its answer up.
func (c *Conn) serveRequest(handler http.Handler, w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		c.answer10.handled.Store(false)
		c.answer10.begun.Store(true)
		_ = c.SetLinger(resetLinger) // fails only on a closed connection
	}
	handler.ServeHTTP(w, r)
	c.answer10.handled.Store(true)
}

// endAnswer is called when an answer is whole.
func (c *Conn) endAnswer() {
	if c.answer10.begun.Swap(false) {
		_ = c.SetLinger(defaultLinger)
	}
}

// CloseWrite implements the interface that net/http looks for where it has answered before it has read the whole request.
func (c *Conn) CloseWrite() error {
	if c.answer10.isCutShort() {
		return nil // Close resets the connection
	}
	return c.TCPConn.CloseWrite()
}
