package inbound

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const startHTTP10 = "POST / HTTP/1.0\r\nContent-Length: 4\r\n\r\nbody"

// writePart sends a part of an answer without a length.
func writePart(w http.ResponseWriter) {
	_, _ = io.WriteString(w, "part")
	_ = http.NewResponseController(w).Flush()
}

// partServerVariable makes the test binary a server that begins answers and does not end them.
const partServerVariable = "INBOUND_TEST_PART_SERVER"

func TestMain(m *testing.M) {
	if os.Getenv(partServerVariable) != "" {
		servePartUntilKilled()
	}
	os.Exit(m.Run())
}

// servePartUntilKilled prints the address on which it serves.
func servePartUntilKilled() {
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writePart(w)
		<-r.Context().Done()
	})}
	Guard(srv, HTTPConfig{})
	l, err := Default().Listen("127.0.0.1:0", Callers)
	if err != nil {
		panic(err)
	}
	fmt.Println(l.Addr())
	panic(srv.Serve(l))
}

// Failure: the process is killed within such an answer. Guards against the kernel ending the connection in order.
func TestHTTP10ClientSeesThatItsServerWasKilled(t *testing.T) {
	server := exec.Command(os.Args[0])
	server.Env = append(os.Environ(), partServerVariable+"=1")
	out, err := server.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, server.Start())
	t.Cleanup(func() {
		_ = server.Process.Kill()
		_ = server.Wait()
	})
	addr, err := bufio.NewReader(out).ReadString('\n')
	require.NoError(t, err)
	conn := dial(t, strings.TrimSpace(addr))
	_, err = io.WriteString(conn, startHTTP10)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	_, err = io.ReadFull(resp.Body, make([]byte, len("part")))
	require.NoError(t, err)
	require.NoError(t, server.Process.Kill())
	_, err = io.ReadAll(resp.Body)
	require.Error(t, err, "a part was taken for the whole")
	require.False(t, errorIsTimeout(err))
}

// readEnd reads an answer and returns its body and how the connection ended.
func readEnd(t *testing.T, conn net.Conn) (string, error) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.False(t, errorIsTimeout(err))
	return string(body), err
}

// Failure: an answer of unknown length to an HTTP/1.0 client breaks off, because its handler gives it up or its server stops.
// Guards against an end of the connection that the client takes for the end of the answer.
func TestHTTP10ClientSeesThatItsAnswerBrokeOff(t *testing.T) {
	for name, breakOff := range map[string]func(*server, *http.Request){
		"aborted":      func(*server, *http.Request) { panic(http.ErrAbortHandler) },
		"unread body":  func(_ *server, r *http.Request) { r.Body = http.NoBody; panic(http.ErrAbortHandler) },
		"server stops": func(s *server, r *http.Request) { go s.Close(); <-r.Context().Done() },
	} {
		t.Run(name, func(t *testing.T) {
			serving := make(chan *server, 1)
			s := serve(t, Settings{}, nil, HTTPConfig{}, func(w http.ResponseWriter, r *http.Request) {
				if name != "unread body" {
					_, _ = io.Copy(io.Discard, r.Body)
				}
				writePart(w)
				breakOff(<-serving, r)
			})
			serving <- s
			conn := dial(t, s.addr)
			_, err := io.WriteString(conn, startHTTP10)
			require.NoError(t, err)
			body, err := readEnd(t, conn)
			require.Error(t, err, "%q was taken for the whole", body)
		})
	}
}

// Failure: an HTTP/1.0 client does not take its answer until the server gives up, and the handler overlooks that or has returned
// before. Guards against a client that takes what it got for the whole.
func TestHTTP10ClientThatReadsTooLateSeesThat(t *testing.T) {
	const answerBytes = 16 << 20
	for name, request := range map[string]string{"read body": startHTTP10, "unread body": strings.TrimSuffix(startHTTP10, "body")} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{})
			s := serve(t, Settings{}, nil, HTTPConfig{}, func(w http.ResponseWriter, r *http.Request) {
				if name == "read body" {
					_, _ = io.Copy(io.Discard, r.Body)
				}
				_, _ = w.Write(make([]byte, answerBytes))
			})
			s.ConnState = func(_ net.Conn, state http.ConnState) {
				if state == http.StateClosed {
					close(ended)
				}
			}
			s.bounds.mu.Lock()
			s.bounds.stallTimeout = 50 * time.Millisecond
			s.bounds.mu.Unlock()
			conn := dial(t, s.addr)
			_, err := io.WriteString(conn, request)
			require.NoError(t, err)
			<-ended
			body, err := readEnd(t, conn)
			require.Error(t, err, "%d of %d bytes were taken for the whole", len(body), answerBytes)
		})
	}
}

// Guards against whole answers to HTTP/1.0 clients that end with a reset, on connections that are closed or kept.
func TestHTTP10AnswersAreWhole(t *testing.T) {
	const answerBytes = 4 << 20
	s := serve(t, Settings{}, nil, HTTPConfig{}, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Connection") == "keep-alive" {
			w.Header().Set("Content-Length", "4")
			_, _ = io.WriteString(w, "kept")
			return
		}
		_, _ = w.Write(make([]byte, answerBytes))
	})
	for _, request := range []string{startHTTP10, strings.TrimSuffix(startHTTP10, "body")} { // the latter is answered early
		conn := dial(t, s.addr)
		_, err := io.WriteString(conn, request)
		require.NoError(t, err)
		body, err := readEnd(t, conn)
		require.NoError(t, err)
		require.Len(t, body, answerBytes)
	}
	conn := dial(t, s.addr)
	reader := bufio.NewReader(conn)
	for range 3 {
		_, err := io.WriteString(conn, strings.Replace(startHTTP10, "\r\n", "\r\nConnection: keep-alive\r\n", 1))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, readAnswer(t, reader).StatusCode)
	}
	ctx, cancel := context.WithTimeout(t.Context(), maxWait)
	defer cancel()
	require.NoError(t, s.Shutdown(ctx)) // once the connection waits for a request
	_, err := reader.ReadByte()
	require.Equal(t, io.EOF, err)
}
