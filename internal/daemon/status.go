package daemon

import (
	"encoding/hex"

	"marigoldshunt/internal/admin"
	"marigoldshunt/internal/peer"
	"marigoldshunt/internal/scheduler"
	"marigoldshunt/internal/wire"
)

// status is the host's status with details that only some tools read.
type status struct {
	admin.Status
	Schedulers []scheduler.Status      `json:"schedulers,omitempty"`
	Traffic    map[string]peer.Traffic `json:"traffic"`
	Syncs      uint64                  `json:"syncs"`
	Claims     int                     `json:"claims"`
}

func (d *Daemon) status() status {
	c := d.client.Config()
	open := d.router.Status()
	st := status{
		Status: admin.Status{
			Host: d.s.Host, DataCentre: d.s.DataCentre, Version: d.o.Version, Boot: d.boot,
			Leaving: d.client.Leaving(), Revision: c.Revision,
			ConfigAgeMS: d.client.ConfigAge().Milliseconds(), Leader: d.client.Leader(),
			Waiting: open.Waiting, Running: open.Running, RunningByUpstream: open.ByUpstream,
			Control: d.role.status(), Edge: d.edge.status(), Hosts: hostStatus(d.client.Hosts()),
		},
		Schedulers: d.pools.status(), Traffic: d.peers.Bytes(),
	}
	for _, s := range st.Schedulers {
		st.Pools = append(st.Pools, poolStatus(s))
	}
	if node := d.role.node.Load(); node != nil {
		n := node.Status()
		st.Syncs, st.Claims = n.Syncs, n.Claims
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

// digests decodes hex prefix digests and leaves out malformed ones.
func digests(hexes []string) []wire.Digest {
	var out []wire.Digest
	for _, h := range hexes {
		var d wire.Digest
		if n, err := hex.Decode(d[:], []byte(h)); err == nil && n == len(d) {
			out = append(out, d)
		}
	}
	return out
}
