// Package dispatch selects, on one host, the upstream instance for each routed request.
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

// Part is a segment of a prompt. Several requests may share a part, except the last part
// of a prompt, which belongs to one request.
type Part struct {
	ID     uint64
	Tokens int
}

// Job describes a request for which Pick selects an instance.
type Job struct {
	Service string
	Parts   []Part
	// Bytes is the expected length of request and response together.
	Bytes int
	// InputTokens and OutputTokens are 0 for services without model engines.
	InputTokens, OutputTokens int
	// Objective is the target time until the whole response or, for streams, the first
	// event.
	Objective time.Duration
	// Tried holds the instances that were selected for this request before, including those
	// that did not admit it.
	Tried []catalog.Key
	// Remaining is the time until the request must have its final response.
	Remaining time.Duration
	// Account is the caller's account; Rank is the job's priority, which follows from the
	// account's share.
	Account string
	Rank    Rank
	// Ranked is true once RecordDemand has set the rank.
	Ranked bool
	// Resumed is true for a stream that the caller resumes. Origin is where it began, nil if it can go on
	// at any instance.
	Resumed bool
	Origin  *Origin
	// Decision is what decided the last Pick.
	Decision Decision
}

// Origin is where a stream began. It can go on only there, because what two versions of the software
// generate does not fit together.
type Origin struct{ Service, Version string }

// mayContinueAt reports whether an instance of the job's service may run the job.
func (j *Job) mayContinueAt(x *instance) bool {
	return j.Origin == nil || j.Origin.Version == x.Version
}

// ownTokens returns the prompt tokens that no other request shares.
func (j *Job) ownTokens() int {
	if len(j.Parts) == 0 {
		return j.InputTokens
	}
	return j.Parts[len(j.Parts)-1].Tokens
}

// SharedParts returns the ids of the prompt parts that other requests may share.
func (j *Job) SharedParts() (ids []uint64) {
	for _, p := range j.Parts[:max(len(j.Parts)-1, 0)] {
		ids = append(ids, p.ID)
	}
	return ids
}

// Options configure a Dispatcher.
type Options struct {
	Host       string
	DataCentre string
	Limits     Limits
}

// Dispatcher holds one host's view of the instances. It is not safe for concurrent use.
type Dispatcher struct {
	opts         Options
	services     map[string]*routing.Service
	instances    map[catalog.Key]*instance
	byService    map[string][]*instance
	outOfService map[string]bool
	hosts        rendezvous.Members
	retryBudgets map[string]*retryBudget
	// peerLoads are the loads that other hosts reported, by data centre. peerSums are
	// their sums by instance, nil until they are used. peersUpdatedAt is the time of the
	// last update, peersReceivedAt when the oldest of the sums was received.
	peerLoads       map[string]reportedLoads
	peerSums        map[catalog.Key]Load
	peersUpdatedAt  time.Time
	peersReceivedAt time.Time
	// peerFailures are the results that the other hosts of this data centre reported at
	// peerFailuresAt, by instance.
	peerFailures   map[catalog.Key]Failures
	peerFailuresAt time.Time
	shares         *FairShares
}

// New returns a Dispatcher without instances.
func New(opts Options) *Dispatcher {
	opts.Limits = opts.Limits.tightened()
	return &Dispatcher{
		opts: opts, services: map[string]*routing.Service{}, instances: map[catalog.Key]*instance{},
		byService: map[string][]*instance{}, outOfService: map[string]bool{}, hosts: rendezvous.NewMembers(opts.Host, nil),
		retryBudgets: map[string]*retryBudget{}, peerLoads: map[string]reportedLoads{}, shares: newFairShares(),
	}
}

// SetServices sets the services of a new routing document, and the configured capacity of
// their engines together, in tokens per second.
func (d *Dispatcher) SetServices(services []routing.Service, tokensPerSecond float64) {
	d.shares.configuredCapacity = tokensPerSecond
	d.services = map[string]*routing.Service{}
	for i := range services {
		d.services[services[i].Name] = &services[i]
	}
}

// SetDataCentresOut sets the data centres that are out of service.
func (d *Dispatcher) SetDataCentresOut(out map[string]bool) { d.outOfService = out }

// SetHosts sets the hosts that share fleet-wide limits, this one included.
func (d *Dispatcher) SetHosts(hosts []string) {
	d.hosts = rendezvous.NewMembers(d.opts.Host, hosts)
}

// Hosts returns the number of hosts that share fleet-wide limits.
func (d *Dispatcher) Hosts() int { return d.hosts.Len() }

// SetInstances replaces the list of instances. One that is listed under several services is one
// upstream of all of them.
func (d *Dispatcher) SetInstances(list []catalog.Instance, now time.Time) {
	old := d.instances
	firstList := len(old) == 0
	d.instances, d.byService = map[catalog.Key]*instance{}, map[string][]*instance{}
	for _, i := range list {
		x := d.instances[i.Key()]
		if x == nil {
			x = d.listed(i, old[i.Key()], firstList, now)
			d.instances[i.Key()] = x
		}
		d.byService[i.Service] = append(d.byService[i.Service], x)
	}
	for _, list := range d.byService {
		slices.SortFunc(list, func(a, b *instance) int { return compareKeys(a.Key(), b.Key()) })
	}
}

// listed returns the view of a listed instance. before is that of the list before, nil if it is new.
func (d *Dispatcher) listed(i catalog.Instance, before *instance, firstList bool, now time.Time) *instance {
	x := before
	if x == nil {
		x = newInstance(i, now)
		if s := d.services[i.Service]; s != nil && !firstList && i.ColdFor == 0 {
			// An instance that is new to this host counts as cold although the list does not
			// say so, because the list may be older than its start. In the first list all
			// instances are new, so that list is trusted.
			x.coldUntil = now.Add(s.WarmUpTime)
		}
	}
	x.Instance = i
	if until := now.Add(i.ColdFor); i.ColdFor > 0 && until.After(x.coldUntil) {
		x.coldUntil = until
	}
	return x
}

// MarkReplaced records that another instance has taken the address of k.
func (d *Dispatcher) MarkReplaced(k catalog.Key) {
	if x := d.instances[k]; x != nil {
		x.replaced = true
	}
}

// outputWeight is the weight of a generated token relative to a prompt token.
const outputWeight = 2

func (j *Job) tokenCost() float64 { return float64(j.InputTokens + outputWeight*j.OutputTokens) }

// RecordDemand records the tokens that a request demands for its account and sets the rank
// of the job. It does nothing for requests without prompt tokens.
func (d *Dispatcher) RecordDemand(j *Job, now time.Time) {
	if j.InputTokens == 0 {
		return
	}
	record := d.shares.RecordDemand
	if j.Resumed {
		record = d.shares.RecordResumedDemand
	}
	j.Rank, j.Ranked = record(j.Account, j.tokenCost(), now), true
}

// RecordRefusal records that no engine received the request, so that its tokens do not
// count as served.
func (d *Dispatcher) RecordRefusal(j *Job, now time.Time) {
	if j.InputTokens > 0 {
		d.shares.RecordRefusal(j.Account, j.tokenCost(), now)
	}
}

// maxAttempts is the number of engines that a job asks for admission.
const maxAttempts = 2

// MayTryAnotherEngine reports whether the job asks another engine after some have declined
// it. Jobs beyond their account's share do not.
func (j *Job) MayTryAnotherEngine(declined int) bool {
	return declined < maxAttempts && j.Rank < BeyondShare
}

// Bounds of the retry delay that RetryAfter returns.
const (
	minRetryAfter = 60 * time.Millisecond
	maxRetryAfter = 400 * time.Millisecond
)

// RetryAfter returns the retry delay for a caller whom the engines can't serve in time:
// the time until the expected wait has shrunk to half of the objective, within the bounds
// above.
func RetryAfter(wait, objective time.Duration) time.Duration {
	return min(max(wait-objective/2, minRetryAfter), maxRetryAfter)
}

// Pick selects an instance and counts the job there until Done. It returns a QueueFull
// error with a delay when no instance can take the job now, and StreamVersionGone without one when
// none will.
func (d *Dispatcher) Pick(j *Job, now time.Time) (*Placement, error) {
	s := d.services[j.Service]
	if s == nil {
		return nil, fault.New(fault.PoolUnknown, fault.NotRun, "service %q does not exist", j.Service)
	}
	preferred := d.affinityInstance(s, j, now)
	best, cost := d.best(s, j, preferred, now)
	if best == nil && d.versionGone(s, j, now) {
		return nil, fault.New(fault.StreamVersionGone, fault.NotRun, "no instance of service %q has version %q any more, where the stream began", s.Name, j.Origin.Version)
	}
	if best == nil {
		return nil, fault.New(fault.QueueFull, fault.NotRun, "no instance of service %q can take the request now", j.Service).WithRetryAfter(d.nextInstanceIn(s, now))
	}
	j.Decision.describeLoad(d, s, best, cost, now)
	if limit := j.Remaining; cost > limit.Seconds()*1000+suspectPenaltyMs {
		return nil, fault.New(fault.QueueFull, fault.NotRun, "all instances of service %q are busy", j.Service).WithRetryAfter(
			min(time.Duration(cost*float64(time.Millisecond))-limit+noInstanceRetryAfter, maxPickRetryAfter))
	}
	if d.coldLimitApplies(s, best, now) {
		best.coldBucket.tokens--
	}
	return best.place(s, j, best == preferred, now), nil
}

// Retry delays in the errors of Pick.
const (
	// noInstanceRetryAfter is the time in which the list of instances or a suspect state
	// usually changes.
	noInstanceRetryAfter = 300 * time.Millisecond
	maxPickRetryAfter    = time.Second
)

// nextInstanceIn returns the retry delay of a request that no instance can take: until the first
// pause ends, if it is the pauses that keep requests away.
func (d *Dispatcher) nextInstanceIn(s *routing.Service, now time.Time) time.Duration {
	wait := maxPickRetryAfter
	for _, x := range d.byService[s.Name] {
		if d.exclusion(x, now) != Paused {
			return noInstanceRetryAfter
		}
		wait = min(wait, x.pausedUntil.Sub(now))
	}
	return max(wait, noInstanceRetryAfter)
}

// versionGone reports whether no instance is left, or only such that leave for good, of the version at
// which the stream began that a job continues. An empty list says nothing about versions.
func (d *Dispatcher) versionGone(s *routing.Service, j *Job, now time.Time) bool {
	all := d.byService[s.Name]
	return j.Origin != nil && len(all) > 0 && !slices.ContainsFunc(all, func(x *instance) bool {
		reason := d.exclusion(x, now)
		return j.mayContinueAt(x) && reason != Draining && reason != Replaced
	})
}

// best returns the eligible instance with the lowest cost, and the cost in ms.
func (d *Dispatcher) best(s *routing.Service, j *Job, preferred *instance, now time.Time) (*instance, float64) {
	var best *instance
	bestCost := 0.0
	j.Decision = Decision{Instances: len(d.byService[s.Name])}
	for _, x := range d.byService[s.Name] {
		if !d.mayTake(s, j, x, now) {
			continue
		}
		c := d.cost(s, j, x, x == preferred, now)
		if best == nil || c < bestCost {
			best, bestCost = x, c
		}
	}
	return best, bestCost
}

// affinityInstance returns the instance that is expected to have the shared parts of a
// prompt in its cache, nil for requests without shared parts. While the cold-start limit keeps
// requests from an instance, the next one stands in for it, which had the parts before.
func (d *Dispatcher) affinityInstance(s *routing.Service, j *Job, now time.Time) *instance {
	if s.Engine == nil || len(j.Parts) < 2 {
		return nil
	}
	key := j.Parts[len(j.Parts)-2].ID
	if j.sharedTokens() <= maxLocalAffinityTokens {
		if x := d.highestWeight(s, j, key, d.opts.DataCentre, now); x != nil {
			return x
		}
	}
	return d.highestWeight(s, j, key, "", now)
}

// maxLocalAffinityTokens is the size up to which shared parts have an affinity instance
// in each data centre. One more copy of them costs an engine less than the bytes of a
// request that goes to another data centre.
const maxLocalAffinityTokens = 1_000

// sharedTokens returns the prompt tokens that other requests share.
func (j *Job) sharedTokens() (n int) {
	for _, p := range j.Parts[:max(len(j.Parts)-1, 0)] {
		n += p.Tokens
	}
	return n
}

// highestWeight returns the instance with the highest rendezvous weight for a key among those
// that may get the job now, in one data centre or, if dataCentre is empty, in all.
func (d *Dispatcher) highestWeight(s *routing.Service, j *Job, key uint64, dataCentre string, now time.Time) *instance {
	var best *instance
	var bestWeight uint64
	for _, x := range d.byService[s.Name] {
		if d.exclusion(x, now) != NotExcluded || !j.mayContinueAt(x) || dataCentre != "" && x.DataCentre != dataCentre {
			continue
		}
		if w := rendezvous.Weight(key, x.hash); (best == nil || w > bestWeight) && d.coldLimitAllows(s, x, now) {
			best, bestWeight = x, w
		}
	}
	return best
}

func compareKeys(a, b catalog.Key) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Born, b.Born))
}
