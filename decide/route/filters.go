package route

// Names of the stages in traces, Choice.EmptiedBy and Choice.SkippedStage.
const (
	StageMembers  = "members" // not a filter: the pool has no servers
	StageReady    = "ready"
	StageLeaving  = "leaving"
	StageTried    = "tried"
	StageFresh    = "fresh"
	StageDeadline = "deadline"
	StageEjected  = "ejected"
	StageDomain   = "domain"
	StageCapacity = "capacity"
	StageRoom     = "room"
	StageRegions  = "regions"
)

// Ready keeps servers that accept work according to their latest report.
type Ready struct{}

// Keep implements Filter.
func (Ready) Keep(_ *Request, c *Candidate) bool { return c.Ready }

// NotLeaving drops servers that are leaving.
type NotLeaving struct{}

// Keep implements Filter.
func (NotLeaving) Keep(_ *Request, c *Candidate) bool { return !c.Leaving }

// Untried drops servers that this request was already sent to.
type Untried struct{}

// Keep implements Filter.
func (Untried) Keep(r *Request, c *Candidate) bool { return !r.Tried[c.Name] }

// FreshWeights drops servers whose weights are older than the request's floor.
type FreshWeights struct{}

// Keep implements Filter.
func (FreshWeights) Keep(r *Request, c *Candidate) bool { return c.Version >= r.Floor }

// WithinDeadline drops servers whose estimated queue wait reaches the request's
// deadline. A request that can't meet its deadline is therefore refused before
// it is queued anywhere.
type WithinDeadline struct{}

// Keep implements Filter.
func (WithinDeadline) Keep(r *Request, c *Candidate) bool {
	return r.Remaining == 0 || c.QueueWait < r.Remaining
}

// NotEjected drops servers ejected as outliers. It is a soft stage: when only
// ejected servers are left, a slow answer is better than none.
type NotEjected struct{}

// Keep implements Filter.
func (NotEjected) Keep(_ *Request, c *Candidate) bool { return !c.Ejected }

// OtherDomain drops servers in the failure domain of a server that failed this
// request.
type OtherDomain struct{}

// Keep implements Filter.
func (OtherDomain) Keep(r *Request, c *Candidate) bool { return !r.TriedDomains[c.FailureDomain] }

// HasFreeSlot keeps servers with a free slot.
type HasFreeSlot struct{}

// Keep implements Filter.
func (HasFreeSlot) Keep(_ *Request, c *Candidate) bool { return c.Load() < max(1, c.Slots) }

// HasRoom drops servers without room for the request's body.
type HasRoom struct{}

// Keep implements Filter.
func (HasRoom) Keep(_ *Request, c *Candidate) bool { return !c.Full }

// InRegions keeps servers in the request's allowed regions.
type InRegions struct{}

// Keep implements Filter.
func (InRegions) Keep(r *Request, c *Candidate) bool { return r.Regions.Allows(c.Region) }

// HardStages returns the filters that are never skipped, in order. If one leaves
// no candidate, the request is refused.
func HardStages() []Stage {
	return []Stage{
		{Name: StageReady, Filter: Ready{}},
		{Name: StageLeaving, Filter: NotLeaving{}},
		{Name: StageTried, Filter: Untried{}},
		{Name: StageFresh, Filter: FreshWeights{}},
		{Name: StageDeadline, Filter: WithinDeadline{}},
	}
}

// SoftStages returns the filters that are skipped when they would leave no
// candidate.
func SoftStages() []Stage {
	return []Stage{
		{Name: StageEjected, Filter: NotEjected{}, Soft: true},
		{Name: StageDomain, Filter: OtherDomain{}, Soft: true},
	}
}
