package loadplay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/dispatch"
)

// Guards against refusals that come at once although hosts and their messages take time.
func TestRefusalsTakeTheTimeOfHostsAndMessages(t *testing.T) {
	c := qt.New(t)
	l := testLoad(c, 8)
	l.Length, l.MessageDelay, l.HandlingTime = 6*time.Second, 20*time.Millisecond, 5*time.Millisecond
	r := Simulate(l, newFleet)
	c.Assert(r.Total.Refused > 0, qt.IsTrue)
	c.Assert(r.Total.RefusalDelay(0.1) >= 45*time.Millisecond, qt.IsTrue, qt.Commentf("%s", r.Total.RefusalDelay(0.1)))
	c.Assert(r.Total.InTime+r.Total.Late+r.Total.Refused+r.Total.Failed, qt.Equals, r.Total.Requests)
}

// hostRecorder records at which hosts the attempts of each account arrive.
type hostRecorder struct {
	Policy
	hosts map[string]map[int]bool
	// up holds the numbers of engines that the hosts knew of.
	up []int
}

func (p *hostRecorder) HandleAttempt(a *Attempt, now time.Time) {
	if p.hosts[a.Account] == nil {
		p.hosts[a.Account] = map[int]bool{}
	}
	p.hosts[a.Account][a.Host] = true
	p.Policy.HandleAttempt(a, now)
}

func (p *hostRecorder) SetEngines(up []bool, now time.Time) {
	n := 0
	for _, u := range up {
		if u {
			n++
		}
	}
	p.up = append(p.up, n)
	p.Policy.SetEngines(up, now)
}

// Guards against attempts at other hosts for an account that keeps to one.
func TestAccountKeepsToOneHost(t *testing.T) {
	c := qt.New(t)
	l := testLoad(c, 9)
	l.Length = 6 * time.Second
	l.Accounts[1].OneHost = true
	recorder := &hostRecorder{hosts: map[string]map[int]bool{}}
	Simulate(l, func(s *Simulation) Policy {
		recorder.Policy = newFleet(s)
		return recorder
	})
	c.Assert(recorder.hosts[l.Accounts[1].Name], qt.DeepEquals, map[int]bool{1: true})
	c.Assert(len(recorder.hosts[l.Accounts[0].Name]), qt.Equals, l.Hosts)
}

// Guards against hosts that learn at once of an outage, or of engines that return together
// although they start one after the other.
func TestOutageIsNoticedLateAndEndsInSteps(t *testing.T) {
	c := qt.New(t)
	l := testLoad(c, 10)
	l.Length = 6 * time.Second
	l.EngineOutages = []EngineOutage{{At: time.Second, For: time.Second, Engine: 2, Count: 3, Stagger: 100 * time.Millisecond, Notice: 400 * time.Millisecond}}
	recorder := &hostRecorder{hosts: map[string]map[int]bool{}}
	outcomes := outcomeCounter{Policy: recorder, outcomes: map[dispatch.Outcome]int{}}
	Simulate(l, func(s *Simulation) Policy {
		recorder.Policy = newFleet(s)
		return outcomes
	})
	c.Assert(recorder.up, qt.DeepEquals, []int{12, 9, 10, 11, 12})
	c.Assert(outcomes.outcomes[dispatch.Unreachable] > 0, qt.IsTrue, qt.Commentf("%v", outcomes.outcomes))
}
