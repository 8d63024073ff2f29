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
	s := m.w.account(n)
	return m.acc[n].waiting > 0 && s.Running < m.w.cfg.Contracts[n].Concurrency
}

func (m *model) checkIdle() {
	for _, u := range m.w.p.Status(m.w.now).Upstreams {
		if u.State == StateOut || u.State == StateSuspect || u.Running+u.Other >= u.Limit {
			continue
		}
		for _, n := range m.names {
			if m.eligible(n) {
				m.failf("%s has %d of %d slots taken while %s waits", u.Name, u.Running+u.Other, u.Limit, n)
			}
		}
	}
}

// measure follows the gap between every two accounts over the intervals in which both
// are backlogged and not blocked, and compares its range with the bound of the design.
func (m *model) measure() {
	for i, a := range m.names {
		for _, b := range m.names[i+1:] {
			s := m.spans[[2]string{a, b}]
			if s == nil {
				s = &span{}
				m.spans[[2]string{a, b}] = s
			}
			if !m.eligible(a) || !m.eligible(b) {
				s.open = false
				continue
			}
			ca, cb := m.w.cfg.Contracts[a], m.w.cfg.Contracts[b]
			gap := m.acc[a].service/ca.Weight - m.acc[b].service/cb.Weight
			if !s.open {
				*s = span{open: true, least: gap, most: gap}
			}
			s.least, s.most = min(s.least, gap), max(s.most, gap)
			bound := pairBound(ca, cb)
			m.worst = max(m.worst, (s.most-s.least)/bound)
			if s.most-s.least > bound+1e-6 {
				m.failf("gap between %s and %s moved by %.1f over one interval, bound %.1f", a, b, s.most-s.least, bound)
			}
		}
	}
}

func pairBound(a, b config.Contract) float64 {
	const c, slots = 100, 16
	return float64(2*min(a.Concurrency, slots)+1)*c/a.Weight + float64(2*min(b.Concurrency, slots)+1)*c/b.Weight
}

// settle ends all work without new tickets. Every ticket must get its turn.
func (m *model) settle() {
	for _, dc := range []string{"d0", "d1"} {
		if m.w.cfg.DataCentres[dc].Out {
			m.w.cfg.DataCentres[dc] = config.DataCentre{Name: dc}
		}
	}
	m.w.p.Configure(m.w.now, m.w.cfg)
	for _, t := range append([]*modelTicket(nil), m.tickets...) {
		if t.orphan {
			m.remove(t)
		}
	}
	for range 10 * (len(m.tickets) + 10) {
		m.w.now += time.Second
		for _, n := range upstreamNames {
			m.w.report(n, "", m.ups[n].running, 0)
			m.ups[n].limit, m.ups[n].suspect, m.ups[n].out = randomProfile.MaxConcurrency, false, false
		}
		m.refusals()
		m.drain()
		if t := m.pick(true); t != nil {
			m.remove(t)
			m.w.p.Finish(m.w.now, &wire.Finish{ID: t.ID, Outcome: wire.OutcomeFailed, Cost: t.cost, Queued: -1})
		}
	}
	for _, n := range m.names {
		if a := m.acc[n]; a.waiting+a.running > 0 {
			m.failf("account %s starves: %d waiting, %d running", n, a.waiting, a.running)
		}
	}
	for fp, ups := range m.crashed {
		if len(ups) > 2 {
			m.failf("crashing fingerprint %v crashed %d upstreams", fp[:2], len(ups))
		}
	}
	if s := m.w.p.Status(m.w.now); s.Running > 0 || len(m.w.p.held) > 0 && s.Waiting == 0 {
		m.failf("left over: %+v", s)
	}
}

// run drives one seed for 1,500 steps. Odd seeds have misleading estimates.
func (m *model) run(seed uint64) {
	m.misleading, m.phase = seed%2 == 1, 1+m.rng.IntN(100)
	for range 1500 {
		m.step()
	}
	m.settle()
}

// Guards against any interleaving of tickets, ends, cancels, configuration changes,
// restarts of upstreams, lost routers and changes of the scheduler that breaks a limit,
// leaves a slot idle, starves an account or widens the fairness gap beyond its bound
// while one scheduler holds the pool.
func TestRandomInterleavings(t *testing.T) {
	runs := uint64(60)
	if testing.Short() {
		runs = 10
	}
	worst, grants := 0.0, 0
	for seed := range runs {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			m := newModel(t, seed)
			m.run(seed)
			worst, grants = max(worst, m.worst), grants+m.grants
		})
	}
	t.Logf("%d runs, %d grants, largest gap %.1f %% of the bound", runs, grants, 100*worst)
}
