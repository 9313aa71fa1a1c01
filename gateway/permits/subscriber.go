package permits

import (
	"sync"
	"time"

	decide "dandelionsill.org/decide/permits"
)

// maxUnsent is the number of decisions that a stream may be behind. A gateway that reads takes all
// of them with one message, so that only one that does not read gets there.
const maxUnsent = 4096

// subscriber is the broker's end of a gateway's stream. Adding to it never blocks: another
// goroutine sends what was added.
type subscriber struct {
	gateway *gateway
	wake    chan struct{} // has a value while there is something to send
	ended   chan struct{} // closed by end

	mu     sync.Mutex
	why    string // why it has ended; set before ended is closed
	unsent []decide.Decision
	sentAt time.Time
}

// newSubscriber returns a subscriber that greets its gateway, which shows that the broker works.
func newSubscriber(g *gateway, now time.Time) *subscriber {
	s := &subscriber{gateway: g, wake: make(chan struct{}, 1), ended: make(chan struct{}), sentAt: now}
	s.wakeUp()
	return s
}

// add queues a decision. The stream ends if too many are queued.
func (s *subscriber) add(d decide.Decision) {
	s.mu.Lock()
	s.unsent = append(s.unsent, d)
	isStalled := len(s.unsent) > maxUnsent
	s.mu.Unlock()
	s.wakeUp()
	if isStalled && s.end("the gateway does not read its decisions") {
		streamsStalled.Add(1)
	}
}

// heartbeat queues an empty message if the gateway waits and would be sent none in time.
func (s *subscriber) heartbeat(now time.Time, waits bool) {
	s.mu.Lock()
	isDue := waits && now.Sub(s.sentAt) > heartbeatInterval-tickInterval
	s.mu.Unlock()
	if isDue {
		s.wakeUp()
	}
}

// take returns what is to be sent now.
func (s *subscriber) take(now time.Time) []decide.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sentAt = now
	decisions := s.unsent
	s.unsent = nil
	return decisions
}

// end ends the stream and reports whether it had not ended before.
func (s *subscriber) end(why string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.why != "" {
		return false
	}
	s.why = why
	close(s.ended)
	return true
}

func (s *subscriber) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
