package sched

import (
	"fmt"
	"testing"
	"time"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/wire"
)

// eligible reports whether the account is backlogged and below its own limits.
func (m *model) eligible(n string) bool {
	s := m.h.accountStatus(n)
	return m.accounts[n].waiting > 0 && s.Running < m.h.cfg.Contracts[n].Concurrency
}

func (m *model) checkIdleSlots() {
	for _, u := range m.h.p.Status(m.h.now).Upstreams {
		if u.State == UpstreamOut || u.State == UpstreamSuspect || u.Running+u.Other >= u.Limit {
			continue
		}
		for _, n := range m.accountNames {
			if m.eligible(n) {
				m.failf("%s has %d of %d slots taken while %s waits", u.Name, u.Running+u.Other, u.Limit, n)
			}
		}
	}
}

// checkGaps follows the service gap between every two accounts over the intervals in which
// both are backlogged and below their concurrency limits, and compares its range with the
// bound of the design.
func (m *model) checkGaps() {
	for i, a := range m.accountNames {
		for _, b := range m.accountNames[i+1:] {
			s := m.intervals[[2]string{a, b}]
			if s == nil {
				s = &gapInterval{}
				m.intervals[[2]string{a, b}] = s
			}
			if !m.eligible(a) || !m.eligible(b) {
				s.open = false
				continue
			}
			ca, cb := m.h.cfg.Contracts[a], m.h.cfg.Contracts[b]
			gap := m.accounts[a].service/ca.Weight - m.accounts[b].service/cb.Weight
			if !s.open {
				*s = gapInterval{open: true, minGap: gap, maxGap: gap}
			}
			s.minGap, s.maxGap = min(s.minGap, gap), max(s.maxGap, gap)
			bound := pairBound(ca, cb)
			m.largestGapRatio = max(m.largestGapRatio, (s.maxGap-s.minGap)/bound)
			if s.maxGap-s.minGap > bound+1e-6 {
				m.failf("gap between %s and %s moved by %.1f over one interval, bound %.1f", a, b, s.maxGap-s.minGap, bound)
			}
		}
	}
}

func pairBound(a, b config.Contract) float64 {
	const c, slots = 100, 16
	return float64(2*min(a.Concurrency, slots)+1)*c/a.Weight + float64(2*min(b.Concurrency, slots)+1)*c/b.Weight
}

// finishAll finishes all requests without new tickets. Every ticket must be served.
func (m *model) finishAll() {
	for _, dc := range []string{"d0", "d1"} {
		if m.h.cfg.DataCentres[dc].Out {
			m.h.cfg.DataCentres[dc] = config.DataCentre{Name: dc}
		}
	}
	m.h.p.Configure(m.h.now, m.h.cfg)
	for _, t := range append([]*modelTicket(nil), m.tickets...) {
		if t.orphan {
			m.remove(t)
		}
	}
	for range 10 * (len(m.tickets) + 10) {
		m.h.now += time.Second
		for _, n := range upstreamNames {
			m.h.report(n, "", m.upstreams[n].running, 0)
			m.upstreams[n].limit, m.upstreams[n].suspect, m.upstreams[n].out = randomProfile.MaxConcurrency, false, false
		}
		m.applyRefusals()
		m.drain()
		if t := m.pick(true); t != nil {
			m.remove(t)
			m.h.p.Finish(m.h.now, &wire.Finish{ID: t.ID, Outcome: wire.OutcomeFailed, Cost: t.cost, Queued: -1})
		}
	}
	for _, n := range m.accountNames {
		if a := m.accounts[n]; a.waiting+a.running > 0 {
			m.failf("account %s starves: %d waiting, %d running", n, a.waiting, a.running)
		}
	}
	for fp, ups := range m.crashed {
		if len(ups) > 2 {
			m.failf("crashing fingerprint %v crashed %d upstreams", fp[:2], len(ups))
		}
	}
	if s := m.h.p.Status(m.h.now); s.Running > 0 || len(m.h.p.parked) > 0 && s.Waiting == 0 {
		m.failf("requests or parked accounts left over: %+v", s)
	}
}

// run runs one seed for 1,500 steps. Odd seeds have misleading estimates.
func (m *model) run(seed uint64) {
	m.misleading, m.phaseSteps = seed%2 == 1, 1+m.rng.IntN(100)
	for range 1500 {
		m.step()
	}
	m.finishAll()
}

// Under random interleavings of submits, finishes, cancels, configuration changes, upstream
// restarts, lost routers and changes of the scheduler, limits hold, no slot stays idle, no
// account starves, and the fairness gap stays within its bound while one scheduler holds
// the pool.
func TestRandomInterleavings(t *testing.T) {
	runs := uint64(60)
	if testing.Short() {
		runs = 10
	}
	largestGapRatio, grants := 0.0, 0
	for seed := range runs {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			m := newModel(t, seed)
			m.run(seed)
			largestGapRatio, grants = max(largestGapRatio, m.largestGapRatio), grants+m.grants
		})
	}
	t.Logf("%d runs, %d grants, largest gap %.1f %% of the bound", runs, grants, 100*largestGapRatio)
}
