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

// One caller takes the entry's memory, and every request in flight there dies
// with the process. Order: it asks in HTTP/1.0 for a long answer without a
// length; so that no part looks whole the entry holds all of it back, and no
// bound ends that. 64 MB stand for any size here; MaxBuffer is 64 KB.
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
	require.Less(t, sent.Load(), int64(pieces*piece), "all of it was held in memory")
}

// A caller that speaks HTTP/1.0 (many proxies do towards their backends) takes
// a part of the answer for the whole. Order: the answer has no length and is
// larger than the entry holds back; the entry passes its first part on; the
// backend server dies. The entry breaks the connection off, but in HTTP/1.0 the
// end of the connection is the end of the answer.
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
		return // no answer at all is honest
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return // so is an error
	}
	buf := make([]byte, partSize)
	n, readErr := 0, error(nil)
	for readErr == nil {
		var k int
		k, readErr = resp.Body.Read(buf)
		n += k
	}
	require.NotEqual(t, "EOF", readErr.Error(), "200 OK, %d bytes and a clean end of a cut answer", n)
}
