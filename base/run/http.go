package run

import (
	"context"
	"expvar"
	"fmt"
	"log"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"dandelionsill.org/base/inbound"
	"dandelionsill.org/base/logs"
)

// Limits of the HTTP server. It has no read or write timeout, because completions
// stream for minutes and every handler has its own deadline.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	errorLogInterval  = time.Second
)

var (
	_ transport.Server     = (*HTTPServer)(nil)
	_ transport.Endpointer = (*HTTPServer)(nil)
)

// Readiness of this process. stopping is never reset, except by tests.
var ready, stopping atomic.Bool

// SetReady sets whether /readyz answers 200. Once the stop has started, /readyz
// answers 503 regardless.
func SetReady(isReady bool) { ready.Store(isReady) }

// IsReady reports whether /readyz answers 200.
func IsReady() bool { return ready.Load() && !stopping.Load() }

// HTTPServer is a kratos HTTP server that listens within the bounds of its process.
type HTTPServer struct {
	*khttp.Server
	// These must be set before the server listens. Bounds is nil for the default bounds.
	Heads  inbound.HTTPConfig
	Bounds *inbound.Bounds
	Use    inbound.Use
	addr   string
	listen func() error
}

// NewHTTP returns a server for addr (IP:port) with /livez, /readyz and /debug/vars. options
// override the defaults. It serves callers within the default bounds unless its fields are set.
func NewHTTP(addr string, options ...khttp.ServerOption) *HTTPServer {
	srv := khttp.NewServer(append([]khttp.ServerOption{
		khttp.Address(addr),
		// By default kratos cancels each request after one second.
		khttp.Timeout(0),
		khttp.StrictSlash(false),
		// By default kratos falls back to http.DefaultServeMux, on which any
		// imported package may have registered handlers.
		khttp.NotFoundHandler(http.NotFoundHandler()),
		khttp.MethodNotAllowedHandler(http.HandlerFunc(methodNotAllowed)),
	}, options...)...)
	srv.ReadHeaderTimeout = readHeaderTimeout
	srv.IdleTimeout = idleTimeout
	srv.ErrorLog = errorLog()
	srv.HandleFunc("/livez", livez)
	srv.HandleFunc("/readyz", readyz)
	srv.HandleFunc("/debug/vars", writeMetrics)
	s := &HTTPServer{Server: srv, Use: inbound.Callers, addr: addr}
	s.listen = sync.OnceValue(s.bind)
	return s
}

// bind binds the address.
func (s *HTTPServer) bind() error {
	listener, err := boundsOrDefault(s.Bounds).Listen(s.addr, s.Use)
	if err != nil {
		return errors.Annotatef(err, "HTTP listener %s", s.addr)
	}
	khttp.Listener(listener)(s.Server)
	return nil
}

func boundsOrDefault(b *inbound.Bounds) *inbound.Bounds {
	if b == nil {
		return inbound.Default()
	}
	return b
}

// Endpoint binds the address and returns it as a URL. kratos calls it before it starts any server.
func (s *HTTPServer) Endpoint() (*url.URL, error) {
	if err := s.listen(); err != nil {
		return nil, err
	}
	return s.Server.Endpoint()
}

// Start serves requests until Stop is called.
func (s *HTTPServer) Start(ctx context.Context) error {
	if err := s.listen(); err != nil {
		return err
	}
	inbound.Guard(s.Server.Server, s.Heads)
	return s.Server.Start(ctx)
}

// errorLog returns a logger for the messages of net/http itself (a panic in a
// handler, a failed accept), which would otherwise be written as plain text instead
// of JSON lines.
func errorLog() *log.Logger {
	l, err := zap.NewStdLogAt(logs.Limited(logs.New("http", "warn"), errorLogInterval), zap.WarnLevel)
	if err != nil { // can't happen: the level is a valid constant
		panic(err)
	}
	return l
}

func livez(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

// writeMetrics writes the metrics in the format of expvar's handler but omits the
// command line, because a flag may hold a secret that clients of this listener must
// not see.
func writeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	sep := "{\n"
	expvar.Do(func(kv expvar.KeyValue) {
		if kv.Key == "cmdline" {
			return
		}
		fmt.Fprintf(w, "%s%q: %s", sep, kv.Key, kv.Value)
		sep = ",\n"
	})
	fmt.Fprint(w, "\n}\n")
}

func readyz(w http.ResponseWriter, _ *http.Request) {
	switch {
	case stopping.Load():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case !ready.Load():
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ok\n"))
	}
}

func methodNotAllowed(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
}
