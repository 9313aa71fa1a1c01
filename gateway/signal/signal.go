// Package signal wakes any number of waiting goroutines when something has changed.
package signal

import "sync"

// Signal notifies all waiting goroutines of a change. Its zero value is ready to use, and it is
// safe for concurrent use.
type Signal struct {
	mu      sync.Mutex
	changed chan struct{} // nil: no call of Next since the last Notify
}

// Next returns a channel that the next call of Notify closes. Call it before reading the state
// that may change, because a change between the two would otherwise be missed.
func (s *Signal) Next() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// Notify closes the channel that earlier calls of Next returned.
func (s *Signal) Notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}
