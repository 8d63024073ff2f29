package bench

import (
	"context"
	"fmt"
	"math"
	"time"

	"marigoldshunt/internal/peer"
)

// contentionResult is the result of one load phase in which every account is backlogged.
type contentionResult struct {
	samples []sample
	// perHost is the control traffic of each host during the load, in bytes per second.
	perHost  map[string]traffic
	answered float64
	faulty   int
}

// loadAndSample loads the routers for d and samples the pool meanwhile.
func (r *run) loadAndSample(ctx context.Context, routers []string, read sampleSource, d time.Duration, seed int64) (contentionResult, error) {
	s := startSampler(read)
	bytes := make(chan map[string]traffic, 1)
	go func() { bytes <- r.steadyTrafficRate(d) }()
	rep, err := r.loadAndCancel(ctx, r.contendingLoad(routers), d, seed)
	c := contentionResult{perHost: <-bytes}
	c.samples = s.stop()
	// The accounts become backlogged one after the other in the first moments, and nothing
	// is sent after the end of the phase.
	c.samples = samplesBetween(c.samples, rampUp(d), d)
	if rep != nil {
		c.answered, c.faulty = float64(rep.Total.Answered)/d.Seconds(), rep.Total.Faulty
	}
	return c, err
}

// steadyTrafficRate measures the control traffic within a phase, without the burst of its
// first requests and the cancellations at its end.
func (r *run) steadyTrafficRate(d time.Duration) map[string]traffic {
	begin := time.Now()
	time.Sleep(rampUp(d))
	before, at := r.trafficTotals(), time.Now()
	time.Sleep(d*9/10 - time.Since(begin))
	return trafficRate(before, r.trafficTotals(), time.Since(at))
}

// rampUp is the beginning of a phase, which is not measured.
func rampUp(d time.Duration) time.Duration { return min(d/5, time.Second) }

func samplesBetween(list []sample, from, to time.Duration) []sample {
	var out []sample
	for _, s := range list {
		if s.At >= from && s.At < to {
			out = append(out, s)
		}
	}
	return out
}

// contention measures part 1 (fairness), part 2 (utilisation) and the traffic under load of
// part 3.
func (r *run) contention(ctx context.Context) error {
	pool, seed := r.profile.model, r.opts.Seed
	first, err := r.loadAndSample(ctx, r.callerAddresses(), r.schedulerSampleSource(pool), r.phaseLength(), seed+1)
	if err != nil {
		return err
	}
	r.trafficRows("16 backlogged accounts", first.perHost, r.floodedRouter())
	if !r.opts.wants(partFairness, partUtilisation) {
		return nil
	}
	second, err := r.loadAndSample(ctx, r.callerAddresses(), r.schedulerSampleSource(pool), 2*r.phaseLength(), seed+2)
	if err != nil {
		return err
	}
	baselineFleet, err := r.startBaseline()
	if err != nil {
		return err
	}
	defer baselineFleet.close()
	baselineSource := baselineFleet.sampleSource(func() time.Duration { return r.busyTime(pool) })
	baselineResult, err := r.loadAndSample(ctx, baselineFleet.addresses(), baselineSource, r.phaseLength(), seed+1)
	if err != nil {
		return err
	}
	r.fairnessRows(first, second, baselineResult)
	use, waiting := utilisation(first.samples)
	use2, _ := utilisation(second.samples)
	baseUse, _ := utilisation(baselineResult.samples)
	r.add(partUtilisation, Row{Measure: "slots in use while an account waits", Value: 100 * use, Unit: "%",
		Note: fmt.Sprintf("over %.1f s with a waiting account; %s %% in the run of twice the length", waiting.Seconds(), formatNumber(100*use2))}.atLeast(99).withBaseline(100*baseUse))
	r.add(partUtilisation, Row{Measure: "answered under contention", Value: first.answered, Unit: "1/s"}.withBaseline(baselineResult.answered))
	r.add(partUtilisation, Row{Measure: "answers not whole or foreign", Value: float64(first.faulty + second.faulty), Unit: "answers"}.atMost(0).withBaseline(float64(baselineResult.faulty)))
	return nil
}

func (r *run) fairnessRows(first, second, baseline contentionResult) {
	gapFirst, gapSecond, gapBaseline := fairnessGap(first.samples), fairnessGap(second.samples), fairnessGap(baseline.samples)
	names := r.accounts()
	for _, g := range []*gap{&gapFirst, &gapSecond, &gapBaseline} {
		if g.Pairs == 0 {
			// Without a contending pair nothing was measured, and NaN meets no bound.
			g.Largest, g.BoundRatio = math.NaN(), math.NaN()
		}
	}
	row := Row{Measure: "largest gap of a pair", Value: gapFirst.Largest, Unit: "units/weight", Series: gapSeries(first.samples, time.Second),
		Note: fmt.Sprintf("%s and %s; %d of %d pairs contended, longest interval %.1f s; %s of the bound at most",
			names[gapFirst.First].Account, names[gapFirst.Second].Account, gapFirst.Pairs, len(names)*(len(names)-1)/2, gapFirst.LongestInterval.Seconds(), formatNumber(gapFirst.BoundRatio))}
	r.add(partFairness, row.atMost(gapFirst.Bound).withBaseline(gapBaseline.Largest))
	r.add(partFairness, Row{Measure: "largest gap, twice the length", Value: gapSecond.Largest, Unit: "units/weight",
		Note:   fmt.Sprintf("%s times the gap of the shorter run; longest interval %.1f s", formatNumber(gapSecond.Largest/gapFirst.Largest), gapSecond.LongestInterval.Seconds()),
		Series: gapSeries(second.samples, time.Second)}.atMost(gapSecond.Bound))
	r.add(partFairness, Row{Measure: "largest share of the pair's bound", Value: max(gapFirst.BoundRatio, gapSecond.BoundRatio), Unit: "x"}.atMost(1))
	r.add(partFairness, Row{Measure: "largest gap of the baseline", Value: gapBaseline.Largest, Unit: "units/weight",
		Note: fmt.Sprintf("%d pairs contended, longest interval %.1f s", gapBaseline.Pairs, gapBaseline.LongestInterval.Seconds()), Series: gapSeries(baseline.samples, time.Second)})
}

// traffic is what a host sent and received, in bytes or bytes per second.
type traffic struct{ sent, received float64 }

// trafficTotals returns the control traffic of each host since its start.
func (f *fleet) trafficTotals() map[string]traffic {
	out := map[string]traffic{}
	for _, h := range f.hosts {
		out[h.settings.Host] = addTraffic(h.daemon.Traffic())
	}
	return out
}

func addTraffic(peers map[string]peer.Traffic) (t traffic) {
	for _, p := range peers {
		t.sent += float64(p.BytesSent)
		t.received += float64(p.BytesReceived)
	}
	return t
}

func trafficRate(before, after map[string]traffic, d time.Duration) map[string]traffic {
	out := map[string]traffic{}
	for name, t := range after {
		out[name] = traffic{(t.sent - before[name].sent) / d.Seconds(), (t.received - before[name].received) / d.Seconds()}
	}
	return out
}

// idleTraffic measures the traffic of part 3 without requests.
func (r *run) idleTraffic(ctx context.Context) error {
	before, begin := r.trafficTotals(), time.Now()
	select {
	case <-time.After(min(r.phaseLength(), 3*time.Second)):
	case <-ctx.Done():
		return ctx.Err()
	}
	r.trafficRows("idle", trafficRate(before, r.trafficTotals(), time.Since(begin)), -1)
	return nil
}

// trafficTarget is the target of section 1.5 for the control traffic of one host, in
// kilobytes per second.
const trafficTarget = 6

// trafficRows adds the mean traffic per host for each role: hosts that schedule a pool or
// lead the control group, the other members of the group, the flooded router, and plain
// routers. A negative flooded means that no router is flooded.
func (r *run) trafficRows(state string, perHost map[string]traffic, flooded int) {
	groups := map[string][]traffic{}
	for i, h := range r.hosts {
		role := "plain routers"
		switch {
		case len(h.daemon.Schedulers()) > 0 || r.hosts[0].daemon.Leader() == h.settings.Host:
			role = "schedulers and leader"
		case i < controlHosts:
			role = "control followers"
		case i == flooded:
			role = "flooded router"
		}
		groups[role] = append(groups[role], perHost[h.settings.Host])
	}
	for _, role := range []string{"plain routers", "flooded router", "control followers", "schedulers and leader"} {
		var total traffic
		largest := 0.0
		for _, t := range groups[role] {
			total.sent += t.sent
			total.received += t.received
			largest = max(largest, t.sent+t.received)
		}
		n := float64(len(groups[role]))
		if n == 0 {
			continue
		}
		r.add(partTraffic, Row{
			Measure: state + ", " + role, Value: (total.sent + total.received) / n / 1000, Unit: "KB/s",
			Note: fmt.Sprintf("mean of %.0f hosts, sent %s and received %s; largest %s", n,
				formatNumber(total.sent/n/1000), formatNumber(total.received/n/1000), formatNumber(largest/1000)),
		}.atMost(trafficTarget))
	}
}
