package control

import "time"

// maxIDs bounds the memory for ids. Today's rate of some 6,000 records a day
// (4,300 commits, 24 trainers' versions each 25 min) fits more than twice.
const maxIDs = 1 << 14

// idWindow remembers record ids for a time of the log's clock.
type idWindow struct {
	seen  map[string]bool
	queue []seenID // oldest first
}

type seenID struct {
	id     string
	seenAt time.Time
}

// addIfNew tells whether the id is new, and remembers it.
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
