package front_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/base/budget"
	"dandelionsill.org/gateway/front"
	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// newBoundedFront is newFront with a budget of total bytes; bodies and answers have a quarter of it each. Its
// routes have no short timeouts.
func newBoundedFront(t *testing.T, pf *gatewaytest.Platform, total int64) (*front.Front, string) {
	f, url := newFront(t, pf)
	cfg := hostedtest.Config(2)
	for _, r := range cfg["routes"].([]map[string]any) {
		r["timeout_ms"] = gatewaytest.MaxWait.Milliseconds()
	}
	pf.Store.Put(hostedtest.TopicOperator, "config", cfg)
	require.Eventually(t, func() bool { return f.View.Current().Table.Version == 2 }, gatewaytest.MaxWait, time.Millisecond)
	b := budget.New(total)
	f.ReadTime = 5 * time.Second // enough for readers that read, and less than tests wait
	f.Bodies, f.Forward.Answers = b.Share("bodies", total/4), b.Share("answers", total/4)
	return f, url
}

// waitEmpty waits until nothing is held for requests any more.
func waitEmpty(t testing.TB, f *front.Front) {
	require.Eventually(t, func() bool { return f.InFlight() == 0 && f.Bodies.InUse() == 0 && f.Forward.Answers.InUse() == 0 }, gatewaytest.MaxWait, time.Millisecond)
}

// post sends a body, with its length or in chunks, and returns the response without its body; nil on failure.
func post(url, id string, body []byte, chunked bool) *http.Response {
	var from io.Reader = bytes.NewReader(body)
	if chunked {
		from = io.MultiReader(from) // hides the length
	}
	r, err := http.NewRequest(http.MethodPost, url+"/score/x", from)
	if err != nil {
		return nil
	}
	r.Host = "app.example"
	r.Header.Set(hostedtest.HeaderAttempt, id)
	r.Header.Set(hostedtest.HeaderDeadline, "20000")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp
}

func requireNotRun(t *testing.T, resp *http.Response) {
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, "1", resp.Header.Get(hostedtest.HeaderNotExecuted))
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
}

// Load: a dozen callers send bodies of 1 MB at once to a slow server, through a gateway that has room for four. What
// has no room is refused at once and does not run, the others run, and a small request is served meanwhile.
func TestLargeBodiesStayWithinBudget(t *testing.T) {
	// Of the quarter that answers have, bodies can take nothing.
	const roomForFour = (4<<20 + 64<<10) * 4 / 3
	for name, chunked := range map[string]bool{"length told": false, "in chunks": true} {
		t.Run(name, func(t *testing.T) {
			pf := gatewaytest.NewPlatform(t, 0, 1)
			f, url := newBoundedFront(t, pf, roomForFour)
			gate := make(chan struct{})
			arrived := make(chan string, 24) // with hedges
			replaceServers(t, pf, f, func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				if len(body) > 1000 {
					arrived <- r.Header.Get(hostedtest.HeaderAttempt)
					<-gate
				}
				sealed(w, r)
				_, _ = io.WriteString(w, "ok")
			})
			responses := make(chan *http.Response, 12)
			for i := range 12 {
				go func() { responses <- post(url, fmt.Sprint("r", i), bytes.Repeat([]byte("b"), 1_000_000), chunked) }()
			}
			running := map[string]bool{}
			for refused := 0; refused+len(running) < 12; {
				select {
				case id := <-arrived:
					running[id] = true
				case resp := <-responses:
					requireNotRun(t, resp)
					refused++
				}
			}
			require.Equal(t, 200, post(url, "small", []byte("b"), chunked).StatusCode)
			require.LessOrEqual(t, f.Bodies.InUse(), int64(roomForFour))
			close(gate)
			for range running {
				require.Equal(t, 200, (<-responses).StatusCode)
			}
			require.NotEmpty(t, running)
			require.LessOrEqual(t, len(running), 4)
			if !chunked { // two bodies of unknown length can take the room from each other while both grow
				require.Len(t, running, 4)
			}
			waitEmpty(t, f)
		})
	}
}

// sendPart sends the head of a request with a body of length bytes and only a part of it, and returns
// the answer.
func sendPart(t *testing.T, url string, length, part, deadlineMS int) *http.Response {
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST /write/x HTTP/1.1\r\nHost: app.example\r\n%s: r\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		hostedtest.HeaderAttempt, hostedtest.HeaderDeadline, deadlineMS, length, strings.Repeat("b", part))
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	return resp
}

// Guards against a refusal that waits for the rest of a body, which may never come, and against a
// connection on which that rest is taken for the next request.
func TestRefusalDoesNotWaitForBody(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 1)
	f, url := newBoundedFront(t, pf, 2000)
	require.True(t, f.Bodies.Acquire(100))
	resp := sendPart(t, url, 1500, 10, 20000)
	requireNotRun(t, resp)
	require.True(t, resp.Close)
	f.Bodies.Release(100)
	resp = sendPart(t, url, 1<<20+1, 10, 20000)
	require.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
	require.Empty(t, pf.Servers[0].Arrivals())
	waitEmpty(t, f)
}

// Guards against room that is taken for good by callers who never send what they have announced.
func TestBodyThatDoesNotArriveGivesItsRoomBack(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 1)
	f, url := newBoundedFront(t, pf, 1<<20)
	requireNotRun(t, sendPart(t, url, 2000, 10, 200))
	waitEmpty(t, f)
	require.Empty(t, pf.Servers[0].Arrivals())
}

// Bodies beyond the configured limit are too large, also if their length is not told; they are not refused as if a
// retry could help.
func TestTooLargeBodyWithBudget(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 1)
	f, url := newBoundedFront(t, pf, 64<<20)
	for _, chunked := range []bool{false, true} {
		require.Equal(t, http.StatusRequestEntityTooLarge, post(url, "r", make([]byte, 1<<20+1), chunked).StatusCode)
		require.Equal(t, 200, post(url, "r", make([]byte, 1<<20), chunked).StatusCode)
	}
	waitEmpty(t, f)
}

// Guards against a caller who is told to try again with a body that never fits: the largest body that the default limit
// allows is served on the smallest VM, a quarter of whose budget is guaranteed to answers and an eighth to texts, and
// what is larger than all that the VM may hold is too large.
func TestLargestBodyOnSmallVM(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 1)
	f, url := newBoundedFront(t, pf, 0)
	cfg := hostedtest.Config(3)
	cfg["limits"] = map[string]any{"max_body_bytes": 64 << 20}
	for _, r := range cfg["routes"].([]map[string]any) {
		r["timeout_ms"] = gatewaytest.MaxWait.Milliseconds()
	}
	pf.Store.Put(hostedtest.TopicOperator, "config", cfg)
	require.Eventually(t, func() bool { return f.View.Current().Table.Version == 3 }, gatewaytest.MaxWait, time.Millisecond)
	replaceServers(t, pf, f, func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		sealed(w, r)
		_, _ = fmt.Fprint(w, n)
	})
	const total = 43_200_000
	b := budget.New(total)
	f.Bodies, f.Forward.Answers = b.Share("bodies", total/4), b.Share("answers", total/4)
	require.True(t, b.Share("texts", total/8).Acquire(total/8))
	for _, chunked := range []bool{false, true} {
		require.Equal(t, 200, post(url, "large", make([]byte, 32<<20), chunked).StatusCode)
		require.Equal(t, http.StatusRequestEntityTooLarge, post(url, "larger", make([]byte, 36<<20), chunked).StatusCode)
	}
	waitEmpty(t, f)
}

// Guards against a refusal that is lost, so that the caller can't know that its request did not run: a caller that reads
// only once it has sent all of its body gets the refusal as well.
func TestCallerThatSendsAllFirstGetsItsRefusal(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 1)
	f, url := newBoundedFront(t, pf, 1<<20)
	require.True(t, f.Bodies.Acquire(1))
	const length = 1 << 20 * 3 / 4
	for _, chunked := range []bool{false, true} {
		conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		require.NoError(t, err)
		require.NoError(t, conn.(*net.TCPConn).SetWriteBuffer(4096))
		r, err := http.NewRequest(http.MethodPost, "http://app.example/write/x", io.LimitReader(slowZeros{}, length))
		require.NoError(t, err)
		r.Header.Set(hostedtest.HeaderAttempt, "r")
		if !chunked {
			r.ContentLength = length
		}
		require.NoError(t, r.Write(conn))
		resp, err := http.ReadResponse(bufio.NewReader(conn), r)
		require.NoError(t, err)
		requireNotRun(t, resp)
		require.NoError(t, conn.Close())
	}
	f.Bodies.Release(1)
	waitEmpty(t, f)
}

// slowZeros is a source that takes 40 ms for each piece, for a body longer than net/http waits after an answer.
type slowZeros struct{}

func (slowZeros) Read(p []byte) (int, error) {
	time.Sleep(40 * time.Millisecond)
	return len(p), nil
}
