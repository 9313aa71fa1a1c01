// Package signal wakes any number of waiters when something has changed.
package signal

import "sync"

// Signal is ready to use as its zero value and safe for concurrent use.
type Signal struct {
	mu      sync.Mutex
	changed chan struct{}
}

// Next returns a channel that is closed at the next Notify. Take it before
// looking at the state, so that no change falls in between.
func (s *Signal) Next() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// Notify wakes all that wait.
func (s *Signal) Notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}
