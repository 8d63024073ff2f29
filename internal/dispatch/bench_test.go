package dispatch

import (
	"fmt"
	"testing"
	"time"

	"marigoldshunt/internal/catalog"
)

// BenchmarkPick measures one choice of an instance, with the loads of five data centres.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 140, 810} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := New(Options{Host: "a", DataCentre: "dc0"})
			d.SetServices(services(), 200_000)
			var list []catalog.Instance
			var loads []Load
			for i := range n {
				id := fmt.Sprint("e", i)
				list = append(list, catalog.Instance{ID: id, Service: "engines", Address: "10.0.0.1:1", DataCentre: fmt.Sprint("dc", i%5), Slots: 64})
				loads = append(loads, Load{ID: id, Running: 4, Reading: 900})
			}
			d.SetInstances(list, at(0))
			for dc := range 5 {
				d.SetPeerLoads(fmt.Sprint("dc", dc), loads, at(0), at(0))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				p, err := d.Pick(prompt(uint64(i%200)), at(1))
				if err != nil {
					b.Fatal(err)
				}
				p.FirstEvent()
				p.Done(Answered, at(1))
			}
		})
	}
}

// BenchmarkDemand measures ranking one request beside other accounts.
func BenchmarkDemand(b *testing.B) {
	for _, n := range []int{16, 680, 6_800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newFairShares()
			s.configuredCapacity = 1_000
			rates := AccountRates{}
			for i := range n {
				rates[fmt.Sprint("acc", i)] = AccountRate{10, 10}
			}
			s.SetPeerRates("dc1", rates, at(0))
			b.ReportAllocs()
			now := at(0)
			for i := 0; b.Loop(); i++ {
				if i%100 == 0 {
					now = now.Add(time.Millisecond)
				}
				s.RecordDemand(fmt.Sprint("acc", i%n), 100, now)
			}
		})
	}
}

// BenchmarkGate measures one request at a gate with others waiting.
func BenchmarkGate(b *testing.B) {
	for _, n := range []int{1, 16, 128} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g := newTestGate()
			for i := range n {
				g.Request(newAdmissionRequest(uint64(i+1), 1_000, 0, 1_000_000, WithinConfiguredShare), at(0))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				id := uint64(1_000_000 + i)
				g.Request(newAdmissionRequest(id, 1_000, 0, 1_000_000, WithinConfiguredShare), at(0))
				g.Done(AdmissionID{"h", id}, at(0))
				g.AdmitWaiting(at(0))
			}
		})
	}
}

// BenchmarkPickCold measures one choice while all instances are cold, as when a data
// centre is put back into service.
func BenchmarkPickCold(b *testing.B) {
	for _, hosts := range []int{12, 96, 370} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			var names []string
			for i := range hosts {
				names = append(names, fmt.Sprint("10.1.0.", i))
			}
			d := newTestDispatcher(names[0], names...)
			for _, x := range d.instances {
				x.coldUntil = at(1_000_000)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if p, err := d.Pick(prompt(uint64(i%50)), at(i)); err == nil {
					p.Done(Answered, at(i))
				}
			}
		})
	}
}
