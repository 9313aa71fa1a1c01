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
}

// New returns the topology with the given region of each failure domain.
func New(regions map[string]string) *Topology { return &Topology{regions: maps.Clone(regions)} }

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
	return &Topology{regions: regions}, nil
}

// RegionOf returns the region of a failure domain; empty: unknown.
func (t *Topology) RegionOf(domain string) string {
	if t == nil {
		return ""
	}
	return t.regions[domain]
}

// Regions returns the names of all regions in order.
func (t *Topology) Regions() []string {
	if t == nil {
		return nil
	}
	return slices.Compact(slices.Sorted(maps.Values(t.regions)))
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
	switch {
	case a == b:
		return SameDomain
	case t.areApart(a, b):
		return OtherRegion
	default:
		return SameRegion
	}
}

// areApart reports whether two failure domains are known to lie in different regions.
func (t *Topology) areApart(a, b string) bool {
	x, y := t.RegionOf(a), t.RegionOf(b)
	return x != "" && y != "" && x != y
}
