package daemon

import (
	"time"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/wire"
)

// checkContact asks another host, if it is time, whether it has the same list, and logs when this
// host loses and regains the list of the fleet.
func (c *catalogRole) checkContact(now time.Duration) {
	c.mu.Lock()
	to, seq, ask := c.contact.Next(now)
	digest := c.digest
	age, known := c.contact.Age(now)
	lost := known && age > c.maxAge
	changed := lost != c.lost
	c.lost = lost
	c.mu.Unlock()
	if changed {
		c.logContact(lost, age, digest)
	}
	if !ask {
		return
	}
	if err := c.send(to, wire.KindCatalogCheck, &wire.CatalogCheck{Seq: seq, Digest: digest}); err != nil {
		c.log.WithError(err).WithField("to", to).Debug("Failed to ask for the upstream list.")
	}
}

// confirmList asks another host at once, unless one was asked just now.
func (c *catalogRole) confirmList() {
	now := c.clock.Now()
	c.mu.Lock()
	c.contact.Hurry(now)
	c.mu.Unlock()
	c.checkContact(now)
}

func (c *catalogRole) logContact(lost bool, age time.Duration, digest uint64) {
	l := c.log.WithField("contact_age_ms", age.Milliseconds()).WithField("list_version", catalog.FormatVersion(digest))
	if lost {
		l.Warn("Upstream list lost: no host confirms it. Requests are refused.")
		return
	}
	l.Info("Upstream list confirmed again.")
}

// contactAge returns how long before now another host confirmed this host's list, 0 if none ever did.
func (c *catalogRole) contactAge(now time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	age, known := c.contact.Age(now)
	if !known {
		return 0
	}
	return age
}

// maxSpreadAge is the age of the last confirmation above which a host does not tell its list to hosts
// that have another one. It allows for a question that was asked twice.
const maxSpreadAge = catalog.CheckInterval + 2*catalog.RepeatAfter

// maySpreadLocked reports whether this host may take its list for the newest. A host that was out of
// touch may have read what was sent to it before, which tells the age of the list as it was then.
func (c *catalogRole) maySpreadLocked() bool {
	age, known := c.contact.Age(c.clock.Now())
	return c.readHere || !known || age <= maxSpreadAge
}

// handleCheck answers another host's question whether the lists are the same.
func (c *catalogRole) handleCheck(from string, _ uint64, _ wire.Kind, payload []byte) {
	var m wire.CatalogCheck
	if err := wire.Unmarshal(payload, &m); err != nil {
		c.log.WithError(err).WithField("from", from).Warn("Failed to decode a question about the upstream list.")
		return
	}
	c.mu.Lock()
	haveList := !c.list.ReadAt.IsZero()
	differs := m.Digest != c.digest
	if haveList && differs && !c.maySpreadLocked() {
		c.mu.Unlock()
		return
	}
	list := c.messageLocked(haveList && differs)
	reply := &wire.CatalogState{Seq: m.Seq, Catalog: *list, Versions: list.Versions}
	c.mu.Unlock()
	if !haveList {
		return
	}
	if err := c.send(from, wire.KindCatalogState, reply); err != nil {
		c.log.WithError(err).WithField("to", from).Debug("Failed to send the upstream list.")
	}
}

// handleState processes the answer to a question of checkContact. A host that still has another list
// after that asks again, because the times at which the two were read are estimates.
func (c *catalogRole) handleState(from string, _ uint64, _ wire.Kind, payload []byte) {
	var m wire.CatalogState
	if err := wire.Unmarshal(payload, &m); err != nil {
		c.log.WithError(err).WithField("from", from).Warn("Failed to decode the upstream list.")
		return
	}
	m.Catalog.Versions = m.Versions
	c.update(from, &m.Catalog)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.digest == m.Catalog.Digest {
		c.contact.Confirm(from, m.Seq, c.clock.Now())
	}
}
