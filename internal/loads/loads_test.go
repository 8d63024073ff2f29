package loads

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/wire"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet is a set of Exchanges that deliver messages to each other at once.
type fleet struct {
	byName map[string]*Exchange
	hosts  []Host
	// sent counts the messages by sender in the last round.
	sent map[string]int
	// failing are the hosts whose requests to instance x fail.
	failing map[string]bool
}

func newFleet(dataCentres, perDataCentre int) *fleet {
	f := &fleet{byName: map[string]*Exchange{}}
	for d := range dataCentres {
		for h := range perDataCentre {
			host := Host{fmt.Sprintf("%d-%02d", d, h), fmt.Sprint("dc", d)}
			f.hosts = append(f.hosts, host)
			f.byName[host.Name] = New(host.Name, host.DataCentre)
		}
	}
	f.setHosts(f.hosts)
	return f
}

func (f *fleet) setHosts(hosts []Host) {
	for _, e := range f.byName {
		e.SetHosts(hosts)
	}
}

// round lets each host report that it has one request at instance x and demands 5 tokens/s.
func (f *fleet) round(now time.Time) {
	f.sent = map[string]int{}
	for _, h := range f.hosts {
		e := f.byName[h.Name]
		if e == nil {
			continue
		}
		own := wire.Loads{Instances: []wire.InstanceLoad{{ID: "x", Running: 1}}, Rates: map[string]wire.AccountRate{"a": {Asked: 5, Served: 2}}}
		if f.failing[h.Name] {
			own.Failures = []wire.InstanceFailures{{ID: "x", Failed: 1, Results: 1}}
		}
		for _, s := range e.Tick(own, now) {
			f.sent[h.Name]++
			to := f.byName[s.To]
			if to == nil {
				continue
			}
			switch m := s.Msg.(type) {
			case *wire.Loads:
				to.HandleReport(h.Name, *m, now)
			case *wire.LoadSums:
				to.HandleSums(*m, now)
			}
		}
	}
}

func total(list []wire.LoadSum) (running int, demand, served float64) {
	for _, d := range list {
		for _, l := range d.Loads.Instances {
			running += l.Running
		}
		demand += float64(d.Loads.Rates["a"].Asked)
		served += float64(d.Loads.Rates["a"].Served)
	}
	return running, demand, served
}

// Guards against losing loads or counting them twice, and against a number of messages per
// host that grows with the fleet.
func TestEveryHostKnowsTheSums(t *testing.T) {
	for _, size := range [][2]int{{1, 1}, {1, 5}, {3, 4}, {5, 74}} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(size[0], size[1])
			n := size[0] * size[1]
			for i := range 4 {
				f.round(start.Add(time.Duration(i) * 100 * time.Millisecond))
			}
			now := start.Add(400 * time.Millisecond)
			for _, h := range f.hosts {
				running, demand, served := total(f.byName[h.Name].Others(now))
				c.Assert(running, qt.Equals, n-1, qt.Commentf(h.Name))
				c.Assert(demand, qt.Equals, float64(5*(n-1)))
				c.Assert(served, qt.Equals, float64(2*(n-1)))
				if f.byName[h.Name].relay(h.DataCentre) != h.Name {
					c.Assert(f.sent[h.Name], qt.Equals, 1)
				}
			}
		})
	}
}

// Guards against a fleet that gets no more sums after the loss of a relay, and against
// counting the loads of a lost host for ever.
func TestLostRelay(t *testing.T) {
	c := qt.New(t)
	f := newFleet(3, 4)
	for i := range 3 {
		f.round(start.Add(time.Duration(i) * 100 * time.Millisecond))
	}
	delete(f.byName, "1-00")
	var remaining []Host
	for _, h := range f.hosts {
		if h.Name != "1-00" {
			remaining = append(remaining, h)
		}
	}
	f.setHosts(remaining)
	var now time.Time
	for i := range 12 {
		now = start.Add(time.Second + time.Duration(i)*100*time.Millisecond)
		f.round(now)
	}
	for _, h := range remaining {
		running, _, _ := total(f.byName[h.Name].Others(now))
		c.Assert(running, qt.Equals, 10, qt.Commentf(h.Name))
	}
}
