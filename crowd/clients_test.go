package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Size of a crowd and of what a client sends. A head of legalHead bytes is within the limit that the tests configure.
const (
	clients     = 150
	idleClients = 2 * maxFiles
	rounds      = 2 // connections that a client makes, one after the other
	legalHead   = 15_900
	headLimit   = 16_384
	endless     = 8 << 20 // bytes after which an endless sender stops

	crowdTime = 5 * time.Second // in which all rounds end
	holdTime  = time.Second
)

// form is one way in which clients misuse a connection.
type form struct {
	name string
	// send writes to a connection until it fails or all is written.
	send func(conn io.Writer, target string, id string)
	// unread clients read no answers.
	unread bool
}

// target is the request line and the headers of a request that a listener serves.
type target struct {
	method, path, host string
	headers            string // complete lines
}

// head returns the beginning of a head without the empty line at its end.
func (g target) head(id string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s", g.method, g.path, g.host, strings.ReplaceAll(g.headers, "{id}", id))
}

// fill returns lines that line makes, up to legalHead bytes together with head.
func fill(head string, line func(i int) string) string {
	var b strings.Builder
	b.WriteString(head)
	for i := 0; ; i++ {
		next := line(i)
		if b.Len()+len(next)+2 > legalHead {
			return b.String()
		}
		b.WriteString(next)
	}
}

func distinctLine(i int) string { return strconv.FormatInt(int64(i), 36) + ":\r\n" }
func sameLine(int) string       { return "a:\r\n" }
func listItem(i int) string     { return strconv.FormatInt(int64(i), 36) + "," }

// repeat writes piece until limit bytes are written or the connection fails.
func repeat(conn io.Writer, piece string, limit int) {
	block := bytes.Repeat([]byte(piece), max(1, (32<<10)/len(piece)))
	for written := 0; written < limit; written += len(block) {
		if _, err := conn.Write(block); err != nil {
			return
		}
	}
}

// forms returns all forms for requests that a listener serves.
func forms() []form {
	send := func(f func(head string) string) func(io.Writer, string, string) {
		return func(conn io.Writer, head, _ string) { _, _ = io.WriteString(conn, f(head)) }
	}
	chunked := func(head string) string { return head + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n" }
	return []form{
		{name: "ShortLines", send: send(func(head string) string { return fill(head, distinctLine) + "\r\n" })},
		{name: "ShortLinesUnfinished", send: send(func(head string) string { return fill(head, distinctLine) })},
		{name: "SameLines", send: send(func(head string) string { return fill(head, sameLine) + "\r\n" })},
		{name: "ContinuationLines", send: send(func(head string) string {
			return fill(head+"a: b\r\n", func(int) string { return " c\r\n" }) + "\r\n"
		})},
		{name: "BareLineFeeds", send: send(func(head string) string {
			return fill(strings.ReplaceAll(head, "\r\n", "\n"), func(i int) string { return strconv.FormatInt(int64(i), 36) + ":\n" }) + "\n"
		})},
		{name: "EndlessLines", send: func(conn io.Writer, head, _ string) {
			_, _ = io.WriteString(conn, head)
			repeat(conn, "a:\r\n", endless)
		}},
		{name: "EndlessLine", send: func(conn io.Writer, head, _ string) {
			_, _ = io.WriteString(conn, head+"a: ")
			repeat(conn, "b", endless)
		}},
		{name: "EndlessRequestLine", send: func(conn io.Writer, _, _ string) { repeat(conn, "G", endless) }},
		{name: "EndlessEmptyLines", send: func(conn io.Writer, _, _ string) { repeat(conn, "\r\n", endless) }},
		{name: "Trailers", send: send(func(head string) string { return chunked(head) + "0\r\n" + trailerLines() })},
		{name: "EndlessTrailers", send: func(conn io.Writer, head, _ string) {
			_, _ = io.WriteString(conn, chunked(head)+"0\r\n")
			repeat(conn, "a:\r\n", endless)
		}},
		{name: "EndlessChunkExtension", send: func(conn io.Writer, head, _ string) {
			_, _ = io.WriteString(conn, head+"Transfer-Encoding: chunked\r\n\r\n1;")
			repeat(conn, "a", endless)
		}},
		{name: "SmallChunks", send: func(conn io.Writer, head, _ string) {
			_, _ = io.WriteString(conn, head+"Transfer-Encoding: chunked\r\n\r\n")
			repeat(conn, "1\r\nx\r\n", endless)
		}},
		{name: "Pipelined", unread: true, send: func(conn io.Writer, head, _ string) {
			repeat(conn, head+"Content-Length: 0\r\n\r\n", endless)
		}},
		{name: "PipelinedShortLines", unread: true, send: func(conn io.Writer, head, _ string) {
			_, _ = io.WriteString(conn, head+"Content-Length: 0\r\n\r\n")
			repeat(conn, fill(head+"Content-Length: 0\r\n", distinctLine)+"\r\n", endless)
		}},
		{name: "BodyWithoutEnd", send: func(conn io.Writer, head, _ string) {
			_, _ = io.WriteString(conn, head+"Content-Length: 1000000\r\n\r\n")
			repeat(conn, "x", 900_000)
		}},
		{name: "LongQuery", send: send(func(head string) string {
			query := fill(head, func(i int) string { return strconv.FormatInt(int64(i), 36) + "&" })[len(head):]
			return strings.Replace(head, " HTTP/1.1", "?"+query+" HTTP/1.1", 1) + "\r\n"
		})},
		{name: "ListInField", send: send(func(head string) string { return fill(head+"Connection: ", listItem) + "\r\n\r\n" })},
		{name: "TrailerNames", send: send(func(head string) string {
			return fill(head+"Transfer-Encoding: chunked\r\nTrailer: ", listItem) + "\r\n\r\n1\r\nx\r\n"
		})},
		{name: "NoBodyAfterExpect", send: send(func(head string) string {
			return head + "Expect: 100-continue\r\nContent-Length: 1000000\r\n\r\n"
		})},
		{name: "ChunkWithoutEnd", send: func(conn io.Writer, head, _ string) {
			_, _ = io.WriteString(conn, head+"Transfer-Encoding: chunked\r\n\r\nf4240\r\n")
			repeat(conn, "x", 900_000)
		}},
		{name: "LargeBodies", send: func(conn io.Writer, head, _ string) {
			_, _ = io.WriteString(conn, head+"Content-Length: 917504\r\n\r\n")
			repeat(conn, "x", 917_504)
		}},
		{name: "HTTP2Preface", send: func(conn io.Writer, _, _ string) {
			_, _ = io.WriteString(conn, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
			repeat(conn, "\x00\x00\x01\x01\x00\x00\x00\x00\x01a", endless)
		}},
		{name: "BodyTooLarge", send: func(conn io.Writer, head, _ string) {
			_, _ = io.WriteString(conn, head+"Content-Length: 1000000000\r\n\r\n")
			repeat(conn, "x", endless)
		}},
	}
}

// shortForms returns those forms that need no request that a listener serves.
func shortForms() []form {
	return named("ShortLinesUnfinished", "SameLines", "EndlessLines", "LongQuery", "Pipelined")
}

// bodyForms returns those forms that matter to handlers that read a body or a query.
func bodyForms() []form {
	return named("LongQuery", "TrailerNames", "BodyWithoutEnd", "ChunkWithoutEnd", "LargeBodies", "BodyTooLarge")
}

func named(names ...string) []form {
	return slices.DeleteFunc(forms(), func(f form) bool { return !slices.Contains(names, f.name) })
}

// trailerLines returns a trailer as large as net/http reads one.
func trailerLines() string {
	const maxTrailer = 4000
	var b strings.Builder
	for i := 0; b.Len() < maxTrailer; i++ {
		b.WriteString(distinctLine(i))
	}
	return b.String() + "\r\n"
}

// crowd sends a form to a listener by many clients at once, each over several connections, and returns when all have
// ended.
func crowd(t *testing.T, f form, addr string, g target) {
	t.Helper()
	end := time.Now().Add(crowdTime)
	var all sync.WaitGroup
	for range clients {
		all.Go(func() {
			for range rounds {
				id := strconv.FormatUint(nextID.Add(1), 36)
				useConn(addr, f, g.head(id), id, end)
			}
		})
	}
	all.Wait()
}

var nextID atomic.Uint64

// useConn uses one connection: it sends and then reads until the other side closes it or holdTime is over.
func useConn(addr string, f form, head, id string, end time.Time) {
	conn, err := net.DialTimeout("tcp", addr, holdTime)
	if err != nil {
		return // a refusal, as any that is seen later
	}
	defer func() { _ = conn.Close() }()
	deadline := time.Now().Add(holdTime)
	if end.Before(deadline) {
		deadline = end
	}
	_ = conn.SetDeadline(deadline)
	if f.unread {
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		f.send(conn, head, id)
		<-time.After(time.Until(deadline))
		return
	}
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, _ = io.Copy(io.Discard, conn)
	}()
	f.send(conn, head, id)
	<-read
}

// openIdle opens connections that send first and then nothing, and holds them for a while.
func openIdle(t *testing.T, addr, first string) {
	t.Helper()
	var conns []net.Conn
	for range idleClients {
		conn, err := net.DialTimeout("tcp", addr, holdTime)
		if err != nil {
			break // refused
		}
		_, _ = io.WriteString(conn, first)
		conns = append(conns, conn)
	}
	<-time.After(holdTime)
	for _, conn := range conns {
		require.NoError(t, conn.Close())
	}
}
