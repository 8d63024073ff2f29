package hlc

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against an effect with a lower value than its cause when wall clocks differ, step
// back or stand still.
func TestOrderUnderSkew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts = 4
		walls := make([]time.Time, hosts)
		clocks := make([]*Clock, hosts)
		last := make([]uint64, hosts)
		for i := range hosts {
			walls[i] = time.UnixMilli(1_700_000_000_000 + rapid.Int64Range(-20_000, 20_000).Draw(t, "skew"))
			clocks[i] = New(func() time.Time { return walls[i] })
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			from, to := rapid.IntRange(0, hosts-1).Draw(t, "from"), rapid.IntRange(0, hosts-1).Draw(t, "to")
			walls[from] = walls[from].Add(time.Duration(rapid.Int64Range(-50, 100).Draw(t, "step")) * time.Millisecond)
			sent := clocks[from].Now()
			if sent <= last[from] {
				t.Fatalf("clock of host %d went from %d to %d", from, last[from], sent)
			}
			last[from] = sent
			received := clocks[to].Observe(sent)
			if received <= sent || received <= last[to] {
				t.Fatalf("received at %d, sent at %d, previous value of the receiver %d", received, sent, last[to])
			}
			last[to] = received
		}
	})
}

// Guards against a host with a wrong clock that moves the clocks of all others.
func TestFarAheadIsIgnored(t *testing.T) {
	c := qt.New(t)
	wall := time.UnixMilli(1_700_000_000_000)
	clock := New(func() time.Time { return wall })
	maxAccepted := FromTime(wall.Add(MaxAhead))
	c.Assert(clock.Observe(maxAccepted), qt.Equals, maxAccepted+1)
	c.Assert(clock.Observe(maxAccepted+1<<counterBits), qt.Equals, maxAccepted+2)
	c.Assert(clock.Observe(^uint64(0)), qt.Equals, maxAccepted+3)
	c.Assert(clock.Ignored(), qt.Equals, uint64(2))
	c.Assert(Time(maxAccepted), qt.Equals, wall.Add(MaxAhead).UTC())
}

// Guards against returning the same value to concurrent callers.
func TestConcurrentValuesDiffer(t *testing.T) {
	clock := New(func() time.Time { return time.UnixMilli(1) })
	var mu sync.Mutex
	seen := map[uint64]bool{}
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 1000 {
				v := clock.Now()
				mu.Lock()
				seen[v] = true
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	qt.Assert(t, len(seen), qt.Equals, 4000)
}
