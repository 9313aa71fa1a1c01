package calls

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"time"

	"dandelionsill.org/agent/once"
	"dandelionsill.org/base/outbound"
	"dandelionsill.org/base/trace"
	"dandelionsill.org/decide/admit"
	"dandelionsill.org/kinds"
	"dandelionsill.org/wire/pb"
)

const (
	dialTimeout  = time.Second
	idleTimeout  = 30 * time.Second
	maxIdleConns = 64
	// defaultMaxAnswerBytes limits answers that are read completely before they are
	// sent on, if the manifest sets no limit for bodies.
	defaultMaxAnswerBytes = 8 << 20
)

var (
	errDeadlinePassed = errors.New("the deadline passed before the first byte")
	errAbandoned      = errors.New("the request was given up before the first byte")
	// errNoLength is returned for an answer whose end is marked only by the end of
	// the connection: the connection of a crashed server ends the same way.
	errNoLength = errors.New("the answer has neither length nor chunks, so that it can't be told from a cut-off one")
)

// backend sends requests to the one backend server over HTTP.
//
// net/http repeats a request by itself if a kept-alive connection breaks and the
// request looks repeatable (by its method, a body that can be read again, or just
// an Idempotency-Key header), although the server may have run it already.
// Requests that must not be repeated therefore get a new connection each, on which
// net/http doesn't retry. This also avoids the doubtful case of a server that
// closes an idle connection just when a request is sent on it.
type backend struct {
	addr         string
	incarnations *incarnations
	unpooled     *outbound.Transport // one connection per request, for requests that must not be repeated
	pooled       *outbound.Transport // kept-alive connections, for idempotent requests
}

// newBackend returns a backend for the server at addr. name is this agent's name.
func newBackend(name, addr string) *backend {
	b := &backend{addr: addr, incarnations: newIncarnations(name)}
	b.unpooled = newTransport(func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := b.incarnations.dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &gatedConn{Conn: conn, gate: ctx.Value(gateKey{}).(*gate)}, nil
	})
	b.unpooled.DisableKeepAlives = true
	b.pooled = newTransport(b.incarnations.dial)
	b.pooled.MaxIdleConnsPerHost = maxIdleConns
	b.pooled.IdleConnTimeout = idleTimeout
	return b
}

// newTransport returns a transport without a proxy and compression that connects
// with dial.
func newTransport(dial func(context.Context, string, string) (net.Conn, error)) *outbound.Transport {
	return outbound.NewTransport(&http.Transport{
		Proxy:              nil,
		DialContext:        dial,
		DisableCompression: true, // the caller's Accept-Encoding decides
	})
}

// close closes idle connections.
func (b *backend) close() {
	b.unpooled.CloseIdleConnections()
	b.pooled.CloseIdleConnections()
}

// sendOnce sends a request that must not be repeated and reads its complete answer
// of at most limit bytes. The error is "not run" only if the gate has let nothing
// through.
func (b *backend) sendOnce(ctx context.Context, open *pb.CallOpen, g *gate, limit int64) (*once.Answer, *kinds.Error) {
	ctx = context.WithValue(ctx, gateKey{}, g)
	req, refusal := b.newRequest(ctx, open, g.held)
	if refusal != nil {
		return nil, refusal
	}
	ctx, span := trace.ToHTTP(req.Context(), req.Header, "backend "+open.Method)
	defer span.End()
	// Not an http.Client, which follows redirects and so sends again.
	resp, err := b.unpooled.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, b.withEndedIncarnation(ctx, g.fail(err))
	}
	defer resp.Body.Close()
	answer, err := readAnswer(resp, limit)
	if err != nil {
		return nil, b.withEndedIncarnation(ctx, g.fail(err))
	}
	return answer, nil
}

// sendIdempotent sends an idempotent request and returns when the answer's header
// has arrived.
func (b *backend) sendIdempotent(ctx context.Context, open *pb.CallOpen, held *kinds.Held) (*http.Response, *kinds.Error) {
	// GotConn is called before the first byte on each connection that is used.
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { held.MarkSent() },
	})
	req, refusal := b.newRequest(ctx, open, held)
	if refusal != nil {
		return nil, refusal
	}
	ctx, span := trace.ToHTTP(req.Context(), req.Header, "backend "+open.Method)
	defer span.End()
	callsSent.Add(1)
	resp, err := b.pooled.RoundTrip(req.WithContext(ctx))
	switch {
	case err == nil:
		return resp, nil
	case held.Sent():
		return nil, b.withEndedIncarnation(ctx, incompleteAnswer(ctx, err))
	}
	return nil, notSent(held, err)
}

// newRequest builds the HTTP request. GetBody stays unset, so that net/http can't
// send the body a second time.
func (b *backend) newRequest(ctx context.Context, open *pb.CallOpen, held *kinds.Held) (*http.Request, *kinds.Error) {
	u, err := url.ParseRequestURI(open.Path)
	if err != nil || u.Host != "" || u.Scheme != "" {
		return nil, held.Refuse(kinds.BadRequest, "%q is no path", open.Path)
	}
	u.Scheme, u.Host = "http", b.addr
	req := (&http.Request{
		Method:     open.Method,
		URL:        u,
		Host:       b.addr,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     requestHeader(open),
		Body:       http.NoBody,
	}).WithContext(ctx)
	if len(open.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(open.Body))
		req.ContentLength = int64(len(open.Body))
	}
	return req, nil
}

// readAnswer reads an answer completely. It returns an error if the body has more
// than limit bytes or its end can't be detected.
func readAnswer(resp *http.Response, limit int64) (*once.Answer, error) {
	if limit <= 0 {
		limit = defaultMaxAnswerBytes
	}
	body, err := outbound.ReadBody(resp.Body, limit)
	if err != nil {
		return nil, err
	}
	if err := checkComplete(resp); err != nil {
		return nil, err
	}
	return &once.Answer{Status: resp.StatusCode, Header: withoutHopByHop(resp.Header), Body: body}, nil
}

// checkComplete returns an error if the end of a body that was read doesn't prove
// that the body is complete. If it has a length or chunks, net/http has checked that
// while reading.
func checkComplete(resp *http.Response) error {
	chunked := len(resp.TransferEncoding) > 0
	if resp.ContentLength >= 0 || chunked || resp.Body == http.NoBody {
		return nil
	}
	return errNoLength
}

// incompleteAnswer returns the error of an idempotent request that was sent but got
// no complete answer.
func incompleteAnswer(ctx context.Context, err error) *kinds.Error {
	switch ctx.Err() {
	case context.DeadlineExceeded:
		return kinds.New(kinds.DeadlineExceeded, "no whole answer before the deadline").WithCause(err)
	case context.Canceled:
		return kinds.New(kinds.Cancelled, "the caller went away").WithCause(err)
	}
	return kinds.New(kinds.BackendFailed, "no whole answer").WithCause(err)
}

// notSent returns the error of a request of which no byte was sent.
func notSent(held *kinds.Held, err error) *kinds.Error {
	if errors.Is(err, errDeadlinePassed) {
		return held.Refuse(kinds.DeadlineTooShort, "%v", err)
	}
	return held.Refuse(kinds.NotReady, "the backend server takes no connection").WithCause(err)
}

// gateKey is the context key of a request's gate.
type gateKey struct{}

// gate decides whether a request may be written to its connection. It gives up the
// proof of "not run" right before the first byte, and stops a request whose deadline
// passed while the process was suspended. After fail, a gate that has let nothing
// through stays closed, because RoundTrip may return before its connection is
// written to.
type gate struct {
	held     *kinds.Held
	now      func() time.Time
	deadline time.Time
	onSend   func() // called before the first byte; may be nil

	mu     sync.Mutex
	sent   bool // the first write was allowed
	closed bool // fail was called
}

// allowWrite is called before each write and returns an error if the write must not
// happen.
func (g *gate) allowWrite() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.sent:
		return nil
	case g.closed:
		return errAbandoned
	case admit.Expired(g.now(), g.deadline):
		return errDeadlinePassed
	}
	g.sent = true
	if g.onSend != nil {
		g.onSend()
	}
	g.held.MarkSent()
	callsSent.Add(1)
	return nil
}

// fail closes the gate and returns the request's error: outcome_unknown if it was
// sent, otherwise "not run".
func (g *gate) fail(err error) *kinds.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	if g.sent {
		return kinds.New(kinds.OutcomeUnknown, "the request was sent; no whole answer came").WithCause(err)
	}
	return notSent(g.held, err)
}

// gatedConn asks the gate before each write.
type gatedConn struct {
	net.Conn
	gate *gate
}

// Write writes b if the gate allows it.
func (c *gatedConn) Write(b []byte) (int, error) {
	if err := c.gate.allowWrite(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}
