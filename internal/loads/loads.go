// Package loads distributes the loads of all hosts to every host of the fleet.
//
// Each host reports to one relay in its data centre. The relay adds the reports up,
// exchanges the sums with the relays of the other data centres and sends the sums of the
// fleet to the hosts of its own. Messages carry what changed since the one before, see
// table. The relay sends the sums of the fleet to one host, and each host passes them on to
// fanOut others, so that no host sends more than a few copies.
//
// What a host knows of the others is therefore bounded in age and accuracy. Without losses
// it is at most three intervals old: one each for the report, the sum of a data centre and
// the sum of the fleet. A lost message is made up for within three intervals. A value differs
// from the reported one by at most the larger of its smallest change and changeFraction, for
// at most refreshVersions intervals, and by 3 % for its encoding (0.2 % in small fleets); both
// apply once for each of the three messages. Sums without news for staleIntervals are dropped.
//
// Hosts of an earlier version, which know Loads and LoadSums only, get and send these.
//
// The package does no I/O and reads no clock.
package loads

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"marigoldshunt/internal/wire"
)

// Times of the exchange.
const (
	// minInterval is the time between two reports in a small fleet.
	minInterval = 100 * time.Millisecond
	// intervalPerHost lengthens the interval with the number of hosts, so that the bytes
	// that a relay sends grow in proportion to the fleet and not faster.
	intervalPerHost = 4 * time.Millisecond
	maxInterval     = time.Second
	// staleIntervals is the number of intervals after which a report is dropped.
	staleIntervals = 8
)

// Host is a live host.
type Host struct{ Name, DataCentre string }

// Outgoing is a message to a host.
type Outgoing struct {
	To   string
	Kind wire.Kind
	Msg  any
}

type report struct {
	loads wire.Loads
	at    time.Time
}

type receivedSum struct {
	wire.LoadSum
	at time.Time
}

// version is a version of a table.
type version struct{ table, number uint64 }

// Exchange is one host's side of the exchange of loads. It is not safe for concurrent use.
type Exchange struct {
	host, dataCentre string
	hosts            []Host
	// local are the hosts of this data centre in the order of their names.
	local []string
	own   wire.Loads
	// up is the table of this host's own loads, for upRelay.
	up      table
	upRelay string
	// resendOwn is true if the relay could not apply the last report.
	resendOwn bool
	// fleet are the sums of all data centres as the relay sent them.
	fleet replica
	// forwarded is the latest version of the sums that this host passed on.
	forwarded version

	// reports are the loads that the hosts of this data centre reported, kept only by its
	// relay; sums are the summed loads by data centre.
	reports map[string]report
	sums    map[string]receivedSum

	// The fields below are used by a relay only.

	// relaySince is when this host became the relay; zero if it is not.
	relaySince time.Time
	// relaying is true once this host sends sums as the relay, see complete.
	relaying bool
	// reportTables are the tables of the hosts of this data centre, sumTables those of the
	// relays of the others.
	reportTables, sumTables map[string]*replica
	// known is what the hosts of this data centre have of fleetTable.
	known map[string]version
	// speaks holds when hosts last sent LoadChanges.
	speaks                 map[string]time.Time
	sumTable, fleetTable   table
	resendSum              bool
	resendHosts, resendAll map[string]bool
}

// New returns an Exchange for a host that knows no other.
func New(host, dataCentre string) *Exchange {
	return &Exchange{
		host: host, dataCentre: dataCentre, hosts: []Host{{host, dataCentre}}, local: []string{host},
		reports: map[string]report{}, sums: map[string]receivedSum{}, reportTables: map[string]*replica{}, sumTables: map[string]*replica{},
		known: map[string]version{}, speaks: map[string]time.Time{}, resendHosts: map[string]bool{}, resendAll: map[string]bool{},
	}
}

// SetHosts sets the live hosts.
func (e *Exchange) SetHosts(hosts []Host) {
	e.hosts = slices.Clone(hosts)
	if !slices.ContainsFunc(e.hosts, func(h Host) bool { return h.Name == e.host }) {
		e.hosts = append(e.hosts, Host{e.host, e.dataCentre})
	}
	e.local = nil
	for _, h := range e.hosts {
		if h.DataCentre == e.dataCentre {
			e.local = append(e.local, h.Name)
		}
	}
	slices.Sort(e.local)
	listed := map[string]bool{}
	for _, h := range e.hosts {
		listed[h.Name] = true
	}
	unlisted := func(host string) bool { return !listed[host] }
	maps.DeleteFunc(e.speaks, func(host string, _ time.Time) bool { return unlisted(host) })
	maps.DeleteFunc(e.known, func(host string, _ version) bool { return unlisted(host) })
	maps.DeleteFunc(e.reportTables, func(host string, _ *replica) bool { return unlisted(host) })
}

// Interval is the time between two reports.
func (e *Exchange) Interval() time.Duration {
	return min(max(minInterval, time.Duration(len(e.hosts))*intervalPerHost), maxInterval)
}

// relay returns the host that adds up the reports of a data centre. All hosts derive it
// from the list of live hosts.
func (e *Exchange) relay(dataCentre string) string {
	if dataCentre == e.dataCentre {
		return e.local[0]
	}
	relay := ""
	for _, h := range e.hosts {
		if h.DataCentre == dataCentre && (relay == "" || h.Name < relay) {
			relay = h.Name
		}
	}
	return relay
}

func (e *Exchange) isRelay() bool { return e.local[0] == e.host }

// Tick sets the host's own loads and returns the messages to send in this interval.
func (e *Exchange) Tick(own wire.Loads, now time.Time) []Outgoing {
	own.Instances = e.withoutGates(own.Instances, now)
	e.own = own
	if e.isRelay() {
		return e.tickRelay(now)
	}
	e.stopRelaying()
	return e.report(now)
}

// withoutGates leaves out the instances whose gates are in the sums: hosts use the load of
// the gate for these.
func (e *Exchange) withoutGates(list []wire.InstanceLoad, now time.Time) []wire.InstanceLoad {
	gates := map[wire.LoadEntry]bool{}
	for _, d := range e.Sums(now) {
		for _, g := range d.Loads.Gates {
			gates[wire.LoadEntry{ID: g.ID, Born: g.Born}] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(list), func(l wire.InstanceLoad) bool { return gates[wire.LoadEntry{ID: l.ID, Born: l.Born}] })
}

// report returns the messages of a host to its relay.
func (e *Exchange) report(now time.Time) (out []Outgoing) {
	relay := e.local[0]
	if e.upRelay != relay {
		e.up, e.upRelay = table{}, relay
	}
	e.up.update(e.own, len(e.hosts), now)
	m := e.up.changes(previous(&e.up, e.resendOwn))
	e.resendOwn = false
	m.Scope, m.KnownTable, m.KnownVersion = wire.LoadsOfHost, e.fleet.id, e.fleet.version
	out = []Outgoing{{relay, wire.KindLoadChanges, &m}}
	if e.fleet.origin != relay || e.stale(e.fleet.at, now) {
		// The relay may be of an earlier version.
		own := e.own
		out = append(out, Outgoing{relay, wire.KindLoads, &own})
	}
	return out
}

// previous returns the version before the latest one, or 0 if the whole table is to be
// sent.
func previous(t *table, whole bool) uint64 {
	if whole {
		return 0
	}
	return t.version - 1
}

// sum adds up the reports of this data centre.
func (e *Exchange) sum(now time.Time) wire.Loads {
	all := adder{index: map[wire.LoadEntry]int{}, sum: wire.Loads{Rates: map[string]wire.AccountRate{}}}
	for _, host := range sortedKeys(e.reports) {
		r := e.reports[host]
		if e.stale(r.at, now) {
			delete(e.reports, host)
			continue
		}
		all.add(r.loads)
	}
	return all.sum
}

func (e *Exchange) stale(at, now time.Time) bool { return now.Sub(at) > staleIntervals*e.Interval() }

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// HandleReport stores the report of a host of an earlier version.
func (e *Exchange) HandleReport(from string, l wire.Loads, now time.Time) {
	if !e.speaksChanges(from, now) {
		e.reports[from] = report{l, now}
	}
}

// HandleSums stores sums from a relay of an earlier version.
func (e *Exchange) HandleSums(m wire.LoadSums, now time.Time) {
	for _, d := range m.List {
		if d.DataCentre == e.dataCentre && e.isRelay() {
			// A former relay of this data centre may still consider itself the relay.
			continue
		}
		e.sums[d.DataCentre] = receivedSum{d, now}
	}
}

// HandleChanges applies changes of loads and returns the messages that pass them on. It
// returns a FrameInvalid error for malformed changes.
func (e *Exchange) HandleChanges(from string, m *wire.LoadChanges, now time.Time) ([]Outgoing, error) {
	e.speaks[from] = now
	resend := slices.Contains(m.Resend, e.host)
	switch m.Scope {
	case wire.LoadsOfHost:
		return nil, e.applyReport(from, m, now)
	case wire.LoadsOfDataCentre:
		e.resendSum = e.resendSum || resend
		return nil, e.applySum(from, m, now)
	case wire.LoadsOfFleet:
		e.resendOwn = e.resendOwn || resend
		return e.applyFleet(m, now)
	}
	return nil, nil
}

// applyFleet applies the sums of the fleet and passes them on.
func (e *Exchange) applyFleet(m *wire.LoadChanges, now time.Time) ([]Outgoing, error) {
	if m.Origin == e.host {
		return nil, nil
	}
	_, err := e.fleet.apply(m, now)
	if err != nil || !m.Forward || m.Origin != e.local[0] {
		return nil, err
	}
	if m.Table == e.forwarded.table && m.To <= e.forwarded.number {
		return nil, nil
	}
	e.forwarded = version{table: m.Table, number: m.To}
	return e.toChildren(m), nil
}

// fanOut is the number of hosts to which each host passes the sums of the fleet on. The
// relay sends them to one host, because it also sends to the relays of the other data
// centres.
const fanOut = 2

// toChildren returns a message for the hosts that follow this one in the tree of its data
// centre, whose root is the relay.
func (e *Exchange) toChildren(m *wire.LoadChanges) (out []Outgoing) {
	first, last := 1, 1
	if at := slices.Index(e.local, e.host); at > 0 {
		first, last = at*fanOut, at*fanOut+fanOut-1
	}
	for i := first; i <= min(last, len(e.local)-1); i++ {
		out = append(out, Outgoing{e.local[i], wire.KindLoadChanges, m})
	}
	return out
}

// Sums returns the sums of all data centres, this host's own loads included: one LoadSum
// without the name of a data centre, or none.
func (e *Exchange) Sums(now time.Time) []wire.LoadSum {
	if e.fleet.version > 0 && !e.stale(e.fleet.at, now) && (!e.isRelay() || !e.relaying) {
		return []wire.LoadSum{{Loads: e.fleet.loads()}}
	}
	list := e.sumsByDataCentre(now)
	if len(list) == 0 {
		return nil
	}
	return []wire.LoadSum{{Loads: combine(list)}}
}

func (e *Exchange) sumsByDataCentre(now time.Time) (out []wire.LoadSum) {
	for dataCentre, d := range e.sums {
		if e.stale(d.at, now) {
			delete(e.sums, dataCentre)
			continue
		}
		out = append(out, d.LoadSum)
	}
	slices.SortFunc(out, func(a, b wire.LoadSum) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return out
}

// combine adds up the sums of data centres. Instances whose gates are in the sums are left
// out.
func combine(list []wire.LoadSum) wire.Loads {
	all := adder{index: map[wire.LoadEntry]int{}, sum: wire.Loads{Rates: map[string]wire.AccountRate{}}}
	gates := map[wire.LoadEntry]bool{}
	for _, d := range list {
		all.add(d.Loads)
	}
	for _, g := range all.sum.Gates {
		gates[wire.LoadEntry{ID: g.ID, Born: g.Born}] = true
	}
	all.sum.Instances = slices.DeleteFunc(all.sum.Instances, func(l wire.InstanceLoad) bool { return gates[wire.LoadEntry{ID: l.ID, Born: l.Born}] })
	return all.sum
}

// adder adds up loads.
type adder struct {
	sum wire.Loads
	// index holds the place of each instance in the sum.
	index map[wire.LoadEntry]int
}

func (a *adder) add(l wire.Loads) {
	for _, x := range l.Instances {
		k := wire.LoadEntry{ID: x.ID, Born: x.Born}
		i, ok := a.index[k]
		if !ok {
			a.index[k] = len(a.sum.Instances)
			a.sum.Instances = append(a.sum.Instances, x)
			continue
		}
		a.sum.Instances[i].Running += x.Running
		a.sum.Instances[i].Reading += x.Reading
	}
	a.sum.Gates = append(a.sum.Gates, l.Gates...)
	for account, add := range l.Rates {
		sum := a.sum.Rates[account]
		a.sum.Rates[account] = wire.AccountRate{Asked: sum.Asked + add.Asked, Served: sum.Served + add.Served}
	}
}

// Others returns the sums without this host's own loads as last reported.
func (e *Exchange) Others(now time.Time) []wire.LoadSum {
	out := e.Sums(now)
	for i := range out {
		out[i].Loads = subtract(out[i].Loads, e.own)
	}
	return out
}

// subtract returns a sum without one host's loads. The sum may be older than the host's
// last report, so results below zero are set to zero.
func subtract(sum, own wire.Loads) wire.Loads {
	sum.Instances = slices.Clone(sum.Instances)
	for i := range sum.Instances {
		l := &sum.Instances[i]
		for _, o := range own.Instances {
			if o.ID == l.ID && o.Born == l.Born {
				l.Running, l.Reading = max(l.Running-o.Running, 0), max(l.Reading-o.Reading, 0)
			}
		}
	}
	rates := make(map[string]wire.AccountRate, len(sum.Rates))
	for account, r := range sum.Rates {
		ownRate := own.Rates[account]
		rates[account] = wire.AccountRate{Asked: max(r.Asked-ownRate.Asked, 0), Served: max(r.Served-ownRate.Served, 0)}
	}
	sum.Rates = rates
	return sum
}
