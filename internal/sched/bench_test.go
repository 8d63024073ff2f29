package sched

import (
	"fmt"
	"testing"
	"time"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/wire"
)

// newBackloggedHarness returns a harness and its running grants, after the given number of
// tickets was submitted for every account and all possible grants were taken.
func newBackloggedHarness(accounts, each, upstreams, slots int) (*harness, []Grant) {
	h := newHarness(fixedLimit(slots), 0)
	for i := range upstreams {
		n := fmt.Sprintf("up%02d", i)
		h.cfg.Upstreams[n] = config.Upstream{Name: n, Pool: "m", DataCentre: fmt.Sprint("d", i%2), Address: "127.0.0.1:1"}
	}
	for i := range accounts {
		n := fmt.Sprintf("acc%05d", i)
		h.cfg.Contracts[n] = contract(n, float64(1+i%5))
	}
	h.p.Configure(h.now, h.cfg)
	for i := range accounts {
		for range each {
			h.submit(fmt.Sprintf("acc%05d", i), func(t *wire.Ticket) {
				t.Fingerprint = wire.Digest{1, byte(h.seq), byte(h.seq >> 8), byte(h.seq >> 16), byte(h.seq >> 24)}
				t.Prefix = wire.Digest{2, byte(h.seq % 251)}
			})
		}
	}
	return h, h.grantAll()
}

// benchmarkGrant measures one Submit, one Finish and one grant while every account is
// backlogged.
func benchmarkGrant(b *testing.B, accounts, upstreams, slots int) {
	h, running := newBackloggedHarness(accounts, 8, upstreams, slots)
	t := wire.Ticket{ID: wire.TicketID{Host: "r", Boot: 1, Seq: 1 << 40}, Pool: "m", DataCentre: "d0"}
	f := wire.Finish{Outcome: wire.OutcomeDone, Queued: -1, FirstByte: 5 * time.Millisecond}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		h.now += 100 * time.Microsecond
		g := &running[i%len(running)]
		t.ID.Seq++
		t.Account = g.Account
		t.Fingerprint = wire.Digest{3, byte(i), byte(i >> 8), byte(i >> 16), byte(i >> 24)}
		if r := h.p.Submit(h.now, &t); r != nil {
			b.Fatal(r.Code)
		}
		f.ID, f.Cost = g.ID, float64(1+i%50)
		h.p.Finish(h.now, &f)
		next, ok := h.p.Next(h.now)
		if !ok {
			b.Fatal("no grant")
		}
		*g = next
		if _, ok := h.p.Next(h.now); ok {
			b.Fatal("more than one grant for one slot")
		}
	}
}

// BenchmarkGrant varies the number of backlogged accounts.
func BenchmarkGrant(b *testing.B) {
	for _, n := range []int{16, 680, 6800} {
		b.Run(fmt.Sprint("accounts=", n), func(b *testing.B) { benchmarkGrant(b, n, 12, 8) })
	}
}

// Return and Next must not allocate: an allocation per grant would cost garbage collection
// work.
func TestNextAllocatesNothing(t *testing.T) {
	h, running := newBackloggedHarness(680, 64, 12, 8)
	if len(running) != 96 {
		t.Fatalf("%d grants, want 96", len(running))
	}
	i := 0
	allocs := testing.AllocsPerRun(2000, func() {
		h.p.Return(h.now, running[i%len(running)].ID)
		g, ok := h.p.Next(h.now)
		if !ok {
			t.Fatal("no grant")
		}
		running[i%len(running)] = g
		i++
	})
	if allocs != 0 {
		t.Fatalf("%v allocations per return and grant, want 0", allocs)
	}
}
