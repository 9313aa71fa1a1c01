package outbound

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/juju/errors"
)

// Transport is an http.Transport that returns no malformed answer: their error is ErrMalformed, and their
// connections are closed. It supports the scheme http only.
type Transport struct{ *http.Transport }

// NewTransport returns a transport with the settings of t, which must not be used any more.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err // callers look for a *net.OpError
		}
		return NewConn(c), nil
	}
	return &Transport{t}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	if req.URL.Scheme != "http" {
		return nil, errors.NotSupportedf("scheme %q", req.URL.Scheme)
	}
	var used atomic.Pointer[Conn] // the latest: net/http may have to open another one
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		c := info.Conn.(*Conn)
		c.Answers.ExpectAnswer()
		used.Store(c)
	}})
	resp, err := t.Transport.RoundTrip(req.WithContext(ctx))
	c := used.Load()
	if err != nil {
		if c != nil && c.Answers.Err() != nil {
			return nil, c.Answers.Err()
		}
		return nil, err
	}
	if err := c.Answers.verify(); err != nil {
		_ = c.Close()
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}
