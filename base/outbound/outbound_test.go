package outbound

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"dandelionsill.org/base/outbound/outboundtest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var answer = outboundtest.Answer{Status: 200, Fields: map[string]string{"X-Promise": "1"}, Body: "the body of an answer"}

// pieces returns readers of the same bytes, whole and in pieces.
func pieces(raw string) map[string]io.Reader {
	return map[string]io.Reader{
		"whole": strings.NewReader(raw), "bytes": iotest.OneByteReader(strings.NewReader(raw)), "halves": iotest.HalfReader(strings.NewReader(raw)),
	}
}

// readAnswer reads the final answer from a connection.
func readAnswer(r io.Reader) (*http.Response, *Reader, error) {
	answers := newReader(r)
	answers.ExpectAnswer()
	resp, err := answers.ReadResponse(bufio.NewReader(answers), &http.Request{Method: http.MethodGet})
	return resp, answers, err
}

// Failure: a server in trouble sends an answer that is none. Guards against a reader that believes it.
func TestMalformedAnswersAreRefused(t *testing.T) {
	for name, raw := range answer.Malformed() {
		for split, r := range pieces(raw) {
			t.Run(name+"/"+split, func(t *testing.T) {
				_, answers, err := readAnswer(r)
				require.ErrorIs(t, err, ErrMalformed)
				n, err := answers.Read(make([]byte, 1))
				require.Zero(t, n)
				require.ErrorIs(t, err, ErrMalformed, "nothing more of the connection is believed")
			})
		}
	}
}

// Guards against a rule so strict that answers of sound servers are refused.
func TestSoundAnswersAreRead(t *testing.T) {
	forms := answer.SoundVariants()
	forms["usual"] = answer.Sound()
	for name, raw := range forms {
		for split, r := range pieces(raw) {
			t.Run(name+"/"+split, func(t *testing.T) {
				resp, answers, err := readAnswer(r)
				require.NoError(t, err)
				body, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.Equal(t, answer.Body, string(body))
				require.Equal(t, answer.Status, resp.StatusCode)
				require.Equal(t, "1", resp.Header.Get("X-Promise"))
				require.NoError(t, answers.Err())
			})
		}
	}
}

// Failure: bytes that look like a head stand in a body. Guards against a reader that takes them for one.
func TestBodiesAreNotChecked(t *testing.T) {
	body := "HTTP/1.1 000 x\r\nX Y: z\r\n\r\n\n\n\x00"
	for split, first := range pieces(outboundtest.OK(body).Sound()) {
		answers := newReader(io.MultiReader(first, strings.NewReader(outboundtest.OK(body).Sound())))
		buffered := bufio.NewReader(answers)
		for range 2 {
			answers.ExpectAnswer()
			resp, err := answers.ReadResponse(buffered, nil)
			require.NoError(t, err, split)
			got, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, body, string(got))
		}
	}
}

// Failure: a server sends arbitrary bytes. Guards against a head that net/http reads in another way than the rule,
// so that what was checked is not what is believed.
func TestReaderAgreesWithNetHTTP(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 103 x\r\n", "HTTP/1.1 204 x\r\n", "HTTP/1.0 200 OK\n", "Content-Length: 3\r\n", "Transfer-Encoding: chunked\r\n", "A: b\r\n", "A : b\r\n", " c\r\n",
			"\r\n", "\n", "\r", " ", ":", "abc", "3\r\nabc\r\n0\r\n\r\n", "\x00", "Content-Length", "HTTP/1.1 000 x\r\n"}
		raw := "HTTP/1.1 200 OK\r\n" + strings.Join(rapid.SliceOfN(rapid.SampledFrom(parts), 1, 12).Draw(t, "parts"), "")
		resp, answers, err := readAnswer(strings.NewReader(raw))
		if err != nil {
			return
		}
		require.NoError(t, answers.Err())
		head := raw[:len(raw)-len(rest(raw))]
		require.Len(t, resp.Header["Content-Length"], countFields(head, "Content-Length"), "%q", head)
		require.Len(t, resp.TransferEncoding, countFields(head, "Transfer-Encoding"), "%q", head)
		for name, values := range resp.Header {
			require.NoError(t, CheckField(name, strings.Join(values, "")))
		}
	})
}

// countFields returns how many lines of a head are fields of that name.
func countFields(head, name string) int {
	n := 0
	for line := range strings.Lines(head) {
		if strings.HasPrefix(line, name+":") {
			n++
		}
	}
	return n
}

// rest returns what follows the first head in raw.
func rest(raw string) string {
	h := &head{}
	n, done, err := h.read([]byte(raw))
	if err != nil || !done {
		return ""
	}
	return raw[n:]
}

func newClient() *http.Client {
	return &http.Client{Transport: NewTransport(&http.Transport{DisableCompression: true, IdleConnTimeout: outboundtest.MaxWait})}
}

// Failure: the same over a Transport, on a new connection and on one that has served before. Guards against an
// answer that is believed, a connection that is kept, and a request that net/http repeats at the same server.
func TestTransportReturnsNoMalformedAnswer(t *testing.T) {
	for name, raw := range answer.Malformed() {
		for _, reused := range []bool{false, true} {
			server := outboundtest.NewServerFunc(t, func(request int) string {
				if reused && request == 1 {
					return answer.Sound()
				}
				return raw
			})
			client := newClient()
			if reused {
				requireBody(t, client, server)
			}
			resp, err := client.Get(server.URL())
			if err == nil {
				resp.Body.Close()
			}
			require.ErrorIs(t, err, ErrMalformed, name)
			require.Equal(t, map[bool]int{false: 1, true: 2}[reused], server.Requests(), name)
			server.RequireClosed(t)
		}
	}
}

func requireBody(t *testing.T, client *http.Client, server *outboundtest.Server) {
	resp, err := client.Get(server.URL())
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, answer.Body, string(body))
}

// Guards against a transport that opens a connection for each request, or refuses sound answers.
func TestTransportReusesConnections(t *testing.T) {
	for name, raw := range answer.SoundVariants() {
		if name == "HTTP/1.0" {
			continue // ends its connection
		}
		server := outboundtest.NewServer(t, raw)
		client := newClient()
		for range 3 {
			requireBody(t, client, server)
		}
		require.EqualValues(t, 1, server.Connections(), name)
		client.CloseIdleConnections()
	}
}

// Failure: a server answers before it is asked. Guards against an answer that no request asked for.
func TestAnswerBeforeItsRequestIsRefused(t *testing.T) {
	server := outboundtest.NewServer(t, answer.Sound()+answer.Sound())
	client := newClient()
	defer client.CloseIdleConnections()
	requireBody(t, client, server)
	server.RequireClosed(t)
}

// Guards against heads without end, interim ones included, that fill the memory.
func TestHeadsAreBounded(t *testing.T) {
	for name, raw := range map[string]string{
		"line": "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", maxHeadBytes), "lines": "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: x\r\n", maxHeadBytes/6),
		"interim": strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", maxHeadBytes/25+1), "status": "HTTP/1.1 200 " + strings.Repeat("x", maxHeadBytes),
	} {
		_, answers, err := readAnswer(strings.NewReader(raw))
		require.ErrorIs(t, err, ErrMalformed, name)
		require.ErrorContains(t, answers.Err(), "head of over", name)
	}
}

// Guards against a transport whose answers can't be checked.
func TestOtherSchemesAreNotSupported(t *testing.T) {
	client := newClient()
	client.Timeout = time.Minute
	_, err := client.Get("https://127.0.0.1:1/")
	require.ErrorContains(t, err, "not supported")
}

func TestFinalHeads(t *testing.T) {
	for status, ok := range map[int]bool{0: false, 100: false, 101: false, 199: false, 200: true, 599: true, 600: false, -1: false} {
		require.Equal(t, ok, CheckFinalStatus(status) == nil, status)
	}
	require.NoError(t, CheckField("X-A", "b\tc"))
	require.ErrorIs(t, CheckField("X-A ", "b"), ErrMalformed)
	require.ErrorIs(t, CheckField("X-A", "b\n"), ErrMalformed)
}
