package raft

import (
	"encoding/binary"
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand"
	"slices"
	"testing"
)

var (
	simSeed  = flag.Int64("raft.seed", 0, "run only this seed of the random-fault test")
	simSeeds = flag.Int64("raft.seeds", 150, "number of seeds of the random-fault test")
)

const simElectionTicks = 10

// replica is one node of the simulation with its disk and its applied state. The state
// is the hash chain over all applied entries.
type replica struct {
	id      ReplicaID
	host    string
	node    *Node // nil while crashed
	disk    Restored
	pending *Ready
	applied uint64
	chain   uint64
	lost    bool // the disk is gone for good
}

// cluster runs replicas over a network that loses, repeats, delays and reorders.
type cluster struct {
	t        *testing.T
	rnd      *rand.Rand
	seed     int64
	replicas []*replica
	net      []Message
	cut      map[[2]ReplicaID]bool
	drop     float64 // probability of losing and of repeating a message
	chains   map[uint64]uint64
	leaders  map[uint64]ReplicaID
	max      uint64 // highest index applied anywhere
	reads    map[uint64]uint64
	seq      uint64
	count    map[string]int
}

func newCluster(t *testing.T, seed int64, voters int) *cluster {
	c := &cluster{
		t: t, seed: seed, rnd: rand.New(rand.NewSource(seed)), cut: map[[2]ReplicaID]bool{},
		chains: map[uint64]uint64{}, leaders: map[uint64]ReplicaID{}, reads: map[uint64]uint64{}, count: map[string]int{},
	}
	var ms []Member
	for range voters {
		r := c.add(fmt.Sprint("h", len(c.replicas)+1))
		ms = append(ms, Member{ID: r.id, Host: r.host})
	}
	for _, r := range c.replicas {
		r.disk.Snapshot = Bootstrap(ms)
		c.start(r)
	}
	return c
}

func (c *cluster) add(host string) *replica {
	r := &replica{id: ReplicaID(len(c.replicas) + 1), host: host}
	c.replicas = append(c.replicas, r)
	return r
}

func (c *cluster) check(ok bool, format string, args ...any) {
	c.t.Helper()
	if !ok {
		c.t.Fatalf("seed %d: %s", c.seed, fmt.Sprintf(format, args...))
	}
}

func (c *cluster) start(r *replica) {
	cfg := Config{ID: r.id, HeartbeatTicks: 2, ElectionTicks: simElectionTicks, Rand: c.rnd, MaxBatchBytes: 200}
	d := r.disk
	d.Entries = slices.Clone(d.Entries)
	n, err := New(cfg, d)
	c.check(err == nil, "restart of replica %d: %v", r.id, err)
	r.node, r.pending = n, nil
	c.restore(r, d.Snapshot)
}

func (c *cluster) restore(r *replica, s Snapshot) {
	r.applied, r.chain = s.Index, 0
	if len(s.Data) > 0 {
		r.chain = binary.BigEndian.Uint64(s.Data)
	}
	want := c.chains[s.Index]
	c.check(r.chain == want, "replica %d restores state %x at index %d, want %x", r.id, r.chain, s.Index, want)
}

func (c *cluster) crash(r *replica) { r.node, r.pending = nil, nil }

// take begins the handling of a Ready; finish ends it. Messages and ticks come between.
func (c *cluster) take(r *replica) {
	if r.node != nil && r.pending == nil && r.node.HasReady() {
		rd := r.node.Ready()
		r.pending = &rd
	}
}

func (c *cluster) finish(r *replica) {
	if r.pending == nil {
		return
	}
	rd := *r.pending
	save(&r.disk, rd)
	if c.drop > 0 && c.rnd.Float64() < 0.005 {
		c.count["crash after save"]++
		c.crash(r)
		return
	}
	c.net = append(c.net, rd.Messages...)
	if rd.Snapshot != nil {
		c.count["snapshot installed"]++
		c.restore(r, *rd.Snapshot)
	}
	for _, e := range rd.Committed {
		c.apply(r, e)
	}
	for _, rr := range rd.Reads {
		c.count["read"]++
		c.check(rr.Index >= c.reads[rr.Seq], "replica %d reads at index %d, but %d was committed before", r.id, rr.Index, c.reads[rr.Seq])
	}
	r.pending = nil
	r.node.Advance(rd)
}

func save(d *Restored, rd Ready) {
	if s := rd.Snapshot; s != nil {
		i := slices.IndexFunc(d.Entries, func(e Entry) bool { return e.Index == s.Index && e.Term == s.Term })
		if d.Snapshot, d.Entries = *s, slices.Clone(d.Entries[i+1:]); i < 0 {
			d.Entries = nil
		}
	}
	if len(rd.Entries) > 0 {
		at := rd.Entries[0].Index - d.Snapshot.Index - 1
		d.Entries = append(slices.Clone(d.Entries[:at]), rd.Entries...)
	}
	if rd.Hard != nil {
		d.Hard = *rd.Hard
	}
}

func (c *cluster) apply(r *replica, e Entry) {
	c.check(e.Index == r.applied+1, "replica %d applies index %d after %d", r.id, e.Index, r.applied)
	h := fnv.New64a()
	fmt.Fprint(h, r.chain, e.Index, e.Term, e.Kind, e.Data, e.Members)
	r.applied, r.chain = e.Index, h.Sum64()
	want, known := c.chains[e.Index]
	c.check(!known || want == r.chain, "replica %d applies another entry at index %d", r.id, e.Index)
	c.chains[e.Index], c.max = r.chain, max(c.max, e.Index)
}

func (c *cluster) deliver(i int) {
	m := c.net[i]
	if m.Kind == MsgAppendResp && m.Reject {
		c.count["reject"]++
	}
	if c.rnd.Float64() >= c.drop/2 {
		c.net = slices.Delete(c.net, i, i+1)
	}
	// Ids are given out in order; a foreign id is only in messages that a test made up.
	r := c.replicas[m.To-1]
	if r.node == nil || c.cut[[2]ReplicaID{m.From, m.To}] || c.rnd.Float64() < c.drop {
		return
	}
	err := r.node.Step(m)
	c.check(err == nil, "replica %d, message %+v: %v", r.id, m, err)
	c.checkLeader(r)
}

func (c *cluster) checkLeader(r *replica) {
	if r.node.role == Leader {
		id, known := c.leaders[r.node.term]
		c.check(!known || id == r.id, "replicas %d and %d lead term %d", id, r.id, r.node.term)
		c.leaders[r.node.term] = r.id
	}
}

func (c *cluster) leader() *replica {
	var best *replica
	for _, r := range c.replicas {
		if r.node != nil && r.node.role == Leader && (best == nil || r.node.term > best.node.term) {
			best = r
		}
	}
	return best
}

// round runs the group without random delays: one tick, then all messages and work.
func (c *cluster) round() {
	for _, r := range c.replicas {
		if r.node != nil {
			r.node.Tick()
			c.checkLeader(r)
		}
	}
	for again := true; again; {
		again = len(c.net) > 0
		for len(c.net) > 0 {
			c.deliver(0)
		}
		for _, r := range c.replicas {
			c.take(r)
			again = again || r.pending != nil
			c.finish(r)
		}
	}
}

// until runs rounds until cond holds.
func (c *cluster) until(what string, cond func() bool) {
	c.t.Helper()
	for range 60 * simElectionTicks {
		if cond() {
			return
		}
		c.round()
	}
	c.check(false, "not reached: %s", what)
}

// settle proposes until the entry is applied by all given replicas.
func (c *cluster) settle(rs ...*replica) {
	c.t.Helper()
	var target uint64
	var at *replica
	c.until("a command applied by all", func() bool {
		if l := c.leader(); l != nil && l != at {
			target, _, _ = l.node.Propose([]byte("settle"))
			at = l
		}
		return at != nil && !slices.ContainsFunc(rs, func(r *replica) bool { return r.applied < target })
	})
}

// change proposes the next step of a membership change until it is committed.
func (c *cluster) change(next ...Member) {
	c.t.Helper()
	c.until(fmt.Sprint("membership ", next), func() bool {
		l := c.leader()
		if l == nil {
			return false
		}
		if !slices.Equal(l.node.members(), next) {
			_, _, _ = l.node.ProposeMembers(next)
			return false
		}
		return l.node.memberships[len(l.node.memberships)-1].index <= l.node.log.commit
	})
}

// lostDiskIsPresent reports whether a membership in force anywhere lists a lost disk.
// A second loss before the repair is complete is outside of what a majority survives.
func (c *cluster) lostDiskIsPresent() bool {
	return slices.ContainsFunc(c.replicas, func(lost *replica) bool {
		return lost.lost && slices.ContainsFunc(c.replicas, func(r *replica) bool {
			return !r.lost && (r.node == nil || isVoter(r.node.members(), lost.id))
		})
	})
}

// operate takes one step of the repair: add the new replica of a host as a learner,
// promote it, remove the lost one.
func (c *cluster) operate() {
	l := c.leader()
	if l == nil {
		return
	}
	next, changed := slices.Clone(l.node.members()), false
	// The lost replica goes last: before, the group would have fewer voters than hosts.
	for i := range 2 * len(c.replicas) {
		r, removing := c.replicas[i%len(c.replicas)], i >= len(c.replicas)
		m := find(next, r.id)
		switch {
		case changed || r.lost != removing || (removing && m == nil):
			continue
		case removing:
			next = slices.DeleteFunc(next, func(m Member) bool { return m.ID == r.id })
		case m == nil:
			next = append(next, Member{ID: r.id, Host: r.host, Learner: true})
		case m.Learner:
			m.Learner = false
		default:
			continue
		}
		changed = true
	}
	if changed {
		if _, _, err := l.node.ProposeMembers(next); err == nil {
			c.count["membership change"]++
		}
	}
}

func (c *cluster) step() {
	r := c.replicas[c.rnd.Intn(len(c.replicas))]
	switch p := c.rnd.Intn(1000); {
	case p < 400:
		if len(c.net) > 0 {
			c.deliver(c.rnd.Intn(len(c.net)))
		}
	case p < 406:
		clear(c.cut)
	case p < 416:
		c.operate()
	case r.lost:
	case r.node == nil:
		if p < 426 {
			c.start(r)
		}
	case p < 613:
		c.take(r)
	case p < 813:
		c.finish(r)
	case p < 913:
		r.node.Tick()
		c.checkLeader(r)
	case p < 953:
		c.seq++
		_, _, _ = r.node.Propose(binary.BigEndian.AppendUint64(make([]byte, c.rnd.Intn(60)), c.seq))
	case p < 983:
		c.seq++
		c.reads[c.seq] = c.max
		_ = r.node.ReadIndex(c.seq)
	case p < 994:
		c.compact(r)
	case p < 996:
		c.isolate(r, 0.3)
	case p < 999 || c.lostDiskIsPresent():
		c.count["crash"]++
		c.crash(r)
	default:
		c.count["disk lost"]++
		c.crash(r)
		r.lost = true
		c.start(c.add(r.host))
	}
}

func (c *cluster) compact(r *replica) {
	if r.node == nil || r.pending != nil || r.applied <= r.node.log.snap.Index {
		return
	}
	s, err := r.node.NewSnapshot(r.applied, binary.BigEndian.AppendUint64(nil, r.chain))
	c.check(err == nil, "snapshot: %v", err)
	save(&r.disk, Ready{Snapshot: &s})
	err = r.node.Compact(s)
	c.check(err == nil, "compact: %v", err)
}

// isolate cuts a replica off; messages from others pass with the given probability.
func (c *cluster) isolate(r *replica, pass float64) {
	for _, o := range c.replicas {
		c.cut[[2]ReplicaID{r.id, o.id}], c.cut[[2]ReplicaID{o.id, r.id}] = true, c.rnd.Float64() >= pass
	}
}

// Guards against two leaders in a term, changed or lost committed entries, diverging
// states, stale reads, and a group that does not recover after all faults have ended.
func TestRandomFaults(t *testing.T) {
	total := map[string]int{}
	first, last := int64(1), *simSeeds
	if *simSeed != 0 {
		first, last = *simSeed, *simSeed
	}
	for seed := first; seed <= last; seed++ {
		c := newCluster(t, seed, 3+2*int(seed%2))
		c.drop = float64(seed%4) * 0.05
		for range 12000 {
			c.step()
		}
		clear(c.cut)
		c.drop = 0
		intact := slices.DeleteFunc(slices.Clone(c.replicas), func(r *replica) bool { return r.lost })
		for _, r := range intact {
			if r.node == nil {
				c.start(r)
			}
		}
		c.until("repair", func() bool {
			c.operate()
			l := c.leader()
			return l != nil && !c.lostDiskIsPresent() && !slices.ContainsFunc(intact, func(r *replica) bool { return !isVoter(l.node.members(), r.id) })
		})
		c.settle(intact...)
		c.count["entry"] += int(c.max)
		for k, v := range c.count {
			total[k] += v
		}
	}
	t.Log(total)
	for _, k := range []string{"read", "crash after save", "disk lost", "snapshot installed", "membership change"} {
		if total[k] == 0 && first != last {
			t.Fatalf("%s never happened", k)
		}
	}
}
