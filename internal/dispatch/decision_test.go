package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/routing"
)

// Guards against log lines that name a load without its age, or another load than the one that
// decided.
func TestDecisionHoldsTheLoadAndItsAge(t *testing.T) {
	c := qt.New(t)
	d := New(Options{Host: "h1", DataCentre: "a"})
	d.SetServices([]routing.Service{{Name: "plain"}, {Name: "engine", Engine: &routing.Engine{Slots: 8}}}, 0)
	p1, e1 := catalog.Instance{ID: "p1", Service: "plain", DataCentre: "a", Slots: 4}, catalog.Instance{ID: "e1", Service: "engine", DataCentre: "a"}
	d.SetInstances([]catalog.Instance{p1, e1}, at(0))
	pick := func(service string, now int) (Decision, *Placement) {
		j := &Job{Service: service, InputTokens: 100, Remaining: time.Minute}
		p, err := d.Pick(j, at(now))
		c.Assert(err, qt.IsNil)
		return j.Decision, p
	}
	got, first := pick("plain", 0)
	c.Assert(got, qt.Equals, Decision{Instances: 1, Candidates: 1, LoadSource: LoadOfThisHost})

	d.SetPeerLoads("b", []Load{{ID: "p1", Running: 2}, {ID: "e1", Running: 3, Reading: 500}}, at(40), at(100))
	got, _ = pick("plain", 150)
	c.Assert(got, qt.Equals, Decision{Instances: 1, Candidates: 1, LoadSource: LoadOfAllHosts, LoadAge: 110 * time.Millisecond, Running: 3, Cost: got.Cost})
	c.Assert(got.Cost > 0, qt.IsTrue)
	got, _ = pick("engine", 150)
	c.Assert(got, qt.Equals, Decision{
		Instances: 1, Candidates: 1, LoadSource: LoadOfAllHosts, LoadAge: 110 * time.Millisecond, Running: 3, BacklogTokens: 500, Cost: got.Cost,
	})

	first.Report(9, 1, at(160))
	got, _ = pick("plain", 200)
	c.Assert([]any{got.LoadSource, got.LoadAge, got.Running}, qt.DeepEquals, []any{LoadOfInstance, 40 * time.Millisecond, 10})

	d.SetGate(e1.Key(), GateLoad{Backlog: 7_000, Running: 5, PerMs: 40, ReceivedAt: at(180)}, at(200))
	got, _ = pick("engine", 230)
	c.Assert(got, qt.Equals, Decision{
		Instances: 1, Candidates: 1, LoadSource: LoadOfGate, LoadAge: 50 * time.Millisecond, Running: 5, BacklogTokens: 7_000, Cost: got.Cost,
	})
	// A load that is too old decides nothing.
	got, _ = pick("plain", 60_000)
	c.Assert([]any{got.LoadSource, got.LoadAge}, qt.DeepEquals, []any{LoadOfThisHost, time.Duration(0)})
}

// Guards against a refusal that does not say why none of the instances could take the request.
func TestDecisionCountsInstancesThatWereLeftOut(t *testing.T) {
	c := qt.New(t)
	d := New(Options{Host: "h1", DataCentre: "a"})
	d.SetServices([]routing.Service{{Name: "s", ColdPerSecond: 0.001, WarmUpTime: time.Hour}}, 0)
	list := []catalog.Instance{
		{ID: "tried", Service: "s", DataCentre: "a"}, {ID: "draining", Service: "s", DataCentre: "a", Draining: true},
		{ID: "replaced", Service: "s", DataCentre: "a"}, {ID: "out", Service: "s", DataCentre: "b"},
	}
	d.SetInstances(list, at(0))
	d.SetInstances(append(list, catalog.Instance{ID: "cold", Service: "s", DataCentre: "a"}), at(1))
	d.SetDataCentresOut(map[string]bool{"b": true})
	d.MarkReplaced(list[2].Key())
	j := &Job{Service: "s", Remaining: time.Minute, Tried: []catalog.Key{list[0].Key()}}
	_, err := d.Pick(j, at(2)) // takes the only request that the cold instance may get
	c.Assert(err, qt.IsNil)
	_, err = d.Pick(j, at(3))
	c.Assert(err, qt.IsNotNil)
	c.Assert(j.Decision, qt.Equals, Decision{Instances: 5, LeftOut: LeftOut{Tried: 1, Draining: 1, Replaced: 1, OutOfService: 1, Cold: 1}})
}
