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

// Limits of the HTTP server. There is no write or read timeout: completions
// stream for minutes, and every handler has its own deadline.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10

	errorLogInterval = time.Second
)

// readiness of this process; stopping is never taken back.
var ready, stopping atomic.Bool

// SetReady says whether /readyz answers 200. Once the stop has begun it
// answers 503 whatever is set here.
func SetReady(isReady bool) { ready.Store(isReady) }

// IsReady tells what /readyz answers.
func IsReady() bool { return ready.Load() && !stopping.Load() }

// NewHTTP returns a kratos HTTP server with /livez, /readyz and /debug/vars;
// options go before its own.
func NewHTTP(addr string, options ...khttp.ServerOption) *khttp.Server {
	srv := khttp.NewServer(append([]khttp.ServerOption{
		khttp.Address(addr),
		// kratos cancels each request after one second unless told otherwise.
		khttp.Timeout(0),
		khttp.StrictSlash(false),
		// kratos falls back to http.DefaultServeMux, where any imported
		// package may have left handlers.
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

// errorLog brings net/http's own lines (a panic in a handler, a failed accept)
// into the form of all others; it would write them bare.
func errorLog() *log.Logger {
	l, err := zap.NewStdLogAt(logs.Limited(logs.New("http", "warn"), errorLogInterval), zap.WarnLevel)
	if err != nil { // the level is a constant that zap knows
		panic(err)
	}
	return l
}

func livez(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

// writeMetrics writes the metrics as expvar's own handler does, but for the command
// line: whoever may reach this listener need not see a secret given as a flag.
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
