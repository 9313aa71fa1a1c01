// Package backend sends single requests to backend servers over HTTP/1.1 connections
// that it keeps alive. Its errors distinguish a request that was certainly not sent
// from one that may have run, and no bytes are passed on that belong to another
// request.
//
// The client of net/http is not used here: it treats the next bytes on a connection as
// the answer, so that a late second answer to one request would be returned for the
// next request.
package backend

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"dandelionsill.org/base/metrics"
	"dandelionsill.org/base/outbound"
)

// Errors of Do. ErrNotSent proves that the server received no byte of the request;
// after any other error the request may have run.
var (
	ErrNotSent  = errors.New("backend: not sent")
	ErrBroken   = errors.New("backend: connection broke before the whole answer")
	ErrMismatch = errors.New("backend: the answer belongs to another request")
	// ErrWithheld comes with ErrNotSent if Request.BeforeSend did not allow the request. It says
	// nothing of the server.
	ErrWithheld = errors.New("backend: withheld")
)

// Limits of connections.
const (
	// dialTimeout bounds the time to connect. Servers are a few milliseconds away, so
	// that a machine that takes longer is unresponsive.
	dialTimeout = 300 * time.Millisecond
	// endedCheckTimeout bounds the check whether a server has ended, since a retry
	// waits for it.
	endedCheckTimeout = 100 * time.Millisecond
	// maxIdlePerServer bounds the idle connections kept for one server.
	maxIdlePerServer = 16
	// maxDiscardBytes is how much of an unwanted answer is read so that its connection
	// can be kept.
	maxDiscardBytes = 64 << 10
	// maxSyncWriteBytes is the longest body that certainly fits into the socket's
	// buffer, so that writing it does not block.
	maxSyncWriteBytes = 8 << 10
	// detachedReadBufferBytes bounds what the kernel receives of a detached answer before it is
	// read.
	detachedReadBufferBytes = 64 << 10
)

var (
	connsOpened  = metrics.Counter("backend_connections_opened_total")
	mismatches   = metrics.Counter("backend_mismatched_answers_total")
	serversEnded = metrics.Counter("backend_servers_ended_total")
)

// Request is a request to a server.
type Request struct {
	Method string
	URI    string // path and query as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
	// ID identifies the request. If the answer carries an id, it must be the same.
	ID string
	// BeforeSend is called when a connection is open and the request would be written now; false
	// withholds it. nil: it is always written.
	BeforeSend func() bool
}

// Answer is the head of a server's answer, with the body still to be read.
type Answer struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Length is the body's length in bytes; -1 if it is not known beforehand.
	Length int64

	conn     *conn
	resp     *http.Response
	pool     *Pool
	addr     string
	complete bool
	stop     func() bool
}

// RequestIDFunc returns the request id that an answer carries; empty if it has none.
type RequestIDFunc func(http.Header) string

// Pool keeps connections to any number of servers. It is safe for concurrent use.
type Pool struct {
	requestID RequestIDFunc
	// Dial opens a connection to addr (IP:port). It is set before the first use.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	mu   sync.Mutex
	idle map[string][]*conn // by server address, the newest last
}

// NewPool returns an empty pool. requestID reads the request ids of answers.
func NewPool(requestID RequestIDFunc) *Pool {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Pool{
		requestID: requestID,
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", addr)
		},
		idle: map[string][]*conn{},
	}
}

// Do sends a request to the server at addr and reads the head of the answer. If ctx
// ends, the connection is closed, which makes the server stop. The caller of Do must
// call Close or Discard on the answer.
func (p *Pool) Do(ctx context.Context, addr string, req *Request) (*Answer, error) {
	c, err := p.acquire(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if req.BeforeSend != nil && !req.BeforeSend() {
		p.putUnused(addr, c)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ErrWithheld)
	}
	// A read or write of the connection can only be interrupted by closing it.
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	resp, err := p.roundTrip(c, req)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, err
	}
	return &Answer{
		Status: resp.StatusCode, Header: resp.Header, Body: resp.Body, Length: resp.ContentLength,
		conn: c, resp: resp, pool: p, addr: addr, stop: stop,
	}, nil
}

// roundTrip sends the request and reads the head of the answer.
func (p *Pool) roundTrip(c *conn, req *Request) (*http.Response, error) {
	c.Answers.ExpectAnswer()
	sent := p.send(c, req)
	resp, err := c.Answers.ReadResponse(c.reader, &http.Request{Method: req.Method})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	if got := p.requestID(resp.Header); got != "" && got != req.ID {
		mismatches.Add(1)
		return nil, ErrMismatch
	}
	select {
	case err := <-sent:
		resp.Close = resp.Close || err != nil
	default:
		// The rest of the body is still on its way: the connection can't be
		// used again, since the next request would be written within this body.
		resp.Close = true
	}
	return resp, nil
}

// send writes the request. A server may answer before it has read all of a long body,
// and read no further meanwhile. A long body is therefore written concurrently with
// reading the answer.
func (p *Pool) send(c *conn, req *Request) <-chan error {
	sent := make(chan error, 1)
	if len(req.Body) <= maxSyncWriteBytes {
		sent <- req.write(c)
		return sent
	}
	go func() { sent <- req.write(c) }()
	return sent
}

// write writes the request to c.
func (r *Request) write(c *conn) error {
	w := c.writer
	_, _ = w.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_ = r.Header.Write(w) // the writer keeps its first error, and Flush returns it
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(r.Body)
	return errors.Trace(w.Flush())
}

// acquire returns a usable idle connection, or a new one.
func (p *Pool) acquire(ctx context.Context, addr string) (*conn, error) {
	now := time.Now()
	for {
		c := p.popIdle(addr)
		if c == nil {
			break
		}
		if c.isUsable(now) {
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := p.Dial(ctx, addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	connsOpened.Add(1)
	return newConn(raw), nil
}

// popIdle removes and returns the newest idle connection to a server; nil if there is
// none.
func (p *Pool) popIdle(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[addr]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	p.idle[addr] = idle[:len(idle)-1]
	return c
}

// HasIdle reports whether the pool has an unexpired idle connection to a server.
func (p *Pool) HasIdle(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[addr]
	return len(idle) > 0 && time.Now().Before(idle[len(idle)-1].expires)
}

// putUnused keeps a connection on which nothing was sent.
func (p *Pool) putUnused(addr string, c *conn) {
	if c.expires.IsZero() {
		c.expires = time.Now().Add(defaultKeepAlive)
	}
	p.putIdle(addr, c)
}

// putIdle adds an idle connection, or closes it if there are maxIdlePerServer already.
func (p *Pool) putIdle(addr string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[addr]) >= maxIdlePerServer {
		_ = c.Close()
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
}

// ServerEnded reports whether the process of the server at addr has ended, which is the
// case if its machine refuses connections. It is meant to be called after a connection
// broke. That alone proves nothing, since networks reset connections and servers close
// them. A machine that does not answer proves nothing either. If a connection is
// established, it is kept.
func (p *Pool) ServerEnded(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, endedCheckTimeout)
	defer cancel()
	raw, err := p.Dial(ctx, addr)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		serversEnded.Add(1)
		return true
	case err != nil:
		return false
	}
	connsOpened.Add(1)
	c := newConn(raw)
	c.expires = time.Now().Add(defaultKeepAlive)
	p.putIdle(addr, c)
	return false
}

// Retain closes the idle connections to all servers except those at addrs.
func (p *Pool) Retain(addrs map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, conns := range p.idle {
		if addrs[addr] {
			continue
		}
		for _, c := range conns {
			_ = c.Close()
		}
		delete(p.idle, addr)
	}
}

// ReadAll reads the complete body. It returns an ErrBroken error if the body ends early
// or is longer than limit bytes.
func (a *Answer) ReadAll(limit int64) ([]byte, error) {
	body, err := outbound.ReadBody(a.Body, limit)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	a.complete = true
	return body, nil
}

// Bound makes reads of the body fail before more than n further bytes are read. A body of
// exactly n bytes can be read to its end only if its length is known beforehand.
func (a *Answer) Bound(n int) { a.Body = &boundedReader{input: a.Body, left: n, err: errBodyTooLong} }

// MarkComplete records that the body was read to its end, so that Close can keep the
// connection.
func (a *Answer) MarkComplete() { a.complete = true }

// Detach lets the body be read after the context of Do has ended. It returns false if that has ended
// already. A detached answer's connection is not kept, and little of the answer is received before it is read.
func (a *Answer) Detach() bool {
	running := a.stop()
	a.stop = func() bool { return false }
	if c, ok := a.conn.NetConn().(interface{ SetReadBuffer(int) error }); ok {
		_ = c.SetReadBuffer(detachedReadBufferBytes) // fails only on a closed connection
	}
	return running
}

// Abort makes reads of the body fail. Unlike the other methods it may be called at any time.
func (a *Answer) Abort() { _ = a.conn.Close() }

// Close returns the connection to the pool if the answer was read completely. Otherwise
// it closes the connection, which makes the server stop.
func (a *Answer) Close() {
	uninterrupted := a.stop()
	reusable := uninterrupted && a.complete && !a.resp.Close && a.conn.reader.Buffered() == 0
	if !reusable {
		_ = a.conn.Close()
		return
	}
	a.conn.expires = time.Now().Add(keepAliveTimeout(a.Header.Get("Keep-Alive")))
	a.pool.putIdle(a.addr, a.conn)
}

// Discard reads the rest of a small body, so that its connection can be kept, and
// closes the answer.
func (a *Answer) Discard() {
	if _, err := a.ReadAll(maxDiscardBytes); err != nil {
		a.complete = false // makes Close close the connection
	}
	a.Close()
}
