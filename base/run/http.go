package run

import (
	"expvar"
	"fmt"
	"log"
	"net/http"
	"sync/atomic"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"go.uber.org/zap"

	"dandelionsill.org/base/logs"
)

// Limits of the HTTP server. It has no read or write timeout, because completions
// stream for minutes and every handler has its own deadline.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10

	errorLogInterval = time.Second
)

// Readiness of this process. stopping is never reset, except by tests.
var ready, stopping atomic.Bool

// SetReady sets whether /readyz answers 200. Once the stop has started, /readyz
// answers 503 regardless.
func SetReady(isReady bool) { ready.Store(isReady) }

// IsReady reports whether /readyz answers 200.
func IsReady() bool { return ready.Load() && !stopping.Load() }

// NewHTTP returns a kratos HTTP server for addr (IP:port) with /livez, /readyz and
// /debug/vars. options override the defaults.
func NewHTTP(addr string, options ...khttp.ServerOption) *khttp.Server {
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
	srv.MaxHeaderBytes = maxHeaderBytes
	srv.ErrorLog = errorLog()
	srv.HandleFunc("/livez", livez)
	srv.HandleFunc("/readyz", readyz)
	srv.HandleFunc("/debug/vars", writeMetrics)
	return srv
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
