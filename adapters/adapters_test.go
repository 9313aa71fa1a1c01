package adapters_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/adapters/httpengine"
	"dandelionsill.org/adapters/httplog"
	"dandelionsill.org/adapters/httpstore"
	"dandelionsill.org/adapters/httpvms"
	"dandelionsill.org/adapters/protocol"
	"dandelionsill.org/platform"
)

const clientName = "entry-1"

func serve(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return srv.URL
}

func answer(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// truncatedAnswer returns a handler that declares a longer body than it writes, so that
// the connection is closed within the body.
func truncatedAnswer(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Length", fmt.Sprint(len(body)+1))
		_, _ = io.WriteString(w, body)
	}
}

func dropConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// closedAddr returns an address at which no process listens.
func closedAddr(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return "http://" + l.Addr().String()
}

// A process that appends a claim must know whether the claim may be in the log. The error
// says "not taken" only when no byte was sent or the log itself refused; after any other
// failure the outcome is unknown, and the process reads the log to find out.
func TestAppendDistinguishesNotTakenFromUnknown(t *testing.T) {
	cases := map[string]struct {
		handler http.HandlerFunc
		want    error
	}{
		"rate exceeded":        {answer(http.StatusTooManyRequests, ""), platform.ErrRate},
		"outage":               {answer(http.StatusServiceUnavailable, ""), platform.ErrLogUnavailable},
		"too large":            {answer(http.StatusRequestEntityTooLarge, ""), platform.ErrLogRefused},
		"fault of the log":     {answer(http.StatusInternalServerError, ""), platform.ErrAppendUnknown},
		"redirect":             {answer(http.StatusTemporaryRedirect, ""), platform.ErrAppendUnknown},
		"connection dropped":   {dropConnection, platform.ErrAppendUnknown},
		"answer truncated":     {truncatedAnswer(`{"offset":`), platform.ErrAppendUnknown},
		"answer without field": {answer(http.StatusOK, `{}`), platform.ErrAppendUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := httplog.New(serve(t, c.handler), clientName).Append(t.Context(), platform.StreamControl, []byte("x"))
			require.ErrorIs(t, err, c.want)
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		_, err := httplog.New(closedAddr(t), clientName).Append(t.Context(), platform.StreamControl, []byte("x"))
		require.ErrorIs(t, err, platform.ErrLogUnavailable)
	})
	t.Run("cancelled before the send", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := httplog.New(serve(t, dropConnection), clientName).Append(ctx, platform.StreamControl, []byte("x"))
		require.ErrorIs(t, err, platform.ErrLogUnavailable)
	})
	t.Run("cancelled after the send", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l := httplog.New(serve(t, func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			cancel()
			<-r.Context().Done()
		}), clientName)
		_, err := l.Append(ctx, platform.StreamControl, []byte("x"))
		require.ErrorIs(t, err, platform.ErrAppendUnknown)
		require.ErrorIs(t, err, context.Canceled)
	})
}

// answerOnce returns a handler that answers the first request with ok, and reads each
// further one and closes its connection. It counts the requests in seen.
func answerOnce(ok string, seen *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if seen.Add(1) > 1 {
			dropConnection(w, r)
		}
		_, _ = io.WriteString(w, ok)
	}
}

// A kept-alive connection breaks after the second append was sent over it. Go's
// http.Transport silently repeats a request whose body it can rewind if the request looks
// idempotent: the log would hold the record twice, or an engine carry out an order twice.
// The control case shows that the transport does so for an ordinary request.
func TestBrokenKeptAliveConnectionSendsOnce(t *testing.T) {
	var seen atomic.Int64
	t.Run("append", func(t *testing.T) {
		seen.Store(0)
		l := httplog.New(serve(t, answerOnce(`{"offset":0}`, &seen)), clientName)
		_, err := l.Append(t.Context(), platform.StreamControl, []byte("a"))
		require.NoError(t, err)
		_, err = l.Append(t.Context(), platform.StreamControl, []byte("b"))
		require.ErrorIs(t, err, platform.ErrAppendUnknown)
		require.EqualValues(t, 2, seen.Load())
	})
	t.Run("empty append", func(t *testing.T) {
		seen.Store(0)
		l := httplog.New(serve(t, answerOnce(`{"offset":0}`, &seen)), clientName)
		_, err := l.Append(t.Context(), platform.StreamControl, nil)
		require.NoError(t, err)
		_, err = l.Append(t.Context(), platform.StreamControl, nil)
		require.ErrorIs(t, err, platform.ErrAppendUnknown)
		require.EqualValues(t, 2, seen.Load())
	})
	t.Run("orders", func(t *testing.T) {
		seen.Store(0)
		e := httpengine.New(serve(t, answerOnce(`{}`, &seen)), clientName)
		info := platform.WeightInfo{Model: "m", Version: 2, Bytes: 3}
		require.NoError(t, e.LoadWeights(t.Context(), info, strings.NewReader("abc"), 1))
		require.ErrorIs(t, e.LoadWeights(t.Context(), info, strings.NewReader("abc"), 2), platform.ErrOrderUnknown)
		require.ErrorIs(t, e.SetRole(t.Context(), "all", 3), platform.ErrOrderUnknown)
		require.EqualValues(t, 3, seen.Load())
	})
	t.Run("control", func(t *testing.T) {
		seen.Store(0)
		url := serve(t, answerOnce(`{}`, &seen))
		client := &http.Client{Transport: &http.Transport{}}
		for range 2 {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, bytes.NewReader([]byte("a")))
			require.NoError(t, err)
			req.Header.Set("Idempotency-Key", "k")
			resp, err := client.Do(req)
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		}
		require.EqualValues(t, 3, seen.Load())
	})
}

func TestOrderErrors(t *testing.T) {
	info := platform.WeightInfo{Model: "m", Version: 2, Bytes: 1}
	order := func(url string) error {
		return httpengine.New(url, clientName).LoadWeights(t.Context(), info, strings.NewReader("w"), 1)
	}
	require.ErrorIs(t, order(serve(t, answer(http.StatusConflict, ""))), platform.ErrFenced)
	require.ErrorIs(t, order(serve(t, answer(http.StatusInternalServerError, ""))), platform.ErrLoadFailed)
	require.ErrorIs(t, order(serve(t, answer(http.StatusBadGateway, ""))), platform.ErrOrderUnknown)
	require.ErrorIs(t, order(serve(t, dropConnection)), platform.ErrOrderUnknown)
	for _, url := range []string{closedAddr(t), serve(t, answer(http.StatusBadRequest, ""))} {
		err := order(url)
		require.Error(t, err)
		require.NotErrorIs(t, err, platform.ErrOrderUnknown)
	}
}

const (
	firstEvent = `data: {"choices":[{"text":"a@1 ","finish_reason":null}],"tokens":1,"weights_version":1,"boot":"b"}` + "\n\n"
	lastEvent  = `data: {"choices":[{"text":"b@2 ","finish_reason":"stop"}],"tokens":1,"weights_version":2,"boot":"b"}` + "\n\n"
)

func generate(t *testing.T, h http.HandlerFunc) platform.Stream {
	t.Helper()
	s, err := httpengine.New(serve(t, h), clientName).Generate(t.Context(), platform.GenerateJob{ID: "r", Prompt: "p"})
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// Guards against taking the end of the connection for the end of the text. When the engine
// crashes or the stream is cancelled elsewhere, the body may end cleanly or not, but no
// chunk has a finish reason.
func TestTruncatedStreamIsAnError(t *testing.T) {
	bodies := map[string]http.HandlerFunc{
		"clean end":         answer(http.StatusOK, firstEvent),
		"done marker alone": answer(http.StatusOK, firstEvent+"data: [DONE]\n\n"),
		"connection lost":   truncatedAnswer(firstEvent),
		"after a comment":   answer(http.StatusOK, firstEvent+": ping\n\n"),
	}
	for name, h := range bodies {
		t.Run(name, func(t *testing.T) {
			s := generate(t, h)
			c, err := s.Next()
			require.NoError(t, err)
			require.Equal(t, platform.Chunk{Text: "a@1 ", Tokens: 1, Version: 1, Boot: "b"}, c)
			_, err = s.Next()
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
			require.Equal(t, 1, strings.Count(err.Error(), "unexpected EOF"), "the text contains the cause once: %v", err)
		})
	}
	t.Run("half an event", func(t *testing.T) {
		s := generate(t, answer(http.StatusOK, firstEvent+lastEvent[:30]))
		_, err := s.Next()
		require.NoError(t, err)
		_, err = s.Next()
		require.Error(t, err)
		require.NotErrorIs(t, err, io.EOF)
	})
}

func TestStreamEndsAfterFinish(t *testing.T) {
	s := generate(t, answer(http.StatusOK, firstEvent+lastEvent+"data: [DONE]\n\n"))
	for _, finish := range []string{"", "stop"} {
		c, err := s.Next()
		require.NoError(t, err)
		require.Equal(t, finish, c.Finish)
	}
	for range 2 {
		_, err := s.Next()
		require.Equal(t, io.EOF, err)
	}
}

func TestCloseEndsTheConnection(t *testing.T) {
	disconnected := make(chan struct{})
	s := generate(t, func(w http.ResponseWriter, r *http.Request) {
		answer(http.StatusOK, firstEvent)(w, r)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		close(disconnected)
	})
	_, err := s.Next()
	require.NoError(t, err)
	require.NoError(t, s.Close())
	select {
	case <-disconnected:
	case <-time.After(10 * time.Second):
		t.Fatal("the engine was not notified that the client had disconnected")
	}
	_, err = s.Next()
	require.Error(t, err)
	require.NotErrorIs(t, err, io.EOF)
}

// Truncated or corrupted weights must never reach an engine as if they were complete: the
// reader ends with an error instead of io.EOF.
func TestFetchedWeightsAreVerified(t *testing.T) {
	const digest = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad" // of "abc"
	fetch := func(h http.HandlerFunc) ([]byte, error) {
		r, _, err := httpstore.New(serve(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(protocol.WeightsDigest, digest)
			h(w, r)
		}), clientName).Fetch(t.Context(), "m", 1)
		require.NoError(t, err)
		defer r.Close()
		return io.ReadAll(r)
	}
	data, err := fetch(answer(http.StatusOK, "abc"))
	require.NoError(t, err)
	require.Equal(t, "abc", string(data))
	_, err = fetch(answer(http.StatusOK, "abd"))
	require.ErrorIs(t, err, platform.ErrDigest)
	_, err = fetch(truncatedAnswer("abc"))
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

func TestClientsSendTheirName(t *testing.T) {
	var name atomic.Value
	url := serve(t, func(w http.ResponseWriter, r *http.Request) {
		name.Store(r.Header.Get(protocol.Client))
		_, _ = io.WriteString(w, `[{"name":"vm","addr":"127.0.0.1:1","state":"leaving"}]`)
	})
	vms, err := httpvms.New(url, clientName).List(t.Context())
	require.NoError(t, err)
	require.Equal(t, []platform.VM{{Name: "vm", Addr: "127.0.0.1:1", State: platform.VMLeaving}}, vms)
	require.Equal(t, clientName, name.Load())
}
