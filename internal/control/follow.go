package control

import (
	"slices"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/state"
	"marigoldshunt/internal/wire"
)

// maxOutstanding bounds the unanswered Renews that are remembered.
const maxOutstanding = 16

// maxUnanswered is the number of Renews without an answer after which a client tries
// the next control host. With it, a client finds a new leader within its lease.
const maxUnanswered = 2

// renew sends a Renew to the presumed leader.
func (c *Client) renew() {
	if c.target == "" {
		return
	}
	if c.unanswered >= maxUnanswered {
		c.rotate()
	}
	c.unanswered++
	c.seq++
	c.renewed, c.renewNow = c.now, false
	for seq, s := range c.sentRenew {
		if c.now-s.at > ConfigMaxAge || len(c.sentRenew) >= maxOutstanding {
			delete(c.sentRenew, seq)
		}
	}
	c.sentRenew[c.seq] = sentRenew{at: c.now}
	m := wire.Renew{
		Seq: c.seq, Revision: c.config.Revision, Leaving: c.leaving,
		DataCentre:   c.o.DataCentre,
		Ready:        !c.leaving && (c.o.Ready == nil || c.o.Ready()),
		HostsVersion: c.hostsVersion, LeasesVersion: c.leasesVersion, MarksVersion: c.marksVersion,
		Held: c.wanted(),
	}
	if c.rebuild {
		m.Revision = 0
	}
	to := c.target
	c.effects = append(c.effects, func() { _ = c.transmit(to, wire.KindRenew, m) })
}

func (c *Client) rotate() {
	hosts := c.controlHosts()
	i := slices.Index(hosts, c.target)
	if n := len(hosts); n > 0 {
		c.target = hosts[(i+1)%n]
		c.unanswered = 0
	}
}

// onLeader follows the announcement of a leader while no leader answers.
func (c *Client) onLeader(e event) {
	var m wire.Leader
	if wire.Unmarshal(e.payload, &m) != nil || c.target == m.Host {
		return
	}
	if c.unanswered > 0 || !c.confirmed || c.now-c.confirmedAt > 2*RenewInterval {
		c.target, c.unanswered, c.renewNow = m.Host, 0, true
	}
}

// controlHosts lists the voters that the last leader named and then the hosts of the
// settings, which may be out of date.
func (c *Client) controlHosts() []string {
	var out []string
	for _, h := range c.hosts {
		if h.Voter {
			out = append(out, h.Host)
		}
	}
	for _, h := range c.o.ControlHosts {
		if !slices.Contains(out, h) {
			out = append(out, h)
		}
	}
	return out
}

// redirect follows a hint to the leader, or tries the next control host without one.
func (c *Client) redirect(from, leader string) {
	if from != c.target {
		return
	}
	if leader != "" && leader != from {
		c.target, c.unanswered = leader, 0
	} else {
		c.rotate()
	}
	if c.now-c.lastHint >= redirectDelay {
		c.lastHint, c.renewNow = c.now, true
	}
}

// wanted lists the leases of the table that belong to this run of the host and were not
// given up.
func (c *Client) wanted() []wire.Lease {
	var out []wire.Lease
	for _, l := range c.leases {
		if l.Host == c.o.Host && l.Boot == c.o.Boot && c.dropped[l.Pool] != l.Fence {
			out = append(out, l)
		}
	}
	return out
}

func (c *Client) onRenewAck(e event) {
	var m wire.RenewAck
	if wire.Unmarshal(e.payload, &m) != nil {
		return
	}
	if m.NotLeader {
		if _, asked := c.sentRenew[m.Seq]; asked {
			delete(c.sentRenew, m.Seq)
			c.redirect(e.from, m.Leader)
		}
		return
	}
	c.follow(m)
	c.takeTables(m)
	sent, asked := c.sentRenew[m.Seq]
	if !asked {
		return
	}
	delete(c.sentRenew, m.Seq)
	c.target, c.unanswered = e.from, 0
	if d := c.now - sent.at; c.o.OnRoundTrip != nil {
		c.effects = append(c.effects, func() { c.o.OnRoundTrip(d) })
	}
	if c.config.Revision < m.Revision {
		return
	}
	if !c.confirmed || sent.at > c.confirmedAt {
		c.confirmed, c.confirmedAt = true, sent.at
		close(c.onConfirm)
		c.onConfirm = make(chan struct{})
	}
	for _, l := range m.Renewed {
		c.extendHeld(l, sent)
	}
	for _, l := range m.Revoked {
		if slices.Contains(c.wanted(), l) {
			c.giveUp(l)
		}
	}
}

// extendHeld counts a lease from before its Renew was sent.
func (c *Client) extendHeld(l wire.Lease, sent sentRenew) {
	if c.leaving || !slices.Contains(c.wanted(), l) {
		return
	}
	if until := sent.at + LeaseDuration; until > c.now && until > c.held[l.Pool].until {
		c.held[l.Pool] = heldLease{l, until}
	}
}

// follow applies the changes of an answer in order. Older revisions are ignored.
func (c *Client) follow(m wire.RenewAck) {
	next := c.config
	switch {
	case m.Snapshot != nil:
		if m.Snapshot.Revision < next.Revision || m.Snapshot.Revision == next.Revision && !c.rebuild {
			return
		}
		next = m.Snapshot
	case m.Delta != nil:
		if c.rebuild && m.Delta.From == 0 {
			next = config.New()
		}
		if m.Delta.From > next.Revision || m.Delta.To <= next.Revision {
			return
		}
		var err error
		if next, err = applyDelta(next, m.Delta); err != nil {
			// The configurations differ, so the next Renew asks for the whole one.
			c.o.Log.WithError(err).Error("configuration change not applicable")
			c.rebuild, c.renewNow = true, true
			return
		}
		if next.Revision < c.config.Revision {
			return
		}
	default:
		return
	}
	c.config, c.rebuild = next, false
	if f := c.onConfig; f != nil {
		c.effects = append(c.effects, func() { f(next) })
	}
}

// applyDelta applies the changes after the configuration's revision, all changes of one
// revision together.
func applyDelta(next *config.Config, d *config.Delta) (*config.Config, error) {
	for i := 0; i < len(d.Changes); {
		rev := d.Changes[i].Revision
		var chs []config.Change
		for ; i < len(d.Changes) && d.Changes[i].Revision == rev; i++ {
			chs = append(chs, d.Changes[i].Change)
		}
		if rev <= next.Revision {
			continue
		}
		if rev != next.Revision+1 {
			return nil, fault.New(fault.InvalidConfig, "", "revision %d follows %d in a list of changes", rev, next.Revision)
		}
		var err error
		if next, err = next.ApplyAll(chs, rev); err != nil {
			return nil, err
		}
	}
	return next, nil
}

func (c *Client) takeTables(m wire.RenewAck) {
	if m.HasLeases && m.LeasesVersion > c.leasesVersion {
		c.leases, c.leasesVersion = m.Leases, m.LeasesVersion
		wanted := c.wanted()
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
				c.giveUp(l)
			}
		}
		c.reported = nil
	}
	if m.HasHosts && m.HostsVersion > c.hostsVersion {
		c.hosts, c.hostsVersion = m.Hosts, m.HostsVersion
		if f, hosts := c.onHosts, slices.Clone(m.Hosts); f != nil {
			c.effects = append(c.effects, func() { f(hosts) })
		}
	}
	if m.HasMarks && m.MarksVersion > c.marksVersion {
		c.marks, c.marksVersion = m.Marks, m.MarksVersion
	}
}

// giveUp stops using a lease and then releases it, so that the leader need not wait for
// its end.
func (c *Client) giveUp(l wire.Lease) {
	if c.dropped[l.Pool] == l.Fence {
		return
	}
	c.dropped[l.Pool] = l.Fence
	delete(c.held, l.Pool)
	c.reportLeases()
	cmd := state.Command{Release: &state.LeaseRelease{Lease: l}}
	data, err := cmd.Encode()
	if err != nil {
		return
	}
	// After the lease has ended the release is of no use.
	c.addCall(&call{command: data, until: c.now + LeaseDuration})
}

// reportLeases calls OnLeases when the held leases or the table changed.
func (c *Client) reportLeases() {
	held := make([]wire.Lease, 0, len(c.held))
	for _, l := range c.leases {
		if h, ok := c.held[l.Pool]; ok && h.lease == l {
			held = append(held, l)
		}
	}
	if c.reported != nil && slices.Equal(held, c.reported) {
		return
	}
	c.reported = held
	if f, all := c.onLeases, slices.Clone(c.leases); f != nil {
		c.effects = append(c.effects, func() { f(slices.Clone(held), all) })
	}
}
