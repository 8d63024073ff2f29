// Package hlc is a hybrid logical clock. Its values follow wall time where clocks agree. A
// counter orders values within one millisecond and values of hosts whose clocks differ, so
// that a cause always has a lower value than its effect.
package hlc

import (
	"sync/atomic"
	"time"
)

// counterBits is the width of the counter below the milliseconds.
const counterBits = 16

// MaxAhead is how far a remote clock may be ahead of the local wall clock. A value
// further ahead is ignored and counted. If it were adopted, one host with a wrong clock
// would move the clocks of the whole fleet permanently into the future.
const MaxAhead = 60 * time.Second

// Clock is a hybrid logical clock, safe for concurrent use. A value holds Unix
// milliseconds in its upper 48 bits and a counter in its lower 16. When the counter
// overflows it carries into the milliseconds, so values never repeat.
type Clock struct {
	wall    func() time.Time
	last    atomic.Uint64
	ignored atomic.Uint64
}

// New returns a clock that reads wall; nil means time.Now.
func New(wall func() time.Time) *Clock {
	if wall == nil {
		wall = time.Now
	}
	return &Clock{wall: wall}
}

// Now returns a value that is greater than every value returned or adopted before it.
func (c *Clock) Now() uint64 { return c.advance(0) }

// Observe adopts the clock value of a received message and returns a value greater
// than it. A value more than MaxAhead in the future is not adopted: the local clock
// advances as for Now, and Ignored grows by one.
func (c *Clock) Observe(remote uint64) uint64 {
	if remote > FromTime(c.wall().Add(MaxAhead)) {
		c.ignored.Add(1)
		remote = 0
	}
	return c.advance(remote)
}

// Ignored returns how many remote values were too far ahead.
func (c *Clock) Ignored() uint64 { return c.ignored.Load() }

func (c *Clock) advance(remote uint64) uint64 {
	wall := FromTime(c.wall())
	for {
		last := c.last.Load()
		next := max(wall, last+1, remote+1)
		if c.last.CompareAndSwap(last, next) {
			return next
		}
	}
}

// FromTime returns the lowest clock value in the millisecond of t, or 0 before 1970.
func FromTime(t time.Time) uint64 {
	ms := t.UnixMilli()
	if ms < 0 {
		return 0
	}
	return uint64(ms) << counterBits
}

// Time returns the wall time of a value, without its counter, in UTC.
func Time(v uint64) time.Time { return time.UnixMilli(int64(v >> counterBits)).UTC() }
