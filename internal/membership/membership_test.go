package membership

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const interval = 400 * time.Millisecond

func newTracker() *Tracker {
	return New(Options{Interval: interval, SuspectAfterMissed: 3, RecoverAfterHeartbeats: 3, ForgetAfter: time.Minute, MaxHosts: 2})
}

// Guards against a host that is suspect after one lost heartbeat or still counts as alive
// after three, and against a host that is alive again after a single heartbeat.
func TestSuspectAndRecover(t *testing.T) {
	c := qt.New(t)
	tr := newTracker()
	alive := func() bool { s, _ := tr.Get("a"); return s.Alive }
	h := Heartbeat{Host: "a", Boot: 1}
	tr.RecordHeartbeat(h, 0)
	c.Assert(alive(), qt.IsTrue)
	tr.Tick(3 * interval)
	c.Assert(alive(), qt.IsTrue)
	before := tr.Version()
	tr.Tick(4 * interval)
	c.Assert(alive(), qt.IsFalse)
	c.Assert(tr.Version() > before, qt.IsTrue)
	tr.RecordHeartbeat(h, 5*interval)
	tr.RecordHeartbeat(h, 6*interval)
	c.Assert(alive(), qt.IsFalse)
	tr.RecordHeartbeat(h, 11*interval)
	tr.RecordHeartbeat(h, 12*interval)
	c.Assert(alive(), qt.IsFalse)
	tr.RecordHeartbeat(h, 13*interval)
	c.Assert(alive(), qt.IsTrue)
}

// Guards against more tracked hosts than the limit, and against changes that leave the
// version as it was.
func TestHostLimitAndVersion(t *testing.T) {
	c := qt.New(t)
	tr := newTracker()
	tr.RecordHeartbeat(Heartbeat{Host: "b"}, 0)
	tr.RecordHeartbeat(Heartbeat{Host: "a"}, 0)
	tr.RecordHeartbeat(Heartbeat{Host: "c"}, 0)
	c.Assert(tr.Hosts(), qt.HasLen, 2)
	c.Assert(tr.Hosts()[0].Host, qt.Equals, "a")
	before := tr.Version()
	tr.RecordHeartbeat(Heartbeat{Host: "a"}, interval)
	c.Assert(tr.Version(), qt.Equals, before)
	tr.RecordHeartbeat(Heartbeat{Host: "a", Leaving: true}, interval)
	c.Assert(tr.Version(), qt.Equals, before+1)
	tr.Tick(2 * time.Minute)
	c.Assert(tr.Hosts(), qt.HasLen, 0)
}
