package sweep

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/loads"
	"marigoldshunt/internal/rendezvous"
	"marigoldshunt/internal/routing"
	"marigoldshunt/internal/wire"
)

// The load of each host at the target scale, see section 1 of docs/CAPACITY.md.
const (
	targetHosts    = 370
	targetEngines  = 810
	targetServices = 30
	// targetAccounts is the number of accounts with requests: the backlogged ones.
	targetAccounts = 680
	// hostsPerAccount is the number of hosts that the callers of an account use.
	hostsPerAccount = 4
	// requestsPerSecond is the rate of requests at a host.
	requestsPerSecond = 13.0
	meanPromptTokens  = 1_000
	meanOutputTokens  = 271
	meanRunTime       = 7_900 * time.Millisecond
	engineSlots       = 256
	engineMemory      = 400_000
	// configuredShare is the configured capacity as a fraction of the demand, so that shares
	// apply.
	configuredShare = 0.9
	// tick is the resolution of the simulated clock, and the delay of a message.
	tick = 10 * time.Millisecond
	// warmUp is simulated before traffic is counted, so that the number of running requests
	// and the rates of accounts are steady.
	warmUp = 12 * time.Second
)

// scaled returns a quantity of the target scale in proportion to the hosts.
func scaled(target, hosts int) int { return max((target*hosts+targetHosts/2)/targetHosts, 1) }

// simHost is one host of the simulated fleet.
type simHost struct {
	name       string
	dispatcher *dispatch.Dispatcher
	exchange   *loads.Exchange
	// accounts are the accounts whose callers use this host.
	accounts []string
	nextTick time.Time
	// ownedEngines are the engines whose gates this host owns.
	ownedEngines []int
}

// world is a simulated fleet of hosts with dispatchers, loads and gates.
type world struct {
	rng     *rand.Rand
	now     time.Time
	hosts   []*simHost
	byName  map[string]*simHost
	members rendezvous.Members
	engines []*simEngine
	byKey   map[catalog.Key]*simEngine
	// services is the number of services.
	services int
	// due holds what happens at a later tick.
	due          map[time.Time][]func()
	loads, gates *meter
	seq          uint64
	pending      map[dispatch.AdmissionID]*request
}

type simEngine struct {
	instance catalog.Instance
	gate     *dispatch.Gate
	speed    *dispatch.SpeedEstimator
	owner    *simHost
	// readUntil is when the engine has read the prompts that were sent to it.
	readUntil time.Time
}

// request is a request on its way through the fleet.
type request struct {
	id        dispatch.AdmissionID
	host      *simHost
	job       *dispatch.Job
	engine    *simEngine
	placement *dispatch.Placement
}

var worldStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newWorld(hosts int, seed int64) *world {
	w := &world{
		rng: rand.New(rand.NewSource(seed)), now: worldStart, byName: map[string]*simHost{}, byKey: map[catalog.Key]*simEngine{},
		services: scaled(targetServices, hosts), due: map[time.Time][]func(){}, loads: newMeter(), gates: newMeter(), pending: map[dispatch.AdmissionID]*request{},
	}
	var names []string
	var members []loads.Host
	for i := range hosts {
		names = append(names, hostName(i))
		members = append(members, loads.Host{Name: hostName(i), DataCentre: dataCentreName(i)})
	}
	w.members = rendezvous.NewMembers(names[0], names)
	for i, name := range names {
		h := &simHost{name: name, exchange: loads.New(name, dataCentreName(i)),
			dispatcher: dispatch.New(dispatch.Options{Host: name, DataCentre: dataCentreName(i)})}
		h.exchange.SetHosts(members)
		h.nextTick = w.now.Add(time.Duration(w.rng.Int63n(int64(h.exchange.Interval()))).Truncate(tick))
		h.dispatcher.SetHosts(names)
		w.hosts, w.byName[name] = append(w.hosts, h), h
	}
	w.addEngines()
	w.addAccounts()
	return w
}

func (w *world) addEngines() {
	var list []catalog.Instance
	var services []routing.Service
	for s := range w.services {
		services = append(services, routing.Service{Name: serviceName(s), Engine: &routing.Engine{Slots: engineSlots, MemoryTokens: engineMemory, TokensPerEvent: 1}})
	}
	for i := range scaled(targetEngines, len(w.hosts)) {
		speed := dispatch.NewSpeedEstimator()
		e := &simEngine{speed: speed, gate: dispatch.NewGate(engineSlots, engineMemory, speed), instance: catalog.Instance{
			ID: fmt.Sprintf("engine-%04d-%04x", i, w.rng.Intn(1<<16)), Born: worldStart.UnixMilli() + int64(i), Service: serviceName(i % w.services),
			DataCentre: dataCentreName(i), Slots: engineSlots,
		}}
		e.owner = w.byName[w.members.Best(rendezvous.Hash(e.instance.ID))]
		e.owner.ownedEngines = append(e.owner.ownedEngines, i)
		w.engines, w.byKey[e.instance.Key()] = append(w.engines, e), e
		list = append(list, e.instance)
	}
	demand := requestsPerSecond * float64(len(w.hosts)) * (meanPromptTokens + 2*meanOutputTokens)
	for _, h := range w.hosts {
		h.dispatcher.SetServices(services, demand*configuredShare)
		h.dispatcher.SetInstances(list, w.now)
	}
}

func serviceName(i int) string { return fmt.Sprintf("model-%02d", i) }

// addAccounts gives each account its hosts, and each host at least one account.
func (w *world) addAccounts() {
	for a := range scaled(targetAccounts, len(w.hosts)) {
		for range hostsPerAccount {
			h := w.hosts[w.rng.Intn(len(w.hosts))]
			h.accounts = append(h.accounts, fmt.Sprintf("account-%05d", a))
		}
	}
	for _, h := range w.hosts {
		if len(h.accounts) == 0 {
			h.accounts = []string{"account-00000"}
		}
	}
}

func (w *world) after(d time.Duration, f func()) {
	at := w.now.Add(max(d, tick)).Truncate(tick)
	w.due[at] = append(w.due[at], f)
}

// run advances the clock by d.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(tick)
		list := w.due[w.now]
		delete(w.due, w.now)
		for _, f := range list {
			f()
		}
		for _, h := range w.hosts {
			if w.rng.Float64() < requestsPerSecond*tick.Seconds() {
				w.startRequest(h)
			}
			if !w.now.Before(h.nextTick) {
				h.nextTick = h.nextTick.Add(h.exchange.Interval())
				w.exchangeLoads(h)
			}
		}
	}
}

// around returns a random number that is mean on average and differs from it by at most
// half.
func (w *world) around(mean int) int { return mean/2 + w.rng.Intn(mean+1) }

func (w *world) newJob(h *simHost) *dispatch.Job {
	tokens := w.around(meanPromptTokens)
	return &dispatch.Job{
		Service: serviceName(w.rng.Intn(w.services)), InputTokens: tokens, OutputTokens: w.around(meanOutputTokens), Bytes: 4 * tokens,
		Parts: []dispatch.Part{{ID: w.rng.Uint64(), Tokens: tokens}}, Objective: 1500 * time.Millisecond, Remaining: 30 * time.Second,
		Account: h.accounts[w.rng.Intn(len(h.accounts))],
	}
}

// ownLoads returns the loads that a host reports.
func (w *world) ownLoads(h *simHost) wire.Loads {
	own := wire.Loads{Rates: map[string]wire.AccountRate{}}
	for _, i := range h.ownedEngines {
		e := w.engines[i]
		backlog, running := e.gate.Backlog(w.now)
		own.Gates = append(own.Gates, wire.GateLoad{ID: e.instance.ID, Born: e.instance.Born, Backlog: backlog, Running: running, PerMs: e.speed.PerMs()})
	}
	for _, l := range h.dispatcher.OwnLoads() {
		own.Instances = append(own.Instances, wire.InstanceLoad(l))
	}
	for account, r := range h.dispatcher.OwnRates(w.now) {
		own.Rates[account] = wire.AccountRate{Asked: float32(r.Demanded), Served: float32(r.Served)}
	}
	return own
}

func (w *world) exchangeLoads(h *simHost) {
	for _, m := range h.exchange.Tick(w.ownLoads(h), w.now) {
		w.sendLoads(h, m)
	}
	w.applyLoads(h)
}

// sendLoads counts and delivers a message of the exchange of loads.
func (w *world) sendLoads(from *simHost, m loads.Outgoing) {
	payload, err := wire.Marshal(m.Msg)
	if err != nil {
		w.loads.err = err
		return
	}
	w.loads.count(from.name, m.To, m.Kind, payload)
	to := w.byName[m.To]
	w.after(tick, func() { w.receiveLoads(from.name, to, m.Kind, payload) })
}

func (w *world) receiveLoads(from string, h *simHost, kind wire.Kind, payload []byte) {
	var report wire.Loads
	var sums wire.LoadSums
	if kind == wire.KindLoads {
		if err := wire.Unmarshal(payload, &report); err != nil {
			w.loads.err = err
			return
		}
		h.exchange.HandleReport(from, report, w.now)
		return
	}
	if err := wire.Unmarshal(payload, &sums); err != nil {
		w.loads.err = err
		return
	}
	h.exchange.HandleSums(sums, w.now)
	w.applyLoads(h)
}

// applyLoads passes the loads of the other hosts to a host's dispatcher.
func (w *world) applyLoads(h *simHost) {
	for _, sum := range h.exchange.Others(w.now) {
		list := make([]dispatch.Load, len(sum.Loads.Instances))
		for i, l := range sum.Loads.Instances {
			list[i] = dispatch.Load(l)
		}
		receivedAt := h.exchange.ReceivedAt(sum.DataCentre)
		h.dispatcher.SetPeerLoads(sum.DataCentre, list, receivedAt, w.now)
		rates := make(dispatch.AccountRates, len(sum.Loads.Rates))
		for account, r := range sum.Loads.Rates {
			rates[account] = dispatch.AccountRate{Demanded: float64(r.Asked), Served: float64(r.Served)}
		}
		h.dispatcher.SetPeerRates(sum.DataCentre, rates, w.now)
		for _, g := range sum.Loads.Gates {
			h.dispatcher.SetGate(catalog.Key{ID: g.ID, Born: g.Born}, dispatch.GateLoad{Backlog: g.Backlog, Running: g.Running, PerMs: g.PerMs, ReceivedAt: receivedAt}, w.now)
		}
	}
}

// demandError returns the 95th percentile of the relative error of accounts' demands as
// the hosts of their callers see them.
func (w *world) demandError() float64 {
	truth := map[string]float64{}
	own := map[*simHost]dispatch.AccountRates{}
	for _, h := range w.hosts {
		own[h] = h.dispatcher.OwnRates(w.now)
		for account, r := range own[h] {
			truth[account] += r.Demanded
		}
	}
	var errors []float64
	for _, h := range w.hosts {
		others := h.exchange.Others(w.now)
		for account, r := range own[h] {
			seen := r.Demanded
			for _, sum := range others {
				seen += float64(sum.Loads.Rates[account].Asked)
			}
			errors = append(errors, max(seen-truth[account], truth[account]-seen)/truth[account])
		}
	}
	if len(errors) == 0 {
		return 0
	}
	slices.Sort(errors)
	return errors[len(errors)*95/100]
}

const (
	// decisionRounds is the number of timed rounds; the fastest counts, because other work
	// on the machine only adds to the time.
	decisionRounds    = 5
	decisionsPerRound = 400
)

// decisionTime returns the time in which a host ranks a request and chooses its instance.
func (w *world) decisionTime() time.Duration {
	h, best := w.hosts[len(w.hosts)-1], time.Duration(1<<62)
	for range decisionRounds {
		jobs := make([]*dispatch.Job, decisionsPerRound)
		for i := range jobs {
			jobs[i] = w.newJob(h)
		}
		start := time.Now()
		for _, j := range jobs {
			h.dispatcher.RecordDemand(j, w.now)
			if p, err := h.dispatcher.Pick(j, w.now); err == nil {
				p.Done(dispatch.Cancelled, w.now)
			}
		}
		best = min(best, time.Since(start)/decisionsPerRound)
	}
	return best
}

// measureDispatch measures dispatchers, loads and gates of a fleet.
func measureDispatch(m *Measurement, o Options) error {
	before := heapBytes()
	w := newWorld(m.Hosts, o.Seed)
	w.run(warmUp)
	w.loads.on, w.gates.on = true, true
	w.run(o.Length)
	m.Loads, m.Gates = w.loads.traffic(m.Hosts, o.Length), w.gates.traffic(m.Hosts, o.Length)
	m.DemandError = w.demandError()
	m.DispatchMemory = (heapBytes() - before) / float64(m.Hosts)
	m.Decision = w.decisionTime()
	if w.loads.err != nil {
		return w.loads.err
	}
	return w.gates.err
}
