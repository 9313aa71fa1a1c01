package control

import "time"

// maxIDs bounds the number of remembered ids. It is more than twice the about
// 6,000 records of a day (4,300 commits, and 24 trainers' versions every 25 min).
const maxIDs = 1 << 14

// idWindow remembers the record ids of a limited time, measured by the log's clock.
type idWindow struct {
	seen  map[string]bool
	queue []seenID // oldest first
}

type seenID struct {
	id     string
	seenAt time.Time
}

// addIfNew remembers the id and reports whether it is new. It first drops the ids
// that were seen longer than retention before at.
func (w *idWindow) addIfNew(id string, at time.Time, retention time.Duration) bool {
	w.expire(at.Add(-retention))
	if w.seen[id] {
		return false
	}
	if w.seen == nil {
		w.seen = map[string]bool{}
	}
	w.seen[id] = true
	w.queue = append(w.queue, seenID{id, at})
	return true
}

func (w *idWindow) expire(before time.Time) {
	for len(w.queue) > 0 && (len(w.queue) >= maxIDs || w.queue[0].seenAt.Before(before)) {
		delete(w.seen, w.queue[0].id)
		w.queue = w.queue[1:]
	}
}
