package timeline

import (
	"fmt"
	"runtime"
	"testing"

	"marigoldshunt/internal/hlc"
)

// BenchmarkRing fills rings; B/event is the heap per kept event with three fields.
func BenchmarkRing(b *testing.B) {
	for _, events := range []int{80, 800, Capacity} {
		b.Run(fmt.Sprint("events=", events), func(b *testing.B) {
			var before, after runtime.MemStats
			var r *Ring
			b.ReportAllocs()
			for range b.N {
				r = nil
				runtime.GC()
				runtime.ReadMemStats(&before)
				r = NewRing("host-217", hlc.New(nil))
				for i := range events {
					r.Add("config", "applied", "revision", fmt.Sprint(1<<20+i), "object", fmt.Sprint("account-", i), "operator", "op")
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(events), "B/event")
			runtime.KeepAlive(r)
		})
	}
}
