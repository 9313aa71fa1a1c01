package outboundtest

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Endless is an answer in which a server repeats bytes until its client closes the connection.
type Endless struct {
	Start, Repeated string
	InBody          bool
}

// EndlessAnswers returns endless answers by name. The start of their bodies is that of a JSON string.
func EndlessAnswers() map[string]Endless {
	const head = "HTTP/1.1 200 OK\r\n"
	return map[string]Endless{
		"status line":     {Start: "HTTP/1.1 200 ", Repeated: "O"},
		"field":           {Start: head + "X-Filler: ", Repeated: "x"},
		"fields":          {Start: head, Repeated: "X-Filler: x\r\n"},
		"interim answers": {Repeated: "HTTP/1.1 100 Continue\r\n\r\n"},
		"body":            {Start: head + "\r\n[\"", Repeated: "x", InBody: true},
		"chunks":          {Start: head + "Transfer-Encoding: chunked\r\n\r\n2\r\n[\"\r\n", Repeated: "100\r\n" + strings.Repeat("x", 0x100) + "\r\n", InBody: true},
		"blanks":          {Start: head + "\r\n", Repeated: " ", InBody: true},
	}
}

const (
	// maxEndlessBytes is where an endless answer pauses, so that a client that reads on does not use up the machine's memory.
	maxEndlessBytes = 64 << 20
	endlessPiece    = 64 << 10
	// NetworkBytes is more than the buffers of two sockets on loopback take on after a client has stopped to read.
	NetworkBytes = 12 << 20
)

// NewEndlessServer starts a server that answers each request with e.
func NewEndlessServer(t testing.TB, e Endless) *Server {
	s := &Server{}
	s.start(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		s.requests.Add(1)
		if _, err := io.WriteString(c, e.Start); err != nil {
			return
		}
		piece := bytes.Repeat([]byte(e.Repeated), endlessPiece/len(e.Repeated))
		for sent := 0; sent < maxEndlessBytes; {
			n, err := c.Write(piece)
			sent += n
			s.sent.Store(max(s.sent.Load(), int64(sent)))
			if err != nil {
				return
			}
		}
		_, _ = io.Copy(io.Discard, c)
	})
	return s
}

// RequireStopped waits until the clients have closed all connections, and requires that they read at most limit bytes of an
// endless answer.
func (s *Server) RequireStopped(t testing.TB, limit int) {
	t.Helper()
	s.RequireClosed(t)
	require.Less(t, s.sent.Load(), int64(limit)+NetworkBytes)
}
