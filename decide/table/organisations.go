package table

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"unicode"

	"dandelionsill.org/decide/residency"
)

// KeyHash is the digest of a caller's key. The keys themselves are not stored.
type KeyHash [sha256.Size]byte

// HashKey returns the digest of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// shortHashBytes is how many bytes of a digest identify a key in logs.
const shortHashBytes = 4

// String returns a prefix of the digest in hexadecimal. It identifies the key in logs,
// which must not contain the key.
func (h KeyHash) String() string { return hex.EncodeToString(h[:shortHashBytes]) }

// Organisation is a group of callers that share keys.
type Organisation struct {
	Name string
	// Priority overrides the priority of the route; nil: the organisation has none.
	Priority *int
	Keys     []KeyHash
	// Regions are the regions in which the organisation's requests may be served.
	Regions residency.Regions
}

// PriorityOr returns the organisation's priority, or the route's if it has none.
func (o *Organisation) PriorityOr(ofRoute int) int {
	if o.Priority != nil {
		return *o.Priority
	}
	return ofRoute
}

// Directory maps keys to organisations. It is immutable once built.
type Directory struct {
	byKey map[KeyHash]*Organisation
	// regions holds the allowed regions of the organisations that have some, by name.
	regions map[string]residency.Regions
}

// NewDirectory builds a directory and returns a description of each part of the
// configuration that it ignores: an organisation whose name can't be sent in a header, an
// empty key, and a key that two organisations share, because either of them could be the
// wrong one. Callers with such keys are refused.
func NewDirectory(organisations []Organisation) (*Directory, []string) {
	d := &Directory{byKey: map[KeyHash]*Organisation{}, regions: map[string]residency.Regions{}}
	var ignored []string
	shared := map[KeyHash]bool{}
	for i := range organisations {
		o := &organisations[i]
		if !isHeaderSafe(o.Name) {
			ignored = append(ignored, fmt.Sprintf("organisation %q: the name can't be told to a server", o.Name))
			continue
		}
		if o.Regions.IsRestricted() {
			d.regions[o.Name] = d.regions[o.Name].And(o.Regions)
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

// isHeaderSafe reports whether a name can be sent in a header without encoding.
func isHeaderSafe(name string) bool {
	return name != "" && strings.TrimSpace(name) == name && !strings.ContainsFunc(name, func(r rune) bool { return unicode.IsControl(r) || r > unicode.MaxASCII })
}

// Find returns the organisation that a key belongs to; nil: the key is unknown.
func (d *Directory) Find(key KeyHash) *Organisation { return d.byKey[key] }

// RegionsOf returns the allowed regions of an organisation; every region is allowed for one that
// is not known. The nil pointer is valid and knows none.
func (d *Directory) RegionsOf(organisation string) residency.Regions {
	if d == nil || organisation == "" {
		return residency.Regions{}
	}
	return d.regions[organisation]
}

// HasRegions reports whether any organisation has allowed regions. The nil pointer is valid.
func (d *Directory) HasRegions() bool { return d != nil && len(d.regions) > 0 }
