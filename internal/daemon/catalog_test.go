package daemon

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/peer"
	"marigoldshunt/internal/wire"
)

// manualClock is a clock that a test sets.
type manualClock struct{ now time.Duration }

func (c *manualClock) Now() time.Duration { return c.now }

// catalogFleet connects the catalog roles of several hosts; silenced hosts get no messages.
type catalogFleet struct {
	clock    manualClock
	roles    map[string]*catalogRole
	silenced map[string]bool
}

func newCatalogFleet(t *testing.T, names ...string) *catalogFleet {
	f := &catalogFleet{roles: map[string]*catalogRole{}, silenced: map[string]bool{}}
	for i, name := range names {
		log, _ := logtest.NewNullLogger()
		role := &catalogRole{
			host: name, maxAge: catalog.MaxContactAge, clock: &f.clock, log: log, onList: func(catalog.List) {}, onRead: func(catalog.List) {}, hosts: names,
			readSchedule: catalog.NewReadSchedule(name, time.Unix(0, 0)), contact: catalog.NewContact(name, rand.New(rand.NewSource(int64(i)))),
		}
		role.send = func(to string, kind wire.Kind, msg any) error { return f.send(name, to, kind, msg) }
		role.setHosts(names)
		f.roles[name] = role
	}
	return f
}

func (f *catalogFleet) send(from, to string, kind wire.Kind, msg any) error {
	payload, err := wire.Marshal(msg)
	if err != nil || f.silenced[to] || f.silenced[from] {
		return err
	}
	role := f.roles[to]
	switch kind {
	case wire.KindCatalog:
		role.handle(from, 1, kind, payload)
	case wire.KindCatalogRequest:
		role.announce([]string{from}, true)
	case wire.KindCatalogCheck:
		role.handleCheck(from, 1, kind, payload)
	case wire.KindCatalogState:
		role.handleState(from, 1, kind, payload)
	}
	return nil
}

// run lets time pass and the hosts ask.
func (f *catalogFleet) run(d time.Duration) {
	const step = 100 * time.Millisecond
	for ; d > 0; d -= step {
		f.clock.now += step
		for _, role := range f.roles {
			role.checkContact(f.clock.now)
		}
	}
}

func (f *catalogFleet) age(host string) time.Duration { return f.roles[host].contactAge(f.clock.now) }

func (f *catalogFleet) readList(draining bool) catalog.List {
	return catalog.List{ReadAt: f.roles["h0"].now(), Instances: []catalog.Instance{{ID: "i0", Service: "svc", Address: "10.0.0.1:1", Draining: draining}}}
}

// Guards against an overloaded host that goes on by an old list while the others know that instances leave.
func TestHostThatHearsNothingKnowsThatItsListIsOld(t *testing.T) {
	c := qt.New(t)
	log, hook := logtest.NewNullLogger()
	f := newCatalogFleet(t, "h0", "h1", "h2", "h3", "h4", "h5")
	lone := f.roles["h5"]
	lone.log = log
	f.roles["h0"].handleRead(f.readList(false))
	f.run(time.Second)
	c.Assert(f.age("h5") < time.Second, qt.IsTrue, qt.Commentf("%s", f.age("h5")))

	f.silenced["h5"] = true
	f.roles["h0"].handleRead(f.readList(true))
	f.run(3 * time.Second)
	c.Assert(f.age("h5") > catalog.MaxContactAge, qt.IsTrue, qt.Commentf("%s", f.age("h5")))
	c.Assert(f.age("h4") < catalog.MaxContactAge, qt.IsTrue, qt.Commentf("%s", f.age("h4")))
	c.Assert(lone.list.Instances[0].Draining, qt.IsFalse)

	f.silenced["h5"] = false
	f.run(time.Second)
	c.Assert(lone.list.Instances[0].Draining, qt.IsTrue)
	c.Assert(f.age("h5") < catalog.MaxContactAge, qt.IsTrue, qt.Commentf("%s", f.age("h5")))
	var got []string
	for _, e := range hook.AllEntries() {
		got = append(got, e.Message)
	}
	c.Assert(got, qt.DeepEquals, []string{"Upstream list lost: no host confirms it. Requests are refused.", "Upstream list confirmed again."})
}

// A host that had been suspended took the age of its list from a clock that stood still meanwhile, and the
// others took its old list for the newest.
func TestSuspendedHostDoesNotSpreadItsOldList(t *testing.T) {
	c := qt.New(t)
	f := newCatalogFleet(t, "h0", "h1", "h2", "h3")
	f.roles["h0"].handleRead(f.readList(false))
	f.run(time.Second)
	f.silenced["h0"] = true
	f.run(1600 * time.Millisecond)
	f.roles["h1"].handleRead(f.readList(true))
	f.run(time.Second)
	age, _ := f.roles["h0"].version()
	c.Assert(age, qt.Equals, 3600*time.Millisecond)
	f.silenced["h0"] = false
	f.run(2 * time.Second)
	for name, role := range f.roles {
		c.Check(role.list.Instances[0].Draining, qt.IsTrue, qt.Commentf("%s", name))
	}
}

// A host that had been suspended handled an announcement of the old list after it, took the list for new,
// and the others took it over.
func TestHostOutOfTouchDoesNotSpreadItsList(t *testing.T) {
	c := qt.New(t)
	f := newCatalogFleet(t, "h0", "h1", "h2", "h3")
	f.roles["h0"].handleRead(f.readList(false))
	f.run(time.Second)
	late, err := wire.Marshal(&wire.Catalog{Digest: f.roles["h0"].digest, Age: time.Millisecond})
	c.Assert(err, qt.IsNil)
	f.silenced["h3"] = true
	f.run(1600 * time.Millisecond)
	f.roles["h1"].handleRead(f.readList(true))
	f.run(time.Second)
	f.silenced["h3"] = false
	f.roles["h3"].handle("h0", 0, wire.KindCatalog, late)
	for range 20 {
		f.run(100 * time.Millisecond)
		for _, name := range []string{"h0", "h1", "h2"} {
			c.Assert(f.roles[name].list.Instances[0].Draining, qt.IsTrue, qt.Commentf("%s", name))
		}
	}
}

// Guards against a list of upstreams that a host accepts and cannot tell the others.
func TestLongestListOfInstancesFitsIntoAMessage(t *testing.T) {
	c := qt.New(t)
	f := newCatalogFleet(t, "h0", "h1")
	var l catalog.List
	for i := range 20_000 {
		l.Instances = append(l.Instances, catalog.Instance{
			ID: fmt.Sprintf("i-%010d", i), Born: 1_800_000_000_000, Service: "marigold-servers", Address: fmt.Sprintf("10.200.%d.%d:65535", i/256, i%256),
			DataCentre: "salish-north", Version: "v1.2.3", Slots: 64, Draining: true, ColdFor: time.Minute,
		})
	}
	f.roles["h0"].list = l
	m, err := wire.Marshal(f.roles["h0"].messageLocked(true))
	c.Assert(err, qt.IsNil)
	c.Assert(len(m) > peer.MaxFrameBytes, qt.IsTrue, qt.Commentf("%d bytes: the list needs no fragments", len(m)))
	c.Assert(len(m) < peer.MaxMessageBytes, qt.IsTrue, qt.Commentf("%d bytes", len(m)))
}
