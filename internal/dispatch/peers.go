package dispatch

import (
	"time"

	"marigoldshunt/internal/catalog"
)

// peerMaxAge is the age after which a load reported by another host is ignored.
const peerMaxAge = 2 * time.Second

// Load is the load at one instance, of one host or summed over several.
type Load struct {
	ID      string
	Born    int64
	Running int
	// Reading counts the prompt tokens of requests without a first event.
	Reading int
}

type reportedLoads struct {
	loads []Load
	// at is when the loads were last set, receivedAt when this host received them.
	at, receivedAt time.Time
}

// OwnLoads returns the loads of this host.
func (d *Dispatcher) OwnLoads() []Load {
	var out []Load
	for k, x := range d.instances {
		if x.running > 0 || x.readingTokens > 0 {
			out = append(out, Load{ID: k.ID, Born: k.Born, Running: x.running, Reading: x.readingTokens})
		}
	}
	return out
}

// SetPeerLoads sets the loads of the other hosts of a data centre, which this host received at
// receivedAt.
func (d *Dispatcher) SetPeerLoads(dataCentre string, loads []Load, receivedAt, now time.Time) {
	d.peerLoads[dataCentre] = reportedLoads{loads: loads, at: now, receivedAt: receivedAt}
	d.peerSums, d.peersUpdatedAt = nil, now
}

// sumPeers adds up the reported loads. The reports of all data centres arrive together,
// so they are added up on the first use after that.
func (d *Dispatcher) sumPeers() {
	d.peerSums, d.peersReceivedAt = map[catalog.Key]Load{}, d.peersUpdatedAt
	for _, p := range d.peerLoads {
		if d.peersUpdatedAt.Sub(p.at) >= peerMaxAge {
			continue
		}
		if p.receivedAt.Before(d.peersReceivedAt) {
			d.peersReceivedAt = p.receivedAt
		}
		for _, l := range p.loads {
			k := catalog.Key{ID: l.ID, Born: l.Born}
			sum := d.peerSums[k]
			sum.Running += l.Running
			sum.Reading += l.Reading
			d.peerSums[k] = sum
		}
	}
}

// peerLoad returns the load of the other hosts at an instance.
func (d *Dispatcher) peerLoad(x *instance, now time.Time) Load {
	if now.Sub(d.peersUpdatedAt) >= peerMaxAge {
		return Load{}
	}
	if d.peerSums == nil {
		d.sumPeers()
	}
	return d.peerSums[x.Key()]
}

// GateLoad is the load of one engine as reported by the owner of its gate.
type GateLoad struct {
	// Backlog counts the prompt tokens in progress and queued; Running counts the
	// admitted requests.
	Backlog, Running int
	// PerMs is the estimated speed in prompt tokens per ms.
	PerMs float64
	// ReceivedAt is when this host received the report.
	ReceivedAt time.Time
}

// SetGate sets the load of an engine that the owner of its gate reported. The caller repeats what it
// received last: that does not renew a report, nor include what was sent since.
func (d *Dispatcher) SetGate(k catalog.Key, g GateLoad, now time.Time) {
	x := d.instances[k]
	if x == nil || !g.ReceivedAt.IsZero() && !g.ReceivedAt.After(x.gate.ReceivedAt) {
		return
	}
	x.gate, x.sentSinceReport = gateView{g, now}, 0
}

// SetPeerRates sets what the callers of the other hosts of a data centre demand and are
// served.
func (d *Dispatcher) SetPeerRates(dataCentre string, r AccountRates, now time.Time) {
	d.shares.SetPeerRates(dataCentre, r, now)
}

// OwnRates returns what this host's callers demand and are served.
func (d *Dispatcher) OwnRates(now time.Time) AccountRates { return d.shares.OwnRates(now) }
