package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/wire"
)

// modelTicket is the model's state of one request.
type modelTicket struct {
	wire.Ticket
	router   string
	upstream string
	cost     float64
	estimate float64
	epoch    int
	orphan   bool
}

// modelUpstream follows one upstream's cold start independently of the pool. Its limit is
// an upper bound, since a report may lower the limit of a warm upstream.
type modelUpstream struct {
	running, limit, successes, epoch, instance int
	suspect, out                               bool
}

// modelAccount is the model's state of one account. Service is the true cost of a request,
// counted at its grant.
type modelAccount struct {
	waiting, running int
	service          float64
}

// gapInterval is an interval over which two accounts are backlogged and below their
// concurrency limits.
type gapInterval struct {
	open           bool
	minGap, maxGap float64
}

// model drives a pool through random events and checks the invariants of the design.
type model struct {
	t             *testing.T
	h             *harness
	rng           *rand.Rand
	accountNames  []string
	tickets       []*modelTicket
	accounts      map[string]*modelAccount
	upstreams     map[string]*modelUpstream
	routerTags    map[string]map[string]float64
	routerVirtual map[string]float64
	// routerLimits holds the upstream limits that each router knows. Age holds the time of
	// the grant.
	routerLimits map[string]map[string]wire.UpstreamLimit
	// crashed holds the upstreams that each fingerprint crashed, and marks the crash marks
	// that the replicated state keeps for the next scheduler.
	crashed   map[wire.Digest]map[string]bool
	marks     []CrashMark
	intervals map[[2]string]*gapInterval
	// largestGapRatio is the largest observed ratio of a gap to its bound.
	largestGapRatio float64
	grants          int
	steps           int
	// acrossSchedulers lets an interval of the fairness check continue across a change of
	// the scheduler.
	acrossSchedulers bool
	// misleading makes the requests of an account cost the opposite of their estimate,
	// in phases of phaseSteps steps.
	misleading bool
	phaseSteps int
	trace      []string
}

var randomProfile = config.Profile{ColdConcurrency: 1, MaxConcurrency: 4, WarmAfter: 2}

// The lists fix the order of events, so that a seed reproduces its run.
var (
	upstreamNames = []string{"u0", "u1", "u2", "u3"}
	routerNames   = []string{"r0", "r1", "r2"}
)

func newModel(t *testing.T, seed uint64) *model {
	m := &model{
		t: t, h: newHarness(randomProfile, 4), rng: rand.New(rand.NewPCG(seed, 1)),
		accountNames: []string{"a", "b", "c", "d"}, accounts: map[string]*modelAccount{}, upstreams: map[string]*modelUpstream{},
		routerTags: map[string]map[string]float64{}, routerVirtual: map[string]float64{},
		routerLimits: map[string]map[string]wire.UpstreamLimit{}, crashed: map[wire.Digest]map[string]bool{}, intervals: map[[2]string]*gapInterval{},
	}
	for _, n := range append(m.accountNames, "x") {
		ct := contract(n, []float64{1, 1, 2, 5}[m.rng.IntN(4)])
		ct.Concurrency = 1 + m.rng.IntN(12)
		m.h.cfg.Contracts[n] = ct
		m.accounts[n] = &modelAccount{}
	}
	for n := range m.h.cfg.Upstreams {
		m.upstreams[n] = &modelUpstream{limit: 1, instance: 1}
	}
	for _, r := range routerNames {
		m.routerTags[r], m.routerLimits[r] = map[string]float64{}, map[string]wire.UpstreamLimit{}
	}
	m.h.p.Configure(m.h.now, m.h.cfg)
	for _, n := range upstreamNames {
		m.report(n, 0)
	}
	return m
}

func (m *model) failf(format string, args ...any) {
	m.t.Helper()
	for _, l := range m.trace[max(0, len(m.trace)-40):] {
		m.t.Log(l)
	}
	m.t.Fatalf(format, args...)
}

func (m *model) tracef(format string, args ...any) {
	m.trace = append(m.trace, fmt.Sprintf(format, args...))
}

// pick returns a random ticket that runs or waits, nil if there is none.
func (m *model) pick(running bool) *modelTicket {
	var candidates []*modelTicket
	for _, t := range m.tickets {
		if (t.upstream != "") == running && !t.orphan {
			candidates = append(candidates, t)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[m.rng.IntN(len(candidates))]
}

func (m *model) remove(t *modelTicket) {
	for i, o := range m.tickets {
		if o == t {
			m.tickets = append(m.tickets[:i], m.tickets[i+1:]...)
			break
		}
	}
	if t.upstream == "" {
		m.accounts[t.Account].waiting--
		return
	}
	m.upstreams[t.upstream].running--
	if !t.orphan {
		m.accounts[t.Account].running--
	}
}

func (m *model) report(name string, queued int) {
	u := m.upstreams[name]
	m.marks = append(m.marks, m.h.report(name, fmt.Sprint("i", u.instance), u.running, queued).Marks...)
	u.suspect = false
}

func (m *model) resetToCold(name string) {
	u := m.upstreams[name]
	u.epoch++
	u.limit, u.successes = randomProfile.ColdConcurrency, 0
}

func (m *model) submit() {
	name := m.accountNames[m.rng.IntN(len(m.accountNames))]
	if m.rng.IntN(12) == 0 {
		name = "x"
	}
	a := m.accounts[name]
	for range 1 + m.rng.IntN(8) {
		t := m.h.ticket(name)
		t.DataCentre = fmt.Sprint("d", m.rng.IntN(2))
		mt := &modelTicket{router: fmt.Sprint("r", m.rng.IntN(3)), cost: 100 * m.rng.Float64()}
		if m.rng.IntN(2) == 0 {
			mt.cost = float64(100 * m.rng.IntN(2))
		}
		t.ID.Host = mt.router
		if m.misleading {
			// All requests of a phase cost the opposite of their estimate.
			high := (m.steps/m.phaseSteps+int(name[0]))%2 == 0
			mt.cost = 0
			t.InputCost = 100
			if high {
				mt.cost, t.InputCost = 100, 0
			}
		}
		if name == "x" {
			t.Fingerprint = wire.Digest{1, byte(m.rng.IntN(4))}
		}
		mt.Ticket = t
		if r := m.h.p.Submit(m.h.now, &t); r != nil {
			if name != "x" {
				m.failf("refused %s: %s", name, r.Code)
			}
			continue
		}
		idle := a.waiting == 0
		a.waiting++
		m.tickets = append(m.tickets, mt)
		if s := m.h.accountStatus(name); idle && !s.Blocked && s.Tag < m.h.p.virtualTime {
			m.failf("account %s got credit for idle time: tag %v, virtual time %v", name, s.Tag, m.h.p.virtualTime)
		}
	}
}

func (m *model) finish(t *modelTicket) {
	u := m.upstreams[t.upstream]
	f := wire.Finish{ID: t.ID, Pool: "m", Upstream: t.upstream, Outcome: wire.OutcomeDone, Cost: t.cost, Queued: -1}
	switch k := m.rng.IntN(20); {
	case t.Account == "x" && k < 15:
		f.Outcome = wire.OutcomeBroken
		u.suspect = true
		if m.crashed[t.Fingerprint] == nil {
			m.crashed[t.Fingerprint] = map[string]bool{}
		}
		m.crashed[t.Fingerprint][t.upstream] = true
	case t.Account == "x":
		f.Outcome = wire.OutcomeFailed
	case k == 0:
		f.Outcome = wire.OutcomeFailed
	case k == 1:
		f.Outcome = wire.OutcomeCancelled
	case k == 2 && m.rng.IntN(5) == 0:
		f.Outcome = wire.OutcomeRefused
		m.accounts[t.Account].service -= t.cost
		m.resetToCold(t.upstream)
	case t.epoch == u.epoch:
		if u.successes++; u.successes == randomProfile.WarmAfter {
			u.successes, u.limit = 0, min(u.limit*2, randomProfile.MaxConcurrency)
		}
	}
	m.tracef("finish %v %s at %s: outcome %d, cost %.1f", t.ID, t.Account, t.upstream, f.Outcome, t.cost)
	m.remove(t)
	m.marks = append(m.marks, m.h.writeMarks(m.h.p.Finish(m.h.now, &f)).Marks...)
	if m.rng.IntN(4) == 0 {
		m.h.p.Finish(m.h.now, &f)
	}
	if f.Outcome == wire.OutcomeBroken {
		u.instance++
		m.resetToCold(t.upstream)
		m.report(t.upstream, 0)
	}
}

// changeScheduler replaces the scheduler by a new one, which learns the state from the
// routers and the crash marks.
func (m *model) changeScheduler() {
	m.tracef("new scheduler")
	for _, s := range m.intervals {
		s.open = s.open && m.acrossSchedulers
	}
	m.h.replacePool()
	for _, k := range m.marks {
		m.h.p.RestoreMark(k.Fingerprint, k.Upstream, k.Until)
	}
	for _, n := range upstreamNames {
		m.resetToCold(n)
		m.upstreams[n].suspect = false
		m.report(n, 0)
	}
	for _, r := range routerNames {
		s := &wire.Sync{Pool: "m", Virtual: m.routerVirtual[r]}
		for _, t := range m.tickets {
			switch {
			case t.router != r || t.orphan:
			case t.upstream == "":
				s.Waiting = append(s.Waiting, t.Ticket)
			default:
				t.epoch = -1
				s.Running = append(s.Running, wire.RunningRequest{Ticket: t.Ticket, Upstream: t.upstream, Estimate: t.estimate})
			}
		}
		for _, a := range m.accountNames {
			s.Tags = append(s.Tags, wire.AccountTag{Account: a, Tag: m.routerTags[r][a]})
		}
		for _, n := range upstreamNames {
			if l, ok := m.routerLimits[r][n]; ok {
				l.Age = m.h.now - l.Age
				s.Limits = append(s.Limits, l)
			}
		}
		m.h.p.Sync(m.h.now, r, 1, s)
	}
	for _, n := range upstreamNames {
		m.applyInheritedLimit(n)
	}
	m.applyRefusals()
}

// applyInheritedLimit applies the most recent limit of an upstream if it belongs to the
// instance that the load report before the Sync named.
func (m *model) applyInheritedLimit(name string) {
	u, grantedAt := m.upstreams[name], m.h.now-limitMaxAge-1
	for _, r := range routerNames {
		l := m.routerLimits[r][name]
		if l.Instance == "" || l.Age <= grantedAt || u.out {
			continue
		}
		grantedAt, u.limit = l.Age, randomProfile.ColdConcurrency
		if l.Instance == fmt.Sprint("i", u.instance) {
			u.limit = l.Limit
		}
	}
	if got := m.h.upstreamStatus(name); got.Limit != u.limit && !u.out {
		m.failf("%s has limit %d after the change of the scheduler, want %d", name, got.Limit, u.limit)
	}
}

// applyRefusals applies the refusals from Expire. Only crashing requests may be refused.
func (m *model) applyRefusals() {
	for _, r := range m.h.p.Expire(m.h.now, nil) {
		for _, t := range m.tickets {
			if t.ID == r.ID {
				if t.Account != "x" {
					m.failf("refused %v of %s: %s", r.ID, t.Account, r.Code)
				}
				m.remove(t)
				break
			}
		}
	}
}

// loseRouter drops a router. Its requests continue at the upstreams.
func (m *model) loseRouter(r string) {
	m.tracef("lost router %s", r)
	for _, t := range append([]*modelTicket(nil), m.tickets...) {
		if t.router != r || t.orphan {
			continue
		}
		if t.upstream == "" {
			m.remove(t)
		} else {
			t.orphan = true
			m.accounts[t.Account].running--
		}
	}
	m.h.p.DropRouter(m.h.now, r, 1)
	for range 1 + m.rng.IntN(5) {
		for _, t := range m.tickets {
			if t.orphan {
				m.remove(t)
				break
			}
		}
	}
}

func (m *model) changeConfig() {
	if m.rng.IntN(3) > 0 {
		n := m.accountNames[m.rng.IntN(len(m.accountNames))]
		m.h.editContract(n, func(ct *config.Contract) { ct.Concurrency = 1 + m.rng.IntN(12) })
		for k, s := range m.intervals {
			if k[0] == n || k[1] == n {
				s.open = false
			}
		}
		return
	}
	dc := fmt.Sprint("d", m.rng.IntN(2))
	out := !m.h.cfg.DataCentres[dc].Out
	m.tracef("data centre %s out: %v", dc, out)
	m.h.cfg.DataCentres[dc] = config.DataCentre{Name: dc, Out: out}
	m.h.p.Configure(m.h.now, m.h.cfg)
	for n, u := range m.upstreams {
		if m.h.cfg.Upstreams[n].DataCentre == dc {
			u.out = out
			if !out {
				m.resetToCold(n)
				u.suspect = false
			}
		}
	}
}

func (m *model) step() {
	m.steps++
	m.h.now += time.Duration(m.rng.IntN(20)) * time.Millisecond
	up := fmt.Sprint("u", m.rng.IntN(4))
	switch k := m.rng.IntN(200); {
	case k < 60:
		m.submit()
	case k < 165:
		if t := m.pick(true); t != nil {
			m.finish(t)
		}
	case k < 170:
		if t := m.pick(false); t != nil {
			m.h.p.Cancel(m.h.now, t.ID)
			m.remove(t)
		}
	case k < 174:
		if t := m.pick(true); t != nil {
			m.h.p.Return(m.h.now, t.ID)
			m.accounts[t.Account].service -= t.cost
			m.remove(t)
		}
	case k < 180:
		m.changeConfig()
	case k < 183:
		m.tracef("restart of %s", up)
		m.upstreams[up].instance++
		m.resetToCold(up)
		m.report(up, 0)
	case k < 197:
		m.report(up, m.rng.IntN(2))
	case k < 198:
		m.loseRouter(fmt.Sprint("r", m.rng.IntN(3)))
	default:
		m.changeScheduler()
	}
	m.applyRefusals()
	m.checkGaps()
	m.drain()
	m.checkGaps()
	m.checkIdleSlots()
}

func (m *model) drain() {
	for {
		g, ok := m.h.p.Next(m.h.now)
		if !ok {
			return
		}
		m.grants++
		var t *modelTicket
		for _, o := range m.tickets {
			if o.ID == g.ID && o.upstream == "" {
				t = o
			}
		}
		if t == nil {
			m.failf("grant %v for a ticket that does not wait", g.ID)
		}
		m.tracef("grant %v %s at %s: tag %.1f, virtual time %.1f, cost %.1f, fingerprint %v",
			g.ID, g.Account, g.Upstream, g.Tag, g.Virtual, t.cost, t.Fingerprint[:2])
		a, u := m.accounts[t.Account], m.upstreams[g.Upstream]
		a.waiting--
		a.running++
		a.service += t.cost
		u.running++
		t.upstream, t.epoch, t.estimate = g.Upstream, u.epoch, g.Estimate
		m.routerTags[t.router][t.Account] = max(m.routerTags[t.router][t.Account], g.Tag)
		m.routerLimits[t.router][g.Upstream] = wire.UpstreamLimit{Upstream: g.Upstream, Instance: g.Instance, Limit: g.Limit, Age: m.h.now}
		m.routerVirtual[t.router] = max(m.routerVirtual[t.router], g.Virtual)
		m.checkGrant(t, a, u)
	}
}

func (m *model) checkGrant(t *modelTicket, a *modelAccount, u *modelUpstream) {
	switch {
	case u.out || u.suspect:
		m.failf("grant at %s: out %v, suspect %v", t.upstream, u.out, u.suspect)
	case u.running > u.limit:
		m.failf("%d requests at %s with limit %d", u.running, t.upstream, u.limit)
	case a.running > m.h.cfg.Contracts[t.Account].Concurrency:
		m.failf("account %s runs %d", t.Account, a.running)
	}
}
