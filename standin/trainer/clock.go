package trainer

import "time"

// Clock computes how a trainer spends its time. The trainer trains on groups one
// after the other as they arrive, and is idle while it has no group to train on.
type Clock struct {
	groupTime time.Duration
	busyUntil time.Time // when the training on all groups so far ends
}

// NewClock returns a clock that starts at now. groupTime is the training time of
// one group.
func NewClock(now time.Time, groupTime time.Duration) *Clock {
	return &Clock{groupTime: groupTime, busyUntil: now}
}

// AddGroup adds a group that arrives at now and returns how long the trainer was
// idle before it.
func (c *Clock) AddGroup(now time.Time) (idle time.Duration) {
	idle = max(0, now.Sub(c.busyUntil))
	c.busyUntil = c.busyUntil.Add(idle + c.groupTime)
	return idle
}

// BusyUntil returns when the training on all groups so far ends.
func (c *Clock) BusyUntil() time.Time { return c.busyUntil }
