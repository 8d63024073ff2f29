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
// is a hash chain over all applied entries; hash is its latest value.
type replica struct {
	id       ReplicaID
	host     string
	node     *Node // nil while crashed
	disk     Restored
	pending  *Ready
	applied  uint64
	hash     uint64
	diskLost bool // the disk is lost permanently
}

// cluster runs replicas over a network that loses, repeats, delays and reorders messages.
type cluster struct {
	t            *testing.T
	rng          *rand.Rand
	seed         int64
	replicas     []*replica
	network      []Message
	blocked      map[[2]ReplicaID]bool
	lossRate     float64 // probability of losing a message; half of it is that of repeating one
	hashes       map[uint64]uint64
	leaders      map[uint64]ReplicaID
	maxApplied   uint64 // highest index applied by any replica
	minReadIndex map[uint64]uint64
	seq          uint64
	counts       map[string]int
}

func newCluster(t *testing.T, seed int64, voters int) *cluster {
	c := &cluster{
		t: t, seed: seed, rng: rand.New(rand.NewSource(seed)), blocked: map[[2]ReplicaID]bool{},
		hashes: map[uint64]uint64{}, leaders: map[uint64]ReplicaID{}, minReadIndex: map[uint64]uint64{}, counts: map[string]int{},
	}
	var ms []Member
	for range voters {
		r := c.addReplica(fmt.Sprint("h", len(c.replicas)+1))
		ms = append(ms, Member{ID: r.id, Host: r.host})
	}
	for _, r := range c.replicas {
		r.disk.Snapshot = Bootstrap(ms)
		c.start(r)
	}
	return c
}

func (c *cluster) addReplica(host string) *replica {
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
	cfg := Config{ID: r.id, HeartbeatTicks: 2, ElectionTicks: simElectionTicks, Rand: c.rng, MaxBatchBytes: 200}
	d := r.disk
	d.Entries = slices.Clone(d.Entries)
	n, err := New(cfg, d)
	c.check(err == nil, "restart of replica %d: %v", r.id, err)
	r.node, r.pending = n, nil
	c.restore(r, d.Snapshot)
}

func (c *cluster) restore(r *replica, s Snapshot) {
	r.applied, r.hash = s.Index, 0
	if len(s.Data) > 0 {
		r.hash = binary.BigEndian.Uint64(s.Data)
	}
	want := c.hashes[s.Index]
	c.check(r.hash == want, "replica %d restores state %x at index %d, want %x", r.id, r.hash, s.Index, want)
}

func (c *cluster) crash(r *replica) { r.node, r.pending = nil, nil }

// takeReady begins the handling of a Ready; finishReady ends it. Messages and ticks may
// come in between.
func (c *cluster) takeReady(r *replica) {
	if r.node != nil && r.pending == nil && r.node.HasReady() {
		rd := r.node.Ready()
		r.pending = &rd
	}
}

func (c *cluster) finishReady(r *replica) {
	if r.pending == nil {
		return
	}
	rd := *r.pending
	saveReady(&r.disk, rd)
	if c.lossRate > 0 && c.rng.Float64() < 0.005 {
		c.counts["crash after save"]++
		c.crash(r)
		return
	}
	c.network = append(c.network, rd.Messages...)
	if rd.Snapshot != nil {
		c.counts["snapshot installed"]++
		c.restore(r, *rd.Snapshot)
	}
	for _, e := range rd.Committed {
		c.apply(r, e)
	}
	for _, rr := range rd.Reads {
		c.counts["read"]++
		c.check(rr.Index >= c.minReadIndex[rr.Seq], "replica %d reads at index %d, but %d was committed before", r.id, rr.Index, c.minReadIndex[rr.Seq])
	}
	r.pending = nil
	r.node.Advance(rd)
}

func saveReady(d *Restored, rd Ready) {
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
	fmt.Fprint(h, r.hash, e.Index, e.Term, e.Kind, e.Data, e.Members)
	r.applied, r.hash = e.Index, h.Sum64()
	want, known := c.hashes[e.Index]
	c.check(!known || want == r.hash, "replica %d applies another entry at index %d", r.id, e.Index)
	c.hashes[e.Index], c.maxApplied = r.hash, max(c.maxApplied, e.Index)
}

func (c *cluster) deliver(i int) {
	m := c.network[i]
	if m.Kind == MsgAppendResp && m.Reject {
		c.counts["reject"]++
	}
	if c.rng.Float64() >= c.lossRate/2 {
		c.network = slices.Delete(c.network, i, i+1)
	}
	// IDs are assigned in order. An unknown ID is only the sender of made-up messages.
	r := c.replicas[m.To-1]
	if r.node == nil || c.blocked[[2]ReplicaID{m.From, m.To}] || c.rng.Float64() < c.lossRate {
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

// runRound runs the group without random delays: one tick on each replica, then all
// messages and all work of Ready.
func (c *cluster) runRound() {
	for _, r := range c.replicas {
		if r.node != nil {
			r.node.Tick()
			c.checkLeader(r)
		}
	}
	for again := true; again; {
		again = len(c.network) > 0
		for len(c.network) > 0 {
			c.deliver(0)
		}
		for _, r := range c.replicas {
			c.takeReady(r)
			again = again || r.pending != nil
			c.finishReady(r)
		}
	}
}

// runUntil runs rounds until cond holds.
func (c *cluster) runUntil(what string, cond func() bool) {
	c.t.Helper()
	for range 60 * simElectionTicks {
		if cond() {
			return
		}
		c.runRound()
	}
	c.check(false, "not reached: %s", what)
}

// proposeUntilApplied proposes a command, and again on each new leader, until all given
// replicas have applied it.
func (c *cluster) proposeUntilApplied(rs ...*replica) {
	c.t.Helper()
	var targetIndex uint64
	var proposer *replica
	c.runUntil("a command applied by all", func() bool {
		if l := c.leader(); l != nil && l != proposer {
			targetIndex, _, _ = l.node.Propose([]byte("settle"))
			proposer = l
		}
		return proposer != nil && !slices.ContainsFunc(rs, func(r *replica) bool { return r.applied < targetIndex })
	})
}

// changeMembers proposes one step of a membership change until it is committed.
func (c *cluster) changeMembers(next ...Member) {
	c.t.Helper()
	c.runUntil(fmt.Sprint("membership ", next), func() bool {
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

// mayListLostVoter reports whether a membership in effect on any replica may list a replica
// with a lost disk as voter. A crashed replica counts as listing one. Before the repair is
// complete, losing a second disk may exceed what the group tolerates.
func (c *cluster) mayListLostVoter() bool {
	return slices.ContainsFunc(c.replicas, func(lost *replica) bool {
		return lost.diskLost && slices.ContainsFunc(c.replicas, func(r *replica) bool {
			return !r.diskLost && (r.node == nil || isVoter(r.node.members(), lost.id))
		})
	})
}

// repairStep takes one step of the repair: add the new replica of a host as a learner,
// promote it, remove the lost one.
func (c *cluster) repairStep() {
	l := c.leader()
	if l == nil {
		return
	}
	next, changed := slices.Clone(l.node.members()), false
	// The lost replica is removed last: otherwise the group would have fewer voters than
	// hosts for a while.
	for i := range 2 * len(c.replicas) {
		r, removing := c.replicas[i%len(c.replicas)], i >= len(c.replicas)
		m := findMember(next, r.id)
		switch {
		case changed || r.diskLost != removing || (removing && m == nil):
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
			c.counts["membership change"]++
		}
	}
}

func (c *cluster) randomStep() {
	r := c.replicas[c.rng.Intn(len(c.replicas))]
	switch p := c.rng.Intn(1000); {
	case p < 400:
		if len(c.network) > 0 {
			c.deliver(c.rng.Intn(len(c.network)))
		}
	case p < 406:
		clear(c.blocked)
	case p < 416:
		c.repairStep()
	case r.diskLost:
	case r.node == nil:
		if p < 426 {
			c.start(r)
		}
	case p < 613:
		c.takeReady(r)
	case p < 813:
		c.finishReady(r)
	case p < 913:
		r.node.Tick()
		c.checkLeader(r)
	case p < 953:
		c.seq++
		_, _, _ = r.node.Propose(binary.BigEndian.AppendUint64(make([]byte, c.rng.Intn(60)), c.seq))
	case p < 983:
		c.seq++
		c.minReadIndex[c.seq] = c.maxApplied
		_ = r.node.ReadIndex(c.seq)
	case p < 994:
		c.compact(r)
	case p < 996:
		c.isolate(r, 0.3)
	case p < 999 || c.mayListLostVoter():
		c.counts["crash"]++
		c.crash(r)
	default:
		c.counts["disk lost"]++
		c.crash(r)
		r.diskLost = true
		c.start(c.addReplica(r.host))
	}
}

func (c *cluster) compact(r *replica) {
	if r.node == nil || r.pending != nil || r.applied <= r.node.log.snap.Index {
		return
	}
	s, err := r.node.NewSnapshot(r.applied, binary.BigEndian.AppendUint64(nil, r.hash))
	c.check(err == nil, "snapshot: %v", err)
	saveReady(&r.disk, Ready{Snapshot: &s})
	err = r.node.Compact(s)
	c.check(err == nil, "compact: %v", err)
}

// isolate blocks all messages from a replica; the link to it from each other replica
// stays open with the given probability.
func (c *cluster) isolate(r *replica, passProbability float64) {
	for _, o := range c.replicas {
		c.blocked[[2]ReplicaID{r.id, o.id}], c.blocked[[2]ReplicaID{o.id, r.id}] = true, c.rng.Float64() >= passProbability
	}
}

// Under random faults there are no two leaders in a term, no changed or lost committed
// entries, no diverging states and no stale reads, and the group recovers after all faults
// have ended.
func TestRandomFaults(t *testing.T) {
	total := map[string]int{}
	first, last := int64(1), *simSeeds
	if *simSeed != 0 {
		first, last = *simSeed, *simSeed
	}
	for seed := first; seed <= last; seed++ {
		c := newCluster(t, seed, 3+2*int(seed%2))
		c.lossRate = float64(seed%4) * 0.05
		for range 12000 {
			c.randomStep()
		}
		clear(c.blocked)
		c.lossRate = 0
		intact := slices.DeleteFunc(slices.Clone(c.replicas), func(r *replica) bool { return r.diskLost })
		for _, r := range intact {
			if r.node == nil {
				c.start(r)
			}
		}
		c.runUntil("repair", func() bool {
			c.repairStep()
			l := c.leader()
			return l != nil && !c.mayListLostVoter() && !slices.ContainsFunc(intact, func(r *replica) bool { return !isVoter(l.node.members(), r.id) })
		})
		c.proposeUntilApplied(intact...)
		c.counts["entry"] += int(c.maxApplied)
		for k, v := range c.counts {
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
