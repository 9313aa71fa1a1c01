package route

// Names of the stages, as they stand in traces and in Choice.Emptied.
const (
	StageMembers  = "members" // the pool is empty
	StageReady    = "ready"
	StageLeaving  = "leaving"
	StageTried    = "tried"
	StageFresh    = "fresh"
	StageDeadline = "deadline"
	StageEjected  = "ejected"
	StageDomain   = "domain"
	StageCapacity = "capacity"
)

// Ready keeps servers that take work by their own last report.
type Ready struct{}

func (Ready) Keep(_ *Request, c *Candidate) bool { return c.Ready }

// NotLeaving drops servers that are leaving.
type NotLeaving struct{}

func (NotLeaving) Keep(_ *Request, c *Candidate) bool { return !c.Leaving }

// Untried drops servers that had their turn with this request.
type Untried struct{}

func (Untried) Keep(r *Request, c *Candidate) bool { return !r.Tried[c.Name] }

// FreshWeights drops servers whose weights are older than the request's floor.
type FreshWeights struct{}

func (FreshWeights) Keep(r *Request, c *Candidate) bool { return c.Version >= r.Floor }

// WithinDeadline drops servers whose queue alone outlasts the request's deadline, so
// that what can't be met is refused before it waits anywhere.
type WithinDeadline struct{}

func (WithinDeadline) Keep(r *Request, c *Candidate) bool {
	return r.Remaining == 0 || c.QueueWait < r.Remaining
}

// NotEjected drops outliers. It is used as a soft stage: when only ejected
// servers are left, a slow answer is better than none.
type NotEjected struct{}

func (NotEjected) Keep(_ *Request, c *Candidate) bool { return !c.Ejected }

// OtherDomain drops servers that share a failure domain with one that failed.
type OtherDomain struct{}

func (OtherDomain) Keep(r *Request, c *Candidate) bool { return !r.TriedDomains[c.FailureDomain] }

// HasFreeSlot keeps servers with a free slot.
type HasFreeSlot struct{}

func (HasFreeSlot) Keep(_ *Request, c *Candidate) bool { return c.Load() < max(1, c.Slots) }

// HardStages returns the filters that always hold, in order.
func HardStages() []Stage {
	return []Stage{
		{Name: StageReady, Filter: Ready{}},
		{Name: StageLeaving, Filter: NotLeaving{}},
		{Name: StageTried, Filter: Untried{}},
		{Name: StageFresh, Filter: FreshWeights{}},
		{Name: StageDeadline, Filter: WithinDeadline{}},
	}
}

// SoftStages returns the filters that give way when they would leave nobody.
func SoftStages() []Stage {
	return []Stage{
		{Name: StageEjected, Filter: NotEjected{}, Soft: true},
		{Name: StageDomain, Filter: OtherDomain{}, Soft: true},
	}
}
