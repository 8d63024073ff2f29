package daemon

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/wire"
)

// catalogRole keeps the list of upstream instances of a host: it reads the list when it is
// this host's turn and tells the others, or takes what the reader tells.
type catalogRole struct {
	host   string
	send   func(to string, kind wire.Kind, msg any) error
	onList func(catalog.List)
	log    logrus.FieldLogger
	reader *catalog.Reader

	mu     sync.Mutex
	spread *catalog.Spread
	hosts  []string
	list   catalog.List
	digest uint64
}

func newCatalogRole(d *Daemon, source catalog.Source, onList func(catalog.List)) *catalogRole {
	c := &catalogRole{
		host: d.s.Host, send: d.peers.Send, onList: onList, log: d.part("catalog"),
		spread: catalog.NewSpread(d.s.Host, time.Now()),
	}
	c.reader = catalog.NewReader(catalog.Options{
		Source: source, Reads: c.reads, OnList: c.read, Log: c.log, Registry: d.registry,
	})
	d.peers.Handle(wire.KindCatalog, c.handle)
	d.peers.Handle(wire.KindCatalogAsk, func(from string, _ uint64, _ wire.Kind, _ []byte) { c.tell([]string{from}, true) })
	return c
}

func (c *catalogRole) run(ctx context.Context) error { return c.reader.Run(ctx) }

func (c *catalogRole) setHosts(hosts []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts = hosts
	c.spread.SetHosts(hosts)
}

func (c *catalogRole) reads(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.spread.Reads(now)
}

// read takes a list that this host has read, and tells the others.
func (c *catalogRole) read(l catalog.List) {
	digest := digestOf(l.Instances)
	c.mu.Lock()
	changed := digest != c.digest
	c.list, c.digest = l, digest
	c.spread.Heard(l.Read)
	hosts := c.hosts
	c.mu.Unlock()
	if changed {
		c.log.WithField("instances", len(l.Instances)).Info("List of upstreams changed.")
	}
	c.onList(l)
	c.tell(hosts, changed)
}

// digestOf identifies a list by what its entries say, but for the remaining cold time,
// which changes with each read.
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
		_, _ = h.Write(b) // a hash takes everything
	}
	return h.Sum64()
}

// tell sends news of the last read to hosts, with the list if they can't have it.
func (c *catalogRole) tell(hosts []string, whole bool) {
	c.mu.Lock()
	m := &wire.Catalog{Digest: c.digest, Age: time.Since(c.list.Read), HasList: whole}
	if whole {
		for _, i := range c.list.Instances {
			m.Instances = append(m.Instances, wire.Instance(i))
		}
	}
	known := !c.list.Read.IsZero()
	c.mu.Unlock()
	for _, h := range hosts {
		if h == c.host || !known {
			continue
		}
		if err := c.send(h, wire.KindCatalog, m); err != nil {
			c.log.WithError(err).WithField("to", h).Debug("List of upstreams not sent.")
		}
	}
}

// handle takes news of a read by another host.
func (c *catalogRole) handle(from string, _ uint64, _ wire.Kind, payload []byte) {
	var m wire.Catalog
	if err := wire.Unmarshal(payload, &m); err != nil {
		c.log.WithError(err).WithField("from", from).Warn("List of upstreams not readable.")
		return
	}
	read := time.Now().Add(-m.Age)
	c.mu.Lock()
	if !read.After(c.list.Read) {
		c.mu.Unlock()
		return
	}
	if !m.HasList && m.Digest != c.digest {
		c.mu.Unlock()
		if err := c.send(from, wire.KindCatalogAsk, wire.CatalogAsk{}); err != nil {
			c.log.WithError(err).WithField("to", from).Debug("List of upstreams not asked for.")
		}
		return
	}
	c.spread.Heard(read)
	if !m.HasList {
		// Remaining cold times were told with the list and run down since.
		c.list.Read = read
		c.mu.Unlock()
		return
	}
	l := catalog.List{Read: read}
	for _, i := range m.Instances {
		i.ColdFor = max(i.ColdFor-m.Age, 0)
		l.Instances = append(l.Instances, catalog.Instance(i))
	}
	c.list, c.digest = l, m.Digest
	c.mu.Unlock()
	c.onList(l)
}

// age is the time since the list was last read, -1 ms before the first list.
func (c *catalogRole) age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.list.Read.IsZero() {
		return -time.Millisecond
	}
	return time.Since(c.list.Read)
}
