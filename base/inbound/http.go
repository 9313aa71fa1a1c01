package inbound

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"dandelionsill.org/base/budget"
)

const (
	// defaultHeadBytes bounds a head where no other limit is told.
	defaultHeadBytes = 64 << 10
	// largestHead bounds a head whatever limit is told, in bytes.
	largestHead = 1 << 20
	// stallTimeout bounds the time in which a client must take in one write, unless the handler sets a deadline of its own.
	stallTimeout = 30 * time.Second
	// discardTimeout and discardBytes bound what is read of a refused request. A client that writes before it reads would
	// otherwise get a reset in place of the refusal.
	discardTimeout = 500 * time.Millisecond
	discardBytes   = 64 << 10
	// retryAfter is the delay after which a client that found no room may come back.
	retryAfter = time.Second
)

// HTTPConfig configures how an HTTP server bounds heads.
type HTTPConfig struct {
	// HeadBytes returns the size of the largest head that is allowed now; 0 or nil: defaultHeadBytes.
	HeadBytes func() int
	// Refusal returns the headers and the body of an answer of a status that tells that the request has not run; nil: none.
	Refusal func(status int) (http.Header, []byte)
	// OwnBodies says that the handlers count the bodies and answers that they hold. Otherwise the connection counts what it
	// delivers of a body until the request is answered, and an answer while it is written.
	OwnBodies bool
}

// Guard makes an HTTP server, which must be served by a Listener, bound its heads. Its handler, ConnContext and ConnState must
// have been set.
func Guard(s *http.Server, cfg HTTPConfig) {
	s.MaxHeaderBytes = largestHead
	s.DisableGeneralOptionsHandler = true // it would read a body that nobody counts
	handler, connContext, connState := s.Handler, s.ConnContext, s.ConnState
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		conn := c.(*Conn)
		conn.http = &cfg
		ctx = context.WithValue(ctx, connKey{}, conn)
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return ctx
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if connState != nil {
			connState(c, state)
		}
		if state == http.StateIdle {
			c.(*Conn).beginHead()
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(*Conn)
		if ok && !conn.endHead(r) {
			conn.listener.refusedHead(conn, http.StatusServiceUnavailable)
			cfg.writeRefusal(w)
			r.Header, r.Trailer = nil, nil // net/http keeps the request while it waits for the client to close the connection
			return
		}
		if !ok {
			handler.ServeHTTP(w, r)
			return
		}
		if !cfg.OwnBodies {
			w = &answerWriter{w, conn}
		}
		conn.serveRequest(handler, w, r)
	})
}

type connKey struct{}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.listener.use == Streams {
		return c.readFrames(p)
	}
	n, err := c.TCPConn.Read(p)
	if n == 0 || c.http == nil {
		return n, err
	}
	c.mu.Lock()
	c.head.receive(p, n)
	reading := c.head.reading
	tooLarge := reading && c.head.bytes > c.http.headBytes()+readAhead
	// net/http reads a single byte while a handler runs, to see whether the client has left. Then it is too late to refuse.
	fits := len(p) == 1 || c.reserve()
	c.mu.Unlock()
	switch {
	case len(p) == 1:
		return n, err
	case tooLarge:
		return 0, c.refuse(http.StatusRequestHeaderFieldsTooLarge)
	case !fits && reading:
		return 0, c.refuse(http.StatusServiceUnavailable)
	case !fits:
		c.bodyRefused.Store(true)
		return 0, budget.ErrNoRoom
	}
	return n, err
}

// reserve reports whether there is room for the head and the trailer. The connection's mutex is held.
func (c *Conn) reserve() bool {
	more := c.head.cost() - c.held.Bytes()
	return more <= 0 || c.held.Grow(more)
}

// headBytes returns the size of the largest head.
func (cfg *HTTPConfig) headBytes() int {
	limit := 0
	if cfg.HeadBytes != nil {
		limit = cfg.HeadBytes()
	}
	if limit <= 0 {
		limit = defaultHeadBytes
	}
	return min(limit, largestHead-readAhead)
}

// refusal returns the headers and the body of an answer to a request of which nothing has run.
func (cfg *HTTPConfig) refusal(status int) (header http.Header, body []byte) {
	header = http.Header{}
	if cfg.Refusal != nil {
		header, body = cfg.Refusal(status)
	}
	header.Set("Connection", "close")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if status == http.StatusServiceUnavailable {
		header.Set("Retry-After", strconv.Itoa(int(retryAfter.Seconds())))
	}
	return header, body
}

// writeRefusal answers a request for whose head there is no room.
func (cfg *HTTPConfig) writeRefusal(w http.ResponseWriter) {
	header, body := cfg.refusal(http.StatusServiceUnavailable)
	maps.Copy(w.Header(), header)
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = w.Write(body)
}

// refusedHead reports a refused head.
func (l *Listener) refusedHead(c *Conn, status int) {
	l.bounds.headsRefused.Add(1)
	l.bounds.log.Info("Refused a request for its head.", zap.String("listener", l.use.name), zap.Stringer("client", c.RemoteAddr()), zap.Int("status", status))
}

// errRefused is the error of a read after which net/http closes a connection without an answer of its own, as it does for those
// of the network.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the request was refused")}

// refuse answers the request whose head is being read, of which nothing has run, and reads on for a moment. It returns the
// error for net/http.
func (c *Conn) refuse(status int) error {
	var text strings.Builder
	text.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	c.listener.refusedHead(c, status)
	header, body := c.http.refusal(status)
	_ = header.Write(&text) // a builder does not fail
	text.WriteString("\r\n")
	text.Write(body)
	_ = c.SetDeadline(time.Now().Add(discardTimeout))
	if _, err := io.WriteString(c.TCPConn, text.String()); err == nil && c.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, c.TCPConn, discardBytes) // ends with the deadline or the client's end
	}
	return errRefused
}

// endHead is called when net/http has read a head, before the handler. It returns false if there is no room for the head, or if
// the connection has made room for another one.
func (c *Conn) endHead(r *http.Request) bool {
	c.mu.Lock()
	c.head.finish(r)
	fits := c.reserve()
	c.mu.Unlock()
	if r.Body == nil || r.Body == http.NoBody {
		return c.arrive() && fits
	}
	r.Body = &body{r.Body, c}
	return fits
}

// beginHead is called between two requests.
func (c *Conn) beginHead() {
	c.endAnswer()
	c.mu.Lock()
	c.held.Release()
	c.body.Release()
	c.head.next()
	c.mu.Unlock()
	c.listener.bounds.mu.Lock()
	defer c.listener.bounds.mu.Unlock()
	c.setWaiting(true)
}

// arrive is called when a request has arrived completely. It returns false if its connection has made room for another one
// before; then the request must not run.
func (c *Conn) arrive() bool {
	c.listener.bounds.mu.Lock()
	defer c.listener.bounds.mu.Unlock()
	c.setWaiting(false)
	return !c.left
}

// body tells when a request has arrived completely, and counts its bytes unless the handlers do. Its readers get
// budget.ErrNoRoom where there is no room for more.
type body struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.conn.arrive() {
		return 0, net.ErrClosed // not even what has arrived, so that nobody takes the body for whole
	}
	if err != nil && b.conn.bodyRefused.Load() {
		err = budget.ErrNoRoom // net/http has replaced it where it looks for a trailer
	}
	if !b.conn.http.OwnBodies && !b.conn.holdBody(n) {
		return 0, budget.ErrNoRoom
	}
	return n, err
}

// holdBody reports whether there is room for n more bytes of a body.
func (c *Conn) holdBody(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.body.Grow(int64(n))
}

// answerWriter counts what a handler holds of its answer while the client does not take it.
type answerWriter struct {
	http.ResponseWriter
	conn *Conn
}

// Unwrap serves http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements io.Writer. Without room it closes the connection, so that nobody takes the answer for whole.
func (w *answerWriter) Write(p []byte) (int, error) {
	room := w.conn.listener.share
	if !room.Acquire(int64(len(p))) {
		w.conn.closeWithoutRoom("an answer that it does not take")
		return 0, budget.ErrNoRoom
	}
	defer room.Release(int64(len(p)))
	return w.ResponseWriter.Write(p)
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if c.listener.use == Streams {
		return c.writeFrames(p)
	}
	if c.http != nil && !c.ownDeadline.Load() {
		_ = c.TCPConn.SetWriteDeadline(time.Now().Add(c.stallTimeout)) // the write fails as well
	}
	c.answer10.unsent.Store(true)
	n, err := c.TCPConn.Write(p)
	if err == nil {
		c.answer10.unsent.Store(false)
	}
	return n, err
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.ownDeadline.Store(!t.IsZero())
	return c.TCPConn.SetWriteDeadline(t)
}

// ReadFrom hides that of the TCP connection, which would write without Write's deadline.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}
