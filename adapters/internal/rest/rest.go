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
)

const (
	dialTimeout   = 2 * time.Second
	keepAlive     = 15 * time.Second
	idleTimeout   = 30 * time.Second
	idlePerHost   = 64
	maxHeader     = 64 << 10 // bytes
	maxErrorText  = 512      // bytes of an error's body that are told
	drainLimit    = 64 << 10 // bytes read to keep a connection usable
	maxSmallReply = 1 << 20  // bytes
)

// Client talks to one platform service.
type Client struct {
	base string
	name string
	http *http.Client
}

// New makes a client of the service at base (http://IP:port); name is told in
// the X-Client header.
func New(base, name string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	transport := &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeader,
		DisableCompression:     true,
	}
	return &Client{
		base: strings.TrimSuffix(base, "/"),
		name: name,
		http: &http.Client{Transport: transport, CheckRedirect: noRedirect},
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

// once hides a reader's concrete type from http.NewRequest, which would else
// set GetBody. With GetBody (or an Idempotency-Key header) http.Transport
// silently sends a request again when a kept-alive connection breaks under
// it: an append or an order would then stand twice. Without, a request with a
// body is sent at most once.
type once struct{ io.Reader }

// Do sends a request once. sent tells whether bytes of it may have gone out;
// when it is false the service has certainly not seen it.
func (c *Client) Do(ctx context.Context, r Request) (resp *http.Response, sent bool, err error) {
	var got atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { got.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	var body io.Reader
	if r.Body != nil {
		body = once{r.Body}
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, c.base+r.Path, body)
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
	return resp, got.Load(), err
}

// JSON sends in (nil: no body) and decodes a 200's body into out (nil:
// ignored). Another status is a *StatusError.
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

// Decode decodes a bounded body; limit 0 means small.
func Decode(resp *http.Response, out any, limit int64) error {
	if out == nil {
		return nil
	}
	if limit <= 0 {
		limit = maxSmallReply
	}
	return json.NewDecoder(io.LimitReader(resp.Body, limit)).Decode(out)
}

// DrainAndClose reads what is left of a small body, so that the connection can be
// used again, and closes it.
func DrainAndClose(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, drainLimit)
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

// NewStatusError makes a StatusError of an answer.
func NewStatusError(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorText))
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
