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
	byInstance map[catalog.Key]Load
	at         time.Time
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

// SetPeerLoads takes what another host has under way.
func (d *Dispatcher) SetPeerLoads(host string, loads []Load, now time.Time) {
	p := peerLoad{byInstance: map[catalog.Key]Load{}, at: now}
	for _, l := range loads {
		p.byInstance[catalog.Key{ID: l.ID, Born: l.Born}] = l
	}
	d.peers[host] = p
}

func (d *Dispatcher) peerRunning(x *instance, now time.Time) (n int) {
	for _, p := range d.peers {
		if now.Sub(p.at) < peerMaxAge {
			n += p.byInstance[x.Key()].Running
		}
	}
	return n
}

func (d *Dispatcher) peerReading(x *instance, now time.Time) (n int) {
	for _, p := range d.peers {
		if now.Sub(p.at) < peerMaxAge {
			n += p.byInstance[x.Key()].Reading
		}
	}
	return n
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

// SetPeerDemands takes what the callers of another host ask for and are served, in tokens
// per second, the former by account.
func (d *Dispatcher) SetPeerDemands(host string, demands map[string]float64, served float64, now time.Time) {
	d.shares.SetPeer(host, demands, served, now)
}

// OwnDemands returns what this host's callers ask for and are served.
func (d *Dispatcher) OwnDemands(now time.Time) (demands map[string]float64, served float64) {
	return d.shares.Own(now)
}
