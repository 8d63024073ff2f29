package sched

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"marigoldshunt/internal/wire"
)

// BenchmarkGrantUpstreams varies the number of upstreams with 680 backlogged accounts,
// since the choice of an upstream depends on it.
func BenchmarkGrantUpstreams(b *testing.B) {
	for _, n := range []int{12, 120, 810} {
		b.Run(fmt.Sprint("upstreams=", n), func(b *testing.B) { benchmarkGrant(b, 680, n, 2) })
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkMemory reports the heap use of a pool and its configuration per element, from
// the difference between a pool with n elements and one with 2 n.
func BenchmarkMemory(b *testing.B) {
	for _, c := range []struct {
		what  string
		sizes []int
		build func(n int) *harness
	}{
		{"account", []int{16, 680, 6800}, func(n int) *harness { h, _ := newBackloggedHarness(n, 0, 12, 1); return h }},
		{"ticket", []int{680, 6800, 68000}, func(n int) *harness { h, _ := newBackloggedHarness(680, n/680, 12, 1); return h }},
		{"upstream", []int{12, 120, 810}, func(n int) *harness { h, _ := newBackloggedHarness(16, 0, n, 1); return h }},
	} {
		for _, n := range c.sizes {
			b.Run(fmt.Sprintf("%s=%d", c.what, n), func(b *testing.B) {
				var bytesPerElement float64
				for range b.N {
					start := heapBytes()
					single := c.build(n)
					middle := heapBytes()
					double := c.build(2 * n)
					end := heapBytes()
					bytesPerElement = (float64(end) - 2*float64(middle) + float64(start)) / float64(n)
					runtime.KeepAlive(single)
					runtime.KeepAlive(double)
				}
				b.ReportMetric(bytesPerElement, "B/"+c.what)
			})
		}
	}
}

// BenchmarkSyncSize adopts the running requests of one router, and drops them with an empty
// Sync.
func BenchmarkSyncSize(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint("running=", n), func(b *testing.B) {
			h, _ := newBackloggedHarness(680, 0, 120, 16)
			s := &wire.Sync{Pool: "m"}
			for i := range n {
				t := h.ticket(fmt.Sprintf("acc%05d", i%680))
				s.Running = append(s.Running, wire.RunningRequest{Ticket: t, Upstream: fmt.Sprintf("up%02d", i%120), Estimate: 10})
			}
			none := &wire.Sync{Pool: "m"}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				h.p.Sync(h.now, "r", 1, s)
				h.p.Sync(h.now, "r", 1, none)
			}
			b.StopTimer()
			if n := h.p.Status(h.now).Running; n != 0 {
				b.Fatal(n, " requests after an empty Sync")
			}
		})
	}
}

// BenchmarkReportAll applies one load report of every upstream.
func BenchmarkReportAll(b *testing.B) {
	for _, upstreams := range []int{12, 120, 810} {
		b.Run(fmt.Sprint("upstreams=", upstreams), func(b *testing.B) {
			h, _ := newBackloggedHarness(680, 2, upstreams, 2)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				h.now += 250 * time.Millisecond
				for i := range upstreams {
					h.p.ApplyLoadReport(h.now, LoadReport{Upstream: fmt.Sprintf("up%02d", i), Instance: "i", Running: 2, SampledAt: h.now})
				}
			}
		})
	}
}
