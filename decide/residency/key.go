package residency

import (
	"fmt"
	"strconv"
	"strings"
)

// separator stands between the regions of a key, escape before the code of a byte that is not
// a letter, digit or hyphen.
const (
	separator = '.'
	escape    = '_'
)

// Key returns a name of the set that differs for each set and consists of letters, digits,
// hyphens, dots and underscores; empty if every region is allowed. It must not be called if none is.
func (r Regions) Key() string {
	var key strings.Builder
	for i, name := range r.names {
		if i > 0 {
			key.WriteByte(separator)
		}
		for _, b := range []byte(name) {
			if isPlain(b) {
				key.WriteByte(b)
			} else {
				fmt.Fprintf(&key, "%c%02x", escape, b)
			}
		}
	}
	return key.String()
}

func isPlain(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || b == '-'
}

// ParseKey returns the set with a key. A key that Key does not return gives a set that allows no
// region, so that nothing is sent where it may not be.
func ParseKey(key string) Regions {
	if key == "" {
		return Regions{}
	}
	var names []string
	for part := range strings.SplitSeq(key, string(separator)) {
		name, ok := unescape(part)
		if !ok {
			return Regions{restricted: true}
		}
		names = append(names, name)
	}
	return Only(names)
}

func unescape(part string) (name string, ok bool) {
	var out []byte
	for i := 0; i < len(part); i++ {
		if part[i] != escape {
			out = append(out, part[i])
			continue
		}
		if len(part) < i+3 {
			return "", false
		}
		b, err := strconv.ParseUint(part[i+1:i+3], 16, 8)
		if err != nil {
			return "", false
		}
		out = append(out, byte(b))
		i += 2
	}
	return string(out), len(out) > 0
}
