package daemon

import (
	"context"
	"hash/fnv"
	"math/rand"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/wire"
)

// catalogRole keeps a host's list of upstream instances. When it is this host's turn, it reads
// the list and announces it to the other hosts; otherwise it uses what they announce.
type catalogRole struct {
	host   string
	clock  interface{ Now() time.Duration }
	send   func(to string, kind wire.Kind, msg any) error
	onList func(catalog.List)
	// onRead is called with each list that this host has read itself, after onList.
	onRead func(catalog.List)
	log    logrus.FieldLogger
	reader *catalog.Reader
	// maxAge is the age of the list above which this host counts as out of touch.
	maxAge time.Duration

	mu           sync.Mutex
	readSchedule *catalog.ReadSchedule
	hosts        []string
	list         catalog.List
	// readHere is true if this host has read list itself.
	readHere bool
	digest   uint64
	contact  *catalog.Contact
	// lost is true while no other host confirms the list.
	lost bool
}

func newCatalogRole(d *Daemon, maxAge time.Duration, source catalog.Source, onList, onRead func(catalog.List)) *catalogRole {
	c := &catalogRole{
		host: d.settings.Host, maxAge: maxAge, clock: d.clock, send: d.peers.Send, onList: onList, onRead: onRead, log: d.logFor("catalog"),
		contact: catalog.NewContact(d.settings.Host, rand.New(rand.NewSource(randomSeed(d.settings.Host, d.boot)))),
	}
	c.readSchedule = catalog.NewReadSchedule(d.settings.Host, c.now())
	c.reader = catalog.NewReader(catalog.Options{
		Now:    c.now,
		Source: source, ShouldRead: c.shouldRead, OnList: c.handleRead, Log: c.log, Registry: d.registry,
	})
	d.peers.Handle(wire.KindCatalog, c.handle)
	d.peers.Handle(wire.KindCatalogCheck, c.handleCheck)
	d.peers.Handle(wire.KindCatalogState, c.handleState)
	d.peers.Handle(wire.KindCatalogRequest, func(from string, _ uint64, _ wire.Kind, _ []byte) { c.announce([]string{from}, true) })
	return c
}

// now returns the time on a clock that also runs while the machine is suspended. A host that took the
// age of its list from one that stands still then would pass an old list off as the newest.
func (c *catalogRole) now() time.Time { return time.Unix(0, 0).Add(c.clock.Now()) }

func (c *catalogRole) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.reader.Run(ctx) })
	g.Go(func() error { return runEvery(ctx, tickInterval, func(time.Time) { c.checkContact(c.clock.Now()) }) })
	return g.Wait()
}

func (c *catalogRole) setHosts(hosts []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts = hosts
	c.readSchedule.SetHosts(hosts)
	c.contact.SetHosts(hosts)
}

func (c *catalogRole) shouldRead(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readSchedule.ShouldRead(now)
}

// handleRead stores a list that this host has read and announces it to the other hosts.
func (c *catalogRole) handleRead(l catalog.List) {
	digest := digestOf(l.Instances)
	c.mu.Lock()
	changed := digest != c.digest
	c.list, c.digest, c.readHere = l, digest, true
	c.readSchedule.RecordRead(l.ReadAt)
	hosts := c.hosts
	if !changed {
		hosts = c.readSchedule.Readers() // the others ask whether their list is still the same
	}
	c.mu.Unlock()
	if changed {
		c.log.WithField("instances", len(l.Instances)).WithField("list_version", catalog.FormatVersion(digest)).Info("Upstream list changed.")
	}
	c.onList(l)
	c.onRead(l)
	c.announce(hosts, changed)
}

// digestOf returns a hash of a list's entries. It leaves out the remaining cold time, which
// changes with each read, but not whether an instance is cold.
func digestOf(list []catalog.Instance) uint64 {
	h := fnv.New64a()
	for _, i := range list {
		cold := i.ColdFor > 0
		i.ColdFor = 0
		b, err := wire.Marshal(struct {
			I    catalog.Instance
			Cold bool
		}{i, cold})
		if err != nil {
			continue
		}
		_, _ = h.Write(b) // a hash never returns an error
	}
	return h.Sum64()
}

// announce sends hosts the digest and age of the last list read. withList adds the list
// itself, for hosts that can't have it yet.
func (c *catalogRole) announce(hosts []string, withList bool) {
	c.mu.Lock()
	m := c.messageLocked(withList)
	haveList := !c.list.ReadAt.IsZero()
	c.mu.Unlock()
	for _, h := range hosts {
		if h == c.host || !haveList {
			continue
		}
		if err := c.send(h, wire.KindCatalog, m); err != nil {
			c.log.WithError(err).WithField("to", h).Debug("Failed to send the upstream list.")
		}
	}
}

// messageLocked returns the message about the list of this host.
func (c *catalogRole) messageLocked(withList bool) *wire.Catalog {
	m := &wire.Catalog{Digest: c.digest, Age: c.now().Sub(c.list.ReadAt), HasList: withList}
	if withList {
		for _, i := range c.list.Instances {
			m.Instances = append(m.Instances, wire.Instance{
				ID: i.ID, Born: i.Born, Service: i.Service, Address: i.Address, DataCentre: i.DataCentre, Slots: i.Slots, Draining: i.Draining, ColdFor: i.ColdFor,
			})
			m.Versions = append(m.Versions, i.Version)
		}
	}
	return m
}

// handle processes another host's announcement of a list read.
func (c *catalogRole) handle(from string, _ uint64, _ wire.Kind, payload []byte) {
	var m wire.Catalog
	if err := wire.Unmarshal(payload, &m); err != nil {
		c.log.WithError(err).WithField("from", from).Warn("Failed to decode the upstream list.")
		return
	}
	c.update(from, &m)
}

// update takes over another host's list if it was read later than this host's.
func (c *catalogRole) update(from string, m *wire.Catalog) {
	read := c.now().Add(-m.Age)
	c.mu.Lock()
	if !read.After(c.list.ReadAt) {
		c.mu.Unlock()
		return
	}
	if !m.HasList && m.Digest != c.digest {
		c.mu.Unlock()
		if err := c.send(from, wire.KindCatalogRequest, wire.CatalogRequest{}); err != nil {
			c.log.WithError(err).WithField("to", from).Debug("Failed to request the upstream list.")
		}
		return
	}
	c.readSchedule.RecordRead(read)
	if !m.HasList {
		// The instances are unchanged. onList is not called, because its receiver turned the
		// cold times into points in time when it got the list.
		c.list.ReadAt, c.readHere = read, false
		c.mu.Unlock()
		return
	}
	l := catalog.List{ReadAt: read}
	for n, i := range m.Instances {
		instance := catalog.Instance{
			ID: i.ID, Born: i.Born, Service: i.Service, Address: i.Address, DataCentre: i.DataCentre, Slots: i.Slots, Draining: i.Draining,
			ColdFor: max(i.ColdFor-m.Age, 0),
		}
		if n < len(m.Versions) {
			instance.Version = m.Versions[n]
		}
		l.Instances = append(l.Instances, instance)
	}
	c.list, c.digest, c.readHere = l, m.Digest, false
	c.mu.Unlock()
	c.onList(l)
}

// version returns the time since the list was last read, or -1 ms before the first list, and the
// digest of its entries.
func (c *catalogRole) version() (age time.Duration, digest uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.list.ReadAt.IsZero() {
		return -time.Millisecond, 0
	}
	return c.now().Sub(c.list.ReadAt), c.digest
}
