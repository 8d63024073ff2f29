package control

import (
	"slices"
	"time"

	"marigoldshunt/internal/membership"
	"marigoldshunt/internal/raft"
	"marigoldshunt/internal/wire"
)

// renewal is a Renew that waits for the confirmation of leadership.
type renewal struct {
	from string
	boot uint64
	msg  wire.Renew
}

// confirmedRead holds renewals that are answered once index is applied.
type confirmedRead struct {
	index  uint64
	renews []renewal
}

// knownHost is what the leader last sent to a host.
type knownHost struct {
	revision uint64
	heard    time.Duration
}

// pushed holds the versions that were last pushed to all hosts.
type pushed struct{ revision, leases, marks uint64 }

func (n *Node) resetLeadership() {
	n.lead = leadership{
		since: n.now,
		hosts: membership.New(membership.Options{
			Interval: RenewInterval, Missed: 3, Recover: 3, Forget: 10 * time.Minute, MaxHosts: maxTrackedHosts,
		}),
		known:     map[string]*knownHost{},
		until:     map[string]time.Duration{},
		acquiring: map[string]string{},
		orders:    newOrderBook(),
		heard:     map[raft.ReplicaID]time.Duration{},
		joining:   map[string]joinRequest{},
	}
	// The holder of each lease may have renewed it with the previous leader until now,
	// so a new leader waits one full lease for all of them.
	leases, _ := n.st.Leases()
	for _, l := range leases {
		n.lead.until[l.Pool] = n.now + LeaseDuration + LeaseMargin
	}
	n.lead.pushed.revision = n.st.Config().Revision
	n.lead.pushed.leases, n.lead.pushed.marks = n.st.Versions()
}

func (n *Node) onRenew(e event) {
	var m wire.Renew
	if !n.decode(e, &m) {
		return
	}
	if n.role != raft.Leader || len(n.renews) >= maxRenews {
		n.redirectRenew(e.from, m.Seq)
		return
	}
	n.lead.hosts.Heard(membership.Heartbeat{Host: e.from, Boot: e.boot, Leaving: m.Leaving, Ready: m.Ready, DataCentre: m.DataCentre}, n.now)
	n.renews = append(n.renews, renewal{e.from, e.boot, m})
}

func (n *Node) redirectRenew(to string, seq uint64) {
	n.send(to, wire.KindRenewAck, wire.RenewAck{Seq: seq, NotLeader: true, Leader: n.leader, Term: n.term})
}

// readInterval is the least time between two reads. A read's round of heartbeats takes
// the place of the regular one, so that renewals cost the group no further messages.
const readInterval = heartbeatTicks * TickInterval

// startReads asks once for all renewals that arrived since the last read.
func (n *Node) startReads() {
	if len(n.renews) == 0 || !n.leading() || n.now < n.lead.nextRead {
		return
	}
	n.lead.nextRead = n.now + readInterval
	n.readSeq++
	if err := n.raft.ReadIndex(n.readSeq); err != nil {
		for _, r := range n.renews {
			n.redirectRenew(r.from, r.msg.Seq)
		}
	} else {
		n.reads[n.readSeq] = n.renews
	}
	n.renews = nil
}

func (n *Node) answerReads() {
	if !n.leading() {
		return
	}
	kept := n.ready[:0]
	for _, read := range n.ready {
		if read.index > n.applied {
			kept = append(kept, read)
			continue
		}
		for _, r := range read.renews {
			n.answerRenew(r)
		}
	}
	n.ready = kept
}

func (n *Node) answerRenew(r renewal) {
	revision := n.st.Config().Revision
	ack := wire.RenewAck{Seq: r.msg.Seq, Leader: n.o.Host, Term: n.term, Revision: revision}
	large := false
	if r.msg.Revision < revision {
		if d, ok := n.st.Delta(r.msg.Revision); ok {
			ack.Delta = d
			large = len(d.Changes) > 64
		} else if n.mayGiveConfig(r.from) {
			ack.Snapshot = n.st.Config()
			large = true
		} else {
			// Without an answer the host repeats its Renew and serves nothing until then.
			return
		}
	}
	for _, l := range r.msg.Held {
		switch {
		case n.mustRevoke(l, r):
			ack.Revoked = append(ack.Revoked, l)
		case n.extend(l, r):
			ack.Renewed = append(ack.Renewed, l)
		}
	}
	n.addTables(&ack, r.msg)
	k := n.lead.known[r.from]
	if k == nil {
		if len(n.lead.known) >= maxTrackedHosts {
			clear(n.lead.known)
		}
		k = &knownHost{}
		n.lead.known[r.from] = k
	}
	*k = knownHost{revision: revision, heard: n.now}
	if large {
		n.sendLarge(r.from, wire.KindRenewAck, ack)
		return
	}
	n.send(r.from, wire.KindRenewAck, ack)
}

// mayGiveConfig reports whether a host can get the whole configuration now, and counts
// it. One costs 10 ms at 6,800 contracts, so that the first Renews of many hosts at once
// would keep the leader from its heartbeats for longer than an election timeout.
func (n *Node) mayGiveConfig(host string) bool {
	if n.configsGiven >= configsPerTick || n.chunks.busy(host, wire.KindRenewAck) {
		return false
	}
	n.configsGiven++
	return true
}

// addTables adds the lists that the host does not have in their current version.
func (n *Node) addTables(ack *wire.RenewAck, m wire.Renew) {
	n.addLeasesAndMarks(ack, m.LeasesVersion, m.MarksVersion)
	if n.now-n.lead.since < hostsGrace {
		return
	}
	if version := n.hostsVersion(); version != m.HostsVersion {
		ack.HostsVersion, ack.HasHosts = version, true
		ack.Hosts = n.hostList()
	}
}

func (n *Node) addLeasesAndMarks(ack *wire.RenewAck, leasesKnown, marksKnown uint64) {
	leases, marks := n.st.Versions()
	if leases != leasesKnown {
		ack.Leases, ack.LeasesVersion = n.st.Leases()
		ack.HasLeases = true
	}
	if marks != marksKnown {
		ack.Marks, ack.MarksVersion = n.st.Marks()
		ack.HasMarks = true
	}
}

// hostsVersion grows over terms, so that a host never goes back to the list of an
// earlier leader.
func (n *Node) hostsVersion() uint64 {
	return n.term<<32 | (n.lead.hosts.Version()+n.memberChanges)&0xffffffff
}

func (n *Node) hostList() []wire.HostStatus {
	tracked := n.lead.hosts.Hosts()
	out := make([]wire.HostStatus, len(tracked))
	for i, h := range tracked {
		out[i] = wire.HostStatus{
			Host: h.Host, Boot: h.Boot, Alive: h.Alive, Leaving: h.Leaving, DataCentre: h.DataCentre,
			Voter: slices.ContainsFunc(n.members, func(m raft.Member) bool { return m.Host == h.Host && !m.Learner }),
		}
	}
	return out
}

// push sends what was just committed to all hosts that were heard recently. A host that
// misses a push gets the change with its next Renew.
func (n *Node) push() {
	if !n.leading() {
		return
	}
	revision := n.st.Config().Revision
	leasesVersion, marksVersion := n.st.Versions()
	now := pushed{revision, leasesVersion, marksVersion}
	last := n.lead.pushed
	if now == last {
		return
	}
	n.lead.pushed = now
	for host, k := range n.lead.known {
		if n.now-k.heard > LeaseDuration {
			continue
		}
		ack := wire.RenewAck{Leader: n.o.Host, Term: n.term, Revision: revision}
		large := false
		if k.revision < revision {
			d, ok := n.st.Delta(k.revision)
			if ok {
				ack.Delta, k.revision = d, revision
				large = len(d.Changes) > 64
			}
		}
		n.addLeasesAndMarks(&ack, last.leases, last.marks)
		if large {
			n.sendLarge(host, wire.KindRenewAck, ack)
		} else {
			n.send(host, wire.KindRenewAck, ack)
		}
	}
}
