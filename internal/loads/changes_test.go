package loads

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// noisyLoads returns loads that change like those of a busy host: two gates, the requests
// at 60 instances and the rates of 7 of 550 accounts.
func noisyLoads(rng *rand.Rand, host int) wire.Loads {
	l := wire.Loads{Rates: map[string]wire.AccountRate{}}
	around := func(mean int) int { return mean/2 + rng.Intn(mean+1) }
	for k := range 2 {
		l.Gates = append(l.Gates, wire.GateLoad{ID: fmt.Sprintf("engine-%04d-7f3a", host*2+k), Born: 1_767_225_600_000, Backlog: around(1_000), Running: 44 + rng.Intn(8), PerMs: 40})
	}
	for range 60 {
		l.Instances = append(l.Instances, wire.InstanceLoad{ID: fmt.Sprintf("engine-%04d-7f3a", rng.Intn(600)), Born: 1_767_225_600_000, Running: 1})
	}
	for k := range 7 {
		l.Rates[fmt.Sprintf("account-%05d", (host*7+k)%550)] = wire.AccountRate{Asked: float32(around(2_000)), Served: float32(around(1_800))}
	}
	return l
}

// Guards against a relay that sends all loads to all hosts, and against hosts that get all
// loads in each interval: at 300 hosts these were 5.1 MB/s and 86 KB/s. A node may spend 6 KB/s.
func TestBytesPerSecondAt300Hosts(t *testing.T) {
	const rounds = 10
	c := qt.New(t)
	f := newFleet(5, 60)
	rng := rand.New(rand.NewSource(1))
	in, out := map[string]int{}, map[string]int{}
	counting := false
	f.lost = func(from string, m Outgoing) bool {
		if counting {
			data, err := wire.Marshal(m.Msg)
			c.Assert(err, qt.IsNil)
			in[m.To] += len(data)
			out[from] += len(data)
		}
		return false
	}
	interval := f.byName["0-00"].Interval()
	for round := range 2 * rounds {
		counting = round >= rounds
		now := start.Add(time.Duration(round) * interval)
		for i, h := range f.hosts {
			f.deliver(h.Name, f.byName[h.Name].Tick(noisyLoads(rng, i), now), now)
		}
	}
	for _, h := range f.hosts {
		received, sent := float64(in[h.Name])/rounds/interval.Seconds(), float64(out[h.Name])/rounds/interval.Seconds()
		if f.byName[h.Name].isRelay() {
			c.Check(sent < 12_000, qt.IsTrue, qt.Commentf("relay %s sends %.0f bytes/s", h.Name, sent))
			c.Check(received < 16_000, qt.IsTrue, qt.Commentf("relay %s receives %.0f bytes/s", h.Name, received))
			continue
		}
		c.Check(sent < 12_000, qt.IsTrue, qt.Commentf("%s sends %.0f bytes/s", h.Name, sent))
		c.Check(received < 6_000, qt.IsTrue, qt.Commentf("%s receives %.0f bytes/s", h.Name, received))
	}
}

// roundsUntilKnown raises the demand for one host's account after the fleet has settled and
// returns the number of intervals until every host knows it. lost is in force in the interval
// of the change.
func roundsUntilKnown(c *qt.C, f *fleet, changed string, lost func(string, Outgoing) bool) int {
	now := start
	interval := f.byName[changed].Interval()
	tick := func(demand float32) {
		now = now.Add(interval)
		for _, h := range f.hosts {
			own := wire.Loads{Rates: map[string]wire.AccountRate{"of-" + h.Name: {Asked: 500, Served: 500}}}
			if h.Name == changed {
				own.Rates["of-"+changed] = wire.AccountRate{Asked: demand, Served: demand}
			}
			f.deliver(h.Name, f.byName[h.Name].Tick(own, now), now)
		}
	}
	for range 12 {
		tick(500)
	}
	known := func() bool {
		for _, h := range f.hosts {
			got := float32(0)
			for _, d := range f.byName[h.Name].Sums(now) {
				got += d.Loads.Rates["of-"+changed].Asked
			}
			if got < 800 {
				return false
			}
		}
		return true
	}
	for round := 1; round <= 20; round++ {
		f.lost = nil
		if round <= 3 {
			f.lost = lost
		}
		tick(1_000)
		if known() {
			return round
		}
	}
	c.Fatal("a host never knows the change")
	return 0
}

// Guards against changes that take more than three intervals to reach a host, and against a
// lost message that is not made up for within three more.
func TestLostMessageIsMadeUpFor(t *testing.T) {
	once := func(matches func(from string, m Outgoing) bool) func(string, Outgoing) bool {
		done := false
		return func(from string, m Outgoing) bool {
			if done || !matches(from, m) {
				return false
			}
			done = true
			return true
		}
	}
	scope := func(m Outgoing, s wire.LoadScope) bool {
		changes, ok := m.Msg.(*wire.LoadChanges)
		return ok && changes.Scope == s
	}
	for name, tt := range map[string]struct {
		lost func(string, Outgoing) bool
		most int
	}{
		"none":                  {nil, 3},
		"a report":              {once(func(from string, m Outgoing) bool { return from == "1-05" && scope(m, wire.LoadsOfHost) }), 6},
		"a sum":                 {once(func(from string, m Outgoing) bool { return from == "1-00" && scope(m, wire.LoadsOfDataCentre) }), 6},
		"sums to the first":     {once(func(from string, m Outgoing) bool { return m.To == "2-01" && scope(m, wire.LoadsOfFleet) }), 6},
		"sums to one of many":   {once(func(from string, m Outgoing) bool { return m.To == "0-09" && scope(m, wire.LoadsOfFleet) }), 6},
		"all from a host":       {func(from string, m Outgoing) bool { return from == "2-01" }, 6},
		"all to a host":         {func(from string, m Outgoing) bool { return m.To == "2-01" }, 6},
		"all between two hosts": {func(from string, m Outgoing) bool { return from == "2-02" && m.To == "2-04" }, 6},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			got := roundsUntilKnown(c, newFleet(3, 12), "1-05", tt.lost)
			c.Assert(got <= tt.most, qt.IsTrue, qt.Commentf("%d intervals", got))
		})
	}
}

// Guards against a small change that is never sent.
func TestSmallChangeIsSent(t *testing.T) {
	c := qt.New(t)
	tab, rep := table{}, replica{}
	sent := func(asked float32) (got float32, rounds int) {
		for rounds = 1; rounds <= 2*refreshVersions; rounds++ {
			tab.update(wire.Loads{Rates: map[string]wire.AccountRate{"a": {Asked: asked}}}, coarseHosts, start)
			m := tab.changes(tab.version - 1)
			_, err := rep.apply(&m, start)
			c.Assert(err, qt.IsNil)
			if got = rep.loads().Rates["a"].Asked; got > 0.97*asked && got < 1.03*asked {
				return got, rounds
			}
		}
		return got, rounds
	}
	_, rounds := sent(1_000)
	c.Assert(rounds, qt.Equals, 1)
	got, rounds := sent(1_080)
	c.Assert(rounds <= refreshVersions, qt.IsTrue, qt.Commentf("%g after %d", got, rounds))
}

// Guards against hosts of an earlier version that get no loads, or whose loads are not
// counted, beside new ones. They discard LoadChanges.
func TestHostsOfAnEarlierVersion(t *testing.T) {
	for _, old := range [][]string{{"0-00"}, {"0-00", "1-00", "2-00"}, {"0-01", "1-02"}, {"0-01", "0-02", "0-03", "2-00", "2-05"}} {
		t.Run(fmt.Sprint(old), func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(3, 8)
			isOld := map[string]bool{}
			for _, h := range old {
				isOld[h] = true
			}
			f.lost = func(from string, m Outgoing) bool {
				return m.Kind == wire.KindLoadChanges && (isOld[from] || isOld[m.To])
			}
			now := start
			for range 24 {
				now = now.Add(100 * time.Millisecond)
				f.round(now)
			}
			for range 4 {
				now = now.Add(100 * time.Millisecond)
				f.round(now)
				f.assertKnowsAll(c, f.hosts, now)
			}
		})
	}
}

// Guards against a new relay whose first sums lack the hosts that have not reported to it
// yet: until they have, the others keep the sums of its predecessor.
func TestNewRelayWaitsForReports(t *testing.T) {
	c := qt.New(t)
	f := newFleet(3, 6)
	now := start
	for range 12 {
		now = now.Add(100 * time.Millisecond)
		f.round(now)
	}
	delete(f.byName, "1-00")
	var remaining []Host
	for _, h := range f.hosts {
		if h.Name != "1-00" {
			remaining = append(remaining, h)
		}
	}
	f.hosts = remaining
	f.setHosts(remaining)
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		f.round(now)
		for _, h := range remaining {
			running, _, _ := total(f.byName[h.Name].Others(now))
			c.Assert(running >= len(remaining)-1, qt.IsTrue, qt.Commentf("%s: %d", h.Name, running))
		}
	}
	f.assertKnowsAll(c, remaining, now)
}

// Guards against a panic on malformed changes, and against a replica that keeps them.
func TestMalformedChanges(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewSource(1))
	for i := range 2_000 {
		tab, rep := table{}, replica{}
		tab.update(noisyLoads(rng, i), 300*(i%2), start)
		m := tab.changes(0)
		switch rng.Intn(4) {
		case 0:
			m.Values = m.Values[:rng.Intn(len(m.Values))]
		case 1:
			m.Values[rng.Intn(len(m.Values))] = byte(rng.Intn(256))
		case 2:
			m.Entries = m.Entries[:rng.Intn(len(m.Entries))]
		case 3:
			m.FirstEntry = rng.Intn(5) - 2
		}
		if _, err := rep.apply(&m, start); err != nil {
			c.Assert(fault.CodeOf(err), qt.Equals, fault.FrameInvalid)
			c.Assert(rep.entries, qt.HasLen, 0)
		}
		rep.loads()
	}
}

// Guards against a table that grows for ever with accounts that come and go.
func TestTableForgetsWhatIsGone(t *testing.T) {
	c := qt.New(t)
	tab, rep := table{}, replica{}
	for i := range 2_000 {
		tab.update(wire.Loads{Rates: map[string]wire.AccountRate{fmt.Sprint("account-", i): {Asked: 100}}}, 300, start.Add(time.Duration(i)*time.Second))
		m := tab.changes(tab.version - 1)
		applied, err := rep.apply(&m, start)
		c.Assert(err, qt.IsNil)
		c.Assert(applied, qt.IsTrue)
		c.Assert(rep.loads().Rates, qt.HasLen, 1)
	}
	c.Assert(len(tab.entries) < 3*minGoneEntries, qt.IsTrue, qt.Commentf("%d entries", len(tab.entries)))
}
