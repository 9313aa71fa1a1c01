package generate

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/adapters/httpengine"
	"dandelionsill.org/kinds"
)

// An engine ends while it runs a sample: its stream breaks and its VM refuses
// connections. The refusal names the engine's incarnation that ended. If only
// the stream breaks while the engine keeps running, the refusal names none.
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
