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
	// Hosts is the liveness as this node sees it; empty unless it leads.
	Hosts []wire.HostStatus `json:"hosts"`
	// Claims and KeptBytes describe the claims and their kept answers.
	Claims    int    `json:"claims"`
	KeptBytes int    `json:"kept_bytes"`
	Syncs     uint64 `json:"syncs"`
	// Dropped is the number of messages that found the queue full.
	Dropped uint64 `json:"dropped"`
	// Failure is the reason why the control role ended; empty while it runs.
	Failure string `json:"failure,omitempty"`

	at time.Duration
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

// publish renews the status once per tick, so that the cost does not grow with load.
func (n *Node) publish() {
	old := n.status.Load()
	if old != nil && n.now-old.at < TickInterval && n.failure == nil {
		return
	}
	s := &Status{
		Replica: uint64(n.o.Storage.ReplicaID()), Formed: n.formed(), Role: raft.Follower.String(),
		Leader: n.leader, Term: n.term, Applied: n.applied, Snapshot: n.snapIndex,
		Revision: n.st.Config().Revision, Syncs: n.o.Storage.Syncs(), Dropped: n.dropped.Load(), at: n.now,
	}
	s.Leases, _ = n.st.Leases()
	s.Claims, s.KeptBytes = n.st.Claims()
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
