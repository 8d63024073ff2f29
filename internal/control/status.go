package control

import (
	"slices"
	"time"

	"marigoldshunt/internal/raft"
	"marigoldshunt/internal/wire"
)

// Status describes a control host for operators.
type Status struct {
	Replica uint64 `json:"replica"`
	// Formed is false while the replica is blank.
	Formed   bool           `json:"formed"`
	Role     string         `json:"role"`
	Term     uint64         `json:"term"`
	Leader   string         `json:"leader"`
	Members  []MemberStatus `json:"members"`
	Commit   uint64         `json:"commit"`
	Applied  uint64         `json:"applied"`
	Last     uint64         `json:"last"`
	Snapshot uint64         `json:"snapshot"`
	Revision uint64         `json:"revision"`
	Leases   []wire.Lease   `json:"leases"`
	// Hosts is the liveness of the hosts as this node sees it; empty unless it is the
	// leader.
	Hosts []wire.HostStatus `json:"hosts"`
	// Claims is the number of claims, KeptBytes the size of their kept answers.
	Claims    int    `json:"claims"`
	KeptBytes int    `json:"kept_bytes"`
	Syncs     uint64 `json:"syncs"`
	// Dropped is the number of messages that were dropped because the queue was full.
	Dropped uint64 `json:"dropped"`
	// Failure is the reason why the control role ended; empty while it runs.
	Failure string `json:"failure,omitempty"`

	updatedAt time.Duration
}

// MemberStatus describes one replica of the group.
type MemberStatus struct {
	Replica uint64 `json:"replica"`
	Host    string `json:"host"`
	Learner bool   `json:"learner"`
	// Match and Active are known on the leader only.
	Match  uint64 `json:"match"`
	Active bool   `json:"active"`
}

// Status returns the latest status, at most one tick old while the node runs.
func (n *Node) Status() Status { return *n.status.Load() }

// publishStatus updates the status once per tick, so that the cost does not grow with load.
func (n *Node) publishStatus() {
	old := n.status.Load()
	if old != nil && n.now-old.updatedAt < TickInterval && n.failure == nil {
		return
	}
	s := &Status{
		Replica: uint64(n.opts.Storage.ReplicaID()), Formed: n.formed(), Role: raft.Follower.String(),
		Leader: n.leader, Term: n.term, Applied: n.applied, Snapshot: n.snapshotIndex,
		Revision: n.state.Config().Revision, Syncs: n.opts.Storage.Syncs(), Dropped: n.dropped.Load(), updatedAt: n.now,
	}
	s.Leases, _ = n.state.Leases()
	s.Claims, s.KeptBytes = n.state.ClaimUsage()
	if n.raft != nil {
		r := n.raft.Status()
		s.Role, s.Commit, s.Last = r.Role.String(), r.Commit, r.Last
		for _, m := range r.Members {
			s.Members = append(s.Members, MemberStatus{
				Replica: uint64(m.ID), Host: m.Host, Learner: m.Learner, Match: r.Match[m.ID], Active: r.RecentlyActive[m.ID],
			})
		}
	}
	if n.role == raft.Leader {
		s.Hosts = slices.Clip(n.hostList())
	}
	if n.failure != nil {
		s.Role, s.Failure, s.Hosts = "stopped", n.failure.Error(), nil
	}
	n.status.Store(s)
}
