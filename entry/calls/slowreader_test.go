package calls

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/entry/front"
	"dandelionsill.org/wire/pb"
)

// Guards against a request that is kept forever, with its buffered answer and its slot
// among the caller's concurrent requests; a planned stop would then run into its drain
// timeout. A caller sends a deadline and then freezes, or its link is partitioned, so
// that it reads nothing. The answer is larger than the socket's buffers. The write then
// blocks, and neither the deadline's context nor the server ends it.
func TestRequestOfANonReadingCallerEndsAtItsDeadline(t *testing.T) {
	const pieceSize, pieces = 1 << 20, 32
	s := startEntry(t, Config{MaxBuffer: 2 * pieces * pieceSize}, func(f *fakeAgent, _ *pb.CallOpen, st stream) error {
		sendHead(st, false)
		for range pieces {
			sendBody(st, strings.Repeat("a", pieceSize))
		}
		sendEnd(st, pieces*pieceSize)
		f.ran.Add(1)
		return nil
	})
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "GET /svc/orders/x HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer t\r\n%s: 2000\r\n\r\n", front.HeaderTimeout)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.agents[0].ran.Load() == 1 }, 20*time.Second, time.Millisecond)
	requestEnded := func() bool { return s.fleet.InFlightNow("vm-0") == 0 }
	require.Eventually(t, requestEnded, 15*time.Second, 10*time.Millisecond, "still in flight 13 s after the deadline")
}
