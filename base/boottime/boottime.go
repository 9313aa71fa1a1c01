// Package boottime provides two clocks: Now keeps counting while the VM is suspended,
// and Clock ignores short jumps of the time of day.
package boottime

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM was started. Unlike the monotonic clock of
// time.Since it continues while the VM is suspended, so that a lease that expired
// meanwhile is seen as expired.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart) // kernels without CLOCK_BOOTTIME do not suspend the VM
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()

const (
	// maxSlew is the largest change of the time of day between two calls of Clock.Now
	// that is treated as a normal clock correction and applied at once.
	maxSlew = 100 * time.Millisecond
	// minStepDuration is how long a larger change (a step) of the time of day must last
	// before it is applied.
	minStepDuration = 30 * time.Second
)

// Clock returns the time of day. It applies a step only after the step has lasted for
// minStepDuration, because some clocks jump by seconds and then back again. It is
// safe for concurrent use.
type Clock struct {
	wall func() time.Time
	boot func() time.Duration

	mu         sync.Mutex
	offset     time.Duration // time of day (Unix time) minus time since boot
	stepSeenAt time.Duration // time since boot at which a step was first seen; 0: no step pending
}

// NewClock returns a Clock that starts at the VM's current time of day.
func NewClock() *Clock { return newClock(time.Now, Now) }

func newClock(wall func() time.Time, boot func() time.Duration) *Clock {
	c := &Clock{wall: wall, boot: boot}
	c.offset = c.measureOffset()
	return c
}

func (c *Clock) measureOffset() time.Duration { return time.Duration(c.wall().UnixNano()) - c.boot() }

// Now returns the time of day.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.boot()
	measured := time.Duration(c.wall().UnixNano()) - now
	switch deviation := (measured - c.offset).Abs(); {
	case deviation <= maxSlew:
		c.offset, c.stepSeenAt = measured, 0
	case c.stepSeenAt == 0:
		c.stepSeenAt = now
	case now-c.stepSeenAt >= minStepDuration:
		c.offset, c.stepSeenAt = measured, 0
	}
	return time.Unix(0, int64(now+c.offset))
}
