package admission

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// network delivers messages between Admissions at once, except from and to silent hosts.
type network struct {
	mu     sync.Mutex
	hosts  map[string]*Admission
	silent map[string]bool
	// synchronous delivers each message before Send returns.
	synchronous bool
}

type networkTransport struct {
	n    *network
	host string
}

func (p networkTransport) Send(to string, kind wire.Kind, msg any) error {
	payload, err := wire.Marshal(msg)
	if err != nil {
		return err
	}
	p.n.mu.Lock()
	h := p.n.hosts[to]
	silent := p.n.silent[to] || p.n.silent[p.host]
	p.n.mu.Unlock()
	switch {
	case h == nil || silent:
	case p.n.synchronous:
		h.Handle(p.host, 1, kind, payload)
	default:
		go h.Handle(p.host, 1, kind, payload)
	}
	return nil
}

func newNetwork(names ...string) *network {
	n := &network{hosts: map[string]*Admission{}, silent: map[string]bool{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, h := range names {
		n.hosts[h] = New(Options{Host: h, Transport: networkTransport{n, h}, Now: time.Now, Log: log, Registry: metrics.NewRegistry()})
	}
	for _, h := range names {
		n.hosts[h].SetHosts(names)
	}
	return n
}

// instanceOwnedBy returns an instance whose gate belongs to a host.
func (n *network) instanceOwnedBy(owner string) catalog.Instance {
	for i := 0; ; i++ {
		x := catalog.Instance{ID: string(rune('A' + i)), Service: "s"}
		if n.hosts[owner].ownerLocked(x.Key()) == owner {
			return x
		}
	}
}

func request(i catalog.Instance, tokens int) *Request {
	now := time.Now()
	return &Request{Instance: i, Slots: 64, MemoryTokens: 100_000, Tokens: tokens, FirstEventDue: now.Add(5 * time.Second), Deadline: now.Add(20 * time.Second)}
}

// Guards against hosts that send prompts to one engine independently of each other. A
// prompt of one host must wait until the engine has read that of another one.
func TestOneGateForAllHosts(t *testing.T) {
	c := qt.New(t)
	n := newNetwork("a", "b", "c")
	x := n.instanceOwnedBy("b")
	first, err := n.hosts["a"].Admit(context.Background(), request(x, 50_000))
	c.Assert(err, qt.IsNil)
	second := make(chan error, 1)
	go func() {
		_, err := n.hosts["c"].Admit(context.Background(), request(x, 50_000))
		second <- err
	}()
	select {
	case <-second:
		c.Fatal("admitted while the engine reads another prompt")
	case <-time.After(150 * time.Millisecond):
	}
	first.FirstEvent()
	c.Assert(<-second, qt.IsNil)
}

// Guards against refusing a request without the expected wait or with a wrong run state.
func TestRefusalReturnsExpectedWait(t *testing.T) {
	c := qt.New(t)
	n := newNetwork("a", "b")
	x := n.instanceOwnedBy("b")
	_, err := n.hosts["a"].Admit(context.Background(), request(x, 400_000))
	c.Assert(err, qt.IsNil)
	_, err = n.hosts["a"].Admit(context.Background(), request(x, 1_000))
	f := fault.As(err)
	c.Assert(f.Code, qt.Equals, fault.QueueFull)
	c.Assert(f.RunState, qt.Equals, fault.NotRun)
	c.Assert(f.RetryAfter > 5*time.Second, qt.IsTrue)
}

// Guards against requests that wait for the reply of an owner that does not respond.
func TestUnresponsiveOwnerIsBypassed(t *testing.T) {
	c := qt.New(t)
	n := newNetwork("a", "b")
	x := n.instanceOwnedBy("b")
	n.mu.Lock()
	n.silent["b"] = true
	n.mu.Unlock()
	began := time.Now()
	permit, err := n.hosts["a"].Admit(context.Background(), request(x, 1_000))
	c.Assert(err, qt.IsNil)
	permit.Done()
	_, err = n.hosts["a"].Admit(context.Background(), request(x, 1_000))
	c.Assert(err, qt.IsNil)
	c.Assert(time.Since(began) < 2*time.Second, qt.IsTrue)
}

// Guards against an owner that is no longer asked because of a question, although no request
// was sent without its reply.
func TestMayBypassMarksNoOwner(t *testing.T) {
	c := qt.New(t)
	a := newNetwork("a", "b").hosts["a"]
	now := time.Now()
	p := &Permit{a: a, owner: "b", key: catalog.Key{ID: "x"}}
	c.Assert(a.mayBypass(p, now.Add(-time.Second), now), qt.IsTrue)
	c.Assert(a.unresponsiveUntil, qt.HasLen, 0)
}

// Guards against each request waiting for the reply of an owner that did not respond to the
// one before.
func TestOverdueOwnerIsMarkedUnresponsive(t *testing.T) {
	c := qt.New(t)
	n := newNetwork("a", "b")
	n.silent["b"] = true
	_, err := n.hosts["a"].Admit(context.Background(), request(n.instanceOwnedBy("b"), 1_000))
	c.Assert(err, qt.IsNil)
	c.Assert(n.hosts["a"].unresponsiveUntil["b"].IsZero(), qt.IsFalse)
}

// Guards against bypassing owners that are responsive. They seem unresponsive to a host
// whose own timers fire late, and its requests would reach the engines unpaced.
func TestTimerDelayExtendsReplyTimeout(t *testing.T) {
	c := qt.New(t)
	due := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	c.Assert(extendForTimerDelay(due, checkInterval), qt.Equals, due)
	c.Assert(extendForTimerDelay(due, checkInterval-time.Millisecond), qt.Equals, due)
	c.Assert(extendForTimerDelay(due, checkInterval+700*time.Millisecond), qt.Equals, due.Add(700*time.Millisecond))
	c.Assert(extendForTimerDelay(time.Time{}, time.Minute).IsZero(), qt.IsTrue)
}

// Guards against a busy host that takes late replies for an unresponsive owner and sends a
// flood without them. Requests within their account's configured share must still be sent.
func TestBusyHostDoesNotBypassBeyondConfiguredShare(t *testing.T) {
	c := qt.New(t)
	n := newNetwork("a", "b")
	n.hosts["a"].opts.Busy = func() bool { return true }
	x := n.instanceOwnedBy("b")
	n.mu.Lock()
	n.silent["b"] = true
	n.mu.Unlock()
	for range 2 {
		for _, rank := range []dispatch.Rank{dispatch.WithinCurrentShare, dispatch.BeyondShare, dispatch.WithinConfiguredShare} {
			r := request(x, 1_000)
			r.Rank = rank
			_, err := n.hosts["a"].Admit(context.Background(), r)
			if rank == dispatch.WithinConfiguredShare {
				c.Assert(err, qt.IsNil)
				continue
			}
			f := fault.As(err)
			c.Assert(f.Code, qt.Equals, fault.QueueFull)
			c.Assert(f.RunState, qt.Equals, fault.NotRun)
			c.Assert(f.RetryAfter > 0, qt.IsTrue)
		}
	}
}

// Guards against a queued request of a busy host that waits until its own end, because the
// owner that queued it is lost.
func TestBusyHostDetectsLostOwner(t *testing.T) {
	c := qt.New(t)
	n := newNetwork("a", "b", "c")
	n.hosts["a"].opts.Busy = func() bool { return true }
	x := n.instanceOwnedBy("b")
	_, err := n.hosts["c"].Admit(context.Background(), request(x, 50_000))
	c.Assert(err, qt.IsNil)
	queued := make(chan error, 1)
	go func() {
		r := request(x, 1_000)
		r.Rank = dispatch.WithinCurrentShare
		_, err := n.hosts["a"].Admit(context.Background(), r)
		queued <- err
	}()
	select {
	case err := <-queued:
		c.Fatalf("not queued: %v", err)
	case <-time.After(150 * time.Millisecond):
	}
	n.mu.Lock()
	n.silent["b"] = true
	n.mu.Unlock()
	// The request itself would wait for 20 s.
	select {
	case err := <-queued:
		c.Assert(fault.CodeOf(err), qt.Equals, fault.QueueFull)
	case <-time.After(10 * time.Second):
		c.Fatal("the request still waits for an owner that is gone")
	}
}

// Guards against a request that keeps its place in the queue after its caller has
// disconnected.
func TestCancelledRequestFreesItsPlace(t *testing.T) {
	c := qt.New(t)
	n := newNetwork("a")
	x := n.instanceOwnedBy("a")
	first, err := n.hosts["a"].Admit(context.Background(), request(x, 50_000))
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = n.hosts["a"].Admit(ctx, request(x, 1_000))
	c.Assert(fault.CodeOf(err), qt.Equals, fault.WaitExpired)
	loads := n.hosts["a"].Loads()
	c.Assert(loads, qt.HasLen, 1)
	c.Assert(loads[0].Running, qt.Equals, 1)
	first.Done()
	c.Assert(n.hosts["a"].Loads()[0].Running, qt.Equals, 0)
}

// Guards against a new owner of a gate that mistakes a busy engine for an idle one, because
// it was not told of the requests that the former owner admitted.
func TestNewOwnerKnowsAdmittedRequests(t *testing.T) {
	c := qt.New(t)
	n := newNetwork("a", "b", "c")
	x := n.instanceOwnedBy("b")
	reading, err := n.hosts["a"].Admit(context.Background(), request(x, 50_000))
	c.Assert(err, qt.IsNil)
	reading.FirstEvent()
	second, err := n.hosts["c"].Admit(context.Background(), request(x, 50_000))
	c.Assert(err, qt.IsNil)
	// The owner is lost; the others agree on the next one.
	remaining := []string{"a", "c"}
	for _, h := range remaining {
		n.hosts[h].SetHosts(remaining)
	}
	owner := n.hosts[n.hosts["a"].owner(x)]
	for len(owner.Loads()) == 0 || owner.Loads()[0].Running < 2 {
		time.Sleep(time.Millisecond)
	}
	c.Assert(owner.Loads()[0].Backlog > 10_000, qt.IsTrue, qt.Commentf("%+v", owner.Loads()))
	third := make(chan error, 1)
	go func() {
		_, err := n.hosts["a"].Admit(context.Background(), request(x, 10_000))
		third <- err
	}()
	select {
	case <-third:
		c.Fatal("admitted while the engine reads another prompt")
	case <-time.After(150 * time.Millisecond):
	}
	second.FirstEvent()
	c.Assert(<-third, qt.IsNil)
	reading.Done()
	second.Done()
	for owner.Loads()[0].Running > 1 {
		time.Sleep(time.Millisecond)
	}
}

// owner returns the host that owns the gate of an instance.
func (a *Admission) owner(i catalog.Instance) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ownerLocked(i.Key())
}

// Guards against more requests at an engine than it has slots, summed over the hosts, while
// streams last longer than the timeout of lost requests.
func TestLongStreamsKeepTheSumWithinTheSlots(t *testing.T) {
	c := qt.New(t)
	n := newNetwork("a", "b", "c")
	n.synchronous = true
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, h := range n.hosts {
		h.opts.Now = func() time.Time { return now }
	}
	x := n.instanceOwnedBy("b")
	const slots = 6
	running := 0
	admit := func(host string) {
		ctx, cancel := context.WithTimeout(t.Context(), 2*checkInterval)
		defer cancel()
		r := request(x, 100)
		r.Slots, r.FirstEventDue, r.Deadline = slots, now.Add(time.Minute), now.Add(2*time.Minute)
		if permit, err := n.hosts[host].Admit(ctx, r); err == nil {
			permit.FirstEvent()
			running++
		}
	}
	// No stream ends.
	for range 100 {
		now = now.Add(time.Second)
		for _, host := range []string{"a", "b", "c"} {
			if running < slots || now.Second()%10 == 0 {
				admit(host)
			}
			n.hosts[host].Tick(now)
		}
		c.Assert(running <= slots, qt.IsTrue, qt.Commentf("%d requests at an engine with %d slots at %s", running, slots, now))
	}
	c.Assert(running, qt.Equals, slots)
	// Those of a host that is lost are dropped.
	n.silent["a"] = true
	now = now.Add(time.Minute)
	for _, host := range []string{"c", "b"} {
		n.hosts[host].Tick(now)
	}
	admit("c")
	c.Assert(running, qt.Equals, slots+1)
}
