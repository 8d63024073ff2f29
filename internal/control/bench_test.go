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
// measures the time that the nodes work and the bytes that they exchange.
type renewFleet struct {
	*simulation
	leaderNode *Node
	hosts      []wire.Renew
	index      map[string]int

	leaderTime, followerTime      time.Duration
	renews                        int
	inBytes, outBytes, groupBytes int
	// longestStep is the leader's longest step, during which it handles nothing else.
	longestStep time.Duration
	// configsStarted counts the configuration transfers started in this tick;
	// maxConfigsStarted is the most of any tick.
	configsStarted, maxConfigsStarted int
}

func newRenewFleet(b testing.TB, hosts, accounts int) *renewFleet {
	sim := newFormedSimulation(b, 1, 30)
	clear(sim.clients)
	f := &renewFleet{simulation: sim, leaderNode: sim.nodes[sim.leader()], hosts: make([]wire.Renew, hosts), index: map[string]int{}}
	for i := range f.hosts {
		f.index[hostName(i)] = i
		f.hosts[i].Ready, f.hosts[i].Capabilities = true, wire.Capabilities{RoutingPatches: true, Compression: true}
	}
	for range 16 {
		f.runInterval()
	}
	for from := 0; from < accounts; from += 500 {
		var changes []config.Change
		for i := from; i < min(from+500, accounts); i++ {
			changes = append(changes, benchContract(i, 0))
		}
		f.change(changes...)
	}
	for range 16 {
		f.runInterval()
	}
	if got := f.leaderNode.state.Config(); len(got.Contracts) != accounts || f.hosts[0].Revision != got.Revision {
		b.Fatalf("%d contracts, host at revision %d of %d", len(got.Contracts), f.hosts[0].Revision, got.Revision)
	}
	f.leaderTime, f.followerTime, f.renews, f.inBytes, f.outBytes, f.groupBytes, f.longestStep, f.maxConfigsStarted = 0, 0, 0, 0, 0, 0, 0, 0
	return f
}

func hostName(i int) string { return fmt.Sprintf("host-%03d", i) }

func benchContract(i int, revision uint64) config.Change {
	return config.Change{IfRevision: revision, Contract: &config.Contract{Account: fmt.Sprintf("account-%05d", i),
		KeyHashes: []string{fmt.Sprintf("%064x", i)}, Weight: 1, RequestsPerSecond: 5, Burst: 5, Concurrency: 2, QueueLength: 8,
		MaxBodyBytes: 1 << 20, MaxRun: time.Minute, MaxWait: time.Second, Pools: []string{"p1", "p2"}}}
}

// runTimed runs the work of one node and adds up the time.
func (f *renewFleet) runTimed(n *Node, work func()) {
	start := time.Now()
	work()
	if err := n.process(); err != nil {
		f.t.Fatal(err)
	}
	if n == f.leaderNode {
		f.leaderTime += time.Since(start)
		f.longestStep = max(f.longestStep, time.Since(start))
	} else {
		f.followerTime += time.Since(start)
	}
}

// runInterval advances the clock by 400 ms, in which every host sends one Renew.
func (f *renewFleet) runInterval() {
	const ticks = int(RenewInterval / TickInterval)
	for tick := range ticks {
		f.tick()
		for i := tick; i < len(f.hosts); i += ticks {
			f.hosts[i].Seq++
			f.sendToLeader(hostName(i), wire.KindRenew, f.hosts[i])
			f.renews++
		}
		f.runTimed(f.leaderNode, func() {})
		f.deliver()
	}
}

func (f *renewFleet) tick() {
	f.now += TickInterval
	f.configsStarted = 0
	for _, n := range f.nodes {
		f.runTimed(n, n.tick)
	}
}

// sendToLeader delivers a message of a host to the leader.
func (f *renewFleet) sendToLeader(from string, kind wire.Kind, msg any) {
	payload, err := wire.Marshal(msg)
	if err != nil {
		f.t.Fatal(err)
	}
	f.inBytes += len(payload) + frameOverhead
	start := time.Now()
	f.leaderNode.handleEvent(event{from: from, boot: 1, kind: kind, payload: payload})
	f.leaderTime += time.Since(start)
}

// deliver delivers the messages of the nodes until they send no more.
func (f *renewFleet) deliver() {
	for len(f.queue) > 0 {
		p := f.queue[0]
		f.queue = f.queue[1:]
		if n := f.nodes[p.to]; n != nil {
			if p.from != p.to {
				f.groupBytes += len(p.payload) + frameOverhead
			}
			f.runTimed(n, func() { n.handleEvent(event{from: p.from, kind: p.kind, payload: p.payload}) })
			continue
		}
		if i, ok := f.index[p.to]; ok {
			f.outBytes += len(p.payload) + frameOverhead
			f.receive(i, p)
		}
	}
}

// receive handles an answer on a host.
func (f *renewFleet) receive(i int, p packet) {
	h := &f.hosts[i]
	switch p.kind {
	case wire.KindChunk:
		var c wire.Chunk
		if wire.Unmarshal(p.payload, &c) != nil {
			f.t.Fatal("failed to decode chunk")
		}
		if c.Part == 0 {
			f.configsStarted++
			f.maxConfigsStarted = max(f.maxConfigsStarted, f.configsStarted)
		}
		f.sendToLeader(p.to, wire.KindChunk, wire.Chunk{Inner: c.Inner, ID: c.ID, Part: c.Part + 1, Ack: true})
		if c.Part+1 == c.Parts {
			h.Revision = f.leaderNode.state.Config().Revision
		}
	case wire.KindRenewAck, wire.KindCompressedRenewAck:
		payload := p.payload
		if p.kind == wire.KindCompressedRenewAck {
			payload, _ = wire.Decompress(payload)
		}
		var a wire.RenewAck
		if wire.Unmarshal(payload, &a) != nil || a.NotLeader {
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
func (f *renewFleet) change(changes ...config.Change) {
	cmd, err := state.Command{Config: &state.ConfigChange{RequestID: fmt.Sprint(f.leaderNode.applied), Operator: "op", Changes: changes}}.Encode()
	if err != nil {
		f.t.Fatal(err)
	}
	before := f.leaderNode.state.Config().Revision
	f.sendToLeader("operator", wire.KindPropose, wire.Propose{Seq: 1, Command: cmd})
	f.runTimed(f.leaderNode, func() {})
	f.deliver()
	if f.leaderNode.state.Config().Revision != before+1 {
		f.t.Fatal("the change was not accepted")
	}
}

func (f *renewFleet) reportMetrics(b *testing.B) {
	n := float64(f.renews)
	b.ReportMetric(float64(f.leaderTime.Nanoseconds())/n, "leader-ns/renew")
	b.ReportMetric(float64(f.followerTime.Nanoseconds())/2/n, "follower-ns/renew")
	b.ReportMetric(float64(f.inBytes)/n, "in-B/renew")
	b.ReportMetric(float64(f.outBytes)/n, "out-B/renew")
	b.ReportMetric(float64(f.groupBytes)/n, "group-B/renew")
}

var benchHosts = []int{12, 120, 370}

// BenchmarkRenew measures one interval of 400 ms of an idle fleet with 680 contracts.
func BenchmarkRenew(b *testing.B) {
	for _, hosts := range benchHosts {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			f := newRenewFleet(b, hosts, 680)
			b.ResetTimer()
			for range b.N {
				f.runInterval()
			}
			f.reportMetrics(b)
		})
	}
}

// BenchmarkFanOut measures one change of a contract that is pushed to all hosts, with 6,800
// contracts. The log is in memory.
func BenchmarkFanOut(b *testing.B) {
	for _, hosts := range benchHosts {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			f := newRenewFleet(b, hosts, 6800)
			b.ResetTimer()
			for i := range b.N {
				account := benchContract(i%6800, 0).Contract.Account
				f.change(benchContract(i%6800, f.leaderNode.state.Config().Contracts[account].Revision))
			}
			n := float64(b.N)
			b.ReportMetric(float64(f.leaderTime.Microseconds())/n, "leader-us/change")
			b.ReportMetric(float64(f.followerTime.Microseconds())/2/n, "follower-us/change")
			b.ReportMetric(float64(f.outBytes)/n/float64(hosts), "out-B/host")
			if f.hosts[0].Revision != f.leaderNode.state.Config().Revision {
				b.Fatal("a host did not get the changes")
			}
		})
	}
}

// BenchmarkRestartedHost measures the answer to the first Renew of a restarted host, which
// has no configuration, in a fleet of 370 hosts.
func BenchmarkRestartedHost(b *testing.B) {
	for _, accounts := range []int{16, 680, 6800} {
		b.Run(fmt.Sprint("contracts=", accounts), func(b *testing.B) {
			f := newRenewFleet(b, 370, accounts)
			b.ResetTimer()
			for i := range b.N {
				f.tick()
				h := i % len(f.hosts)
				f.hosts[h] = wire.Renew{Seq: 1, Ready: true}
				f.sendToLeader(hostName(h), wire.KindRenew, f.hosts[h])
				f.runTimed(f.leaderNode, func() {})
				f.deliver()
				if f.hosts[h].Revision != f.leaderNode.state.Config().Revision {
					b.Fatal("the host has no configuration")
				}
			}
			b.ReportMetric(float64(f.leaderTime.Microseconds())/float64(b.N), "leader-us/restart")
			b.ReportMetric(float64(f.outBytes)/float64(b.N), "out-B/restart")
		})
	}
}

// restartAll restarts all hosts without a configuration, all sending their first Renew in
// the same tick. It returns the number of intervals until all have the configuration.
func (f *renewFleet) restartAll() (intervals int) {
	for i := range f.hosts {
		f.hosts[i] = wire.Renew{Seq: 1, Ready: true}
		f.sendToLeader(hostName(i), wire.KindRenew, f.hosts[i])
	}
	f.runTimed(f.leaderNode, func() {})
	f.deliver()
	missing := func() bool {
		for _, h := range f.hosts {
			if h.Revision != f.leaderNode.state.Config().Revision {
				return true
			}
		}
		return false
	}
	for ; missing(); intervals++ {
		if intervals > 100 || !f.leaderNode.isActiveLeader() {
			f.t.Fatal("hosts without a configuration")
		}
		f.runInterval()
	}
	return intervals
}

// BenchmarkRestartedFleet restarts all hosts at once with 6,800 contracts. longest-ms is
// the leader's longest step, in which it sends no heartbeat.
func BenchmarkRestartedFleet(b *testing.B) {
	for _, hosts := range benchHosts {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			f := newRenewFleet(b, hosts, 6800)
			b.ResetTimer()
			total := 0
			for range b.N {
				total += f.restartAll()
			}
			b.ReportMetric(f.longestStep.Seconds()*1000, "longest-ms")
			b.ReportMetric(float64(total)/float64(b.N)*RenewInterval.Seconds(), "fleet-s")
		})
	}
}
