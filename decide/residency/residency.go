// Package residency says in which regions a request may be served, and its body be sent to a
// process, cached or stored. It does no I/O.
package residency

import (
	"slices"
	"strings"
)

// Regions is a set of allowed regions. The zero value allows every region.
type Regions struct {
	restricted bool
	names      []string // sorted
}

// Only returns the set of the named regions; without names, every region is allowed.
func Only(names []string) Regions {
	if len(names) == 0 {
		return Regions{}
	}
	return Regions{restricted: true, names: slices.Compact(slices.Sorted(slices.Values(names)))}
}

// And returns the regions that both sets allow. It may allow none.
func (r Regions) And(other Regions) Regions {
	switch {
	case !r.restricted:
		return other
	case !other.restricted:
		return r
	}
	both := Regions{restricted: true}
	for _, name := range r.names {
		if other.Allows(name) {
			both.names = append(both.names, name)
		}
	}
	return both
}

// Binding returns the regions in which work may be served now that was accepted under earlier
// ones: those that both allow. If there are none, the newer ones bind, as the earlier ones are no
// longer in force and the work could not be served anywhere.
func Binding(earlier, now Regions) Regions {
	if both := earlier.And(now); !both.AllowsNone() {
		return both
	}
	return now
}

// Allows reports whether a region is allowed. An unknown region, "", is allowed only if every
// region is.
func (r Regions) Allows(region string) bool {
	return !r.restricted || region != "" && slices.Contains(r.names, region)
}

// IsRestricted reports whether some region may not be allowed.
func (r Regions) IsRestricted() bool { return r.restricted }

// AllowsNone reports whether no region is allowed.
func (r Regions) AllowsNone() bool { return r.restricted && len(r.names) == 0 }

// Names returns the allowed regions in order; nil if every region is allowed, or none is.
func (r Regions) Names() []string { return slices.Clone(r.names) }

// String describes the set in logs.
func (r Regions) String() string {
	switch {
	case !r.restricted:
		return "any"
	case len(r.names) == 0:
		return "none"
	default:
		return strings.Join(r.names, ",")
	}
}
