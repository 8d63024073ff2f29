package control

import (
	"fmt"
	"testing"
	"time"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/state"
	"marigoldshunt/internal/wire"
)

// frameOverhead is the size of the envelope and of the frame's header, see
// BenchmarkMessage in package wire.
const frameOverhead = 60

// renewFleet sends the Renew messages of many hosts to the leader of a control group and
// counts the processor time and the bytes of the leader.
type renewFleet struct {
	*world
	lead  *Node
	hosts []wire.Renew
	index map[string]int

	spent, follower time.Duration
	renews          int
	in, out, group  int
	// longest is the longest step of the leader, between which it handles nothing else.
	longest time.Duration
	// given and mostGiven count the configurations begun in this tick and in any tick.
	given, mostGiven int
}

func newRenewFleet(b testing.TB, hosts, accounts int) *renewFleet {
	w := formed(b, 1, 30)
	clear(w.clients)
	f := &renewFleet{world: w, lead: w.nodes[w.leader()], hosts: make([]wire.Renew, hosts), index: map[string]int{}}
	for i := range f.hosts {
		f.index[hostName(i)] = i
		f.hosts[i].Ready = true
	}
	for range 16 {
		f.interval()
	}
	for from := 0; from < accounts; from += 500 {
		var chs []config.Change
		for i := from; i < min(from+500, accounts); i++ {
			chs = append(chs, benchContract(i, 0))
		}
		f.change(chs...)
	}
	for range 16 {
		f.interval()
	}
	if got := f.lead.st.Config(); len(got.Contracts) != accounts || f.hosts[0].Revision != got.Revision {
		b.Fatalf("%d contracts, host at revision %d of %d", len(got.Contracts), f.hosts[0].Revision, got.Revision)
	}
	f.spent, f.follower, f.renews, f.in, f.out, f.group, f.longest, f.mostGiven = 0, 0, 0, 0, 0, 0, 0, 0
	return f
}

func hostName(i int) string { return fmt.Sprintf("host-%03d", i) }

func benchContract(i int, revision uint64) config.Change {
	return config.Change{IfRevision: revision, Contract: &config.Contract{Account: fmt.Sprintf("account-%05d", i),
		KeyHashes: []string{fmt.Sprintf("%064x", i)}, Weight: 1, RequestsPerSecond: 5, Burst: 5, Concurrency: 2, QueueLength: 8,
		MaxBodyBytes: 1 << 20, MaxRun: time.Minute, MaxWait: time.Second, Pools: []string{"p1", "p2"}}}
}

// timed runs the work of one node.
func (f *renewFleet) timed(n *Node, work func()) {
	start := time.Now()
	work()
	if err := n.process(); err != nil {
		f.t.Fatal(err)
	}
	if n == f.lead {
		f.spent += time.Since(start)
		f.longest = max(f.longest, time.Since(start))
	} else {
		f.follower += time.Since(start)
	}
}

// interval passes 400 ms, in which every host renews once.
func (f *renewFleet) interval() {
	const ticks = int(RenewInterval / TickInterval)
	for tick := range ticks {
		f.tick()
		for i := tick; i < len(f.hosts); i += ticks {
			f.hosts[i].Seq++
			f.give(hostName(i), wire.KindRenew, f.hosts[i])
			f.renews++
		}
		f.timed(f.lead, func() {})
		f.deliver()
	}
}

func (f *renewFleet) tick() {
	f.now += TickInterval
	f.given = 0
	for _, n := range f.nodes {
		f.timed(n, n.tick)
	}
}

// give hands a message of a host to the leader.
func (f *renewFleet) give(from string, kind wire.Kind, msg any) {
	payload, err := wire.Marshal(msg)
	if err != nil {
		f.t.Fatal(err)
	}
	f.in += len(payload) + frameOverhead
	start := time.Now()
	f.lead.event(event{from: from, boot: 1, kind: kind, payload: payload})
	f.spent += time.Since(start)
}

// deliver passes on what the nodes sent until they are silent.
func (f *renewFleet) deliver() {
	for len(f.queue) > 0 {
		p := f.queue[0]
		f.queue = f.queue[1:]
		if n := f.nodes[p.to]; n != nil {
			if p.from != p.to {
				f.group += len(p.payload) + frameOverhead
			}
			f.timed(n, func() { n.event(event{from: p.from, kind: p.kind, payload: p.payload}) })
			continue
		}
		if i, ok := f.index[p.to]; ok {
			f.out += len(p.payload) + frameOverhead
			f.receive(i, p)
		}
	}
}

// receive applies an answer to what a host knows.
func (f *renewFleet) receive(i int, p packet) {
	h := &f.hosts[i]
	switch p.kind {
	case wire.KindSnapshotChunk:
		var c wire.Chunk
		if wire.Unmarshal(p.payload, &c) != nil {
			f.t.Fatal("chunk not readable")
		}
		if c.Part == 0 {
			f.given++
			f.mostGiven = max(f.mostGiven, f.given)
		}
		f.give(p.to, wire.KindSnapshotChunk, wire.Chunk{Inner: c.Inner, ID: c.ID, Part: c.Part + 1, Ack: true})
		if c.Part+1 == c.Parts {
			h.Revision = f.lead.st.Config().Revision
		}
	case wire.KindRenewAck:
		var a wire.RenewAck
		if wire.Unmarshal(p.payload, &a) != nil || a.NotLeader {
			return
		}
		h.Revision = max(h.Revision, a.Revision)
		if a.HasHosts {
			h.HostsVersion = a.HostsVersion
		}
		h.MarksVersion = max(h.MarksVersion, a.MarksVersion)
		if a.HasLeases {
			h.LeasesVersion, h.Held = a.LeasesVersion, nil
			for _, l := range a.Leases {
				if l.Host == p.to {
					h.Held = append(h.Held, l)
				}
			}
		}
	}
}

// change commits changes as one command.
func (f *renewFleet) change(chs ...config.Change) {
	cmd, err := state.Command{Config: &state.ConfigChange{RequestID: fmt.Sprint(f.lead.applied), Operator: "op", Changes: chs}}.Encode()
	if err != nil {
		f.t.Fatal(err)
	}
	before := f.lead.st.Config().Revision
	f.give("operator", wire.KindPropose, wire.Propose{Seq: 1, Command: cmd})
	f.timed(f.lead, func() {})
	f.deliver()
	if f.lead.st.Config().Revision != before+1 {
		f.t.Fatal("the change was not accepted")
	}
}

func (f *renewFleet) report(b *testing.B) {
	n := float64(f.renews)
	b.ReportMetric(float64(f.spent.Nanoseconds())/n, "leader-ns/renew")
	b.ReportMetric(float64(f.follower.Nanoseconds())/2/n, "follower-ns/renew")
	b.ReportMetric(float64(f.in)/n, "in-B/renew")
	b.ReportMetric(float64(f.out)/n, "out-B/renew")
	b.ReportMetric(float64(f.group)/n, "group-B/renew")
}

var benchHosts = []int{12, 120, 370}

// BenchmarkRenew is one interval of 400 ms of an idle fleet with 680 contracts.
func BenchmarkRenew(b *testing.B) {
	for _, hosts := range benchHosts {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			f := newRenewFleet(b, hosts, 680)
			b.ResetTimer()
			for range b.N {
				f.interval()
			}
			f.report(b)
		})
	}
}

// BenchmarkFanOut is one change of a contract that is pushed to all hosts, with 6,800
// contracts. The log is in memory.
func BenchmarkFanOut(b *testing.B) {
	for _, hosts := range benchHosts {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			f := newRenewFleet(b, hosts, 6800)
			b.ResetTimer()
			for i := range b.N {
				account := benchContract(i%6800, 0).Contract.Account
				f.change(benchContract(i%6800, f.lead.st.Config().Contracts[account].Revision))
			}
			n := float64(b.N)
			b.ReportMetric(float64(f.spent.Microseconds())/n, "leader-us/change")
			b.ReportMetric(float64(f.follower.Microseconds())/2/n, "follower-us/change")
			b.ReportMetric(float64(f.out)/n/float64(hosts), "out-B/host")
			if f.hosts[0].Revision != f.lead.st.Config().Revision {
				b.Fatal("a host did not get the changes")
			}
		})
	}
}

// BenchmarkRestartedHost is the answer to the first Renew of a host with empty memory in
// a fleet of 370 hosts.
func BenchmarkRestartedHost(b *testing.B) {
	for _, accounts := range []int{16, 680, 6800} {
		b.Run(fmt.Sprint("contracts=", accounts), func(b *testing.B) {
			f := newRenewFleet(b, 370, accounts)
			b.ResetTimer()
			for i := range b.N {
				f.tick()
				h := i % len(f.hosts)
				f.hosts[h] = wire.Renew{Seq: 1, Ready: true}
				f.give(hostName(h), wire.KindRenew, f.hosts[h])
				f.timed(f.lead, func() {})
				f.deliver()
				if f.hosts[h].Revision != f.lead.st.Config().Revision {
					b.Fatal("the host has no configuration")
				}
			}
			b.ReportMetric(float64(f.spent.Microseconds())/float64(b.N), "leader-us/restart")
			b.ReportMetric(float64(f.out)/float64(b.N), "out-B/restart")
		})
	}
}

// restartAll lets all hosts start with empty memory and renew in the same tick.
func (f *renewFleet) restartAll() (intervals int) {
	for i := range f.hosts {
		f.hosts[i] = wire.Renew{Seq: 1, Ready: true}
		f.give(hostName(i), wire.KindRenew, f.hosts[i])
	}
	f.timed(f.lead, func() {})
	f.deliver()
	missing := func() bool {
		for _, h := range f.hosts {
			if h.Revision != f.lead.st.Config().Revision {
				return true
			}
		}
		return false
	}
	for ; missing(); intervals++ {
		if intervals > 100 || !f.lead.leading() {
			f.t.Fatal("hosts without a configuration")
		}
		f.interval()
	}
	return intervals
}

// BenchmarkRestartedFleet restarts all hosts at once with 6,800 contracts. longest-ms is
// the longest time in which the leader sent no heartbeat.
func BenchmarkRestartedFleet(b *testing.B) {
	for _, hosts := range benchHosts {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			f := newRenewFleet(b, hosts, 6800)
			b.ResetTimer()
			total := 0
			for range b.N {
				total += f.restartAll()
			}
			b.ReportMetric(f.longest.Seconds()*1000, "longest-ms")
			b.ReportMetric(float64(total)/float64(b.N)*RenewInterval.Seconds(), "fleet-s")
		})
	}
}
