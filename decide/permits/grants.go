package permits

import (
	"time"

	"dandelionsill.org/decide/cold"
)

const (
	// MaxGrantAge is how long after it was granted a permit for a server that may be cold may be used.
	MaxGrantAge = 100 * time.Millisecond
	// GrantWindow is the span in which such permits are counted: what is sent within one second was
	// granted within that.
	GrantWindow = time.Second + MaxGrantAge + 10*time.Millisecond
)

// grants counts the permits of servers that may be cold, by server.
type grants map[string]*cold.Window

// allow reports whether another permit may be granted at the server.
func (g grants) allow(now time.Time, s *server) bool {
	if !s.IsBounded {
		return true
	}
	w := g[s.ID]
	if w == nil {
		return s.Grants > 0
	}
	return w.Used(now) < s.Grants
}

// add counts a permit.
func (g grants) add(now time.Time, s *server) {
	if !s.IsBounded {
		return
	}
	w := g[s.ID]
	if w == nil {
		w = cold.NewWindow(GrantWindow)
		g[s.ID] = w
	}
	w.Add(now)
}

// retain forgets all servers that are not listed.
func (g grants) retain(listed map[string]int) {
	for id := range g {
		if _, ok := listed[id]; !ok {
			delete(g, id)
		}
	}
}
