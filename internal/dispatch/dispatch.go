// Package dispatch decides on one host which upstream instance a routed request goes to.
//
// Every host decides alone, from the list of instances, its own requests and the loads
// that the other hosts report. Limits that hold over the whole fleet are divided among
// the live hosts, so their sum never exceeds the limit. The package does no I/O and reads
// no clock; times are passed in.
package dispatch

import (
	"cmp"
	"slices"
	"time"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/rendezvous"
	"marigoldshunt/internal/routing"
)

// Part is one part of a prompt. Requests share parts; the last one is the request's own.
type Part struct {
	ID     uint64
	Tokens int
}

// Job describes a request to the decision.
type Job struct {
	Service string
	Parts   []Part
	// Bytes is the expected length of request and answer together.
	Bytes int
	// InputTokens and OutputTokens are 0 for plain services.
	InputTokens, OutputTokens int
	// Objective is the time within which the answer, or its first event, is worth most.
	Objective time.Duration
	// Tried holds the instances that this request was sent to already.
	Tried []catalog.Key
	// Left is the time until the request must have its final answer.
	Left time.Duration
	// Account is who asks; Rank says how the job stands to the account's share.
	Account string
	Rank    Rank
}

// ownTokens are the prompt tokens that no other request shares.
func (j *Job) ownTokens() int {
	if len(j.Parts) == 0 {
		return j.InputTokens
	}
	return j.Parts[len(j.Parts)-1].Tokens
}

// Options configure a Dispatcher.
type Options struct {
	Host       string
	DataCentre string
}

// Dispatcher holds what one host knows of the instances. It is not safe for concurrent
// use.
type Dispatcher struct {
	o         Options
	services  map[string]*routing.Service
	instances map[catalog.Key]*instance
	byService map[string][]*instance
	outDCs    map[string]bool
	hosts     rendezvous.Members
	repeats   map[string]*repeatBudget
	// peers are the loads that others told, by data centre, peerSums their sums, nil until
	// they are used, and toldAt the time of the last news.
	peers    map[string]peerLoad
	peerSums map[catalog.Key]Load
	toldAt   time.Time
	shares   *Shares
}

// New returns a Dispatcher without instances.
func New(o Options) *Dispatcher {
	return &Dispatcher{
		o: o, services: map[string]*routing.Service{}, instances: map[catalog.Key]*instance{},
		byService: map[string][]*instance{}, outDCs: map[string]bool{}, hosts: rendezvous.NewMembers(o.Host, nil),
		repeats: map[string]*repeatBudget{}, peers: map[string]peerLoad{}, shares: newShares(),
	}
}

// SetServices takes the services of a new routing document, and the tokens per second that
// their engines produce together.
func (d *Dispatcher) SetServices(services []routing.Service, tokensPerSecond float64) {
	d.shares.contract = tokensPerSecond
	d.services = map[string]*routing.Service{}
	for i := range services {
		d.services[services[i].Name] = &services[i]
	}
}

// SetOut takes the data centres that are out of service.
func (d *Dispatcher) SetOut(out map[string]bool) { d.outDCs = out }

// SetHosts takes the hosts that share fleet-wide limits, this one included.
func (d *Dispatcher) SetHosts(hosts []string) {
	d.hosts = rendezvous.NewMembers(d.o.Host, hosts)
}

// Hosts returns the number of hosts that share fleet-wide limits.
func (d *Dispatcher) Hosts() int { return d.hosts.Len() }

// SetInstances replaces the list of instances.
func (d *Dispatcher) SetInstances(list []catalog.Instance, now time.Time) {
	old := d.instances
	first := len(old) == 0
	d.instances, d.byService = map[catalog.Key]*instance{}, map[string][]*instance{}
	for _, i := range list {
		x := old[i.Key()]
		if x == nil {
			x = newInstance(i, now)
			if s := d.services[i.Service]; s != nil && !first && i.ColdFor == 0 {
				// The list may be older than the start of the instance.
				x.coldUntil = now.Add(s.ColdFor)
			}
		}
		x.Instance = i
		if until := now.Add(i.ColdFor); i.ColdFor > 0 && until.After(x.coldUntil) {
			x.coldUntil = until
		}
		d.instances[i.Key()] = x
		d.byService[i.Service] = append(d.byService[i.Service], x)
	}
	for _, list := range d.byService {
		slices.SortFunc(list, func(a, b *instance) int { return compareKeys(a.Key(), b.Key()) })
	}
}

// Gone notes that another instance has taken the address of k.
func (d *Dispatcher) Gone(k catalog.Key) {
	if x := d.instances[k]; x != nil {
		x.gone = true
	}
}

// generatedWeight is what a generated token counts against one that is read.
const generatedWeight = 2

func (j *Job) tokens() float64 { return float64(j.InputTokens + generatedWeight*j.OutputTokens) }

// Demand notes that an account asks for a generation, and ranks the job.
func (d *Dispatcher) Demand(j *Job, now time.Time) {
	if j.InputTokens > 0 {
		j.Rank = d.shares.Demand(j.Account, j.tokens(), now)
	}
}

// Refused notes that a generation was not admitted.
func (d *Dispatcher) Refused(j *Job, now time.Time) {
	if j.InputTokens > 0 {
		d.shares.Refused(j.Account, j.tokens(), now)
	}
}

// maxDeclined is the number of engines that are asked for admission.
const maxDeclined = 2

// MayAskAgain reports whether another engine is asked after some have declined the job.
// Jobs beyond their account's share are not passed around.
func (j *Job) MayAskAgain(declined int) bool { return declined < maxDeclined && j.Rank < Excess }

// Bounds of the delay that a refused caller is told.
const (
	minReturn = 60 * time.Millisecond
	maxReturn = 400 * time.Millisecond
)

// ReturnDelay is when a caller whom the engines can't serve in time should come back: when
// the backlog has shrunk to what fits into its objective, or soon.
func ReturnDelay(wait, objective time.Duration) time.Duration {
	return min(max(wait-objective/2, minReturn), maxReturn)
}

// Pick selects an instance and counts the job there until Done. It returns a QueueFull
// error with a delay when no instance can take the job now.
func (d *Dispatcher) Pick(j *Job, now time.Time) (*Placement, error) {
	s := d.services[j.Service]
	if s == nil {
		return nil, fault.New(fault.PoolUnknown, fault.NotRun, "service %q does not exist", j.Service)
	}
	home := d.home(s, j)
	best, cost := d.best(s, j, home, now)
	if best == nil {
		return nil, fault.New(fault.QueueFull, fault.NotRun, "no instance of service %q can take the request now", j.Service).After(noInstanceDelay)
	}
	if limit := j.Left; cost > limit.Seconds()*1000+suspectMs {
		return nil, fault.New(fault.QueueFull, fault.NotRun, "all instances of service %q are busy", j.Service).After(
			min(time.Duration(cost*float64(time.Millisecond))-limit+noInstanceDelay, maxRetryDelay))
	}
	return best.place(j, best == home, now), nil
}

// Delays that a refused caller is told.
const (
	// noInstanceDelay is the time in which the list or a suspicion usually changes.
	noInstanceDelay = 300 * time.Millisecond
	maxRetryDelay   = time.Second
)

// best returns the eligible instance with the least cost in ms.
func (d *Dispatcher) best(s *routing.Service, j *Job, home *instance, now time.Time) (*instance, float64) {
	var best *instance
	bestCost := 0.0
	for _, x := range d.byService[s.Name] {
		if x.Draining || x.gone || d.outDCs[x.DataCentre] || slices.Contains(j.Tried, x.Key()) || !d.mayWarm(s, x, now) {
			continue
		}
		c := d.cost(s, j, x, x == home, now)
		if best == nil || c < bestCost {
			best, bestCost = x, c
		}
	}
	if best != nil && s.ColdPerSecond > 0 && now.Before(best.coldUntil) {
		best.cold.tokens--
	}
	return best, bestCost
}

// home returns the instance at which the shared parts of a prompt are expected, nil for
// requests without shared parts.
func (d *Dispatcher) home(s *routing.Service, j *Job) *instance {
	if s.Engine == nil || len(j.Parts) < 2 {
		return nil
	}
	key := j.Parts[len(j.Parts)-2].ID
	if j.sharedTokens() <= localHomeTokens {
		if x := d.heaviest(s, key, d.o.DataCentre); x != nil {
			return x
		}
	}
	return d.heaviest(s, key, "")
}

// localHomeTokens is the size up to which shared parts have a home in each data centre. A
// copy more of them costs an engine less than the bytes of a request that crosses.
const localHomeTokens = 1_000

// sharedTokens are the prompt tokens that other requests share.
func (j *Job) sharedTokens() (n int) {
	for _, p := range j.Parts[:max(len(j.Parts)-1, 0)] {
		n += p.Tokens
	}
	return n
}

// heaviest returns the instance with the highest rendezvous weight for a key, in one data
// centre or, without a name, in all.
func (d *Dispatcher) heaviest(s *routing.Service, key uint64, dataCentre string) *instance {
	var best *instance
	var bestWeight uint64
	for _, x := range d.byService[s.Name] {
		if x.Draining || x.gone || d.outDCs[x.DataCentre] || dataCentre != "" && x.DataCentre != dataCentre {
			continue
		}
		if w := rendezvous.Weight(key, x.hash); best == nil || w > bestWeight {
			best, bestWeight = x, w
		}
	}
	return best
}

func compareKeys(a, b catalog.Key) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Born, b.Born))
}
