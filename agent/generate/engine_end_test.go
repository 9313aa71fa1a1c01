package generate

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/adapters/httpengine"
	"dandelionsill.org/kinds"
)

// An engine ends under a sample: its stream breaks and its VM refuses connections. The
// entry is told which start of it ended. An engine that only broke the stream off lives,
// and its agent tells of no end.
func TestEngineEndIsReported(t *testing.T) {
	b := newTestBench(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, lis.Close())
	refusingEngine := httpengine.New("http://"+lis.Addr().String(), "vm1")
	defer refusingEngine.Close()
	for _, engineEnded := range []bool{false, true} {
		c, s := b.startStream(sampleRequest("s", nil))
		if engineEnded {
			b.engine.setStateSource(refusingEngine)
		}
		close(s.chunks)
		refusal := c.refusal()
		require.Equal(t, string(kinds.SampleDiscarded), refusal.GetKind())
		require.Equal(t, engineEnded, refusal.GetEnded() != "", refusal.GetEnded())
	}
}
