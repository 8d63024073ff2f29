package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/wire"
)

// modelTicket is what the model knows of one request.
type modelTicket struct {
	wire.Ticket
	router   string
	upstream string
	cost     float64
	estimate float64
	epoch    int
	orphan   bool
}

// modelUpstream is an independent account of one upstream's cold start. Its limit is an
// upper bound, since a report may lower the limit of a warm upstream.
type modelUpstream struct {
	running, limit, successes, epoch, instance int
	suspect, out                               bool
}

// modelAccount measures service at dispatch, valued at the true cost.
type modelAccount struct {
	waiting, running int
	service          float64
}

// span is an interval over which two accounts are backlogged and not blocked.
type span struct {
	open        bool
	least, most float64
}

// model drives a pool through random events and checks the invariants of the design.
type model struct {
	t       *testing.T
	w       *world
	rng     *rand.Rand
	names   []string
	tickets []*modelTicket
	acc     map[string]*modelAccount
	ups     map[string]*modelUpstream
	tags    map[string]map[string]float64
	virtual map[string]float64
	// limits are what the routers know of the upstreams' limits; Age holds the time.
	limits map[string]map[string]wire.UpstreamLimit
	// crashed holds the upstreams that each fingerprint crashed, and marks what the
	// replicated state keeps for the next scheduler.
	crashed map[wire.Digest]map[string]bool
	marks   []CrashMark
	spans   map[[2]string]*span
	// worst is the largest gap seen as a share of the bound.
	worst  float64
	grants int
	steps  int
	// acrossTerms lets an interval of the fairness check go on over a change of the
	// scheduler.
	acrossTerms bool
	// misleading makes the requests of an account cost the opposite of their estimate,
	// in phases of the given number of steps.
	misleading bool
	phase      int
	trace      []string
}

var randomProfile = config.Profile{ColdConcurrency: 1, MaxConcurrency: 4, WarmAfter: 2}

// The lists fix the order of events, so that a seed repeats its run.
var (
	upstreamNames = []string{"u0", "u1", "u2", "u3"}
	routerNames   = []string{"r0", "r1", "r2"}
)

func newModel(t *testing.T, seed uint64) *model {
	m := &model{
		t: t, w: newWorld(randomProfile, 4), rng: rand.New(rand.NewPCG(seed, 1)),
		names: []string{"a", "b", "c", "d"}, acc: map[string]*modelAccount{}, ups: map[string]*modelUpstream{},
		tags: map[string]map[string]float64{}, virtual: map[string]float64{},
		limits: map[string]map[string]wire.UpstreamLimit{}, crashed: map[wire.Digest]map[string]bool{}, spans: map[[2]string]*span{},
	}
	for _, n := range append(m.names, "x") {
		ct := contract(n, []float64{1, 1, 2, 5}[m.rng.IntN(4)])
		ct.Concurrency = 1 + m.rng.IntN(12)
		m.w.cfg.Contracts[n] = ct
		m.acc[n] = &modelAccount{}
	}
	for n := range m.w.cfg.Upstreams {
		m.ups[n] = &modelUpstream{limit: 1, instance: 1}
	}
	for _, r := range routerNames {
		m.tags[r], m.limits[r] = map[string]float64{}, map[string]wire.UpstreamLimit{}
	}
	m.w.p.Configure(m.w.now, m.w.cfg)
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

func (m *model) note(format string, args ...any) {
	m.trace = append(m.trace, fmt.Sprintf(format, args...))
}

// pick returns a random ticket of the wanted kind.
func (m *model) pick(running bool) *modelTicket {
	var of []*modelTicket
	for _, t := range m.tickets {
		if (t.upstream != "") == running && !t.orphan {
			of = append(of, t)
		}
	}
	if len(of) == 0 {
		return nil
	}
	return of[m.rng.IntN(len(of))]
}

func (m *model) remove(t *modelTicket) {
	for i, o := range m.tickets {
		if o == t {
			m.tickets = append(m.tickets[:i], m.tickets[i+1:]...)
			break
		}
	}
	if t.upstream == "" {
		m.acc[t.Account].waiting--
		return
	}
	m.ups[t.upstream].running--
	if !t.orphan {
		m.acc[t.Account].running--
	}
}

func (m *model) report(name string, queued int) {
	u := m.ups[name]
	m.marks = append(m.marks, m.w.report(name, fmt.Sprint("i", u.instance), u.running, queued).Marks...)
	u.suspect = false
}

func (m *model) cool(name string) {
	u := m.ups[name]
	u.epoch++
	u.limit, u.successes = randomProfile.ColdConcurrency, 0
}

func (m *model) submit() {
	name := m.names[m.rng.IntN(len(m.names))]
	if m.rng.IntN(12) == 0 {
		name = "x"
	}
	a := m.acc[name]
	for range 1 + m.rng.IntN(8) {
		t := m.w.ticket(name)
		t.DataCentre = fmt.Sprint("d", m.rng.IntN(2))
		mt := &modelTicket{router: fmt.Sprint("r", m.rng.IntN(3)), cost: 100 * m.rng.Float64()}
		if m.rng.IntN(2) == 0 {
			mt.cost = float64(100 * m.rng.IntN(2))
		}
		t.ID.Host = mt.router
		if m.misleading {
			// Whole phases of requests cost the opposite of their estimate.
			high := (m.steps/m.phase+int(name[0]))%2 == 0
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
		if r := m.w.p.Submit(m.w.now, &t); r != nil {
			if name != "x" {
				m.failf("refused %s: %s", name, r.Code)
			}
			continue
		}
		idle := a.waiting == 0
		a.waiting++
		m.tickets = append(m.tickets, mt)
		if s := m.w.account(name); idle && !s.Blocked && s.Tag < m.w.p.virtual {
			m.failf("account %s got credit for idle time: tag %v, virtual time %v", name, s.Tag, m.w.p.virtual)
		}
	}
}

func (m *model) finish(t *modelTicket) {
	u := m.ups[t.upstream]
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
		m.acc[t.Account].service -= t.cost
		m.cool(t.upstream)
	case t.epoch == u.epoch:
		if u.successes++; u.successes == randomProfile.WarmAfter {
			u.successes, u.limit = 0, min(u.limit*2, randomProfile.MaxConcurrency)
		}
	}
	m.note("finish %v %s at %s: outcome %d, cost %.1f", t.ID, t.Account, t.upstream, f.Outcome, t.cost)
	m.remove(t)
	m.marks = append(m.marks, m.w.p.Finish(m.w.now, &f).Marks...)
	if m.rng.IntN(4) == 0 {
		m.w.p.Finish(m.w.now, &f)
	}
	if f.Outcome == wire.OutcomeBroken {
		u.instance++
		m.cool(t.upstream)
		m.report(t.upstream, 0)
	}
}

// change replaces the scheduler by one with empty memory.
func (m *model) change() {
	m.note("new scheduler")
	for _, s := range m.spans {
		s.open = s.open && m.acrossTerms
	}
	m.w.restart()
	for _, k := range m.marks {
		m.w.p.RestoreMark(k.Fingerprint, k.Upstream, k.Until)
	}
	for _, n := range upstreamNames {
		m.cool(n)
		m.ups[n].suspect = false
		m.report(n, 0)
	}
	for _, r := range routerNames {
		s := &wire.Sync{Pool: "m", Virtual: m.virtual[r]}
		for _, t := range m.tickets {
			switch {
			case t.router != r || t.orphan:
			case t.upstream == "":
				s.Waiting = append(s.Waiting, t.Ticket)
			default:
				t.epoch = -1
				s.Running = append(s.Running, wire.Running{Ticket: t.Ticket, Upstream: t.upstream, Estimate: t.estimate})
			}
		}
		for _, a := range m.names {
			s.Tags = append(s.Tags, wire.AccountTag{Account: a, Tag: m.tags[r][a]})
		}
		for _, n := range upstreamNames {
			if l, ok := m.limits[r][n]; ok {
				l.Age = m.w.now - l.Age
				s.Limits = append(s.Limits, l)
			}
		}
		m.w.p.Sync(m.w.now, r, 1, s)
	}
	for _, n := range upstreamNames {
		m.inherit(n)
	}
	m.refusals()
}

// inherit applies the youngest limit of an upstream if it belongs to the instance that the
// load report before the Sync showed.
func (m *model) inherit(name string) {
	u, at := m.ups[name], m.w.now-limitMaxAge-1
	for _, r := range routerNames {
		l := m.limits[r][name]
		if l.Instance == "" || l.Age <= at || u.out {
			continue
		}
		at, u.limit = l.Age, randomProfile.ColdConcurrency
		if l.Instance == fmt.Sprint("i", u.instance) {
			u.limit = l.Limit
		}
	}
	if got := m.w.upstream(name); got.Limit != u.limit && !u.out {
		m.failf("%s has limit %d after the change, want %d", name, got.Limit, u.limit)
	}
}

// refusals applies what Expire returns; only the crashing requests may be refused.
func (m *model) refusals() {
	for _, r := range m.w.p.Expire(m.w.now, nil) {
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

// lose drops a router. Its requests go on at the upstreams.
func (m *model) lose(r string) {
	m.note("lost router %s", r)
	for _, t := range append([]*modelTicket(nil), m.tickets...) {
		if t.router != r || t.orphan {
			continue
		}
		if t.upstream == "" {
			m.remove(t)
		} else {
			t.orphan = true
			m.acc[t.Account].running--
		}
	}
	m.w.p.DropRouter(m.w.now, r, 1)
	for range 1 + m.rng.IntN(5) {
		for _, t := range m.tickets {
			if t.orphan {
				m.remove(t)
				break
			}
		}
	}
}

func (m *model) toggle() {
	if m.rng.IntN(3) > 0 {
		n := m.names[m.rng.IntN(len(m.names))]
		m.w.edit(n, func(ct *config.Contract) { ct.Concurrency = 1 + m.rng.IntN(12) })
		for k, s := range m.spans {
			if k[0] == n || k[1] == n {
				s.open = false
			}
		}
		return
	}
	dc := fmt.Sprint("d", m.rng.IntN(2))
	out := !m.w.cfg.DataCentres[dc].Out
	m.note("data centre %s out: %v", dc, out)
	m.w.cfg.DataCentres[dc] = config.DataCentre{Name: dc, Out: out}
	m.w.p.Configure(m.w.now, m.w.cfg)
	for n, u := range m.ups {
		if m.w.cfg.Upstreams[n].DataCentre == dc {
			u.out = out
			if !out {
				m.cool(n)
				u.suspect = false
			}
		}
	}
}

func (m *model) step() {
	m.steps++
	m.w.now += time.Duration(m.rng.IntN(20)) * time.Millisecond
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
			m.w.p.Cancel(m.w.now, t.ID)
			m.remove(t)
		}
	case k < 174:
		if t := m.pick(true); t != nil {
			m.w.p.Return(m.w.now, t.ID)
			m.acc[t.Account].service -= t.cost
			m.remove(t)
		}
	case k < 180:
		m.toggle()
	case k < 183:
		m.note("restart of %s", up)
		m.ups[up].instance++
		m.cool(up)
		m.report(up, 0)
	case k < 197:
		m.report(up, m.rng.IntN(2))
	case k < 198:
		m.lose(fmt.Sprint("r", m.rng.IntN(3)))
	default:
		m.change()
	}
	m.refusals()
	m.measure()
	m.drain()
	m.measure()
	m.checkIdle()
}

func (m *model) drain() {
	for {
		g, ok := m.w.p.Next(m.w.now)
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
		m.note("grant %v %s at %s: tag %.1f, virtual time %.1f, cost %.1f, fingerprint %v",
			g.ID, g.Account, g.Upstream, g.Tag, g.Virtual, t.cost, t.Fingerprint[:2])
		a, u := m.acc[t.Account], m.ups[g.Upstream]
		a.waiting--
		a.running++
		a.service += t.cost
		u.running++
		t.upstream, t.epoch, t.estimate = g.Upstream, u.epoch, g.Estimate
		m.tags[t.router][t.Account] = max(m.tags[t.router][t.Account], g.Tag)
		m.limits[t.router][g.Upstream] = wire.UpstreamLimit{Upstream: g.Upstream, Instance: g.Instance, Limit: g.Limit, Age: m.w.now}
		m.virtual[t.router] = max(m.virtual[t.router], g.Virtual)
		m.checkGrant(t, a, u)
	}
}

func (m *model) checkGrant(t *modelTicket, a *modelAccount, u *modelUpstream) {
	switch {
	case u.out || u.suspect:
		m.failf("grant at %s: out %v, suspect %v", t.upstream, u.out, u.suspect)
	case u.running > u.limit:
		m.failf("%d requests at %s with limit %d", u.running, t.upstream, u.limit)
	case a.running > m.w.cfg.Contracts[t.Account].Concurrency:
		m.failf("account %s runs %d", t.Account, a.running)
	}
}
