package permits

// hasNewEvacuation reports whether a server of the next list is evacuated that was not.
func (b *Broker) hasNewEvacuation(next []Server) bool {
	for _, s := range next {
		if i, known := b.index[s.ID]; s.Evacuated && known && !b.servers[i].Evacuated {
			return true
		}
	}
	return false
}

// shrink adapts the queue after servers were evacuated and the rate of the others is all that is
// left of before: asks whose estimated wait has become too long are refused now, while their callers
// can still go elsewhere or come back, rather than when their time is up. Those that are kept wait in
// the order of their arrival.
func (b *Broker) shrink(before float64) []Decision {
	if before <= 0 || b.capacity.rate >= before {
		return nil
	}
	b.drain.rate *= b.capacity.rate / before
	var out []Decision
	waiting := b.sortedWaiters(anyWaiter)
	for _, w := range waiting {
		b.lanes[w.lane].Cancel(w.item)
	}
	for _, w := range waiting {
		wait, known := b.estimate(w)
		if !known || !b.isTooLate(w, wait) {
			q := b.lanes[w.lane]
			q.SetMaxQueue(q.Waiting() + 1)
			w.item, _, _ = q.Offer(b.now, w.ticket(), w)
			continue
		}
		b.forgetWaiter(w)
		if w.lane == laneCallers {
			b.turnedAway = b.now
		}
		out = append(out, b.settle(w, DeadlineTooShort, wait, "servers were evacuated, and the estimated wait is too long"))
	}
	return out
}
