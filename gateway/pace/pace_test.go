package pace

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// pipeWriter writes an answer to a connection without a buffer, whose reader the test controls.
type pipeWriter struct {
	net.Conn
	header http.Header
}

func (p *pipeWriter) Header() http.Header { return p.header }
func (p *pipeWriter) WriteHeader(int)     {}
func (p *pipeWriter) Flush()              {}

// readSteadily reads n bytes a second from conn, and returns what it has read when conn is closed.
func readSteadily(conn net.Conn, n int) <-chan []byte {
	read := make(chan []byte, 1)
	go func() {
		var all bytes.Buffer
		for {
			if _, err := io.CopyN(&all, conn, int64(n)); err != nil {
				break
			}
			time.Sleep(time.Second) // virtual
		}
		read <- all.Bytes()
	}()
	return read
}

// write writes data to a reader of n bytes a second, and returns what it read and how long the write took.
func write(t *testing.T, data []byte, n int) ([]byte, time.Duration, *observer.ObservedLogs, error) {
	start := time.Now()
	core, lines := observer.New(zap.InfoLevel)
	caller, own := net.Pipe()
	read := readSteadily(caller, n)
	w := NewWriter(&pipeWriter{own, http.Header{}}, "r", MinTime, zap.New(core))
	_, err := w.Write(data)
	took := time.Since(start)
	require.NoError(t, own.Close())
	return <-read, took, lines, err
}

// Guards against a slow but steady reader that loses a large answer because a deadline holds for the
// whole of it: this one takes over two minutes.
func TestSteadyReaderGetsWholeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		data := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
		read, took, lines, err := write(t, data, 8<<10)
		require.NoError(t, err)
		require.True(t, bytes.Equal(data, read))
		require.Greater(t, took, 2*time.Minute)
		require.Zero(t, lines.Len())
	})
}

// Guards against a steady reader that is cut off because its kernel takes in what it has read only in
// lumps: it reads 16 KB/s, of which the writer sees 256 KB at a time.
func TestSteadyReaderWithLargeBufferGetsWholeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller, own := net.Pipe()
		var reader sync.WaitGroup
		reader.Go(func() {
			for err := error(nil); err == nil; _, err = io.CopyN(io.Discard, caller, 256<<10) {
				time.Sleep(16 * time.Second) // virtual
			}
		})
		w := NewWriter(&pipeWriter{own, http.Header{}}, "r", MinTime, zap.NewNop())
		_, err := w.Write(make([]byte, 2<<20))
		require.NoError(t, own.Close())
		reader.Wait()
		require.NoError(t, err)
	})
}

// Guards against a caller that stops to read, or nearly so, and holds an answer in memory for good.
func TestSlowReaderIsCutOff(t *testing.T) {
	for name, pace := range map[string]int{"next to nothing": 16, "below the pace": 4 << 10} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				before := slowReaders.Value()
				_, took, lines, err := write(t, make([]byte, 1<<20), pace)
				require.ErrorIs(t, err, os.ErrDeadlineExceeded)
				require.Equal(t, MinTime, took)
				require.Equal(t, 1, lines.Len())
				require.Equal(t, before+1, slowReaders.Value())
			})
		})
	}
}

// Guards against a stream that is cut off because its server, not its reader, paused.
func TestPauseOfWriterIsNotCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller, own := net.Pipe()
		read := readSteadily(caller, 1)
		w := NewWriter(&pipeWriter{own, http.Header{}}, "r", MinTime, zap.NewNop())
		for range 3 {
			_, err := w.Write([]byte("e"))
			require.NoError(t, err)
			require.NoError(t, w.FlushError())
			time.Sleep(3 * MinTime) // virtual
		}
		w.Finish()
		require.NoError(t, own.Close())
		require.Equal(t, "eee", string(<-read))
	})
}

// The same over TCP and net/http: an answer after which the handler pauses is still completed, and one that
// nobody reads fails.
func TestWriterOnServer(t *testing.T) {
	failed := make(chan error, 1)
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		paced := NewWriter(w, "r", time.Second, zap.NewNop())
		defer paced.Finish()
		if r.URL.Path == "/small" {
			_, _ = paced.Write([]byte("small"))
			return
		}
		for {
			if _, err := paced.Write(make([]byte, 1<<20)); err != nil {
				failed <- err
				return
			}
		}
	}))
	srv.Config.ConnContext = BoundSendBuffer
	srv.Start()
	defer srv.Close()
	resp, err := http.Get(srv.URL + "/small")
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, "small", string(body))
	unread, err := http.Get(srv.URL + "/endless")
	require.NoError(t, err)
	defer func() { _ = unread.Body.Close() }()
	require.True(t, errors.Is(<-failed, os.ErrDeadlineExceeded))
}
