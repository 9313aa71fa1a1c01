// Package backend sends single requests to backend servers over kept HTTP/1.1
// connections. It tells apart what was surely not sent from what may have run,
// and hands no bytes on that belong to another request.
//
// net/http's own client is not used here: it takes whatever stands next on a
// connection for the answer, so that a late second answer of one request would
// be given to the next.
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
)

// Errors of Do. ErrNotSent proves that the server got no byte of the request;
// after any other it may have run.
var (
	ErrNotSent  = errors.New("backend: not sent")
	ErrBroken   = errors.New("backend: connection broke before the whole answer")
	ErrMismatch = errors.New("backend: the answer belongs to another request")
)

// Limits of connections.
const (
	// dialTimeout bounds a connection to a server a few milliseconds away; a
	// silent machine is known by it.
	dialTimeout = 300 * time.Millisecond
	// endedCheckTimeout bounds the question whether a server has ended: a retry waits for it.
	endedCheckTimeout = 100 * time.Millisecond
	// maxIdlePerServer bounds the idle connections kept to one server.
	maxIdlePerServer = 16
	// maxDiscardBytes is how much is read of an answer that nobody wants, to keep
	// its connection; in bytes.
	maxDiscardBytes = 64 << 10
	// maxSyncWriteBytes is the longest body that surely fits into the socket's
	// buffer, in bytes.
	maxSyncWriteBytes = 8 << 10
)

var (
	connsOpened  = metrics.Counter("backend_connections_opened_total")
	mismatches   = metrics.Counter("backend_mismatched_answers_total")
	serversEnded = metrics.Counter("backend_servers_ended_total")
)

// Request is one request to a server.
type Request struct {
	Method string
	URI    string // path and query as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
	// ID names the request; the answer has to bear the same.
	ID string
}

// Answer is the head of a server's answer, with its body still to be read.
type Answer struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Length is the body's length; -1: not known beforehand.
	Length int64

	conn     *conn
	resp     *http.Response
	pool     *Pool
	addr     string
	complete bool
	stop     func() bool
}

// RequestIDFunc reads the request id that an answer bears; empty: none.
type RequestIDFunc func(http.Header) string

// Pool keeps connections to any number of servers. It is safe for concurrent use.
type Pool struct {
	requestID RequestIDFunc
	dial      func(ctx context.Context, addr string) (net.Conn, error)

	mu   sync.Mutex
	idle map[string][]*conn // by server address, the newest last
}

// NewPool returns an empty pool.
func NewPool(requestID RequestIDFunc) *Pool {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Pool{
		requestID: requestID,
		dial: func(ctx context.Context, addr string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", addr)
		},
		idle: map[string][]*conn{},
	}
}

// Do sends a request to the server at addr and reads the head of its answer.
// When ctx ends the connection is closed, which tells the server to stop.
// Close the answer in any case.
func (p *Pool) Do(ctx context.Context, addr string, req *Request) (*Answer, error) {
	c, err := p.acquire(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	// Closing is the only way to interrupt a read or write of the connection.
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
	sent := p.send(c, req)
	resp, err := readFinalResponse(c, req.Method)
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
		// used again, or the next request would stand within this body.
		resp.Close = true
	}
	return resp, nil
}

// send writes the request. A server may answer before it has read a long body
// and read no further meanwhile, so that a long one is written beside the
// reading of the answer.
func (p *Pool) send(c *conn, req *Request) <-chan error {
	sent := make(chan error, 1)
	if len(req.Body) <= maxSyncWriteBytes {
		sent <- req.write(c)
		return sent
	}
	go func() { sent <- req.write(c) }()
	return sent
}

func (r *Request) write(c *conn) error {
	w := c.writer
	_, _ = w.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_ = r.Header.Write(w) // errors of the writer stay and show at Flush
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(r.Body)
	return errors.Trace(w.Flush())
}

// readFinalResponse reads the head of the final answer, past interim ones.
func readFinalResponse(c *conn, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// acquire returns a kept connection that is still usable, or a new one.
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
	raw, err := p.dial(ctx, addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	connsOpened.Add(1)
	return newConn(raw), nil
}

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

// HasIdle tells whether an idle connection to a server is at hand.
func (p *Pool) HasIdle(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[addr]
	return len(idle) > 0 && time.Now().Before(idle[len(idle)-1].expires)
}

func (p *Pool) putIdle(addr string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[addr]) >= maxIdlePerServer {
		_ = c.Close()
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
}

// ServerEnded tells whether the process of the server at addr has ended: its machine
// refuses connections. It is asked after a connection broke, which alone tells
// nothing: networks reset connections, and servers close them. A machine that does
// not answer proves nothing either. A connection that is made is kept.
func (p *Pool) ServerEnded(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, endedCheckTimeout)
	defer cancel()
	raw, err := p.dial(ctx, addr)
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

// Retain closes the connections to all servers but those at the addresses.
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

// ReadAll reads the whole body; an error is ErrBroken. limit bounds it, in bytes.
func (a *Answer) ReadAll(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.Body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	if int64(len(body)) > limit {
		return nil, errors.Annotatef(ErrBroken, "body of over %d bytes", limit)
	}
	a.complete = true
	return body, nil
}

// MarkComplete tells that the body was read to its end.
func (a *Answer) MarkComplete() { a.complete = true }

// Close gives the connection back where the answer was read whole, and closes
// it otherwise, which makes the server stop.
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

// Discard reads the rest of a small body, so that its connection can be kept.
func (a *Answer) Discard() {
	if _, err := a.ReadAll(maxDiscardBytes); err != nil {
		a.complete = false // Close then ends the connection
	}
	a.Close()
}
