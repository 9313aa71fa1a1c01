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
func TestEndOfTheEngineIsTold(t *testing.T) {
	b := newBench(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, lis.Close())
	gone := httpengine.New("http://"+lis.Addr().String(), "vm1")
	defer gone.Close()
	for _, ended := range []bool{false, true} {
		c, s := b.running(sample("s", nil))
		if ended {
			b.engine.setState(gone)
		}
		close(s.chunks)
		refused := c.refused()
		require.Equal(t, string(kinds.SampleDiscarded), refused.GetKind())
		require.Equal(t, ended, refused.GetEnded() != "", refused.GetEnded())
	}
}
