package server

import "dandelionsill.org/base/budget"

// Guaranteed parts of what may be held. The rest is common, so that each use can take half of all or
// more while the others are quiet.
const (
	bodiesPart  = 0.25
	answersPart = 0.25
	textsPart   = 0.125
)

// heldMemory is the room for what the process holds for others. The shares are nil if it is not bounded.
type heldMemory struct {
	budget                 *budget.Budget
	bodies, answers, texts *budget.Share
}

// newHeldMemory returns the room on a VM with memoryMB of memory, 0 if it is not known.
func newHeldMemory(memoryMB float64) heldMemory {
	b := budget.ForVM(memoryMB)
	if b == nil {
		return heldMemory{}
	}
	total := float64(b.Total())
	return heldMemory{
		budget:  b,
		bodies:  b.Share("bodies", int64(bodiesPart*total)),
		answers: b.Share("answers", int64(answersPart*total)),
		texts:   b.Share("texts", int64(textsPart*total)),
	}
}
