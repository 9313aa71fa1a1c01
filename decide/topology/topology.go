// Package topology says in which region each failure domain lies, and what it costs to send
// a request from one failure domain to another. It does no I/O.
package topology

import (
	"maps"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// Distance is the network distance between two failure domains.
type Distance uint8

const (
	// SameDomain means one failure domain.
	SameDomain Distance = iota
	// SameRegion means two failure domains of one region, or of unknown regions.
	SameRegion
	// OtherRegion means two failure domains of different regions.
	OtherRegion
)

// Topology maps failure domains to regions. It is immutable. The nil pointer is valid and knows
// no region.
type Topology struct {
	regions map[string]string // by failure domain
	names   []string          // of the regions, in order
}

// New returns the topology with the given region of each failure domain.
func New(regions map[string]string) *Topology {
	return &Topology{regions: maps.Clone(regions), names: slices.Compact(slices.Sorted(maps.Values(regions)))}
}

// Parse returns the topology that a list of "failure domain:region" describes.
func Parse(list []string) (*Topology, error) {
	regions := make(map[string]string, len(list))
	for _, entry := range list {
		domain, region, found := strings.Cut(strings.TrimSpace(entry), ":")
		if !found || domain == "" || region == "" {
			return nil, errors.Errorf("%q is not FAILURE_DOMAIN:REGION", entry)
		}
		if other, known := regions[domain]; known && other != region {
			return nil, errors.Errorf("failure domain %q has two regions, %q and %q", domain, other, region)
		}
		regions[domain] = region
	}
	return New(regions), nil
}

// RegionOf returns the region of a failure domain; empty: unknown.
func (t *Topology) RegionOf(domain string) string {
	if t == nil {
		return ""
	}
	return t.regions[domain]
}

// Regions returns the names of all regions in order. They must not be modified.
func (t *Topology) Regions() []string {
	if t == nil {
		return nil
	}
	return t.names
}

// Domains returns the failure domains of a region in order.
func (t *Topology) Domains(region string) []string {
	if t == nil {
		return nil
	}
	var domains []string
	for domain, r := range t.regions {
		if r == region {
			domains = append(domains, domain)
		}
	}
	slices.Sort(domains)
	return domains
}

// HasSeveralRegions reports whether the deployment has more than one region. Everything that
// depends on distances between regions is off where it has not.
func (t *Topology) HasSeveralRegions() bool { return len(t.Regions()) > 1 }

// Distance returns the distance between two failure domains.
func (t *Topology) Distance(a, b string) Distance {
	return Place{Domain: a, Region: t.RegionOf(a)}.Distance(Place{Domain: b, Region: t.RegionOf(b)})
}

// Place is a failure domain and its region; an empty region is unknown.
type Place struct{ Domain, Region string }

// Distance returns the distance between two places.
func (p Place) Distance(other Place) Distance {
	switch {
	case p.Domain == other.Domain:
		return SameDomain
	case p.Region != "" && other.Region != "" && p.Region != other.Region:
		return OtherRegion
	default:
		return SameRegion
	}
}
