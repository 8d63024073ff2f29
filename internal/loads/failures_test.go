package loads

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// failuresAt returns the failures of instance x that the exchanges know of, without their own.
func (f *fleet) failuresAt(host string, now time.Time) (failed float32) {
	for _, sum := range f.byName[host].Others(now) {
		for _, x := range sum.Loads.Failures {
			failed += x.Failed
		}
	}
	return failed
}

// Guards against hosts that do not learn of the failures that others in their data centre see,
// and against hosts that avoid an instance because it fails for another data centre.
func TestFailuresStayInTheDataCentre(t *testing.T) {
	c := qt.New(t)
	f := newFleet(2, 4)
	f.failing = map[string]bool{"0-01": true, "0-02": true}
	for i := range 4 {
		f.round(start.Add(time.Duration(i) * 100 * time.Millisecond))
	}
	now := start.Add(400 * time.Millisecond)
	for host, want := range map[string]float32{"0-00": 2, "0-01": 1, "0-03": 2, "1-00": 0, "1-02": 0} {
		c.Check(f.failuresAt(host, now), qt.Equals, want, qt.Commentf(host))
	}
}
