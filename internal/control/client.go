package control

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/state"
	"marigoldshunt/internal/wire"
)

// ClientOptions configure a Client.
type ClientOptions struct {
	Host string
	Boot uint64
	// ControlHosts are the hosts that may lead the control group or know its leader. The
	// client also tries the voters that a leader reports.
	ControlHosts []string
	// DataCentre is the data centre of the host.
	DataCentre string
	Transport  Transport
	Clock      Clock
	// Ticks fires every TickInterval.
	Ticks <-chan time.Time
	// Ready reports whether the host can take leases; nil means always.
	Ready func() bool
	// OnRoundTrip is called with the time from sending a Renew to the leader's answer; nil
	// means that nothing is called.
	OnRoundTrip func(time.Duration)
	Log         logrus.FieldLogger
}

// Client connects a host to the control group: it sends Renews, keeps the configuration
// current, holds leases and proposes commands. All methods are safe for concurrent use.
// Callbacks run one at a time, in order, without any lock of the client held.
type Client struct {
	opts        ClientOptions
	inbox       chan event
	queuedBytes atomic.Int64
	chunks      *chunker

	mu sync.Mutex
	// afterUnlock holds sends and callbacks that run after mu is released.
	afterUnlock []func()
	now         time.Duration

	// presumedLeader is the host that gets Renews and proposals; unanswered counts the
	// Renews sent to it since its last answer.
	presumedLeader string
	unanswered     int

	config         *config.Config
	needFullConfig bool
	confirmed      bool
	confirmedAt    time.Duration
	// nextConfirmation is closed with the next confirmation.
	nextConfirmation chan struct{}

	seq          uint64
	renewedAt    time.Duration
	renewNow     bool
	lastRedirect time.Duration
	sentRenews   map[uint64]sentRenew

	hosts             []wire.HostStatus
	hostsVersion      uint64
	leases            []wire.Lease
	leasesVersion     uint64
	crashMarks        []state.CrashMark
	crashMarksVersion uint64

	leaving        bool
	held           map[string]heldLease
	releasedFences map[string]uint64
	reportedHeld   []wire.Lease

	calls map[uint64]*call

	onConfig func(*config.Config)
	onLeases func(held, all []wire.Lease)
	onHosts  func([]wire.HostStatus)
	onMarks  func([]state.CrashMark)
}

type sentRenew struct {
	sentAt time.Duration
}

type heldLease struct {
	lease wire.Lease
	until time.Duration
}

// NewClient returns a client with an empty, unconfirmed configuration.
func NewClient(opts ClientOptions) *Client {
	c := &Client{
		opts:   opts,
		inbox:  make(chan event, inboxLength),
		config: config.New(),
		// Sequence numbers differ between boots, so an answer to an earlier run of the
		// process cannot confirm the configuration of this one.
		seq:              opts.Boot << 24,
		sentRenews:       map[uint64]sentRenew{},
		held:             map[string]heldLease{},
		nextConfirmation: make(chan struct{}),
		releasedFences:   map[string]uint64{},
		calls:            map[uint64]*call{},
		now:              opts.Clock.Now(),
		renewedAt:        -RenewInterval,
	}
	c.renewedAt += c.now
	c.chunks = newChunker(opts.Boot<<20, c.transmit)
	if len(opts.ControlHosts) > 0 {
		c.presumedLeader = opts.ControlHosts[0]
	}
	return c
}

// Run handles messages and ticks until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.opts.Ticks:
			c.tick()
		case e := <-c.inbox:
			c.queuedBytes.Add(-int64(len(e.payload)))
			c.handleEvent(e)
		}
	}
}

// Handle queues a message without blocking. When the queue is full, the message is
// dropped and its content is requested again.
func (c *Client) Handle(from string, boot uint64, kind wire.Kind, payload []byte) {
	c.post(event{from: from, boot: boot, kind: kind, payload: payload})
}

func (c *Client) post(e event) { postEvent(c.inbox, &c.queuedBytes, e) }

// lock begins a change of the client's state at the current time.
func (c *Client) lock() {
	c.mu.Lock()
	c.now = max(c.now, c.opts.Clock.Now())
}

// unlock ends a change and runs its sends and callbacks. Only the goroutine of Run
// calls it, which keeps them in order.
func (c *Client) unlock() {
	c.reportLeases()
	afterUnlock := c.afterUnlock
	c.afterUnlock = nil
	c.mu.Unlock()
	for _, f := range afterUnlock {
		f()
	}
}

func (c *Client) transmit(to string, kind wire.Kind, msg any) error {
	err := c.opts.Transport.Send(to, kind, msg)
	if err != nil {
		c.opts.Log.WithError(err).WithField("to", to).Debug("Failed to send a message.")
	}
	return err
}

func (c *Client) handleEvent(e event) {
	c.lock()
	defer c.unlock()
	c.handleMessage(e)
}

// handleMessage handles a message or a queued function. It runs under the lock.
func (c *Client) handleMessage(e event) {
	switch e.kind {
	case wire.KindRenewAck:
		c.onRenewAck(e)
	case wire.KindCompressedRenewAck:
		c.onCompressedRenewAck(e)
	case wire.KindProposeAck:
		c.onProposeAck(e)
	case wire.KindLeaderAnnouncement:
		c.onLeader(e)
	case wire.KindChunk:
		c.onChunk(e)
	default:
		if e.run != nil {
			e.run()
		}
	}
}

// onChunk runs under the lock; the transport does not block, so chunks are sent at once.
func (c *Client) onChunk(e event) {
	var m wire.Chunk
	if wire.Unmarshal(e.payload, &m) != nil {
		return
	}
	switch {
	case m.Ack && sentByClients(m.Inner):
		c.chunks.onAck(e.from, m, c.now)
	case !m.Ack && handledByClients(m.Inner):
		if whole := c.chunks.receiveChunk(e.from, m, c.now); whole != nil {
			c.handleMessage(event{from: e.from, boot: e.boot, kind: m.Inner, payload: whole})
		}
	}
}

func (c *Client) tick() {
	c.lock()
	defer c.unlock()
	c.chunks.tick(c.now)
	for pool, h := range c.held {
		if c.now >= h.until {
			delete(c.held, pool)
		}
	}
	if c.renewNow || c.now-c.renewedAt >= RenewInterval {
		c.sendRenew()
	}
	c.resendCalls()
}

// Config returns the applied configuration. It must not be modified.
func (c *Client) Config() *config.Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config
}

// ConfigCurrent reports whether the configuration was confirmed within ConfigMaxAge,
// counted from just before the sending of the Renew whose answer confirmed it.
func (c *Client) ConfigCurrent() bool {
	now := c.opts.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmed && now-c.confirmedAt <= ConfigMaxAge
}

// ConfirmConfig waits until the leader has confirmed the applied configuration by an answer
// to a Renew that was sent after the call, and returns that configuration. It returns
// HostIsolated when ctx ends first.
func (c *Client) ConfirmConfig(ctx context.Context) (*config.Config, error) {
	asked := c.opts.Clock.Now()
	c.post(event{run: func() { c.renewNow = true }})
	for {
		c.mu.Lock()
		done, cfg, next := c.confirmed && c.confirmedAt >= asked, c.config, c.nextConfirmation
		c.mu.Unlock()
		if done {
			return cfg, nil
		}
		select {
		case <-next:
		case <-ctx.Done():
			return nil, fault.New(fault.HostIsolated, fault.NotRun, "the control group did not confirm the configuration in time").WithRetryAfter(RenewInterval)
		}
	}
}

// SetControlHosts replaces the configured hosts through which the client finds the group.
func (c *Client) SetControlHosts(hosts []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opts.ControlHosts = hosts
}

// GroupView returns the presumed leader, whether the voters of the group are known, and
// whether this host is among them.
func (c *Client) GroupView() (leader string, known, listed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		known = known || h.Voter
		listed = listed || h.Voter && h.Host == c.opts.Host
	}
	return c.presumedLeader, known, listed
}

// Hosts returns the hosts as the control leader last published them.
func (c *Client) Hosts() []wire.HostStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.hosts)
}

// Leases returns the lease of each pool that has a holder.
func (c *Client) Leases() []wire.Lease {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.leases)
}

// CrashMarks returns the crash marks, oldest first.
func (c *Client) CrashMarks() []state.CrashMark {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.crashMarks)
}

// HeldUntil returns the fence and the end of this host's lease of a pool, in the time of
// ClientOptions.Clock. ok is false when the lease is not held now.
func (c *Client) HeldUntil(pool string) (fence uint64, until time.Duration, ok bool) {
	now := c.opts.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	h, ok := c.held[pool]
	if !ok || now >= h.until {
		return 0, 0, false
	}
	return h.lease.Fence, h.until, true
}

// SetLeaving announces that the host is leaving and releases its leases. Once it has
// returned, HeldUntil reports no lease; the leases are released after the function set by
// OnLeases was called.
func (c *Client) SetLeaving() {
	c.mu.Lock()
	already := c.leaving
	c.leaving = true
	clear(c.held)
	c.mu.Unlock()
	if already {
		return
	}
	c.post(event{run: func() {
		for _, l := range c.ownLeases() {
			c.releaseLease(l)
		}
		c.renewNow = true
	}})
}

// Leaving reports whether SetLeaving was called.
func (c *Client) Leaving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaving
}

// OnConfig sets the callback for each new configuration.
func (c *Client) OnConfig(f func(*config.Config)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onConfig = f
}

// OnLeases sets the callback for changes of the held leases or of the lease table.
func (c *Client) OnLeases(f func(held, all []wire.Lease)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onLeases = f
}

// OnHosts sets the callback for changes of the host list.
func (c *Client) OnHosts(f func([]wire.HostStatus)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onHosts = f
}

// OnCrashMarks sets the callback for changes of the crash marks.
func (c *Client) OnCrashMarks(f func([]state.CrashMark)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onMarks = f
}
