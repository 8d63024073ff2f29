package daemon

import (
	"encoding/hex"

	"marigoldshunt/internal/admin"
	"marigoldshunt/internal/peer"
	"marigoldshunt/internal/scheduler"
	"marigoldshunt/internal/wire"
)

// status is the host's status for operators, with further fields for tests and benchmarks.
// WALSyncs counts the disk syncs of the write-ahead log.
type status struct {
	admin.Status
	Schedulers []scheduler.Status      `json:"schedulers,omitempty"`
	Traffic    map[string]peer.Traffic `json:"traffic"`
	WALSyncs   uint64                  `json:"syncs"`
	Claims     int                     `json:"claims"`
}

func (d *Daemon) status() status {
	c := d.controlClient.Config()
	routed := d.router.Status()
	st := status{
		Status: admin.Status{
			Host: d.settings.Host, DataCentre: d.settings.DataCentre, Version: d.opts.Version, Boot: d.boot,
			Leaving: d.controlClient.Leaving(), Revision: c.Revision,
			ConfigAgeMS: d.controlClient.ConfigAge().Milliseconds(), Leader: d.controlClient.Leader(),
			Waiting: routed.Waiting, Running: routed.Running, RunningByUpstream: routed.ByUpstream,
			Control: d.controlRole.status(), Edge: d.edge.status(), Hosts: hostStatus(d.controlClient.Hosts()),
		},
		Schedulers: d.schedulers.status(), Traffic: d.peers.Traffic(),
	}
	for _, s := range st.Schedulers {
		st.Pools = append(st.Pools, poolStatus(s))
	}
	if node := d.controlRole.node.Load(); node != nil {
		n := node.Status()
		st.WALSyncs, st.Claims = n.Syncs, n.Claims
	}
	return st
}

func hostStatus(hosts []wire.HostStatus) []admin.HostStatus {
	var out []admin.HostStatus
	for _, h := range hosts {
		out = append(out, admin.HostStatus{Host: h.Host, Boot: h.Boot, Alive: h.Alive, Leaving: h.Leaving})
	}
	return out
}

func poolStatus(s scheduler.Status) admin.PoolStatus {
	p := admin.PoolStatus{Pool: s.Pool, Fence: s.Fence}
	if s.Core == nil {
		return p
	}
	p.Waiting, p.Running = s.Core.Waiting, s.Core.Running
	for _, u := range s.Core.Upstreams {
		p.Upstreams = append(p.Upstreams, admin.UpstreamStatus{Name: u.Name, State: string(u.State), Limit: u.Limit, Running: u.Running})
	}
	return p
}

func (r *controlRole) status() *admin.ControlStatus {
	node := r.node.Load()
	if node == nil {
		f := r.failure.Load()
		if f == nil {
			return nil
		}
		return &admin.ControlStatus{Role: "stopped", Failure: f.Error()}
	}
	n := node.Status()
	st := &admin.ControlStatus{
		Formed: n.Formed, Role: n.Role, Replica: n.Replica, Term: n.Term,
		Commit: n.Commit, Applied: n.Applied, Failure: n.Failure,
	}
	for _, m := range n.Members {
		st.Members = append(st.Members, admin.ControlMember{Host: m.Host, Replica: m.Replica, Voter: !m.Learner, Match: m.Match})
	}
	return st
}

// decodeDigests decodes prefix digests in hex and skips malformed ones.
func decodeDigests(hexes []string) []wire.Digest {
	var out []wire.Digest
	for _, h := range hexes {
		var d wire.Digest
		if n, err := hex.Decode(d[:], []byte(h)); err == nil && n == len(d) {
			out = append(out, d)
		}
	}
	return out
}
