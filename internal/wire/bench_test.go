package wire

import (
	"fmt"
	"testing"
	"time"

	"marigoldshunt/internal/config"
)

// sampleMessage returns a message of the given kind. Its names and numbers are as long as
// in a fleet of hundreds of hosts; n is the length of its lists.
func sampleMessage(kind string, n int) any {
	id := TicketID{Host: "host-217", Boot: 1 << 60, Seq: 1 << 20}
	t := Ticket{ID: id, Pool: "model-large-17", Account: "account-04711", DataCentre: "north-2", InputCost: 81.25,
		Fingerprint: Digest{1}, Prefix: Digest{2}, Idempotent: true, MaxWait: 29 * time.Second, RouterClock: 100 * time.Hour}
	switch kind {
	case "ticket":
		return t
	case "grant":
		return Grant{ID: id, Pool: t.Pool, Upstream: "engine-0421", Address: "10.17.31.201:8000", Fence: 1 << 30,
			Echo: t.RouterClock, Tag: 1e6 / 3, Virtual: 1e6 / 7, Estimate: 211.7, Instance: "engine-0421-7f3a", Limit: 8}
	case "finish":
		return Finish{ID: id, Pool: t.Pool, Upstream: "engine-0421", Outcome: OutcomeDone, Cost: 271.5,
			FirstByte: 700 * time.Millisecond, Run: 8 * time.Second, Instance: "engine-0421-7f3a", Queued: 3}
	case "beat":
		return RouterHeartbeat{Pool: t.Pool, Fence: 1 << 30, RouterClock: t.RouterClock}
	case "renew":
		return Renew{Seq: 1 << 20, Revision: 1 << 20, Ready: true, HostsVersion: 5 << 32, LeasesVersion: 900, MarksVersion: 20}
	case "renewack":
		return RenewAck{Seq: 1 << 20, Leader: "host-003", Term: 5, Revision: 1 << 20}
	case "delta":
		a := RenewAck{Leader: "host-003", Term: 5, Revision: 1 << 20, Delta: &config.Delta{From: 1<<20 - 1, To: 1 << 20}}
		for i := range n {
			a.Delta.Changes = append(a.Delta.Changes, config.AppliedChange{Revision: 1 << 20, Change: config.Change{
				IfRevision: 7, Contract: &config.Contract{Account: fmt.Sprintf("account-%05d", i), KeyHashes: []string{fmt.Sprintf("%064x", i)},
					Weight: 2, RequestsPerSecond: 40, Burst: 80, Concurrency: 16, QueueLength: 64, MaxBodyBytes: 1 << 20,
					MaxRun: 5 * time.Minute, MaxWait: 30 * time.Second, Pools: []string{t.Pool, "model-small-03"}}}})
		}
		return a
	case "hosts":
		a := RenewAck{Seq: 1 << 20, Leader: "host-003", Term: 5, Revision: 1 << 20, HasHosts: true, HostsVersion: 5 << 32}
		for i := range n {
			a.Hosts = append(a.Hosts, HostStatus{Host: fmt.Sprintf("host-%03d", i), Boot: 1 << 60, Alive: true})
		}
		return a
	case "leases":
		a := RenewAck{Seq: 1 << 20, Leader: "host-003", Term: 5, Revision: 1 << 20, HasLeases: true, LeasesVersion: 900}
		for i := range n {
			a.Leases = append(a.Leases, Lease{Pool: fmt.Sprintf("model-large-%02d", i), Host: "host-217", Boot: 1 << 60, Fence: 1 << 30})
		}
		return a
	case "sync":
		s := Sync{Pool: t.Pool, Fence: 1 << 30, RouterClock: t.RouterClock}
		for i := range n {
			t.ID.Seq = uint64(1<<20 + i)
			s.Running = append(s.Running, RunningRequest{Ticket: t, Upstream: "engine-0421", Estimate: 211.7})
			s.Tags = append(s.Tags, AccountTag{Account: fmt.Sprintf("account-%05d", i), Tag: 1e6 / 3})
		}
		return s
	}
	return nil
}

// BenchmarkMessage encodes a message in its envelope and decodes the envelope. frame-B is
// the size on a connection between hosts, including the frame header of 20 bytes.
func BenchmarkMessage(b *testing.B) {
	for _, c := range []struct {
		kind  string
		sizes []int
	}{
		{"ticket", []int{1}}, {"grant", []int{1}}, {"finish", []int{1}}, {"beat", []int{1}}, {"renew", []int{1}}, {"renewack", []int{1}},
		{"delta", []int{1, 10, 100}}, {"hosts", []int{12, 120, 370}}, {"leases", []int{3, 10, 30}}, {"sync", []int{1, 10, 100}},
	} {
		for _, n := range c.sizes {
			b.Run(fmt.Sprintf("%s=%d", c.kind, n), func(b *testing.B) {
				b.ReportAllocs()
				msg, size := sampleMessage(c.kind, n), 0
				for range b.N {
					payload, err := Marshal(msg)
					if err != nil {
						b.Fatal(err)
					}
					body, err := Marshal(&Envelope{Kind: KindTicket, From: "host-217", Boot: 1 << 60, HLC: 1 << 60, Payload: payload})
					if err != nil {
						b.Fatal(err)
					}
					var e Envelope
					if err := Unmarshal(body, &e); err != nil {
						b.Fatal(err)
					}
					size = len(body) + 20
				}
				b.ReportMetric(float64(size), "frame-B")
			})
		}
	}
}
