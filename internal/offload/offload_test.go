package offload

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func hostNames(n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprint("h", i))
	}
	return out
}

// Guards against a flood that moves from one overloaded host to another one: no host may get more
// than twice its even share of the requests that run at once.
func TestRequestsSpreadEvenly(t *testing.T) {
	for seed := range int64(20) {
		p := NewPicker(rand.New(rand.NewSource(seed)))
		p.SetHosts(hostNames(50))
		var running []string
		most := 0
		for range 5_000 {
			host, ok := p.Pick(start)
			qt.Assert(t, ok, qt.IsTrue)
			running = append(running, host)
			if len(running) > 500 {
				p.Done(running[0])
				running = running[1:]
			}
			most = max(most, p.running[host])
		}
		qt.Check(t, most <= 20, qt.IsTrue, qt.Commentf("seed %d: %d of 500 requests run at one of 50 hosts", seed, most))
	}
}

// Guards against passing a flood to a host that has stopped responding and is still considered
// alive: it may hold no more than a few times the requests of the others.
func TestSilentHostSoonGetsNoMoreRequests(t *testing.T) {
	for seed := range int64(20) {
		p := NewPicker(rand.New(rand.NewSource(seed)))
		p.SetHosts(hostNames(20))
		var running []string
		for range 10_000 {
			host, _ := p.Pick(start)
			if host != "h0" { // h0 never responds
				running = append(running, host)
			}
			if len(running) > 100 {
				p.Done(running[0])
				running = running[1:]
			}
		}
		qt.Check(t, p.running["h0"] <= 30, qt.IsTrue, qt.Commentf("seed %d: %d", seed, p.running["h0"]))
	}
}

// Guards against passing requests to a host that can't be reached, to hosts that have left the
// data centre, and against avoiding a host for ever.
func TestPickAvoidsHostsThatFailed(t *testing.T) {
	c := qt.New(t)
	p := NewPicker(rand.New(rand.NewSource(1)))
	_, ok := p.Pick(start)
	c.Assert(ok, qt.IsFalse)
	p.SetHosts([]string{"a", "b"})
	c.Assert(p.Any(), qt.IsTrue)
	p.Failed("a", start)
	for range 20 {
		host, ok := p.Pick(start.Add(avoidTime - time.Millisecond))
		c.Assert(ok, qt.IsTrue)
		c.Assert(host, qt.Equals, "b")
	}
	p.Failed("b", start)
	_, ok = p.Pick(start.Add(time.Millisecond))
	c.Assert(ok, qt.IsFalse)
	picked := map[string]bool{}
	for range 50 {
		host, _ := p.Pick(start.Add(avoidTime))
		picked[host] = true
	}
	c.Assert(picked["a"], qt.IsTrue)
	p.SetHosts([]string{"c"})
	host, _ := p.Pick(start)
	c.Assert(host, qt.Equals, "c")
	c.Assert(p.avoidedUntil, qt.HasLen, 0)
}

// Guards against a host that passes nothing on for seconds, because its own lack of CPU time made it late
// at all others, and against requests to a silent host among others that respond.
func TestHostThatIsLateItselfAvoidsNoOthers(t *testing.T) {
	c := qt.New(t)
	p := NewPicker(rand.New(rand.NewSource(1)))
	p.SetHosts(hostNames(10))
	for i, host := range hostNames(10) {
		p.Late(host, start)
		counts := map[string]int{}
		for range 1_000 {
			picked, ok := p.Pick(start)
			c.Assert(ok, qt.IsTrue, qt.Commentf("%d are late", i+1))
			counts[picked]++
			p.Done(picked)
		}
		if i < 5 {
			c.Check(counts[host], qt.Equals, 0)
			continue
		}
		c.Check(counts, qt.HasLen, 10, qt.Commentf("%d are late", i+1))
	}
	p.Failed("h0", start)
	for range 1_000 {
		picked, _ := p.Pick(start)
		c.Check(picked, qt.Not(qt.Equals), "h0")
	}
}
