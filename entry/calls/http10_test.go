package calls

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/wire/pb"
)

// Guards against a single caller exhausting the entry's memory, which ends every request
// in flight. The caller uses HTTP/1.0 and asks for a long answer without a length. The
// entry can't forward it in parts that might look complete, and would buffer all of it
// without a bound. The 64 MB are an example of any size; MaxBuffer is 64 KB.
func TestBufferedAnswerIsBoundedForHTTP10(t *testing.T) {
	const piece, pieces = 1 << 20, 64
	var sent atomic.Int64
	agentDone := make(chan struct{})
	s := startEntry(t, Config{MaxBuffer: 64 << 10}, func(_ *fakeAgent, _ *pb.CallOpen, st stream) error {
		defer close(agentDone)
		sendHead(st, false)
		for range pieces {
			msg := &pb.CallReply{Part: &pb.CallReply_Body{Body: []byte(strings.Repeat("a", piece))}}
			if err := st.Send(msg); err != nil {
				return err
			}
			sent.Add(piece)
		}
		sendEnd(st, pieces*piece)
		return nil
	})
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "GET /svc/orders/x HTTP/1.0\r\nAuthorization: Bearer t\r\n\r\n")
	require.NoError(t, err)
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	select {
	case <-agentDone:
	case <-time.After(20 * time.Second):
	}
	require.Less(t, sent.Load(), int64(pieces*piece), "the complete answer was buffered in memory")
}

// Guards against an HTTP/1.0 caller (many proxies use it towards their backends) that
// takes a part of an answer for the complete one. The answer has no length and is larger
// than MaxBuffer; the entry would forward its first part; then the backend server
// crashes. The entry would abort the connection, but in HTTP/1.0 the end of the
// connection is the end of the answer.
func TestBrokenAnswerIsNotCompleteForHTTP10(t *testing.T) {
	const partSize = 64 << 10
	s := startEntry(t, Config{MaxBuffer: partSize / 2}, func(f *fakeAgent, _ *pb.CallOpen, st stream) error {
		sendHead(st, false)
		sendBody(st, strings.Repeat("a", partSize))
		return sendRefusal(st, &pb.Refusal{Kind: "backend_failed", Message: "it died"})
	})
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "GET /svc/orders/x HTTP/1.0\r\nAuthorization: Bearer t\r\n\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return // no answer at all is correct
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return // an error is correct too
	}
	buf := make([]byte, partSize)
	n, readErr := 0, error(nil)
	for readErr == nil {
		var k int
		k, readErr = resp.Body.Read(buf)
		n += k
	}
	require.NotEqual(t, "EOF", readErr.Error(), "200 OK, %d bytes and a clean end of a truncated answer", n)
}
