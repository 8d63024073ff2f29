package dispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/catalog"
)

// Intervals of the load reports of failureFleet, and of the requests that it gets.
const (
	testReportInterval  = 500 * time.Millisecond
	testRequestInterval = 50 * time.Millisecond
)

// failureFleet are the dispatchers of one data centre, which report results to each other.
type failureFleet struct {
	*qt.C
	hosts []*Dispatcher
	now   time.Time
	// requests counts the requests so far, each of which arrives at the next host.
	requests int
}

func newFailureFleet(c *qt.C, hosts int) *failureFleet {
	f := &failureFleet{C: c, now: at(0)}
	for i := range hosts {
		f.hosts = append(f.hosts, newTestDispatcher(fmt.Sprint("h", i)))
	}
	return f
}

func (f *failureFleet) report() {
	own := make([][]Failures, len(f.hosts))
	for i, d := range f.hosts {
		own[i] = d.OwnFailures(f.now)
	}
	for i, d := range f.hosts {
		sums := map[catalog.Key]Failures{}
		for j, list := range own {
			for _, r := range list {
				if j != i {
					s := sums[r.Key]
					sums[r.Key] = Failures{Key: r.Key, Failed: s.Failed + r.Failed, Results: s.Results + r.Results}
				}
			}
		}
		var list []Failures
		for _, s := range sums {
			list = append(list, s)
		}
		d.SetPeerFailures(list, f.now)
	}
}

// run sends requests with the same shared parts for a time and returns how many of them each
// instance got. Those at the instance failing fail at once, all others are answered.
func (f *failureFleet) run(shared uint64, d time.Duration, failing string) map[string]int {
	got := map[string]int{}
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(testRequestInterval) {
		if f.now.Sub(start)%testReportInterval == 0 {
			f.report()
		}
		p, err := f.hosts[f.requests%len(f.hosts)].Pick(prompt(shared), f.now)
		f.Assert(err, qt.IsNil)
		f.requests++
		got[p.Instance.ID]++
		outcome := Answered
		if p.Instance.ID == failing {
			outcome = Failed
		}
		p.Done(outcome, f.now)
	}
	return got
}

// affinity returns the instance that has the shared parts in its cache.
func (f *failureFleet) affinity(shared uint64) string {
	d := f.hosts[0]
	return d.affinityInstance(d.services["engines"], prompt(shared), f.now).ID
}

// Guards against an instance that answers healthy, fails every request at once and still gets
// the prompts whose shared parts it has, since each host learns of its failures alone.
// Requests must go elsewhere soon, and others come once the instance is sound.
func TestHealthyInstanceThatFailsAllIsAvoided(t *testing.T) {
	for _, hosts := range []int{1, 32} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			f := newFailureFleet(qt.New(t), hosts)
			const shared = 100
			home := f.affinity(shared)
			f.Assert(f.run(shared, 5*time.Second, ""), qt.DeepEquals, map[string]int{home: 100})
			failed := f.run(shared, 6*time.Second, home)[home]
			f.Check(failed <= 40, qt.IsTrue, qt.Commentf("%d of 120 requests failed", failed))
			f.run(shared, 4*time.Second, "")
			other := uint64(shared + 1)
			for f.affinity(other) != home {
				other++
			}
			f.Check(f.run(other, time.Second, ""), qt.DeepEquals, map[string]int{home: 20})
		})
	}
}

// Guards against one failed request that moves the prompts of all hosts to other instances,
// which have to read their shared parts again.
func TestOneFailureMovesOnlyPromptsOfItsHost(t *testing.T) {
	f := newFailureFleet(qt.New(t), 32)
	const shared = 100
	home := f.affinity(shared)
	f.run(shared, 5*time.Second, "")
	f.Assert(f.run(shared, testRequestInterval, home), qt.DeepEquals, map[string]int{home: 1})
	stayed := f.run(shared, 5*time.Second, "")[home]
	f.Assert(stayed >= 96, qt.IsTrue, qt.Commentf("%d of 100 requests stayed", stayed))
}

// Guards against free slots at an instance with few failures while requests wait at others.
func TestFewFailuresLeaveNoSlotsFree(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher("h0")
	d.SetInstances([]catalog.Instance{{ID: "p0", Service: "plain", DataCentre: "dc0", Slots: 6}, {ID: "p1", Service: "plain", DataCentre: "dc0", Slots: 6}}, at(0))
	p0 := d.instances[catalog.Key{ID: "p0"}]
	for i := range 20 {
		p0.results.add(float64(i/19), at(0))
	}
	for range 12 {
		_, err := d.Pick(&Job{Service: "plain", Remaining: time.Second}, at(0))
		c.Assert(err, qt.IsNil)
	}
	c.Assert(p0.running >= 5, qt.IsTrue, qt.Commentf("%d of 6 slots are used", p0.running))
}
