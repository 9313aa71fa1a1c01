// Package web holds what the stand-ins share: JSON answers, the fault switches at
// POST /admin/faults, GET /livez, and a server that exits immediately on SIGTERM.
package web

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	maxAdminBodyBytes = 1 << 20
	readHeaderTimeout = 10 * time.Second
)

// JSON answers with status and v encoded as JSON.
func JSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails if the client has disconnected
}

// Error answers with status and {"error": message}.
func Error(w http.ResponseWriter, status int, message string) {
	JSON(w, status, struct {
		Error string `json:"error"`
	}{message})
}

// ReadJSON decodes the body, of which it reads at most maxAdminBodyBytes. An
// unknown field is an error, so that a test with a misspelt switch fails instead
// of testing nothing.
func ReadJSON(r *http.Request, target any) error {
	d := json.NewDecoder(io.LimitReader(r.Body, maxAdminBodyBytes))
	d.DisallowUnknownFields()
	return d.Decode(target)
}

// Faults holds the fault switches of one stand-in. It is safe for concurrent use:
// Get returns all switches as set by one Apply.
type Faults[T any] struct {
	switches atomic.Pointer[T]
	OnApply  func(T) // called after each Apply; may be nil
}

// Get returns the current switches.
func (f *Faults[T]) Get() T {
	if p := f.switches.Load(); p != nil {
		return *p
	}
	var none T
	return none
}

// Apply replaces all switches; the zero value clears all faults.
func (f *Faults[T]) Apply(set T) {
	f.switches.Store(&set)
	if f.OnApply != nil {
		f.OnApply(set)
	}
}

// ServeHTTP serves GET and POST /admin/faults. A POST replaces all switches.
func (f *Faults[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var set T
		if err := ReadJSON(r, &set); err != nil {
			Error(w, http.StatusBadRequest, err.Error())
			return
		}
		f.Apply(set)
	}
	JSON(w, http.StatusOK, f.Get())
}

// Livez answers GET /livez.
func Livez(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") }

// Sleep waits for d or until ctx is done.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Hang blocks until the client disconnects.
func Hang(r *http.Request) { <-r.Context().Done() }

// Drop closes the connection without completing the answer. It panics with
// http.ErrAbortHandler and does not return.
func Drop() { panic(http.ErrAbortHandler) }

// Serve serves h on addr until SIGTERM, SIGINT or the end of ctx, and then closes
// every connection immediately.
func Serve(ctx context.Context, addr string, h http.Handler) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	fmt.Fprintln(os.Stderr, "standin: listening on", l.Addr())
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	go func() {
		<-ctx.Done()
		_ = srv.Close()
	}()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
