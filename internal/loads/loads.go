// Package loads distributes the loads of all hosts to every host of the fleet.
//
// Each host reports to one relay in its data centre. The relay adds the reports up,
// exchanges the sums with the relays of the other data centres and sends all sums to the
// hosts of its own. A report therefore costs a host two messages per interval whatever
// the size of the fleet, and few bytes cross between data centres.
//
// The package does no I/O and reads no clock.
package loads

import (
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

// Exchange is one host's side of the exchange of loads. It is not safe for concurrent use.
type Exchange struct {
	host, dataCentre string
	hosts            []Host
	own              wire.Loads
	// reports are the loads that the hosts of this data centre reported, kept only by its
	// relay; sums are the summed loads by data centre.
	reports map[string]report
	sums    map[string]receivedSum
}

// New returns an Exchange for a host that knows no other.
func New(host, dataCentre string) *Exchange {
	return &Exchange{
		host: host, dataCentre: dataCentre, hosts: []Host{{host, dataCentre}},
		reports: map[string]report{}, sums: map[string]receivedSum{},
	}
}

// SetHosts sets the live hosts.
func (e *Exchange) SetHosts(hosts []Host) {
	e.hosts = slices.Clone(hosts)
	if !slices.ContainsFunc(e.hosts, func(h Host) bool { return h.Name == e.host }) {
		e.hosts = append(e.hosts, Host{e.host, e.dataCentre})
	}
}

// Interval is the time between two reports.
func (e *Exchange) Interval() time.Duration {
	return min(max(minInterval, time.Duration(len(e.hosts))*intervalPerHost), maxInterval)
}

// relay returns the host that adds up the reports of a data centre. All hosts derive it
// from the list of live hosts.
func (e *Exchange) relay(dataCentre string) string {
	relay := ""
	for _, h := range e.hosts {
		if h.DataCentre == dataCentre && (relay == "" || h.Name < relay) {
			relay = h.Name
		}
	}
	return relay
}

// Tick sets the host's own loads and returns the messages to send in this interval.
func (e *Exchange) Tick(own wire.Loads, now time.Time) []Outgoing {
	e.own = own
	relay := e.relay(e.dataCentre)
	if relay != e.host {
		clear(e.reports)
		return []Outgoing{{relay, wire.KindLoads, &own}}
	}
	e.reports[e.host] = report{own, now}
	sum := wire.LoadSum{DataCentre: e.dataCentre, Loads: e.sum(now)}
	e.sums[e.dataCentre] = receivedSum{sum, now}
	return append(e.relayMessages(sum), e.memberMessages(now)...)
}

// relayMessages returns the messages to the relays of the other data centres.
func (e *Exchange) relayMessages(sum wire.LoadSum) (out []Outgoing) {
	// The sums carry no failures. An instance may fail for the callers of one data centre only, so
	// the others don't avoid it.
	seen := map[string]bool{e.dataCentre: true}
	for _, h := range e.hosts {
		if !seen[h.DataCentre] {
			seen[h.DataCentre] = true
			out = append(out, Outgoing{e.relay(h.DataCentre), wire.KindLoadSums, &wire.LoadSums{List: []wire.LoadSum{sum}}})
		}
	}
	return out
}

func (e *Exchange) memberMessages(now time.Time) (out []Outgoing) {
	m := &wire.LoadSums{List: e.Sums(now), Failures: e.sums[e.dataCentre].Loads.Failures}
	for _, h := range e.hosts {
		if h.DataCentre == e.dataCentre && h.Name != e.host {
			out = append(out, Outgoing{h.Name, wire.KindLoadSums, m})
		}
	}
	return out
}

// sum adds up the reports of this data centre.
func (e *Exchange) sum(now time.Time) wire.Loads {
	out := wire.Loads{Rates: map[string]wire.AccountRate{}}
	type key struct {
		id   string
		born int64
	}
	index := map[key]int{}
	for host, r := range e.reports {
		if e.stale(r.at, now) {
			delete(e.reports, host)
			continue
		}
		for _, l := range r.loads.Instances {
			i, ok := index[key{l.ID, l.Born}]
			if !ok {
				index[key{l.ID, l.Born}] = len(out.Instances)
				out.Instances = append(out.Instances, l)
				continue
			}
			out.Instances[i].Running += l.Running
			out.Instances[i].Reading += l.Reading
		}
		out.Gates = append(out.Gates, r.loads.Gates...)
		out.Failures = addFailures(out.Failures, r.loads.Failures)
		for account, add := range r.loads.Rates {
			sum := out.Rates[account]
			out.Rates[account] = wire.AccountRate{Asked: sum.Asked + add.Asked, Served: sum.Served + add.Served}
		}
	}
	return out
}

// addFailures adds up results by instance.
func addFailures(sum, add []wire.InstanceFailures) []wire.InstanceFailures {
	for _, f := range add {
		if i := indexOfInstance(sum, f); i >= 0 {
			sum[i].Failed += f.Failed
			sum[i].Results += f.Results
		} else {
			sum = append(sum, f)
		}
	}
	return sum
}

func indexOfInstance(list []wire.InstanceFailures, f wire.InstanceFailures) int {
	return slices.IndexFunc(list, func(x wire.InstanceFailures) bool { return x.ID == f.ID && x.Born == f.Born })
}

func (e *Exchange) stale(at, now time.Time) bool { return now.Sub(at) > staleIntervals*e.Interval() }

// HandleReport stores the report of a host.
func (e *Exchange) HandleReport(from string, l wire.Loads, now time.Time) {
	e.reports[from] = report{l, now}
}

// HandleSums stores sums from a relay.
func (e *Exchange) HandleSums(m wire.LoadSums, now time.Time) {
	for _, d := range m.List {
		if d.DataCentre == e.dataCentre && e.relay(e.dataCentre) == e.host {
			// A former relay of this data centre may still consider itself the relay.
			continue
		}
		if d.Loads.Failures = nil; d.DataCentre == e.dataCentre {
			d.Loads.Failures = m.Failures
		}
		e.sums[d.DataCentre] = receivedSum{d, now}
	}
}

// Sums returns the sums by data centre, this host's own loads included.
func (e *Exchange) Sums(now time.Time) (out []wire.LoadSum) {
	for dataCentre, d := range e.sums {
		if e.stale(d.at, now) {
			delete(e.sums, dataCentre)
			continue
		}
		out = append(out, d.LoadSum)
	}
	slices.SortFunc(out, func(a, b wire.LoadSum) int {
		if a.DataCentre < b.DataCentre {
			return -1
		}
		return 1
	})
	return out
}

// ReceivedAt returns when this host received, or added up, the sum of a data centre.
func (e *Exchange) ReceivedAt(dataCentre string) time.Time { return e.sums[dataCentre].at }

// Others returns the sums without this host's own loads as last reported.
func (e *Exchange) Others(now time.Time) []wire.LoadSum {
	out := e.Sums(now)
	for i := range out {
		if out[i].DataCentre == e.dataCentre {
			out[i].Loads = subtract(out[i].Loads, e.own)
		}
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
	sum.Failures = slices.Clone(sum.Failures)
	for _, o := range own.Failures {
		if i := indexOfInstance(sum.Failures, o); i >= 0 {
			f := &sum.Failures[i]
			f.Failed, f.Results = max(f.Failed-o.Failed, 0), max(f.Results-o.Results, 0)
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
