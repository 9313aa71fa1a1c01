// Package rest is the HTTP client that the platform's adapters share.
package rest

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"dandelionsill.org/adapters/protocol"
	"dandelionsill.org/base/outbound"
)

const (
	dialTimeout     = 2 * time.Second
	keepAlive       = 15 * time.Second
	idleTimeout     = 30 * time.Second
	maxIdlePerHost  = 64
	maxErrorBytes   = 512      // of an error's body in a StatusError
	maxDrainBytes   = 64 << 10 // read after an answer, to reuse the connection
	defaultMaxReply = 1 << 20  // bytes of an answer
)

// Client calls one service of the platform.
type Client struct {
	baseURL string
	name    string
	http    *http.Client
}

// New returns a client of the service at base (http://IP:port). It sends name in the
// X-Client header.
func New(base, name string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	transport := outbound.NewTransport(&http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	})
	return &Client{
		baseURL: strings.TrimSuffix(base, "/"),
		name:    name,
		http:    &http.Client{Transport: transport, CheckRedirect: noRedirect},
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Request is one request. Size is the body's length in bytes, or -1.
type Request struct {
	Method string
	Path   string // escaped, with its query
	Header map[string]string
	Body   io.Reader
	Size   int64
}

// opaqueReader hides a reader's concrete type from http.NewRequest, which would otherwise
// set GetBody. With GetBody (or an Idempotency-Key header) http.Transport silently repeats
// a request when its kept-alive connection breaks: an append or an order would then be
// carried out twice. Without it, a request with a body is sent at most once.
type opaqueReader struct{ io.Reader }

// Do sends a request once. sent reports whether bytes of it may have been sent; if it is
// false, the service has not received the request.
func (c *Client) Do(ctx context.Context, r Request) (resp *http.Response, sent bool, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	var body io.Reader
	if r.Body != nil {
		body = opaqueReader{r.Body}
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, c.baseURL+r.Path, body)
	if err != nil {
		return nil, false, errors.Trace(err)
	}
	if r.Body != nil {
		req.ContentLength = r.Size
	}
	for k, v := range r.Header {
		req.Header.Set(k, v)
	}
	req.Header.Set(protocol.Client, c.name)
	resp, err = c.http.Do(req)
	return resp, connected.Load(), err
}

// JSON sends in (nil: no body) and decodes the body of a 200 answer, of at most limit
// bytes, into out (nil: ignored). Any other status is a *StatusError. sent is as for Do.
func (c *Client) JSON(ctx context.Context, method, path string, in, out any, limit int64) (sent bool, err error) {
	r := Request{Method: method, Path: path}
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return false, errors.Trace(err)
		}
		r.Body = bytes.NewReader(data)
		r.Size = int64(len(data))
		r.Header = map[string]string{"Content-Type": "application/json"}
	}
	resp, sent, err := c.Do(ctx, r)
	if err != nil {
		return sent, errors.Trace(err)
	}
	defer DrainAndClose(resp)
	if resp.StatusCode != http.StatusOK {
		return sent, NewStatusError(resp)
	}
	return sent, errors.Trace(Decode(resp, out, limit))
}

// Decode decodes a JSON body of at most limit bytes; 0: defaultMaxReply.
func Decode(resp *http.Response, out any, limit int64) error {
	if out == nil {
		return nil
	}
	if limit <= 0 {
		limit = defaultMaxReply
	}
	return json.NewDecoder(io.LimitReader(resp.Body, limit)).Decode(out)
}

// DrainAndClose reads the rest of a small body, so that the connection can be reused, and
// closes the body.
func DrainAndClose(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxDrainBytes)
	_ = resp.Body.Close()
}

// StatusError is an answer with an unexpected status.
type StatusError struct {
	Code int
	Text string
}

func (e *StatusError) Error() string {
	return http.StatusText(e.Code) + ": " + e.Text
}

// NewStatusError returns a *StatusError with the answer's status and the start of its
// body.
func NewStatusError(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	return &StatusError{Code: resp.StatusCode, Text: strings.TrimSpace(string(text))}
}

// StatusCode returns the status of a StatusError in err's chain, or 0.
func StatusCode(err error) int {
	var s *StatusError
	if errors.As(err, &s) {
		return s.Code
	}
	return 0
}
