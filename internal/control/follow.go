package control

import (
	"slices"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/state"
	"marigoldshunt/internal/wire"
)

// maxSentRenews bounds the unanswered Renews that are remembered.
const maxSentRenews = 16

// maxUnansweredRenews is the number of Renews without an answer after which a client tries
// the next control host. With this value, a client finds a new leader within its lease.
const maxUnansweredRenews = 2

// sendRenew sends a Renew to the presumed leader.
func (c *Client) sendRenew() {
	if c.presumedLeader == "" {
		return
	}
	if c.unanswered >= maxUnansweredRenews {
		c.tryNextControlHost()
	}
	c.unanswered++
	c.seq++
	c.renewedAt, c.renewNow = c.now, false
	for seq, s := range c.sentRenews {
		if c.now-s.sentAt > ConfigMaxAge || len(c.sentRenews) >= maxSentRenews {
			delete(c.sentRenews, seq)
		}
	}
	c.sentRenews[c.seq] = sentRenew{sentAt: c.now}
	m := wire.Renew{
		Seq: c.seq, Revision: c.config.Revision, Leaving: c.leaving,
		DataCentre:   c.opts.DataCentre,
		Ready:        !c.leaving && (c.opts.Ready == nil || c.opts.Ready()),
		HostsVersion: c.hostsVersion, LeasesVersion: c.leasesVersion, MarksVersion: c.crashMarksVersion,
		Held:         c.ownLeases(),
		Capabilities: wire.Capabilities{RoutingPatches: true, Compression: true},
	}
	if c.needFullConfig {
		m.Revision = 0
	}
	to := c.presumedLeader
	c.afterUnlock = append(c.afterUnlock, func() { _ = c.transmit(to, wire.KindRenew, m) })
}

func (c *Client) tryNextControlHost() {
	hosts := c.controlHosts()
	i := slices.Index(hosts, c.presumedLeader)
	if n := len(hosts); n > 0 {
		c.presumedLeader = hosts[(i+1)%n]
		c.unanswered = 0
	}
}

// onLeader switches to an announced leader if a Renew to the presumed one is unanswered or
// the last confirmation is older than two Renew intervals.
func (c *Client) onLeader(e event) {
	var m wire.LeaderAnnouncement
	if wire.Unmarshal(e.payload, &m) != nil || c.presumedLeader == m.Host {
		return
	}
	if c.unanswered > 0 || !c.confirmed || c.now-c.confirmedAt > 2*RenewInterval {
		c.presumedLeader, c.unanswered, c.renewNow = m.Host, 0, true
	}
}

// controlHosts lists the voters that the last leader reported, followed by the configured
// hosts, which may be out of date.
func (c *Client) controlHosts() []string {
	var out []string
	for _, h := range c.hosts {
		if h.Voter {
			out = append(out, h.Host)
		}
	}
	for _, h := range c.opts.ControlHosts {
		if !slices.Contains(out, h) {
			out = append(out, h)
		}
	}
	return out
}

// redirect switches to the leader named in an answer, or to the next control host when
// none is named.
func (c *Client) redirect(from, leader string) {
	if from != c.presumedLeader {
		return
	}
	if leader != "" && leader != from {
		c.presumedLeader, c.unanswered = leader, 0
	} else {
		c.tryNextControlHost()
	}
	if c.now-c.lastRedirect >= redirectDelay {
		c.lastRedirect, c.renewNow = c.now, true
	}
}

// ownLeases lists the leases of the table that belong to this boot of the host and were
// not released.
func (c *Client) ownLeases() []wire.Lease {
	var out []wire.Lease
	for _, l := range c.leases {
		if l.Host == c.opts.Host && l.Boot == c.opts.Boot && c.releasedFences[l.Pool] != l.Fence {
			out = append(out, l)
		}
	}
	return out
}

func (c *Client) onCompressedRenewAck(e event) {
	payload, err := wire.Decompress(e.payload)
	if err != nil {
		c.opts.Log.WithError(err).WithField("from", e.from).Warn("Failed to decompress a configuration.")
		return
	}
	e.payload = payload
	c.onRenewAck(e)
}

func (c *Client) onRenewAck(e event) {
	var m wire.RenewAck
	if wire.Unmarshal(e.payload, &m) != nil {
		return
	}
	if m.NotLeader {
		if _, asked := c.sentRenews[m.Seq]; asked {
			delete(c.sentRenews, m.Seq)
			c.redirect(e.from, m.Leader)
		}
		return
	}
	c.applyConfig(m)
	c.updateTables(m)
	sent, asked := c.sentRenews[m.Seq]
	if !asked {
		return
	}
	delete(c.sentRenews, m.Seq)
	c.presumedLeader, c.unanswered = e.from, 0
	if d := c.now - sent.sentAt; c.opts.OnRoundTrip != nil {
		c.afterUnlock = append(c.afterUnlock, func() { c.opts.OnRoundTrip(d) })
	}
	if c.config.Revision < m.Revision {
		return
	}
	if !c.confirmed || sent.sentAt > c.confirmedAt {
		c.confirmed, c.confirmedAt = true, sent.sentAt
		close(c.nextConfirmation)
		c.nextConfirmation = make(chan struct{})
	}
	for _, l := range m.Renewed {
		c.extendHeldLease(l, sent)
	}
	for _, l := range m.Revoked {
		if slices.Contains(c.ownLeases(), l) {
			c.releaseLease(l)
		}
	}
}

// extendHeldLease extends a lease, counted from just before the sending of its Renew.
func (c *Client) extendHeldLease(l wire.Lease, sent sentRenew) {
	if c.leaving || !slices.Contains(c.ownLeases(), l) {
		return
	}
	if until := sent.sentAt + LeaseDuration; until > c.now && until > c.held[l.Pool].until {
		c.held[l.Pool] = heldLease{l, until}
	}
}

// applyConfig applies the configuration or the changes of an answer, in order. Older
// revisions are ignored.
func (c *Client) applyConfig(m wire.RenewAck) {
	next := c.config
	switch {
	case m.Snapshot != nil:
		if m.Snapshot.Revision > next.Revision || c.needFullConfig {
			c.setConfig(m.Snapshot)
		}
	case m.Delta != nil:
		if c.needFullConfig && m.Delta.From == 0 {
			next = config.New()
		}
		if m.Delta.From > next.Revision || m.Delta.To <= next.Revision {
			return
		}
		next, err := applyDelta(next, m.Delta)
		if err == nil {
			next, err = applyRoutingPatches(next, c.config.Revision, m.Patches)
		}
		if err != nil {
			// The configuration differs from the leader's, so the next Renew asks for the
			// full one.
			c.opts.Log.WithError(err).Error("Failed to apply a configuration change.")
			c.needFullConfig, c.renewNow = true, true
			return
		}
		c.setConfig(next)
	}
}

func (c *Client) setConfig(next *config.Config) {
	if next.Revision < c.config.Revision {
		return
	}
	c.config, c.needFullConfig = next, false
	if f := c.onConfig; f != nil {
		c.afterUnlock = append(c.afterUnlock, func() { f(next) })
	}
}

// applyDelta applies the changes that are newer than the configuration, all changes of
// one revision together.
func applyDelta(next *config.Config, d *config.Delta) (*config.Config, error) {
	for i := 0; i < len(d.Changes); {
		rev := d.Changes[i].Revision
		var changes []config.Change
		for ; i < len(d.Changes) && d.Changes[i].Revision == rev; i++ {
			changes = append(changes, d.Changes[i].Change)
		}
		if rev <= next.Revision {
			continue
		}
		if rev != next.Revision+1 {
			return nil, fault.New(fault.InvalidConfig, "", "revision %d follows %d in a list of changes", rev, next.Revision)
		}
		var err error
		if next, err = next.ApplyAll(changes, rev); err != nil {
			return nil, err
		}
	}
	return next, nil
}

// applyRoutingPatches returns a configuration with the patches that are newer than a revision.
func applyRoutingPatches(c *config.Config, revision uint64, patches []*config.RoutingPatch) (*config.Config, error) {
	next := *c
	for _, p := range patches {
		if p.Revision <= revision {
			continue
		}
		patched, err := p.Apply(next.Routing)
		if err != nil {
			return nil, err
		}
		next.Routing = patched
	}
	return &next, nil
}

func (c *Client) updateTables(m wire.RenewAck) {
	if m.HasLeases && m.LeasesVersion > c.leasesVersion {
		c.leases, c.leasesVersion = m.Leases, m.LeasesVersion
		wanted := c.ownLeases()
		for pool, h := range c.held {
			if !slices.Contains(wanted, h.lease) {
				delete(c.held, pool)
			}
		}
		for _, l := range wanted {
			if _, held := c.held[l.Pool]; !held {
				c.renewNow = true
			}
		}
		if c.leaving {
			for _, l := range wanted {
				c.releaseLease(l)
			}
		}
		c.reportedHeld = nil
	}
	if m.HasHosts && m.HostsVersion > c.hostsVersion {
		c.hosts, c.hostsVersion = m.Hosts, m.HostsVersion
		if f, hosts := c.onHosts, slices.Clone(m.Hosts); f != nil {
			c.afterUnlock = append(c.afterUnlock, func() { f(hosts) })
		}
	}
	if m.HasMarks && m.MarksVersion > c.crashMarksVersion {
		c.crashMarks, c.crashMarksVersion = m.Marks, m.MarksVersion
		if f := c.onMarks; f != nil {
			c.afterUnlock = append(c.afterUnlock, func() { f(m.Marks) })
		}
	}
}

// releaseLease stops using a lease and then releases it, so that the leader need not wait
// for its end.
func (c *Client) releaseLease(l wire.Lease) {
	if c.releasedFences[l.Pool] == l.Fence {
		return
	}
	c.releasedFences[l.Pool] = l.Fence
	delete(c.held, l.Pool)
	c.reportLeases()
	cmd := state.Command{Release: &state.LeaseRelease{Lease: l}}
	data, err := cmd.Encode()
	if err != nil {
		return
	}
	// The release is useless once the lease has ended, so the call expires then.
	c.addCall(&call{command: data, expires: c.now + LeaseDuration})
}

// reportLeases calls OnLeases when the held leases or the table changed.
func (c *Client) reportLeases() {
	held := make([]wire.Lease, 0, len(c.held))
	for _, l := range c.leases {
		if h, ok := c.held[l.Pool]; ok && h.lease == l {
			held = append(held, l)
		}
	}
	if c.reportedHeld != nil && slices.Equal(held, c.reportedHeld) {
		return
	}
	c.reportedHeld = held
	if f, all := c.onLeases, slices.Clone(c.leases); f != nil {
		c.afterUnlock = append(c.afterUnlock, func() { f(slices.Clone(held), all) })
	}
}
