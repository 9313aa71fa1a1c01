package trainer

import "time"

// Clock accounts for a trainer's time. The trainer trains on groups one after
// the other as they arrive, and is idle while it holds nothing to train on.
type Clock struct {
	perGroup time.Duration
	free     time.Time // when all groups so far are trained
}

// NewClock starts the account. perGroup is the training time of one group.
func NewClock(now time.Time, perGroup time.Duration) *Clock {
	return &Clock{perGroup: perGroup, free: now}
}

// AddGroup takes a group in and returns how long the trainer was idle before it.
func (c *Clock) AddGroup(now time.Time) (idle time.Duration) {
	idle = max(0, now.Sub(c.free))
	c.free = c.free.Add(idle + c.perGroup)
	return idle
}

// BusyUntil returns when the training on all groups so far ends.
func (c *Clock) BusyUntil() time.Time { return c.free }
