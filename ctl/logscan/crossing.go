package logscan

import (
	"cmp"
	"slices"
)

// messageNoPlaceThere is logged by a gateway at most once a second for a service and a region.
const messageNoPlaceThere = "Another region has no place."

type crossingKey struct{ service, region string }

// Crossing counts the requests to a service that got a place in a region because their own had
// none in time.
type Crossing struct {
	Service string `json:"service"`
	Region  string `json:"region"` // where they went
	Refused int    `json:"refused"`
	Queued  int    `json:"queued"`
	Slow    int    `json:"slow"`
	// NoPlace counts the lines that say that the region had no place either.
	NoPlace int `json:"no_place"`
}

// addCrossing counts a line of a gateway about a request that left its region, or could not.
func (p *Places) addCrossing(l *Line) {
	if l.Region == "" || l.Spilled == "" && l.Message != messageNoPlaceThere {
		return
	}
	key := crossingKey{l.Service, l.Region}
	c := p.crossing[key]
	if c == nil {
		if len(p.crossing) >= maxPlaces {
			p.Dropped++
			return
		}
		c = &Crossing{Service: l.Service, Region: l.Region}
		p.crossing[key] = c
	}
	switch {
	case l.Message == messageNoPlaceThere:
		c.NoPlace++
	case l.Spilled == "refused":
		c.Refused++
	case l.Spilled == "queued":
		c.Queued++
	case l.Spilled == "slow":
		c.Slow++
	}
}

// Crossings returns what crossed from region to region, by service and region.
func (p *Places) Crossings() []Crossing {
	list := make([]Crossing, 0, len(p.crossing))
	for _, c := range p.crossing {
		list = append(list, *c)
	}
	slices.SortFunc(list, func(a, b Crossing) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Region, b.Region))
	})
	return list
}
