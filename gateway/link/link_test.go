package link

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestBytesByKind(t *testing.T) {
	Record(Samples, 5)
	Record(Samples, 7)
	Record(Texts, -1)
	require.Equal(t, map[string]int64{"requests": 0, "samples": 12, "texts": 0}, Bytes())
}
