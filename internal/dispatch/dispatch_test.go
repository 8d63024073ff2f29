package dispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/routing"
)

func services() []routing.Service {
	return []routing.Service{
		{Name: "engines", WarmUpTime: 3 * time.Second, ColdPerSecond: 12, Engine: &routing.Engine{Slots: 64, MemoryTokens: 200_000}},
		{Name: "plain"},
	}
}

func instances(n int) []catalog.Instance {
	var out []catalog.Instance
	for i := range n {
		out = append(out, catalog.Instance{ID: fmt.Sprint("e", i), Service: "engines", Address: fmt.Sprint("10.0.0.", i, ":1"), DataCentre: fmt.Sprint("dc", i%3), Slots: 64})
	}
	for i := range 3 {
		out = append(out, catalog.Instance{ID: fmt.Sprint("p", i), Service: "plain", Address: fmt.Sprint("10.0.1.", i, ":1"), DataCentre: fmt.Sprint("dc", i), Slots: 6})
	}
	return out
}

func newTestDispatcher(host string, hosts ...string) *Dispatcher {
	d := New(Options{Host: host, DataCentre: "dc0"})
	d.SetServices(services(), 0)
	d.SetInstances(instances(9), at(0))
	d.SetHosts(hosts)
	return d
}

func prompt(shared uint64) *Job {
	return &Job{Service: "engines", Parts: []Part{{1, 2_500}, {shared, 3_800}, {1_000_000 + shared, 2_900}},
		InputTokens: 9_200, OutputTokens: 50, Objective: 800 * time.Millisecond, Remaining: 4 * time.Second}
}

// Guards against reading the same shared parts at several engines. Hosts must send requests
// with the same shared parts to the same engine, which then has them cached.
func TestSharedPartsStayTogether(t *testing.T) {
	c := qt.New(t)
	a, b := newTestDispatcher("a", "a", "b"), newTestDispatcher("b", "a", "b")
	for shared := range uint64(50) {
		want := ""
		for i := range 4 {
			for _, d := range []*Dispatcher{a, b} {
				now := at(int(shared)*10_000 + i*2_000)
				p, err := d.Pick(prompt(100+shared), now)
				c.Assert(err, qt.IsNil)
				if want == "" {
					want = p.Instance.ID
				}
				c.Assert(p.Instance.ID, qt.Equals, want)
				p.FirstEvent()
				p.Done(Answered, now)
			}
		}
	}
}

// Guards against sending a request to another data centre for shared parts that are cheaper
// to read again locally. Each data centre has its own affinity instance for such parts, and
// others serve the request if the data centre is out of service.
func TestSmallSharedPartsStayInTheDataCentre(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher("a", "a")
	small := func(shared uint64) *Job {
		return &Job{Service: "engines", Parts: []Part{{1, 100}, {shared, 70}, {1_000_000 + shared, 540}}, InputTokens: 710,
			OutputTokens: 280, Bytes: 6_000, Objective: 1500 * time.Millisecond, Remaining: 12 * time.Second}
	}
	for shared := range uint64(50) {
		p, err := d.Pick(small(100+shared), at(int(shared)*1_000))
		c.Assert(err, qt.IsNil)
		c.Assert(p.Instance.DataCentre, qt.Equals, "dc0")
		p.FirstEvent()
		p.Done(Answered, at(int(shared)*1_000))
	}
	d.SetDataCentresOut(map[string]bool{"dc0": true})
	p, err := d.Pick(small(1), at(60_000))
	c.Assert(err, qt.IsNil)
	c.Assert(p.Instance.DataCentre == "dc0", qt.IsFalse)
}

// Guards against a cost of other data centres that does not depend on the request's size.
// With the local instance busy, a short request must go to another data centre and a long
// one must stay.
func TestOtherDataCentreCostsByBytes(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher("a", "a")
	for _, x := range d.byService["plain"] {
		if x.DataCentre == "dc0" {
			x.running = 7
		}
	}
	short, err := d.Pick(&Job{Service: "plain", Bytes: 500, Remaining: time.Second}, at(0))
	c.Assert(err, qt.IsNil)
	c.Assert(short.Instance.DataCentre == "dc0", qt.IsFalse)
	long, err := d.Pick(&Job{Service: "plain", Bytes: 20_000, Remaining: time.Second}, at(0))
	c.Assert(err, qt.IsNil)
	c.Assert(long.Instance.DataCentre, qt.Equals, "dc0")
}

// Guards against sending requests to instances that are draining, replaced, out of service
// or already tried.
func TestPickSkipsUnusableInstances(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher("a", "a")
	list := instances(9)
	list[9].Draining = true
	d.SetInstances(list, at(1))
	d.SetDataCentresOut(map[string]bool{"dc1": true})
	for range 10 {
		p, err := d.Pick(&Job{Service: "plain", Remaining: time.Second}, at(2))
		c.Assert(err, qt.IsNil)
		c.Assert(p.Instance.ID, qt.Equals, "p2")
	}
	_, err := d.Pick(&Job{Service: "plain", Remaining: time.Second, Tried: []catalog.Key{{ID: "p2"}}}, at(2))
	c.Assert(fault.CodeOf(err), qt.Equals, fault.QueueFull)
	c.Assert(fault.As(err).RunState, qt.Equals, fault.NotRun)
	d.MarkReplaced(catalog.Key{ID: "p2"})
	_, err = d.Pick(&Job{Service: "plain", Remaining: time.Second}, at(2))
	c.Assert(fault.CodeOf(err), qt.Equals, fault.QueueFull)
}

// Guards against more requests in a second than a cold instance can serve. Each host limits
// itself without communicating, so the sum over all hosts counts.
func TestColdRateOverAllHosts(t *testing.T) {
	c := qt.New(t)
	var names []string
	for i := range 12 {
		names = append(names, fmt.Sprint("h", i))
	}
	var all []*Dispatcher
	for _, h := range names {
		d := newTestDispatcher(h, names...)
		list := append(instances(9), catalog.Instance{ID: "new", Service: "engines", Address: "10.0.0.99:1", DataCentre: "dc0", Slots: 64})
		d.SetInstances(list, at(1_000))
		all = append(all, d)
	}
	var sent []int
	for ms := 1_000; ms < 4_000; ms += 5 {
		for _, d := range all {
			// Only the new instance remains to be chosen.
			j := &Job{Service: "engines", InputTokens: 100, Remaining: time.Second}
			for _, i := range instances(9)[:9] {
				j.Tried = append(j.Tried, i.Key())
			}
			if p, err := d.Pick(j, at(ms)); err == nil {
				sent = append(sent, ms)
				p.Done(Answered, at(ms))
			}
		}
	}
	c.Assert(len(sent) > 20, qt.IsTrue, qt.Commentf("%d sent: a cold instance needs requests to warm up", len(sent)))
	for i := range sent {
		n := 0
		for _, other := range sent[i:] {
			if other < sent[i]+1_000 {
				n++
			}
		}
		c.Assert(n <= 12*3/2+5, qt.IsTrue, qt.Commentf("%d requests within a second", n))
	}
}

// Guards against prompts that are read again at several engines because an empty one was added
// that will have their shared parts, but may not get their requests while it is cold. Until
// then they stay where they were, on all hosts.
func TestPromptsStayUntilTheirNewInstanceMayServeThem(t *testing.T) {
	c := qt.New(t)
	var names []string
	for i := range 12 {
		names = append(names, fmt.Sprint("h", i))
	}
	empty := catalog.Instance{ID: "new", Service: "engines", Address: "10.0.0.99:1", DataCentre: "dc0", Slots: 64}
	for shared := range uint64(200) {
		home, atNew := "", 0
		for _, h := range names {
			d := newTestDispatcher(h, names...)
			before, err := d.Pick(prompt(shared), at(0))
			c.Assert(err, qt.IsNil)
			home = before.Instance.ID
			before.Done(Answered, at(0))
			// The host's own memory of the parts has ended.
			const later = 60_000
			d.SetInstances(append(instances(9), empty), at(later))
			for range 2 {
				p, err := d.Pick(prompt(shared), at(later))
				c.Assert(err, qt.IsNil)
				if p.Instance.ID == empty.ID {
					atNew++
				} else {
					c.Assert(p.Instance.ID, qt.Equals, home, qt.Commentf("shared part %d, host %s", shared, h))
				}
				p.Done(Answered, at(later))
			}
		}
		c.Assert(atNew <= DefaultLimits.maxHostsPerColdInstance(), qt.IsTrue)
	}
	// Once it is warm, the empty engine gets the prompts that belong to it.
	d := newTestDispatcher("h0", names...)
	d.SetInstances(append(instances(9), empty), at(0))
	found := 0
	for shared := range uint64(200) {
		p, err := d.Pick(prompt(shared), at(5_000))
		c.Assert(err, qt.IsNil)
		if p.Instance.ID == empty.ID {
			found++
		}
		p.Done(Answered, at(5_000))
	}
	c.Assert(found >= 10, qt.IsTrue, qt.Commentf("%d of 200 prompts", found))
}

// Guards against a refusal that uses up the rate limit of a cold instance, so that the next
// request, which could run there, is refused.
func TestRefusalTakesNoTokenOfAColdInstance(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher("a", "a")
	cold := catalog.Instance{ID: "new", Service: "engines", DataCentre: "dc1", ColdFor: time.Minute}
	d.SetInstances([]catalog.Instance{cold}, at(0))
	d.instances[cold.Key()].suspectUntil = at(1_000)
	j := &Job{Service: "engines", InputTokens: 4_000, Remaining: time.Millisecond}
	_, err := d.Pick(j, at(0))
	c.Assert(fault.CodeOf(err), qt.Equals, fault.QueueFull)
	j.Remaining = time.Second
	_, err = d.Pick(j, at(0))
	c.Assert(err, qt.IsNil)
}

// Guards against sending further requests to an unreachable instance at once, and against
// never trying it again.
func TestUnreachableInstance(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher("a", "a")
	first, err := d.Pick(&Job{Service: "plain", Remaining: time.Second}, at(0))
	c.Assert(err, qt.IsNil)
	first.Done(Unreachable, at(1))
	p, err := d.Pick(&Job{Service: "plain", Remaining: time.Second}, at(2))
	c.Assert(err, qt.IsNil)
	c.Assert(p.Instance.ID, qt.Not(qt.Equals), first.Instance.ID)
	p.Done(Answered, at(3))
	again, err := d.Pick(&Job{Service: "plain", Remaining: time.Second}, at(1_000))
	c.Assert(err, qt.IsNil)
	c.Assert(again.Instance.ID, qt.Equals, first.Instance.ID)
}

// Guards against a retry storm: over all hosts, at most a fifth of the requests and the
// spare retries may be retried.
func TestRetryBudget(t *testing.T) {
	retries, requests := retriesOfFleet(Limits{})
	c := qt.New(t)
	c.Assert(float64(retries) <= 0.2*float64(requests)+60, qt.IsTrue, qt.Commentf("%d retries of %d requests", retries, requests))
	c.Assert(retries > requests/20, qt.IsTrue)
}

func TestRetryBudgetOfTheDeploymentIsKept(t *testing.T) {
	for _, limits := range []Limits{
		{RetryRatio: 0.05, RetryWindow: 10 * time.Second, SpareRetries: 10},
		{RetryRatio: 0.2, RetryWindow: 4 * time.Second, SpareRetries: 4},
		{RetryRatio: 0.02, RetryWindow: 20 * time.Second, SpareRetries: 1},
	} {
		retries, requests := retriesOfFleet(limits)
		windows := max(10*time.Second/limits.RetryWindow, 1)
		allowed := limits.RetryRatio*float64(requests) + float64(windows)*limits.SpareRetries
		qt.Check(t, float64(retries) <= allowed, qt.IsTrue, qt.Commentf("%+v: %d retries of %d requests", limits, retries, requests))
		qt.Check(t, retries > 0, qt.IsTrue)
	}
}

// retriesOfFleet returns the retries that four hosts make in 10 s if they try to retry each request.
func retriesOfFleet(limits Limits) (retries, requests int) {
	names := []string{"a", "b", "c", "d"}
	var all []*Dispatcher
	for _, h := range names {
		d := newTestDispatcher(h, names...)
		d.opts.Limits = limits.tightened()
		all = append(all, d)
	}
	for ms := 0; ms < 10_000; ms += 10 {
		for _, d := range all {
			d.CountRequest("plain", at(ms))
			requests++
			if d.TakeRetry("plain", at(ms)) {
				retries++
			}
		}
	}
	return retries, requests
}

// Guards against an upstream of two services that counts for the last one named, so that streams are recorded under the wrong one.
func TestInstanceListedUnderTwoServicesServesBoth(t *testing.T) {
	c := qt.New(t)
	d := New(Options{Host: "h", DataCentre: "dc"})
	d.SetServices([]routing.Service{{Name: "a"}, {Name: "b"}}, 0)
	shared := func(service string) catalog.Instance {
		return catalog.Instance{ID: "i", Service: service, DataCentre: "dc", Born: 1, Slots: 4}
	}
	for range 2 {
		d.SetInstances([]catalog.Instance{shared("a"), shared("b")}, at(0))
		var placed []*Placement
		for i, service := range []string{"a", "b"} {
			p, err := d.Pick(&Job{Service: service, Remaining: time.Second}, at(0))
			c.Assert(err, qt.IsNil)
			c.Check(p.Instance.Service, qt.Equals, service)
			c.Check(p.target.running, qt.Equals, i+1, qt.Commentf("its load is that of both services"))
			placed = append(placed, p)
		}
		for _, p := range placed {
			p.Done(Answered, at(0))
		}
	}
}
