package loads

import (
	"time"

	"marigoldshunt/internal/wire"
)

// maxCompleteWait is the number of intervals for which a new relay waits for the reports
// of all hosts. Until then the hosts keep the sums of its predecessor.
const maxCompleteWait = 4

// maxLag is the number of versions of the sums that a host may lack before its relay sends
// them directly. One may be on its way, and the report of another.
const maxLag = 2

// tickRelay returns the messages of a relay.
func (e *Exchange) tickRelay(now time.Time) []Outgoing {
	if e.relaySince.IsZero() {
		e.relaySince = now
	}
	e.reports[e.host] = report{e.own, now}
	if e.relaying = e.relaying || e.complete(now); !e.relaying {
		return e.toRelays(nil, now)
	}
	sum := wire.LoadSum{DataCentre: e.dataCentre, Loads: e.sum(now)}
	e.sums[e.dataCentre] = receivedSum{sum, now}
	return append(e.toRelays(&sum, now), e.toHosts(now)...)
}

// stopRelaying forgets what only a relay knows.
func (e *Exchange) stopRelaying() {
	if e.relaySince.IsZero() {
		return
	}
	e.relaySince, e.relaying = time.Time{}, false
	e.sumTable, e.fleetTable = table{}, table{}
	clear(e.reports)
	clear(e.reportTables)
	clear(e.sumTables)
	clear(e.known)
	clear(e.resendHosts)
	clear(e.resendAll)
}

// complete reports whether a relay has loads of all live hosts. A relay that took over waits
// for them, because sums without them would make every host underestimate the load.
func (e *Exchange) complete(now time.Time) bool {
	if e.fleet.version == 0 || e.stale(e.fleet.at, now) || now.Sub(e.relaySince) >= maxCompleteWait*e.Interval() {
		return true
	}
	for _, h := range e.hosts {
		_, reported := e.reports[h.Name]
		_, summed := e.sums[h.DataCentre]
		if h.DataCentre == e.dataCentre && !reported || h.DataCentre != e.dataCentre && !summed {
			return false
		}
	}
	return true
}

// speaksChanges reports whether a host has sent LoadChanges lately.
func (e *Exchange) speaksChanges(host string, now time.Time) bool {
	at, ok := e.speaks[host]
	return ok && !e.stale(at, now)
}

// toRelays returns the messages to the relays of the other data centres. Without a sum they
// only say what the receivers have to send again.
func (e *Exchange) toRelays(sum *wire.LoadSum, now time.Time) (out []Outgoing) {
	m := wire.LoadChanges{}
	if sum != nil {
		e.sumTable.update(sum.Loads, len(e.hosts), now)
		m = e.sumTable.changes(previous(&e.sumTable, e.resendSum))
		e.resendSum = false
	}
	m.Scope, m.DataCentre, m.Resend = wire.LoadsOfDataCentre, e.dataCentre, sortedKeys(e.resendAll)
	clear(e.resendAll)
	seen := map[string]bool{e.dataCentre: true}
	for _, h := range e.hosts {
		if seen[h.DataCentre] {
			continue
		}
		seen[h.DataCentre] = true
		relay := e.relay(h.DataCentre)
		out = append(out, Outgoing{relay, wire.KindLoadChanges, &m})
		if sum != nil && !e.speaksChanges(relay, now) {
			out = append(out, Outgoing{relay, wire.KindLoadSums, &wire.LoadSums{List: []wire.LoadSum{*sum}}})
		}
	}
	return out
}

// toHosts returns the messages to the hosts of this data centre: the changes for those that
// pass them on, changes since an older version for those that missed some, and all sums for
// hosts of an earlier version.
func (e *Exchange) toHosts(now time.Time) []Outgoing {
	list := e.sumsByDataCentre(now)
	e.fleetTable.update(combine(list), len(e.hosts), now)
	spread := e.fleetChanges(previous(&e.fleetTable, false))
	spread.Forward, spread.Resend = true, sortedKeys(e.resendHosts)
	clear(e.resendHosts)
	out := e.toChildren(spread)
	behind := map[uint64]*wire.LoadChanges{}
	var sums *wire.LoadSums
	for _, host := range e.local {
		if host == e.host {
			continue
		}
		if !e.speaksChanges(host, now) {
			if sums == nil {
				sums = &wire.LoadSums{List: list}
			}
			out = append(out, Outgoing{host, wire.KindLoadSums, sums})
			continue
		}
		from := e.knownVersion(host)
		if from+maxLag >= e.fleetTable.version {
			continue
		}
		if behind[from] == nil {
			behind[from] = e.fleetChanges(from)
		}
		out = append(out, Outgoing{host, wire.KindLoadChanges, behind[from]})
	}
	return out
}

func (e *Exchange) fleetChanges(from uint64) *wire.LoadChanges {
	m := e.fleetTable.changes(from)
	m.Scope, m.Origin = wire.LoadsOfFleet, e.host
	return &m
}

// knownVersion returns the version of the sums that a host has, 0 if it has none.
func (e *Exchange) knownVersion(host string) uint64 {
	if v := e.known[host]; v.table == e.fleetTable.id {
		return v.number
	}
	return 0
}

// applyReport applies the report of a host.
func (e *Exchange) applyReport(from string, m *wire.LoadChanges, now time.Time) error {
	r := e.reportTables[from]
	if r == nil {
		r = &replica{}
		e.reportTables[from] = r
	}
	e.known[from] = version{table: m.KnownTable, number: m.KnownVersion}
	applied, err := r.apply(m, now)
	if applied {
		e.reports[from] = report{r.loads(), now}
	} else {
		e.resendHosts[from] = true
	}
	return err
}

// applySum applies the sum of another data centre.
func (e *Exchange) applySum(from string, m *wire.LoadChanges, now time.Time) error {
	if m.Table == 0 || m.DataCentre == e.dataCentre {
		return nil
	}
	r := e.sumTables[m.DataCentre]
	if r == nil {
		r = &replica{}
		e.sumTables[m.DataCentre] = r
	}
	applied, err := r.apply(m, now)
	if applied {
		e.sums[m.DataCentre] = receivedSum{wire.LoadSum{DataCentre: m.DataCentre, Loads: r.loads()}, now}
	} else {
		e.resendAll[from] = true
	}
	return err
}
