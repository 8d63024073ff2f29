package control

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRoutingFanOut measures one changed route that is pushed to all hosts. The log is in
// memory, and each host acknowledges at once.
func BenchmarkRoutingFanOut(b *testing.B) {
	for _, routes := range []int{1_500, 4_500} {
		for _, hosts := range []int{100, 300} {
			b.Run(fmt.Sprintf("routes=%d/hosts=%d", routes, hosts), func(b *testing.B) {
				f := newRenewFleet(b, hosts, 1)
				f.change(routingChange(b, 1, routes))
				for range 16 {
					f.runInterval()
				}
				f.leaderTime, f.outBytes = 0, 0
				b.ResetTimer()
				for i := range b.N {
					b.StopTimer()
					next := routingChange(b, uint64(i+2), routes)
					next.Routing.Document.Routes[routes/2].Timeout += time.Duration(i+1) * time.Millisecond
					next = routingChangeOf(b, &next.Routing.Document)
					b.StartTimer()
					f.change(next)
				}
				b.ReportMetric(float64(f.leaderTime.Microseconds())/1000/float64(b.N), "leader-ms/change")
				b.ReportMetric(float64(f.outBytes)/1000/float64(b.N), "out-KB/change")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// BenchmarkRoutingGrowth measures a document to which 1,400 routes are added, and that is pushed to
// 100 hosts.
func BenchmarkRoutingGrowth(b *testing.B) {
	f := newRenewFleet(b, 100, 1)
	routes := 100
	f.change(routingChange(b, 1, routes))
	f.runInterval()
	f.leaderTime, f.outBytes = 0, 0
	b.ResetTimer()
	for i := range b.N {
		b.StopTimer()
		routes += 1_400
		next := routingChange(b, uint64(i+2), routes)
		b.StartTimer()
		f.change(next)
	}
	b.ReportMetric(float64(f.leaderTime.Microseconds())/1000/float64(b.N), "leader-ms/change")
	b.ReportMetric(float64(f.outBytes)/1000/float64(b.N), "out-KB/change")
	b.ReportMetric(0, "ns/op")
}
