package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
)

// at builds a sample with the given service of each account; NaN marks an account that does
// not contend.
func at(ms int, service ...float64) sample {
	s := sample{At: time.Duration(ms) * time.Millisecond}
	for _, v := range service {
		s.Accounts = append(s.Accounts, accountSample{NormalisedService: v, Contends: !math.IsNaN(v), Bound: 50})
	}
	return s
}

// Guards against a fairness gap that includes service from outside the time in which both
// accounts contend, or that misses an interval which starts after the first sample.
func TestGapOverIntervals(t *testing.T) {
	c := qt.New(t)
	none := math.NaN()
	g := fairnessGap([]sample{
		at(0, 0, 0), at(10, 5, 1), at(20, 6, 12), // the difference goes 0, 4, -6
		at(30, none, 40), at(40, 90, 41), at(50, 95, 45), // 49, 50 after an interruption
	})
	c.Assert(g, qt.Equals, gap{Largest: 10, First: 0, Second: 1, Bound: 100, BoundRatio: 0.1, Pairs: 1, LongestInterval: 20 * time.Millisecond})
	c.Assert(fairnessGap([]sample{at(0, 1, none), at(1, 2, none)}), qt.Equals, gap{})
	c.Assert(fairnessGap(nil), qt.Equals, gap{})
	series := gapSeries([]sample{at(0, 0, 0), at(10, 3, 0), at(20, 3, 0), at(30, 3, 7)}, 20*time.Millisecond)
	c.Assert(series, qt.DeepEquals, []float64{3, 7})
}

// Guards against a percentile that interpolates or indexes outside the values.
func TestPercentile(t *testing.T) {
	c := qt.New(t)
	var v []time.Duration
	for i := 20; i > 0; i-- {
		v = append(v, time.Duration(i))
	}
	c.Assert([]float64{percentile(v, 0), percentile(v, 0.5), percentile(v, 0.95), percentile(v, 1)}, qt.DeepEquals, []float64{1, 10, 19, 20})
	c.Assert(math.IsNaN(percentile([]float64{}, 0.5)), qt.IsTrue)
}

// Guards against a utilisation that includes time in which no request waits.
func TestUtilisation(t *testing.T) {
	c := qt.New(t)
	step := func(ms, waiting, busy, limit int) sample {
		return sample{At: time.Duration(ms) * time.Millisecond, Waiting: waiting, BusyTime: time.Duration(busy) * time.Millisecond, Limit: limit}
	}
	use, waiting := utilisation([]sample{step(0, 1, 0, 4), step(10, 1, 30, 4), step(20, 0, 30, 4), step(30, 2, 30, 2), step(40, 2, 50, 2)})
	c.Assert(waiting, qt.Equals, 20*time.Millisecond)
	c.Assert(math.Abs(use-50.0/60) < 1e-9, qt.IsTrue, qt.Commentf("%v", use))
	use, waiting = utilisation([]sample{step(0, 0, 0, 4), step(10, 1, 9, 4)})
	c.Assert(math.IsNaN(use), qt.IsTrue)
	c.Assert(waiting, qt.Equals, time.Duration(0))
}

// Guards against a part that adds no rows or returns an error. The run is far too short for
// its figures to mean anything, so they are not checked.
func TestTinyRunHasAllParts(t *testing.T) {
	c := qt.New(t)
	rep, err := Run(context.Background(), Options{
		Profiles: []string{"chimehollow"}, Examples: "../../examples", Seed: 1, Phase: 100 * time.Millisecond,
		TokensPerSecond: 1000, Grace: 100 * time.Millisecond, ChangeCount: 20,
	})
	c.Assert(err, qt.IsNil)
	parts, withBaseline := map[int]bool{}, map[int]bool{}
	for _, r := range rep.Rows {
		parts[r.Part] = true
		withBaseline[r.Part] = withBaseline[r.Part] || r.Baseline != nil
		c.Check(r.Measure != "" && r.Unit != "" && (r.Target == "") == (r.Met == ""), qt.IsTrue, qt.Commentf("%+v", r))
	}
	for p := partFairness; p <= partDecision; p++ {
		c.Check(parts[p], qt.IsTrue, qt.Commentf("part %d", p))
	}
	for _, p := range []int{partFairness, partUtilisation, partDataCentre, partLatency} {
		c.Check(withBaseline[p], qt.IsTrue, qt.Commentf("baseline of part %d", p))
	}
	var text, data bytes.Buffer
	c.Assert(rep.WriteTable(&text), qt.IsNil)
	c.Assert(rep.WriteJSON(&data), qt.IsNil)
	c.Assert(strings.Count(text.String(), "\n") > len(rep.Rows), qt.IsTrue)
	var read struct{ Rows []map[string]any }
	c.Assert(json.Unmarshal(data.Bytes(), &read), qt.IsNil)
	c.Assert(len(read.Rows), qt.Equals, len(rep.Rows))
}

// laggingHost accepts changes at once and applies each only at the third read after it.
type laggingHost struct {
	applied, accepted *config.Config
	reads             int
}

func (h *laggingHost) Config() *config.Config {
	if h.reads++; h.reads >= 3 {
		h.applied = h.accepted
	}
	return h.applied
}

func (h *laggingHost) Change(_ context.Context, _, _ string, changes []config.Change) (uint64, error) {
	next, err := h.accepted.ApplyAll(changes, h.accepted.Revision+1)
	if err != nil {
		return 0, err
	}
	h.accepted, h.reads = next, 0
	return next.Revision, nil
}

// Guards against a change of a data centre based on a configuration without the change before.
func TestDataCentreChangesWaitForTheEarlierChange(t *testing.T) {
	c := qt.New(t)
	h := &laggingHost{accepted: config.New()}
	_, err := h.Change(context.Background(), "create", operatorName, []config.Change{{DataCentre: &config.DataCentre{Name: "north"}}})
	c.Assert(err, qt.IsNil)
	h.applied = h.accepted
	f := &fleet{}
	for _, out := range []bool{true, false, true} {
		c.Assert(f.setDataCentreOut(context.Background(), h, "north", out), qt.IsNil)
		c.Assert(h.accepted.DataCentres["north"].Out, qt.Equals, out)
	}
}

// Guards against starting a fleet with invalid options.
func TestBadOptionsAreRefused(t *testing.T) {
	c := qt.New(t)
	good := Options{Profiles: []string{"vunimoli"}, Examples: "../../examples", Phase: time.Second}
	for _, edit := range []func(*Options){
		func(opts *Options) { opts.Profiles = nil },
		func(opts *Options) { opts.Profiles = []string{"nowhere"} },
		func(opts *Options) { opts.Phase = 0 },
		func(opts *Options) { opts.Part = 10 },
		func(opts *Options) { opts.Examples = "nowhere" },
	} {
		opts := good
		edit(&opts)
		_, err := Run(context.Background(), opts)
		c.Check(fault.CodeOf(err), qt.Equals, fault.InvalidSettings)
	}
}
