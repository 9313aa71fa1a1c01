package route

// Weights of the usual policy, in units of a full server's load.
const (
	// sameRegionCost is small: half a millisecond is worth less than a
	// twentieth of a server's load.
	sameRegionCost = 0.05
	// connectCost is what a new connection costs: a round trip, and a slot of
	// the server for a moment. It is below the cost of two requests at a server
	// of six slots, so that load goes first.
	connectCost = 0.3
	// farCost keeps requests in their region until it is full.
	farCost = 1.0
)

// LoadScore rates by corrected load per slot, this request included.
type LoadScore struct{}

func (LoadScore) Score(_ *Request, c *Candidate) float64 {
	return float64(c.Load()+1) / c.slots()
}

// SpeedScore rates by load, stretched for servers whose streams are slower
// than Typical tokens/s (a server without a known rate counts as typical).
type SpeedScore struct{ TypicalRate float64 }

func (s SpeedScore) Score(r *Request, c *Candidate) float64 {
	score := LoadScore{}.Score(r, c)
	if c.StreamRate <= 0 || s.TypicalRate <= 0 {
		return score
	}
	return score * s.TypicalRate / c.StreamRate
}

// DistanceScore prefers the entry's own failure domain, then its region.
type DistanceScore struct{}

func (DistanceScore) Score(_ *Request, c *Candidate) float64 {
	switch c.Distance {
	case SameDomain:
		return 0
	case SameRegion:
		return sameRegionCost
	default:
		return farCost
	}
}

// ConnectScore prefers servers to which a connection is at hand.
type ConnectScore struct{}

func (ConnectScore) Score(_ *Request, c *Candidate) float64 {
	if c.Connected {
		return 0
	}
	return connectCost
}
