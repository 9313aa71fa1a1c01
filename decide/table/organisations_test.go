package table

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func keys(list ...string) []KeyHash {
	var hashes []KeyHash
	for _, key := range list {
		hashes = append(hashes, HashKey(key))
	}
	return hashes
}

func findName(d *Directory, key string) string {
	if o := d.Find(HashKey(key)); o != nil {
		return o.Name
	}
	return ""
}

func TestFindReturnsTheOrganisationOfAKey(t *testing.T) {
	d, ignored := NewDirectory([]Organisation{{Name: "a", Keys: keys("a1", "a2", "a2")}, {Name: "b", Keys: keys("b1")}, {Name: "none"}})
	require.Empty(t, ignored)
	for key, name := range map[string]string{"a1": "a", "a2": "a", "b1": "b", "": "", "c": "", "none": ""} {
		require.Equal(t, name, findName(d, key), key)
	}
}

// Guards against a caller that an ambiguous configuration attributes to another
// organisation, and against the loss of the valid parts of such a configuration.
func TestInvalidNamesAndKeysAreIgnored(t *testing.T) {
	d, ignored := NewDirectory([]Organisation{
		{Name: "a", Keys: keys("a1", "shared", "")}, {Name: "b", Keys: keys("shared", "b1")}, {Name: "c", Keys: keys("shared")},
		{Name: "line\r\nbreak", Keys: keys("l1")}, {Name: "", Keys: keys("n1")},
	})
	require.Len(t, ignored, 4)
	for key, name := range map[string]string{"a1": "a", "b1": "b", "shared": "", "": "", "l1": "", "n1": ""} {
		require.Equal(t, name, findName(d, key), key)
	}
	for _, why := range ignored {
		require.NotContains(t, why, "\n")
		require.NotContains(t, why, "key shared")
	}
}

// BenchmarkFind measures time and allocations of the lookup by a request's key.
func BenchmarkFind(b *testing.B) {
	for _, organisations := range []int{87, 10_000} {
		const each = 4
		list := make([]Organisation, organisations)
		var all []string
		for i := range list {
			list[i].Name = fmt.Sprint("organisation", i)
			for j := range each {
				all = append(all, fmt.Sprintf("key-%d-of-%012d", j, i))
				list[i].Keys = append(list[i].Keys, HashKey(all[len(all)-1]))
			}
		}
		d, _ := NewDirectory(list)
		b.Run(fmt.Sprint("organisations=", organisations), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if d.Find(HashKey(all[i%len(all)])) == nil {
					b.Fatal("not found")
				}
			}
		})
	}
}
