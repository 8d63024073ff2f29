package control

import (
	"slices"
	"time"

	"marigoldshunt/internal/membership"
	"marigoldshunt/internal/raft"
	"marigoldshunt/internal/wire"
)

// pendingRenew is a Renew that is answered once leadership is confirmed.
type pendingRenew struct {
	from string
	boot uint64
	msg  wire.Renew
}

// confirmedRead holds Renews that are answered once index is applied.
type confirmedRead struct {
	index  uint64
	renews []pendingRenew
}

// answeredHost is what the leader knows of a host that it has answered.
type answeredHost struct {
	// boot is the run of the host's process.
	boot uint64
	// revision is the configuration revision that the host has once everything has arrived that
	// was sent to it, pushedAt when the latest part was sent.
	revision uint64
	pushedAt time.Duration
	// answeredAt is when the latest Renew was answered.
	answeredAt   time.Duration
	capabilities wire.Capabilities
}

// pushedVersions holds the versions that were last pushed to all hosts.
type pushedVersions struct{ revision, leases, crashMarks uint64 }

// pushCrossing is the time after a push in which a Renew may have been sent before the push
// arrived. It is shorter than RenewInterval, so that a lost push is repeated with the next Renew.
const pushCrossing = RenewInterval / 2

func (n *Node) resetLeadership() {
	n.lead = leadership{
		since: n.now,
		hosts: membership.New(membership.Options{
			Interval: RenewInterval, SuspectAfterMissed: 3, RecoverAfterHeartbeats: 3, ForgetAfter: 10 * time.Minute, MaxHosts: maxTrackedHosts,
		}),
		answeredHosts:   map[string]*answeredHost{},
		leaseEnds:       map[string]time.Duration{},
		proposedHolders: map[string]string{},
		orders:          newOrderDispatch(),
		lastHeard:       map[raft.ReplicaID]time.Duration{},
		joinRequests:    map[string]joinRequest{},
	}
	// The holder of each lease may have renewed it with the previous leader until now,
	// so a new leader counts a full lease for all of them.
	leases, _ := n.state.Leases()
	for _, l := range leases {
		n.lead.leaseEnds[l.Pool] = n.now + LeaseDuration + LeaseMargin
	}
	n.lead.pushed.revision = n.state.Config().Revision
	n.lead.pushed.leases, n.lead.pushed.crashMarks = n.state.Versions()
}

func (n *Node) onRenew(e event) {
	var m wire.Renew
	if !n.decode(e, &m) {
		return
	}
	if n.role != raft.Leader || len(n.pendingRenews) >= maxPendingRenews {
		n.redirectRenew(e.from, m.Seq)
		return
	}
	n.lead.hosts.RecordHeartbeat(membership.Heartbeat{Host: e.from, Boot: e.boot, Leaving: m.Leaving, Ready: m.Ready, DataCentre: m.DataCentre}, n.now)
	n.pendingRenews = append(n.pendingRenews, pendingRenew{e.from, e.boot, m})
}

func (n *Node) redirectRenew(to string, seq uint64) {
	n.send(to, wire.KindRenewAck, wire.RenewAck{Seq: seq, NotLeader: true, Leader: n.leader, Term: n.term})
}

// readInterval is the minimum time between two ReadIndex requests. The heartbeats of a
// request replace the regular ones, so that Renews cost the group no further messages.
const readInterval = heartbeatTicks * TickInterval

// startReads starts one ReadIndex request for all Renews that arrived since the last.
func (n *Node) startReads() {
	if len(n.pendingRenews) == 0 || !n.isActiveLeader() || n.now < n.lead.nextRead {
		return
	}
	n.lead.nextRead = n.now + readInterval
	n.readSeq++
	if err := n.raft.ReadIndex(n.readSeq); err != nil {
		for _, r := range n.pendingRenews {
			n.redirectRenew(r.from, r.msg.Seq)
		}
	} else {
		n.pendingReads[n.readSeq] = n.pendingRenews
	}
	n.pendingRenews = nil
}

func (n *Node) answerRenews() {
	if !n.isActiveLeader() {
		return
	}
	kept := n.confirmedReads[:0]
	for _, read := range n.confirmedReads {
		if read.index > n.applied {
			kept = append(kept, read)
			continue
		}
		for _, r := range read.renews {
			n.answerRenew(r)
		}
	}
	n.confirmedReads = kept
}

// answerRenew sends a host the configuration, if it has an older one, and then the answer, which
// confirms the configuration once the host has applied it.
func (n *Node) answerRenew(r pendingRenew) {
	answered := n.answeredHost(r.from)
	if answered.boot != r.boot {
		// What was sent to the earlier process is lost.
		n.chunks.cancel(r.from, pushKinds...)
		*answered = answeredHost{boot: r.boot, revision: r.msg.Revision}
	}
	if n.now-answered.pushedAt >= pushCrossing {
		answered.revision = r.msg.Revision
	}
	answered.answeredAt, answered.capabilities = n.now, r.msg.Capabilities
	n.pushConfig(r.from, answered)
	ack := wire.RenewAck{Seq: r.msg.Seq, Leader: n.opts.Host, Term: n.term, Revision: n.state.Config().Revision}
	for _, l := range r.msg.Held {
		switch {
		case n.mustRevoke(l, r):
			ack.Revoked = append(ack.Revoked, l)
		case n.renewLease(l, r):
			ack.Renewed = append(ack.Renewed, l)
		}
	}
	n.addTables(&ack, r.msg)
	n.send(r.from, wire.KindRenewAck, ack)
}

// answeredHost returns the entry of a host, which it adds if there is none.
func (n *Node) answeredHost(host string) *answeredHost {
	answered := n.lead.answeredHosts[host]
	if answered == nil {
		if len(n.lead.answeredHosts) >= maxTrackedHosts {
			clear(n.lead.answeredHosts)
		}
		answered = &answeredHost{}
		n.lead.answeredHosts[host] = answered
	}
	return answered
}

// addTables adds the lists of which the host lacks the current version.
func (n *Node) addTables(ack *wire.RenewAck, m wire.Renew) {
	n.addLeasesAndCrashMarks(ack, m.LeasesVersion, m.MarksVersion)
	if n.now-n.lead.since < hostsGrace {
		return
	}
	if version := n.hostsVersion(); version != m.HostsVersion {
		ack.HostsVersion, ack.HasHosts = version, true
		ack.Hosts = n.hostList()
	}
}

func (n *Node) addLeasesAndCrashMarks(ack *wire.RenewAck, leasesKnown, crashMarksKnown uint64) {
	leases, crashMarks := n.state.Versions()
	if leases != leasesKnown {
		ack.Leases, ack.LeasesVersion = n.state.Leases()
		ack.HasLeases = true
	}
	if crashMarks != crashMarksKnown {
		ack.Marks, ack.MarksVersion = n.state.CrashMarks()
		ack.HasMarks = true
	}
}

// hostsVersion increases across terms, so that a host never goes back to the list of an
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

// pushChanges sends newly committed changes to all hosts whose Renew was answered recently.
// A host that misses them gets them with the answer to its next Renew.
func (n *Node) pushChanges() {
	if !n.isActiveLeader() {
		return
	}
	leasesVersion, crashMarksVersion := n.state.Versions()
	now := pushedVersions{n.state.Config().Revision, leasesVersion, crashMarksVersion}
	last := n.lead.pushed
	if now == last {
		return
	}
	n.lead.pushed = now
	tables := n.changedTables(last)
	for host, answered := range n.lead.answeredHosts {
		if n.now-answered.answeredAt > LeaseDuration {
			continue
		}
		n.pushConfig(host, answered)
		if tables != nil {
			n.sendEncoded(host, wire.KindRenewAck, tables)
		}
	}
}

// changedTables returns an encoded message with the tables that have changed since they were last
// pushed, or nil if none has.
func (n *Node) changedTables(last pushedVersions) []byte {
	m := wire.RenewAck{Leader: n.opts.Host, Term: n.term, Revision: n.state.Config().Revision}
	n.addLeasesAndCrashMarks(&m, last.leases, last.crashMarks)
	if !m.HasLeases && !m.HasMarks {
		return nil
	}
	payload, err := wire.Marshal(m)
	if err != nil {
		n.opts.Log.WithError(err).Error("Failed to encode leases and crash marks.")
		return nil
	}
	return payload
}
