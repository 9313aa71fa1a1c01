// Package boottime has the two clocks that a pause of the VM or a step of the time of
// day does not mislead.
package boottime

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Now is the time since the VM started. Unlike the clock of time.Since it goes on while
// the VM is suspended, so that a lease that has run out meanwhile is known to have.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart) // a kernel without that clock suspends no VM
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()

const (
	// maxSlew is the largest change of the time of day, between two looks, that counts
	// as its correction.
	maxSlew = 100 * time.Millisecond
	// minStepDuration is how long a step of the time of day has to last to be believed.
	minStepDuration = 30 * time.Second
)

// Clock tells the time of day. A step of it is followed only once it has lasted: some
// clocks jump by seconds, and back again. It is safe for concurrent use.
type Clock struct {
	wall func() time.Time
	boot func() time.Duration

	mu         sync.Mutex
	offset     time.Duration // of the time of day, in Unix time, to the time since boot
	stepSeenAt time.Duration // when the time of day was first seen off; 0: it is not
}

// NewClock returns a clock that starts with the VM's time of day.
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
