package main

import (
	"syscall"
	"time"
)

// perZone machines in each of three zones: one of them all is less than the share 0.1 that may freeze.
const perZone = 4

// evacuation: a machine freezes for 1.4 s, as an order to take a zone back reaches it. The operator
// sends that order to another machine, which acknowledges it, and then evacuates the zone again, which
// is acknowledged too. The machine wakes and carries out the first order once more.
func evacuation(root string, rec *record, trouble bool) (broken bool) {
	f, r := newFleet(root, rec, []string{"z1", "z2", "z3"}, perZone, 134), &runs{}
	var servers []*server
	for i, z := range f.zones {
		servers = append(servers, f.newServer("plain", z, i, r))
	}
	f.startPlatform(800*time.Millisecond, servers...)
	f.startAll()
	doc := config(1, []route{newRoute("r1", "/s/", "safe", "plain", 4000, 2)}, []map[string]any{plainService("plain")}, []map[string]any{tenant("t1", "k1")})
	if !f.putConfig(doc, 15*time.Second) || !f.waitReady(10*time.Second) {
		couldNotRun("the fleet did not start")
	}
	for trial, end := 0, time.Now().Add(90*time.Second); time.Now().Before(end); trial++ {
		// The machine that freezes has no disk; the other one is in another zone.
		zone := trial % len(f.zones)
		frozen, other := f.hosts[perZone*zone+1], f.hosts[(perZone*(zone+1)+1)%len(f.hosts)]
		if evacuateAgain(f, r, frozen, other, trouble) {
			return true
		}
	}
	return false
}

func evacuateAgain(f *fleet, r *runs, frozen, other *host, trouble bool) (broken bool) {
	order := func(h *host, method string) bool {
		status, body, err := f.order(h, method, "/evacuations/z1", nil, time.Second)
		f.rec.log("operator: %s /evacuations/z1 to %s: %d %s %v", method, h.name, status, body, err)
		return status/100 == 2
	}
	if !order(other, "POST") {
		return false
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		f.rec.log("%s freezes", frozen.name)
		frozen.signal(syscall.SIGSTOP)
	}
	back := order(frozen, "DELETE") || order(other, "DELETE") // to the next machine after a second without a response
	time.Sleep(200 * time.Millisecond)
	again := back && order(other, "POST")
	acknowledged := time.Now()
	time.Sleep(200 * time.Millisecond)
	if trouble {
		frozen.signal(syscall.SIGCONT)
		f.rec.log("%s wakes", frozen.name)
	}
	if !again {
		return false
	}
	time.Sleep(400 * time.Millisecond)
	if early := requestsIn(f, r, "z1"); early > 0 {
		// They may still be late ones. The rule counts those later than evacuate_ms, from machines in
		// touch, so contact_ms after the machine woke.
		f.rec.log("%d requests reached servers in z1 within evacuate_ms", early)
		time.Sleep(time.Until(acknowledged.Add(5500 * time.Millisecond)))
		n := requestsIn(f, r, "z1")
		f.rec.log("%d requests reached servers in z1 %.1f s after its evacuation was acknowledged; it was not taken back since", n, time.Since(acknowledged).Seconds())
		if n > 0 {
			return true
		}
	}
	order(other, "DELETE")
	time.Sleep(200 * time.Millisecond)
	return false
}

// requestsIn sends a safe request to each host and returns how many of them a server in a zone ran.
func requestsIn(f *fleet, r *runs, zone string) (n int) {
	before := len(r.all())
	for _, h := range f.hosts {
		f.send(h, "GET", "/s/x", "k1")
	}
	for _, x := range r.all()[before:] {
		if x.server.zone == zone {
			n++
		}
	}
	return n
}
