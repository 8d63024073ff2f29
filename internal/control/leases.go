package control

import (
	"maps"
	"slices"

	"marigoldshunt/internal/membership"
	"marigoldshunt/internal/state"
	"marigoldshunt/internal/wire"
)

// extend renews a lease for its holder and reports whether it did. It runs after a
// confirmed read, so the state holds every acquisition that any leader has committed.
func (n *Node) extend(l wire.Lease, r renewal) bool {
	if l.Host != r.from || l.Boot != r.boot || n.st.Lease(l.Pool) != l || r.msg.Leaving {
		return false
	}
	// Once a reassignment is proposed, its commit may come at any moment.
	if _, passing := n.lead.acquiring[l.Pool]; passing {
		return false
	}
	n.lead.until[l.Pool] = n.now + LeaseDuration + LeaseMargin
	return true
}

// mustRevoke reports whether a holder has to give its lease to a better host: because
// its host is out of service, or because its data centre is and another one has a host.
func (n *Node) mustRevoke(l wire.Lease, r renewal) bool {
	if l.Host != r.from || n.st.Lease(l.Pool) != l {
		return false
	}
	if _, known := n.st.Config().Pools[l.Pool]; !known {
		return true
	}
	tier := n.tier(l.Host)
	if tier == tierNone {
		return true
	}
	if tier == tierIn {
		return false
	}
	for _, h := range n.lead.hosts.Hosts() {
		if n.eligible(h) && n.tier(h.Host) == tierIn {
			return true
		}
	}
	return false
}

// Tiers of hosts for leases, the best first.
const (
	// tierIn is a host in service in a data centre that is in.
	tierIn = iota
	// tierOut is a host in service in a data centre that is out. It takes leases only
	// when no other host can, since its own link may be the next to go.
	tierOut
	// tierNone is a host that is out of service or not configured.
	tierNone
)

func (n *Node) tier(host string) int {
	c := n.st.Config()
	h, ok := c.Hosts[host]
	switch {
	case !ok || h.Out:
		return tierNone
	case c.DataCentres[h.DataCentre].Out:
		return tierOut
	}
	return tierIn
}

func (n *Node) eligible(h membership.Status) bool {
	return h.Alive && h.Ready && !h.Leaving && n.tier(h.Host) != tierNone
}

// watchLeases sets the end of leases that were acquired since the last call. The holder
// counts from its first Renew, which is answered later than this.
func (n *Node) watchLeases() {
	version, _ := n.st.Versions()
	if version == n.leasesSeen {
		return
	}
	n.leasesSeen = version
	leases, _ := n.st.Leases()
	fences := make(map[string]uint64, len(leases))
	for _, l := range leases {
		fences[l.Pool] = l.Fence
		if n.fences[l.Pool] != l.Fence {
			n.lead.until[l.Pool] = n.now + LeaseDuration + LeaseMargin
		}
	}
	n.fences = fences
}

// assignLeases proposes a holder for each pool that has none or whose lease has ended.
func (n *Node) assignLeases() {
	if n.now-n.lead.since < assignGrace {
		return
	}
	var load map[string]int
	for _, pool := range slices.Sorted(maps.Keys(n.st.Config().Pools)) {
		if _, passing := n.lead.acquiring[pool]; passing {
			continue
		}
		l := n.st.Lease(pool)
		if l.Host != "" && n.now < n.lead.until[pool] {
			continue
		}
		if load == nil {
			load = n.leaseLoad()
		}
		host, ok := n.chooseHolder(load)
		if !ok {
			return
		}
		load[host.Host]++
		n.lead.acquiring[pool] = host.Host
		acquiring := n.lead.acquiring
		n.proposeLocal(state.Command{Acquire: &state.LeaseAcquire{
			Pool: pool, Host: host.Host, Boot: host.Boot, Previous: l.Fence,
		}}, func(state.Result, bool) { delete(acquiring, pool) })
	}
}

// leaseLoad counts the pools of each host, including those that are being assigned.
func (n *Node) leaseLoad() map[string]int {
	load := map[string]int{}
	leases, _ := n.st.Leases()
	for _, l := range leases {
		if _, passing := n.lead.acquiring[l.Pool]; !passing && n.now < n.lead.until[l.Pool] {
			load[l.Host]++
		}
	}
	for _, host := range n.lead.acquiring {
		load[host]++
	}
	return load
}

// chooseHolder returns the host of the best tier with the fewest pools.
func (n *Node) chooseHolder(load map[string]int) (membership.Status, bool) {
	var best membership.Status
	found := false
	for _, h := range n.lead.hosts.Hosts() {
		if !n.eligible(h) {
			continue
		}
		tier, bestTier := n.tier(h.Host), n.tier(best.Host)
		if !found || tier < bestTier || tier == bestTier && load[h.Host] < load[best.Host] {
			best, found = h, true
		}
	}
	return best, found
}
