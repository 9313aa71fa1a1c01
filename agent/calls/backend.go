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
	"dandelionsill.org/base/trace"
	"dandelionsill.org/decide/admit"
	"dandelionsill.org/kinds"
	"dandelionsill.org/wire/pb"
)

const (
	dialTimeout    = time.Second
	idleTimeout    = 30 * time.Second
	maxIdleConns   = 64
	maxHeaderBytes = 64 << 10
	// defaultMaxAnswerBytes bounds answers that are read whole where the manifest
	// sets no bound for bodies.
	defaultMaxAnswerBytes = 8 << 20
)

var (
	errSwitched       = errors.New("the server switched protocols, which nobody asked for")
	errDeadlinePassed = errors.New("the deadline passed before the first byte")
	errAbandoned      = errors.New("the request was given up before the first byte")
	errTooLarge       = errors.New("the answer is larger than the bound for bodies")
	// errNoLength: only the end of the connection ends such an answer, and a
	// crashed server's connection ends the same way.
	errNoLength = errors.New("the answer has neither length nor chunks, so that it can't be told from a cut-off one")
)

// backend speaks HTTP to the one backend server.
//
// net/http repeats a request by itself when a kept-alive connection breaks and
// the request looks repeatable to it (its method, a body that can be had
// again, or just an Idempotency-Key header): the server may have run it
// already. So requests that must not be repeated get a connection each, on
// which net/http has nothing to fall back from; that also removes the doubt
// when a server closes an idle connection in the same moment.
type backend struct {
	addr         string
	incarnations *incarnations
	unpooled     *http.Transport // one request per connection
	pooled       *http.Transport // kept-alive connections, for idempotent requests
}

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

func newTransport(dial func(context.Context, string, string) (net.Conn, error)) *http.Transport {
	return &http.Transport{
		Proxy:                  nil,
		DialContext:            dial,
		DisableCompression:     true, // the caller's Accept-Encoding decides
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

func (b *backend) close() {
	b.unpooled.CloseIdleConnections()
	b.pooled.CloseIdleConnections()
}

// sendOnce sends a request that must not be repeated and reads its whole answer.
// The error is "not run" only if the gate was still closed.
func (b *backend) sendOnce(ctx context.Context, open *pb.CallOpen, g *gate, limit int64) (*once.Answer, *kinds.Error) {
	ctx = context.WithValue(ctx, gateKey{}, g)
	req, refusal := b.newRequest(ctx, open, g.held)
	if refusal != nil {
		return nil, refusal
	}
	ctx, span := trace.ToHTTP(req.Context(), req.Header, "backend "+open.Method)
	defer span.End()
	// RoundTrip, not a Client: a Client follows redirects, which sends again.
	resp, err := roundTrip(b.unpooled, req.WithContext(ctx))
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

// sendIdempotent sends an idempotent request and returns when the answer begins.
func (b *backend) sendIdempotent(ctx context.Context, open *pb.CallOpen, held *kinds.Held) (*http.Response, *kinds.Error) {
	// GotConn comes before each first byte, on every connection tried.
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { held.Send() },
	})
	req, refusal := b.newRequest(ctx, open, held)
	if refusal != nil {
		return nil, refusal
	}
	ctx, span := trace.ToHTTP(req.Context(), req.Header, "backend "+open.Method)
	defer span.End()
	callsSent.Add(1)
	resp, err := roundTrip(b.pooled, req.WithContext(ctx))
	switch {
	case err == nil:
		return resp, nil
	case held.Sent():
		return nil, b.withEndedIncarnation(ctx, incompleteAnswer(ctx, err))
	}
	return nil, notSent(held, err)
}

// roundTrip refuses an answer that switches protocols. net/http hands the bare
// connection over then, which no longer ends with the context: reading it would
// hold the slot for as long as the server likes.
func roundTrip(t *http.Transport, req *http.Request) (*http.Response, error) {
	resp, err := t.RoundTrip(req)
	if err == nil && resp.StatusCode == http.StatusSwitchingProtocols {
		_ = resp.Body.Close()
		return nil, errSwitched
	}
	return resp, err
}

// newRequest builds the HTTP newRequest. GetBody stays unset, so that nothing below
// can send the body a second time.
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

// readAnswer reads an answer to its proven end.
func readAnswer(resp *http.Response, limit int64) (*once.Answer, error) {
	if limit <= 0 {
		limit = defaultMaxAnswerBytes
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errTooLarge
	}
	if err := checkComplete(resp); err != nil {
		return nil, err
	}
	return &once.Answer{Status: resp.StatusCode, Header: withoutHopByHop(resp.Header), Body: body}, nil
}

// checkComplete tells whether the end of the body was proof of its wholeness.
// With a length or chunks net/http has checked it while reading.
func checkComplete(resp *http.Response) error {
	chunked := len(resp.TransferEncoding) > 0
	if resp.ContentLength >= 0 || chunked || resp.Body == http.NoBody {
		return nil
	}
	return errNoLength
}

// incompleteAnswer is the error of an idempotent request that was sent.
func incompleteAnswer(ctx context.Context, err error) *kinds.Error {
	switch ctx.Err() {
	case context.DeadlineExceeded:
		return kinds.New(kinds.DeadlineExceeded, "no whole answer before the deadline").WithCause(err)
	case context.Canceled:
		return kinds.New(kinds.Cancelled, "the caller went away").WithCause(err)
	}
	return kinds.New(kinds.BackendFailed, "no whole answer").WithCause(err)
}

// notSent is the error of a request of which no byte went on.
func notSent(held *kinds.Held, err error) *kinds.Error {
	if errors.Is(err, errDeadlinePassed) {
		return held.Refuse(kinds.DeadlineTooShort, "%v", err)
	}
	return held.Refuse(kinds.NotReady, "the backend server takes no connection").WithCause(err)
}

type gateKey struct{}

// gate stands between a request and its connection. It gives the proof of "not
// run" up right before the first byte, and is where a request that expired
// while the process stood still is stopped. Once shut it lets nothing through:
// RoundTrip may return while its connection is still about to be written to.
type gate struct {
	held     *kinds.Held
	now      func() time.Time
	deadline time.Time
	onSend   func() // may be nil

	mu     sync.Mutex
	sent   bool
	closed bool
}

// allowWrite is called before each write.
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
	g.held.Send()
	callsSent.Add(1)
	return nil
}

// fail shuts the gate and returns what can be said of the request.
func (g *gate) fail(err error) *kinds.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	if g.sent {
		return kinds.New(kinds.OutcomeUnknown, "the request was sent; no whole answer came").WithCause(err)
	}
	return notSent(g.held, err)
}

// gatedConn passes the gate before each write.
type gatedConn struct {
	net.Conn
	gate *gate
}

func (c *gatedConn) Write(b []byte) (int, error) {
	if err := c.gate.allowWrite(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}
