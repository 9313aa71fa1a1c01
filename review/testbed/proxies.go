package testbed

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
)

// Proxy is an HTTP proxy of a stand-in.
type Proxy struct{ *httptest.Server }

// Addr returns the proxy's IP:port.
func (p *Proxy) Addr() string { return strings.TrimPrefix(p.URL, "http://") }

// NewProxy starts a proxy of the server at target (a URL). Requests for which hang returns true are read and never
// answered.
func (c *Case) NewProxy(target string, hang func(*http.Request) bool) *Proxy {
	u, err := url.Parse(target)
	c.must(err)
	next := httputil.NewSingleHostReverseProxy(u)
	next.FlushInterval = -1
	next.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	return &Proxy{httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if hang(r) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	}))}
}
