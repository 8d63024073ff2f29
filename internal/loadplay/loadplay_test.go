package loadplay

import (
	"encoding/xml"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/fault"
)

// testLoad returns half a minute of the load examples/loads/overload.toml, with one loss.
func testLoad(c *qt.C, seed int64) *Load {
	l, err := ReadFile("../../examples/loads/overload.toml")
	c.Assert(err, qt.IsNil)
	l.Length, l.Seed = 30*time.Second, seed
	l.EngineOutages = []EngineOutage{{At: 20 * time.Second, For: 5 * time.Second, Engine: 1}}
	return l
}

// Guards against a fleet that, under overload, earns less or is less fair than the
// baselines, responds late instead of refusing, or refuses only after a long delay.
func TestFleetUnderOverload(t *testing.T) {
	for _, seed := range []int64{1, 2, 3} {
		c := qt.New(t)
		results := Compare(testLoad(c, seed))
		fleet := results[len(results)-1]
		for _, r := range results[:len(results)-1] {
			c.Check(fleet.Total.EarnedFraction() > r.Total.EarnedFraction(), qt.IsTrue, qt.Commentf("seed %d: %s earns %.3f, the fleet %.3f", seed, r.Policy, r.Total.EarnedFraction(), fleet.Total.EarnedFraction()))
			c.Check(fleet.FairnessGap() < r.FairnessGap(), qt.IsTrue, qt.Commentf("seed %d: gap of %s %.2f, of the fleet %.2f", seed, r.Policy, r.FairnessGap(), fleet.FairnessGap()))
		}
		c.Check(fleet.Total.Late*10 < fleet.Total.InTime, qt.IsTrue, qt.Commentf("seed %d: %d late of %d", seed, fleet.Total.Late, fleet.Total.Requests))
		// A refusal may take an eighth of the shortest objective.
		c.Check(fleet.Total.RefusalDelay(0.9) <= 100*time.Millisecond, qt.IsTrue, qt.Commentf("seed %d: refused after %s", seed, fleet.Total.RefusalDelay(0.9)))
	}
}

// Guards against an account that gets less than half of what it requests or the best served
// one gets, while a few accounts request many times their share.
func TestFleetIsFairWhenFewAccountsFlood(t *testing.T) {
	for seed := range int64(3) {
		c := qt.New(t)
		l, err := ReadFile("../../examples/loads/floods.toml")
		c.Assert(err, qt.IsNil)
		l.Seed = seed
		r := Simulate(l, newFleet)
		c.Check(r.UnfairWindows(), qt.Equals, 0, qt.Commentf("seed %d", seed))
	}
}

// Guards against a fleet that refuses a load which the engines can handle.
func TestFleetServesLoadWithinCapacity(t *testing.T) {
	c := qt.New(t)
	l := testLoad(c, 4)
	l.Surges, l.EngineOutages = nil, nil
	for i := range l.Kinds {
		l.Kinds[i].PerSecond *= 0.4
	}
	r := Simulate(l, newFleet)
	c.Assert(r.Total.InTime*100 >= r.Total.Requests*97, qt.IsTrue, qt.Commentf("%+v", r.Total))
	c.Assert(r.Total.Refused*100 <= r.Total.Requests, qt.IsTrue, qt.Commentf("%+v", r.Total))
}

// Guards against requests that the simulation loses or counts twice, and against runs that
// differ with the same seed.
func TestEveryRequestEndsOnce(t *testing.T) {
	c := qt.New(t)
	for _, p := range Policies() {
		l := testLoad(c, 5)
		l.Length = 8 * time.Second
		a, b := Simulate(l, p), Simulate(l, p)
		c.Assert(a.Total.InTime+a.Total.Late+a.Total.Refused+a.Total.Failed, qt.Equals, a.Total.Requests, qt.Commentf("%s", a.Policy))
		c.Assert(a.Total.EarnedWorth, qt.Equals, b.Total.EarnedWorth, qt.Commentf("%s", a.Policy))
		c.Assert(a.engines, qt.DeepEquals, b.engines)
	}
}

// outcomeCounter counts the outcomes that the simulation reports to a policy.
type outcomeCounter struct {
	Policy
	outcomes map[dispatch.Outcome]int
}

func (p outcomeCounter) Done(a *Attempt, outcome dispatch.Outcome, now time.Time) {
	p.outcomes[outcome]++
	p.Policy.Done(a, outcome, now)
}

// Guards against engines' refusals, crashes and expired requests that a policy learns of as
// answers.
func TestOnlyWholeResponsesAreAnswers(t *testing.T) {
	c := qt.New(t)
	for _, p := range Policies() {
		counter := outcomeCounter{outcomes: map[dispatch.Outcome]int{}}
		r := Simulate(testLoad(c, 7), func(s *Simulation) Policy {
			counter.Policy = p(s)
			return counter
		})
		c.Check(counter.outcomes[dispatch.Answered], qt.Equals, r.Total.InTime+r.Total.Late, qt.Commentf("%s: %v", r.Policy, counter.outcomes))
		c.Check(counter.outcomes[dispatch.Failed] > 0, qt.IsTrue, qt.Commentf("%s: %v", r.Policy, counter.outcomes))
		if r.Policy == "round robin" {
			c.Check(counter.outcomes[dispatch.Refused] > 0, qt.IsTrue, qt.Commentf("%v", counter.outcomes))
			c.Check(counter.outcomes[dispatch.Cancelled] > 0, qt.IsTrue, qt.Commentf("%v", counter.outcomes))
		}
	}
}

// Guards against accepting load files with unknown, missing or invalid values.
func TestReadFileRefusesInvalidLoads(t *testing.T) {
	c := qt.New(t)
	good, err := os.ReadFile("../../examples/loads/overload.toml")
	c.Assert(err, qt.IsNil)
	for _, bad := range []string{
		"speed = 1\n" + string(good),
		strings.Replace(string(good), "engines = 12", "engines = 0", 1),
		strings.Replace(string(good), `patience = "4s"`, "", 1),
		strings.Replace(string(good), "share = 4.0", "share = 0.0", 1),
		strings.Replace(string(good), "engine = 3", "engine = 12", 1),
		strings.Replace(string(good), "engine = 3", "engine = 3\ncount = 10", 1),
		"length = ",
	} {
		path := filepath.Join(c.TempDir(), "load.toml")
		c.Assert(os.WriteFile(path, []byte(bad), 0o600), qt.IsNil)
		_, err := ReadFile(path)
		c.Assert(fault.CodeOf(err), qt.Equals, fault.InvalidSettings, qt.Commentf("%s", bad))
	}
}

// Guards against a table with missing rows and an SVG file that is not valid XML.
func TestReportsAreWellFormed(t *testing.T) {
	c := qt.New(t)
	l := testLoad(c, 6)
	l.Length = 3 * time.Second
	results := Compare(l)
	var table, svg strings.Builder
	c.Assert(WriteTable(&table, results), qt.IsNil)
	c.Assert(strings.Count(table.String(), "\n"), qt.Equals, 1+len(results)*(1+len(l.Kinds)))
	c.Assert(WriteSVG(&svg, results), qt.IsNil)
	for d := xml.NewDecoder(strings.NewReader(svg.String())); ; {
		if _, err := d.Token(); err != nil {
			c.Assert(errors.Is(err, io.EOF), qt.IsTrue, qt.Commentf("%v", err))
			return
		}
	}
}
