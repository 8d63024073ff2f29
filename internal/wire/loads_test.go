package wire

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// oldLoads, oldLoadSum and oldLoadSums are the messages before Failures.
type oldLoads struct {
	Instances []InstanceLoad
	Gates     []GateLoad
	Rates     map[string]AccountRate
}

type oldLoadSum struct {
	DataCentre string
	Loads      oldLoads
}

type oldLoadSums struct{ List []oldLoadSum }

// Guards against hosts of two releases that do not read each other's loads while a release is
// rolled out, and against failures that are lost on the way.
func TestLoadsOfOldAndNewHosts(t *testing.T) {
	c := qt.New(t)
	decode := func(in, out any) {
		b, err := Marshal(in)
		c.Assert(err, qt.IsNil)
		c.Assert(Unmarshal(b, out), qt.IsNil)
	}
	failures := []InstanceFailures{{ID: "e", Born: 3, Failed: 2, Results: 8}}
	old := oldLoads{Instances: []InstanceLoad{{ID: "e", Running: 4}}, Gates: []GateLoad{}, Rates: map[string]AccountRate{"a": {Asked: 1}}}
	sent := &Loads{Instances: old.Instances, Gates: old.Gates, Rates: old.Rates, Failures: failures}
	var gotOld oldLoads
	decode(sent, &gotOld)
	c.Assert(gotOld, qt.DeepEquals, old)
	var got Loads
	decode(old, &got)
	c.Assert(got, qt.DeepEquals, Loads{Instances: old.Instances, Gates: old.Gates, Rates: old.Rates})
	decode(sent, &got)
	c.Assert(&got, qt.DeepEquals, sent)

	sums := &LoadSums{List: []LoadSum{{DataCentre: "d", Loads: Loads{Instances: old.Instances, Gates: old.Gates, Rates: old.Rates}}}, Failures: failures}
	oldSums := oldLoadSums{List: []oldLoadSum{{"d", old}}}
	var gotOldSums oldLoadSums
	decode(sums, &gotOldSums)
	c.Assert(gotOldSums, qt.DeepEquals, oldSums)
	var gotSums LoadSums
	decode(oldSums, &gotSums)
	c.Assert(gotSums, qt.DeepEquals, LoadSums{List: sums.List})
	gotSums = LoadSums{}
	decode(sums, &gotSums)
	c.Assert(&gotSums, qt.DeepEquals, sums)
}
