package table

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"unicode"
)

// KeyHash is the digest of a caller's key. Keys themselves are kept nowhere.
type KeyHash [sha256.Size]byte

// HashKey returns the digest of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// shortHashBytes is how many bytes of a digest name a key in logs.
const shortHashBytes = 4

// String names the key in logs, where the key must not stand.
func (h KeyHash) String() string { return hex.EncodeToString(h[:shortHashBytes]) }

// Organisation is a set of callers that share keys.
type Organisation struct {
	Name string
	// Priority goes before that of a route; nil: the organisation has none.
	Priority *int
	Keys     []KeyHash
}

// Directory tells which organisation holds a key. It never changes once built.
type Directory struct {
	byKey map[KeyHash]*Organisation
}

// NewDirectory builds a directory, and tells what is left out of it and why: a name
// that can't stand in a header, and a key that two organisations share, for whichever
// it was taken for could be the wrong one. Their callers are refused.
func NewDirectory(organisations []Organisation) (*Directory, []string) {
	d := &Directory{byKey: map[KeyHash]*Organisation{}}
	var ignored []string
	shared := map[KeyHash]bool{}
	for i := range organisations {
		o := &organisations[i]
		if !isHeaderSafe(o.Name) {
			ignored = append(ignored, fmt.Sprintf("organisation %q: the name can't be told to a server", o.Name))
			continue
		}
		for _, key := range o.Keys {
			switch other := d.byKey[key]; {
			case key == emptyKeyHash:
				ignored = append(ignored, fmt.Sprintf("organisation %s: a key is empty", o.Name))
			case other != nil && other != o && !shared[key]:
				shared[key] = true
				ignored = append(ignored, fmt.Sprintf("organisations %s and %s share key %v", other.Name, o.Name, key))
			default:
				d.byKey[key] = o
			}
		}
	}
	for key := range shared {
		delete(d.byKey, key)
	}
	return d, ignored
}

var emptyKeyHash = HashKey("")

// isHeaderSafe tells whether a name can be sent in a header as it is.
func isHeaderSafe(name string) bool {
	return name != "" && strings.TrimSpace(name) == name && !strings.ContainsFunc(name, func(r rune) bool { return unicode.IsControl(r) || r > unicode.MaxASCII })
}

// Find returns the organisation that holds a key; nil: none does.
func (d *Directory) Find(key KeyHash) *Organisation { return d.byKey[key] }
