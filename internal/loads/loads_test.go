package loads

import (
	"fmt"
	"math"
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
	// lost drops matching messages; nil drops none.
	lost func(from string, m Outgoing) bool
}

func newFleet(dataCentres, perDataCentre int) *fleet {
	f := &fleet{byName: map[string]*Exchange{}, sent: map[string]int{}}
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

// round lets each host report that it has one request at instance x, and that it demands 5
// tokens/s for account a and 50 for an account of its own.
func (f *fleet) round(now time.Time) {
	f.sent = map[string]int{}
	for _, h := range f.hosts {
		e := f.byName[h.Name]
		if e == nil {
			continue
		}
		own := wire.Loads{Instances: []wire.InstanceLoad{{ID: "x", Running: 1}}, Rates: map[string]wire.AccountRate{"a": {Asked: 5, Served: 2}, "of-" + h.Name: {Asked: 50, Served: 50}}}
		f.deliver(h.Name, e.Tick(own, now), now)
	}
}

// deliver delivers messages and those that they cause.
func (f *fleet) deliver(from string, messages []Outgoing, now time.Time) {
	for _, s := range messages {
		f.sent[from]++
		to := f.byName[s.To]
		if to == nil || f.lost != nil && f.lost(from, s) {
			continue
		}
		switch m := s.Msg.(type) {
		case *wire.Loads:
			to.HandleReport(from, *m, now)
		case *wire.LoadSums:
			to.HandleSums(*m, now)
		case *wire.LoadChanges:
			next, err := to.HandleChanges(from, m, now)
			if err != nil {
				panic(err)
			}
			f.deliver(s.To, next, now)
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

// encodingError is the largest relative error of a value that was rounded to a code in the
// report, the sum of a data centre and the sum of the fleet.
const encodingError = 0.095

// assertAbout asserts that a value is right but for its encoding.
func assertAbout(c *qt.C, got, want float64, comment string) {
	c.Helper()
	c.Assert(math.Abs(got-want) <= encodingError*want, qt.IsTrue, qt.Commentf("%s: %g, want %g", comment, got, want))
}

// assertKnowsAll asserts that each host knows the loads of every other host once: the sums,
// and the account that only that host has.
func (f *fleet) assertKnowsAll(c *qt.C, hosts []Host, now time.Time) {
	c.Helper()
	n := float64(len(hosts) - 1)
	for _, h := range hosts {
		list := f.byName[h.Name].Others(now)
		running, demand, served := total(list)
		// The host's own loads are subtracted exactly from the rounded sum.
		c.Assert(math.Abs(float64(running)-n) <= encodingError*(n+1), qt.IsTrue, qt.Commentf("%s: %d", h.Name, running))
		c.Assert(math.Abs(demand-5*n) <= encodingError*5*(n+1), qt.IsTrue, qt.Commentf("%s: %g", h.Name, demand))
		c.Assert(math.Abs(served-2*n) <= encodingError*2*(n+1), qt.IsTrue, qt.Commentf("%s: %g", h.Name, served))
		for _, other := range hosts {
			got := 0.0
			for _, d := range list {
				got += float64(d.Loads.Rates["of-"+other.Name].Asked)
			}
			if other != h {
				assertAbout(c, got, 50, h.Name+" of "+other.Name)
			}
		}
	}
}

// Guards against losing loads or counting them twice, and against a number of messages per
// host that grows with the fleet.
func TestEveryHostKnowsTheSums(t *testing.T) {
	for _, size := range [][2]int{{1, 1}, {1, 5}, {3, 4}, {5, 74}} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(size[0], size[1])
			interval := f.byName["0-00"].Interval()
			now := start
			for range 12 {
				now = now.Add(interval)
				f.round(now)
			}
			f.assertKnowsAll(c, f.hosts, now)
			for _, h := range f.hosts {
				most := 1 + fanOut
				if f.byName[h.Name].isRelay() {
					most = size[0]
				}
				c.Assert(f.sent[h.Name] <= most, qt.IsTrue, qt.Commentf("%s sent %d", h.Name, f.sent[h.Name]))
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
	f.assertKnowsAll(c, remaining, now)
}
