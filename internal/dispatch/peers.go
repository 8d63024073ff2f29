package dispatch

import (
	"time"

	"marigoldshunt/internal/catalog"
)

// peerMaxAge is the age after which the load that another host told is ignored.
const peerMaxAge = 2 * time.Second

// Load is what one host has under way at one instance.
type Load struct {
	ID      string
	Born    int64
	Running int
	// Reading are the prompt tokens of requests without a first event.
	Reading int
}

type peerLoad struct {
	loads []Load
	at    time.Time
}

// OwnLoads returns what this host has under way.
func (d *Dispatcher) OwnLoads() []Load {
	var out []Load
	for k, x := range d.instances {
		if x.running > 0 || x.reading > 0 {
			out = append(out, Load{ID: k.ID, Born: k.Born, Running: x.running, Reading: x.reading})
		}
	}
	return out
}

// SetPeerLoads takes what the other hosts of a data centre have under way.
func (d *Dispatcher) SetPeerLoads(dataCentre string, loads []Load, now time.Time) {
	d.peers[dataCentre] = peerLoad{loads: loads, at: now}
	d.peerSums, d.toldAt = nil, now
}

// sumPeers adds up what was told. News of all data centres comes together, so that is done
// with the first use after them.
func (d *Dispatcher) sumPeers() {
	d.peerSums = map[catalog.Key]Load{}
	for _, p := range d.peers {
		if d.toldAt.Sub(p.at) >= peerMaxAge {
			continue
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

// peerLoad returns what the other hosts have under way at an instance.
func (d *Dispatcher) peerLoad(x *instance, now time.Time) Load {
	if now.Sub(d.toldAt) >= peerMaxAge {
		return Load{}
	}
	if d.peerSums == nil {
		d.sumPeers()
	}
	return d.peerSums[x.Key()]
}

// GateLoad is the load of one engine as the owner of its gate tells it.
type GateLoad struct {
	// Backlog are the prompt tokens under way and waiting; Running are admitted requests.
	Backlog, Running int
	// PerMs is the learnt speed in prompt tokens per ms.
	PerMs float64
}

// SetGate takes the load of an engine from the owner of its gate.
func (d *Dispatcher) SetGate(k catalog.Key, g GateLoad, now time.Time) {
	if x := d.instances[k]; x != nil {
		x.gate, x.asked = gateView{g, now}, 0
	}
}

// SetPeerRates takes what the callers of other hosts ask for and are served.
func (d *Dispatcher) SetPeerRates(from string, r AccountRates, now time.Time) {
	d.shares.SetPeer(from, r, now)
}

// OwnRates returns what this host's callers ask for and are served.
func (d *Dispatcher) OwnRates(now time.Time) AccountRates { return d.shares.Own(now) }
