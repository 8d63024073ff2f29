package control

import (
	"maps"
	"slices"

	"marigoldshunt/internal/membership"
	"marigoldshunt/internal/state"
	"marigoldshunt/internal/wire"
)

// renewLease renews a lease for its holder and reports whether it did. It runs after a
// confirmed read, so the state holds every acquisition that any leader has committed.
func (n *Node) renewLease(l wire.Lease, r pendingRenew) bool {
	if l.Host != r.from || l.Boot != r.boot || n.state.Lease(l.Pool) != l || r.msg.Leaving {
		return false
	}
	// A proposed reassignment may be committed at any moment.
	if _, proposed := n.lead.proposedHolders[l.Pool]; proposed {
		return false
	}
	n.lead.leaseEnds[l.Pool] = n.now + LeaseDuration + LeaseMargin
	return true
}

// mustRevoke reports whether a holder has to release its lease: the pool was removed, the
// host is out of service or not configured, or its data centre is out of service and a host
// in a data centre in service can hold the lease.
func (n *Node) mustRevoke(l wire.Lease, r pendingRenew) bool {
	if l.Host != r.from || n.state.Lease(l.Pool) != l {
		return false
	}
	if _, known := n.state.Config().Pools[l.Pool]; !known {
		return true
	}
	tier := n.tier(l.Host)
	if tier == tierIneligible {
		return true
	}
	if tier == tierInService {
		return false
	}
	for _, h := range n.lead.hosts.Hosts() {
		if n.canHoldLease(h) && n.tier(h.Host) == tierInService {
			return true
		}
	}
	return false
}

// Tiers of hosts in the assignment of leases, the best first.
const (
	// tierInService is a host in service in a data centre in service.
	tierInService = iota
	// tierDataCentreOut is a host in service in a data centre out of service. It gets
	// leases only when no other host can, since its own link may be the next to fail.
	tierDataCentreOut
	// tierIneligible is a host that is out of service or not configured.
	tierIneligible
)

func (n *Node) tier(host string) int {
	c := n.state.Config()
	h, ok := c.Hosts[host]
	switch {
	case !ok || h.Out:
		return tierIneligible
	case c.DataCentres[h.DataCentre].Out:
		return tierDataCentreOut
	}
	return tierInService
}

func (n *Node) canHoldLease(h membership.Status) bool {
	return h.Alive && h.Ready && !h.Leaving && n.tier(h.Host) != tierIneligible
}

// trackNewLeases sets the end of leases that were acquired since the last call. The holder
// uses a new lease only after the answer to its first Renew, which is sent later and
// extends the end.
func (n *Node) trackNewLeases() {
	version, _ := n.state.Versions()
	if version == n.seenLeasesVersion {
		return
	}
	n.seenLeasesVersion = version
	leases, _ := n.state.Leases()
	fences := make(map[string]uint64, len(leases))
	for _, l := range leases {
		fences[l.Pool] = l.Fence
		if n.fences[l.Pool] != l.Fence {
			n.lead.leaseEnds[l.Pool] = n.now + LeaseDuration + LeaseMargin
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
	for _, pool := range slices.Sorted(maps.Keys(n.state.Config().Pools)) {
		if _, proposed := n.lead.proposedHolders[pool]; proposed {
			continue
		}
		l := n.state.Lease(pool)
		if l.Host != "" && n.now < n.lead.leaseEnds[pool] {
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
		n.lead.proposedHolders[pool] = host.Host
		proposedHolders := n.lead.proposedHolders
		n.proposeLocal(state.Command{Acquire: &state.LeaseAcquire{
			Pool: pool, Host: host.Host, Boot: host.Boot, Previous: l.Fence,
		}}, func(state.Result, bool) { delete(proposedHolders, pool) })
	}
}

// leaseLoad counts the pools of each host, including those for which it is the proposed
// holder.
func (n *Node) leaseLoad() map[string]int {
	load := map[string]int{}
	leases, _ := n.state.Leases()
	for _, l := range leases {
		if _, proposed := n.lead.proposedHolders[l.Pool]; !proposed && n.now < n.lead.leaseEnds[l.Pool] {
			load[l.Host]++
		}
	}
	for _, host := range n.lead.proposedHolders {
		load[host]++
	}
	return load
}

// chooseHolder returns the eligible host of the best tier with the fewest pools.
func (n *Node) chooseHolder(load map[string]int) (membership.Status, bool) {
	var best membership.Status
	found := false
	for _, h := range n.lead.hosts.Hosts() {
		if !n.canHoldLease(h) {
			continue
		}
		tier, bestTier := n.tier(h.Host), n.tier(best.Host)
		if !found || tier < bestTier || tier == bestTier && load[h.Host] < load[best.Host] {
			best, found = h, true
		}
	}
	return best, found
}
