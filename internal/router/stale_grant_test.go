package router

import (
	"fmt"
	"io"
	"math/rand"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/engine"
	"marigoldshunt/internal/frontend"
	"marigoldshunt/internal/scheduler"
	"marigoldshunt/internal/wire"
)

// link queues the messages to one host until the test delivers them.
type link struct{ queue []sentMessage }

func (l *link) Send(to string, kind wire.Kind, msg any) error {
	l.queue = append(l.queue, sentMessage{to, kind, msg})
	return nil
}

// deliverOne passes the oldest message on.
func (l *link) deliverOne(c *qt.C, handle func(from string, boot uint64, kind wire.Kind, payload []byte), from string) {
	if len(l.queue) == 0 {
		return
	}
	m := l.queue[0]
	l.queue = l.queue[1:]
	payload, err := wire.Marshal(m.msg)
	c.Assert(err, qt.IsNil)
	handle(from, 1, m.kind, payload)
}

// heldLease is a lease that does not end.
type heldLease struct{}

func (heldLease) HeldUntil(string) (uint64, time.Duration, bool) { return 5, 1 << 62, true }

// slotTest is a router and a scheduler of a pool with two slots, and the messages between
// them.
type slotTest struct {
	*qt.C
	fix              *fixture
	r                *Router
	s                *scheduler.Scheduler
	toRouter, toPool link
	waiting          []*openRequest
	running          []wire.Grant
	runningRequests  []*openRequest
}

const testSlots = 2

func newSlotTest(t *testing.T) *slotTest {
	st := &slotTest{C: qt.New(t), fix: newFixture(t)}
	st.fix.advance(time.Hour)
	cfg := st.fix.cfg
	delete(cfg.Upstreams, "u2")
	cfg.Pools["p"] = config.Pool{Name: "p", Kind: config.KindService, MaxCost: 100, DefaultCost: 10,
		Profile: config.Profile{ColdConcurrency: testSlots, MaxConcurrency: testSlots, WarmAfter: 1}}
	cfg.Contracts["a"] = config.Contract{Account: "a", Weight: 1, RequestsPerSecond: 1e6, Burst: 1 << 20, Concurrency: 1 << 20,
		QueueLength: 1 << 20, MaxRun: time.Hour, MaxWait: time.Hour, Pools: []string{"p"}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	st.r = New(Options{Host: "h1", Boot: 1, Sender: &st.toPool, Control: st.fix, Clock: st.fix, Log: logrus.NewEntry(log), Registry: metrics.NewRegistry()})
	st.s = scheduler.New(scheduler.Options{Pool: "p", Clock: st.fix, Sender: &st.toRouter, Lease: heldLease{}})
	st.s.ConfigChanged(cfg)
	st.s.HostsChanged([]wire.HostStatus{{Host: "h1", Boot: 1, Alive: true}})
	st.s.LeaseGained("p", 5)
	st.r.LeasesChanged([]wire.Lease{{Pool: "p", Host: "s", Fence: 5}})
	return st
}

func (st *slotTest) open() {
	cs := &callState{call: &frontend.Call{Account: "a", Pool: "p"}, contract: st.fix.cfg.Contracts["a"], waitUntil: st.fix.Now() + time.Hour}
	st.waiting = append(st.waiting, st.r.openTicket(cs, false, false))
}

// take lets one waiting request take its decision, if it has one.
func (st *slotTest) take(i int) {
	req := st.waiting[i]
	select {
	case d := <-req.decisions:
		st.waiting = append(st.waiting[:i], st.waiting[i+1:]...)
		st.Assert(d.grant, qt.IsNotNil)
		if !st.r.acceptGrant(req, *d.grant) {
			st.open()
			return
		}
		st.running, st.runningRequests = append(st.running, *d.grant), append(st.runningRequests, req)
		st.Assert(len(st.running) <= testSlots, qt.IsTrue, qt.Commentf("%d requests run in %d slots", len(st.running), testSlots))
	default:
	}
}

func (st *slotTest) finish(i int) {
	st.r.reportFinish(st.runningRequests[i], st.running[i], engine.Result{Outcome: wire.OutcomeDone, Cost: 1})
	st.running = append(st.running[:i], st.running[i+1:]...)
	st.runningRequests = append(st.runningRequests[:i], st.runningRequests[i+1:]...)
}

func (st *slotTest) withdraw(i int) {
	st.r.withdraw(st.waiting[i])
	st.waiting = append(st.waiting[:i], st.waiting[i+1:]...)
}

// reconnect loses some of the last messages in each direction.
func (st *slotTest) reconnect(rng *rand.Rand) {
	for _, l := range []*link{&st.toPool, &st.toRouter} {
		l.queue = l.queue[:rng.Intn(len(l.queue)+1)]
	}
	st.r.PeerUp("s")
}

func (st *slotTest) step(rng *rand.Rand) {
	st.fix.advance(time.Duration(rng.Intn(3)) * time.Millisecond)
	switch n := rng.Intn(20); {
	case n < 3:
		st.open()
	case n < 8:
		st.toPool.deliverOne(st.C, st.s.Handle, "h1")
	case n < 13:
		st.toRouter.deliverOne(st.C, st.r.Handle, "s")
	case n < 15 && len(st.waiting) > 0:
		st.take(rng.Intn(len(st.waiting)))
	case n < 17 && len(st.running) > 0:
		st.finish(rng.Intn(len(st.running)))
	case n == 17 && len(st.waiting) > 0:
		st.withdraw(rng.Intn(len(st.waiting)))
	case n == 18:
		st.reconnect(rng)
	}
}

// settle delivers all messages and lets the waiting requests take their grants.
func (st *slotTest) settle() {
	for len(st.toPool.queue)+len(st.toRouter.queue) > 0 {
		st.toPool.deliverOne(st.C, st.s.Handle, "h1")
		st.toRouter.deliverOne(st.C, st.r.Handle, "s")
		for i := len(st.waiting) - 1; i >= 0; i-- {
			st.take(i)
		}
	}
}

// Guards against a slot that idles or is used twice after the router has ignored a grant
// decided before its last Sync. It must not return the grant of an open request: the
// scheduler sends that again.
func TestIgnoredGrantsLeaveNoSlotIdle(t *testing.T) {
	ignored := int64(0)
	for seed := range int64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			st := newSlotTest(t)
			rng := rand.New(rand.NewSource(seed))
			for range 400 {
				st.step(rng)
			}
			for range testSlots + 1 {
				st.open()
			}
			st.settle()
			st.Check(st.running, qt.HasLen, testSlots)
			st.Check(st.s.Status().Core.Running, qt.Equals, testSlots)
			ignored += st.r.counters.ignoredMessages.Count()
		})
	}
	qt.New(t).Assert(ignored > 100, qt.IsTrue, qt.Commentf("%d ignored messages", ignored))
}
