package bench

import (
	"context"
	"fmt"
	"math"
	"time"

	"marigoldshunt/internal/peer"
)

// contended is one load phase in which every account is backlogged.
type contended struct {
	samples []sample
	// perHost are the bytes per second of each host during the load.
	perHost  map[string]traffic
	answered float64
	faulty   int
}

// contend loads routers for d and samples them.
func (r *run) contend(ctx context.Context, routers []string, read source, d time.Duration, seed int64) (contended, error) {
	s := startSampler(read)
	bytes := make(chan map[string]traffic, 1)
	go func() { bytes <- r.steadyTraffic(d) }()
	rep, err := r.loadUntil(ctx, r.contendingLoad(routers), d, seed)
	c := contended{perHost: <-bytes}
	c.samples = s.stop()
	// The accounts become backlogged one after the other in the first moments, and
	// nothing is sent after the end of the phase.
	c.samples = between(c.samples, settle(d), d)
	if rep != nil {
		c.answered, c.faulty = float64(rep.Total.Answered)/d.Seconds(), rep.Total.Faulty
	}
	return c, err
}

// steadyTraffic measures the traffic within a phase, without the burst of its first
// requests and the withdrawals at its end.
func (r *run) steadyTraffic(d time.Duration) map[string]traffic {
	begin := time.Now()
	time.Sleep(settle(d))
	before, at := r.traffic(), time.Now()
	time.Sleep(d*9/10 - time.Since(begin))
	return perSecond(before, r.traffic(), time.Since(at))
}

// settle is the part of a phase that is not measured.
func settle(d time.Duration) time.Duration { return min(d/5, time.Second) }

func between(list []sample, from, to time.Duration) []sample {
	var out []sample
	for _, s := range list {
		if s.At >= from && s.At < to {
			out = append(out, s)
		}
	}
	return out
}

// contention measures parts 1, 2 and the loaded half of 3.
func (r *run) contention(ctx context.Context) error {
	pool, seed := r.profile.model, r.o.Seed
	first, err := r.contend(ctx, r.callerAddresses(), r.schedulerSource(pool), r.phase(), seed+1)
	if err != nil {
		return err
	}
	r.trafficRows("16 backlogged accounts", first.perHost, r.flooded())
	if !r.o.wants(partFairness, partUtilisation) {
		return nil
	}
	second, err := r.contend(ctx, r.callerAddresses(), r.schedulerSource(pool), 2*r.phase(), seed+2)
	if err != nil {
		return err
	}
	b, err := r.startBaseline()
	if err != nil {
		return err
	}
	defer b.close()
	read := b.source(func() time.Duration { return r.busy(pool) })
	base, err := r.contend(ctx, b.addresses(), read, r.phase(), seed+1)
	if err != nil {
		return err
	}
	r.fairnessRows(first, second, base)
	use, waiting := utilisation(first.samples)
	use2, _ := utilisation(second.samples)
	baseUse, _ := utilisation(base.samples)
	r.add(partUtilisation, Row{Measure: "slots in use while an account waits", Value: 100 * use, Unit: "%",
		Note: fmt.Sprintf("over %.1f s with a waiting account; %s %% in the run of twice the length", waiting.Seconds(), number(100*use2))}.atLeast(99).against(100*baseUse))
	r.add(partUtilisation, Row{Measure: "answered under contention", Value: first.answered, Unit: "1/s"}.against(base.answered))
	r.add(partUtilisation, Row{Measure: "answers not whole or foreign", Value: float64(first.faulty + second.faulty), Unit: "answers"}.atMost(0).against(float64(base.faulty)))
	return nil
}

func (r *run) fairnessRows(first, second, base contended) {
	g1, g2, gb := fairnessGap(first.samples), fairnessGap(second.samples), fairnessGap(base.samples)
	names := r.accounts()
	for _, g := range []*gap{&g1, &g2, &gb} {
		if g.Pairs == 0 {
			// Without a pair that contends nothing was measured, which must not meet a bound.
			g.Largest, g.Share = math.NaN(), math.NaN()
		}
	}
	row := Row{Measure: "largest gap of a pair", Value: g1.Largest, Unit: "units/weight", Series: gapSeries(first.samples, time.Second),
		Note: fmt.Sprintf("%s and %s; %d of %d pairs contended, longest interval %.1f s; %s of the bound at most",
			names[g1.First].Account, names[g1.Second].Account, g1.Pairs, len(names)*(len(names)-1)/2, g1.Longest.Seconds(), number(g1.Share))}
	r.add(partFairness, row.atMost(g1.Bound).against(gb.Largest))
	r.add(partFairness, Row{Measure: "largest gap, twice the length", Value: g2.Largest, Unit: "units/weight",
		Note:   fmt.Sprintf("%s times the gap of the shorter run; longest interval %.1f s", number(g2.Largest/g1.Largest), g2.Longest.Seconds()),
		Series: gapSeries(second.samples, time.Second)}.atMost(g2.Bound))
	r.add(partFairness, Row{Measure: "largest share of the pair's bound", Value: max(g1.Share, g2.Share), Unit: "x"}.atMost(1))
	r.add(partFairness, Row{Measure: "largest gap of the baseline", Value: gb.Largest, Unit: "units/weight",
		Note: fmt.Sprintf("%d pairs contended, longest interval %.1f s", gb.Pairs, gb.Longest.Seconds()), Series: gapSeries(base.samples, time.Second)})
}

// traffic is what a host sent and received, in bytes or bytes per second.
type traffic struct{ sent, received float64 }

// traffic returns the control traffic of each host since its start.
func (f *fleet) traffic() map[string]traffic {
	out := map[string]traffic{}
	for _, h := range f.hosts {
		out[h.settings.Host] = sum(h.daemon.Traffic())
	}
	return out
}

func sum(peers map[string]peer.Traffic) (t traffic) {
	for _, p := range peers {
		t.sent += float64(p.BytesSent)
		t.received += float64(p.BytesReceived)
	}
	return t
}

func perSecond(before, after map[string]traffic, d time.Duration) map[string]traffic {
	out := map[string]traffic{}
	for name, t := range after {
		out[name] = traffic{(t.sent - before[name].sent) / d.Seconds(), (t.received - before[name].received) / d.Seconds()}
	}
	return out
}

// idleTraffic measures part 3 without requests.
func (r *run) idleTraffic(ctx context.Context) error {
	before, begin := r.traffic(), time.Now()
	select {
	case <-time.After(min(r.phase(), 3*time.Second)):
	case <-ctx.Done():
		return ctx.Err()
	}
	r.trafficRows("idle", perSecond(before, r.traffic(), time.Since(begin)), -1)
	return nil
}

// trafficTarget is the bound of section 1.5 in kilobytes per second.
const trafficTarget = 6

// trafficRows prints the mean per host, for hosts that schedule a pool or lead the
// control group, the other members of the group, and plain routers.
func (r *run) trafficRows(when string, perHost map[string]traffic, flooded int) {
	groups := map[string][]traffic{}
	for i, h := range r.hosts {
		kind := "plain routers"
		switch {
		case len(h.daemon.Schedulers()) > 0 || r.hosts[0].daemon.Leader() == h.settings.Host:
			kind = "schedulers and leader"
		case i < controlHosts:
			kind = "control followers"
		case i == flooded:
			kind = "flooded router"
		}
		groups[kind] = append(groups[kind], perHost[h.settings.Host])
	}
	for _, kind := range []string{"plain routers", "flooded router", "control followers", "schedulers and leader"} {
		var total traffic
		largest := 0.0
		for _, t := range groups[kind] {
			total.sent += t.sent
			total.received += t.received
			largest = max(largest, t.sent+t.received)
		}
		n := float64(len(groups[kind]))
		if n == 0 {
			continue
		}
		r.add(partTraffic, Row{
			Measure: when + ", " + kind, Value: (total.sent + total.received) / n / 1000, Unit: "KB/s",
			Note: fmt.Sprintf("mean of %.0f hosts, sent %s and received %s; largest %s", n,
				number(total.sent/n/1000), number(total.received/n/1000), number(largest/1000)),
		}.atMost(trafficTarget))
	}
}
