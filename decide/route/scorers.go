package route

// connectCost is the cost of a new connection, in the unit of Scorer: a round trip, and one of
// the server's slots for a short time. It is lower than the cost of two requests at a server
// with six slots, so that load outweighs it.
const connectCost = 0.3

// LoadScore rates a candidate by Candidate.Load per slot, this request included.
type LoadScore struct{}

// Score implements Scorer.
func (LoadScore) Score(_ *Request, c *Candidate) float64 {
	return float64(c.Load()+1) / c.slots()
}

// SpeedScore rates a candidate by LoadScore times the ratio of TypicalRate, in
// tokens/s of one stream, to its own rate. A server whose rate is unknown counts
// as typical.
type SpeedScore struct{ TypicalRate float64 }

// Score implements Scorer.
func (s SpeedScore) Score(r *Request, c *Candidate) float64 {
	score := LoadScore{}.Score(r, c)
	if c.StreamRate <= 0 || s.TypicalRate <= 0 {
		return score
	}
	return score * s.TypicalRate / c.StreamRate
}

// DistanceScore prefers the entry's own failure domain, then its region.
type DistanceScore struct{}

// Score implements Scorer.
func (DistanceScore) Score(_ *Request, c *Candidate) float64 {
	return c.Distance.Cost(0, 0)
}

// ConnectScore prefers servers to which an idle connection exists.
type ConnectScore struct{}

// Score implements Scorer.
func (ConnectScore) Score(_ *Request, c *Candidate) float64 {
	if c.Connected {
		return 0
	}
	return connectCost
}
