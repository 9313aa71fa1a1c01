package fanout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Load: a key is written, removed and written again with the same value, as by evacuations in quick series.
// Guards against a child that misses the second value because it repeats the first, or that starts and gets a
// list with a key that was removed.
func TestBufferServesAKeyThatIsRemovedAndWrittenAgain(t *testing.T) {
	b := buffer{keyOf: splitPair, isRepeat: isSameWord}
	b.replaceNewest(pageOf(0, "c=1"), time.Second)
	list := func() []string {
		page, ok := b.readNewest(time.Second)
		require.True(t, ok)
		return dataOf(page)
	}
	b.add(1, pageOf(1, "x={}", "x="), time.Second)
	require.Equal(t, []string{"c=1"}, list())
	b.add(3, pageOf(3, "x={}"), time.Second)
	require.ElementsMatch(t, []string{"c=1", "x={}"}, list())
	page, ok := b.read(time.Second, 1, 100)
	require.True(t, ok)
	require.Equal(t, []string{"x={}", "x=", "x={}"}, dataOf(page))
	b.add(4, pageOf(4, "x={}"), time.Second) // asked for twice
	page, _ = b.read(time.Second, 1, 100)
	require.Len(t, page.Records, 3)
	require.EqualValues(t, 5, page.Next)
}
