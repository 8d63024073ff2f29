package loadplay

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against streams that callers can't resume after hosts were lost, while new ones begin.
func TestStreamsAreResumedAfterHostsAreLost(t *testing.T) {
	for seed := range int64(4) {
		c := qt.New(t)
		l, err := ReadFile("../../examples/loads/hosts-lost.toml")
		c.Assert(err, qt.IsNil)
		l.Seed = seed + 1
		for i, o := range Simulate(l, newFleet).HostOutages {
			c.Check(o.Resumed.Asked >= 12 && o.Resumed.Share() >= o.New.Share()/2, qt.IsTrue, qt.Commentf("seed %d, outage %d: resumed %+v, new %+v", l.Seed, i, o.Resumed, o.New))
		}
	}
}
