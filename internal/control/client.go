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
	// ControlHosts are the hosts that may lead the control group, or that know who does.
	// The voters that a leader names are added to them.
	ControlHosts []string
	// DataCentre is where the host stands.
	DataCentre string
	Transport  Transport
	Clock      Clock
	// Ticks fires every TickInterval.
	Ticks <-chan time.Time
	// Ready reports whether the host can take leases; nil means always.
	Ready func() bool
	// OnRoundTrip is told how long the leader took to confirm the configuration; nil tells
	// nobody.
	OnRoundTrip func(time.Duration)
	Log         logrus.FieldLogger
}

// Client connects a host to the control group: it renews, follows the configuration,
// holds leases and proposes commands. All methods are safe for concurrent use.
// Callbacks run one at a time, in order, without any lock of the client held.
type Client struct {
	o      ClientOptions
	inbox  chan event
	queued atomic.Int64
	chunks *chunker

	mu sync.Mutex
	// effects are sends and callbacks that run after mu is released.
	effects []func()
	now     time.Duration

	// target is the presumed leader; unanswered counts the Renews sent to it since its
	// last answer.
	target     string
	unanswered int

	config      *config.Config
	rebuild     bool
	confirmed   bool
	confirmedAt time.Duration
	// onConfirm is closed with the next confirmation.
	onConfirm chan struct{}

	seq       uint64
	renewed   time.Duration
	renewNow  bool
	lastHint  time.Duration
	sentRenew map[uint64]sentRenew

	hosts         []wire.HostStatus
	hostsVersion  uint64
	leases        []wire.Lease
	leasesVersion uint64
	marks         []state.Mark
	marksVersion  uint64

	leaving  bool
	held     map[string]heldLease
	dropped  map[string]uint64
	reported []wire.Lease

	calls map[uint64]*call

	onConfig func(*config.Config)
	onLeases func(held, all []wire.Lease)
	onHosts  func([]wire.HostStatus)
}

type sentRenew struct {
	at time.Duration
}

type heldLease struct {
	lease wire.Lease
	until time.Duration
}

// NewClient returns a client with an empty configuration that is not confirmed.
func NewClient(o ClientOptions) *Client {
	c := &Client{
		o:      o,
		inbox:  make(chan event, inboxLength),
		config: config.New(),
		// Sequence numbers differ between boots, so an answer to an earlier run of the
		// process cannot confirm the configuration of this one.
		seq:       o.Boot << 24,
		sentRenew: map[uint64]sentRenew{},
		held:      map[string]heldLease{},
		onConfirm: make(chan struct{}),
		dropped:   map[string]uint64{},
		calls:     map[uint64]*call{},
		now:       o.Clock.Now(),
		renewed:   -RenewInterval,
	}
	c.renewed += c.now
	c.chunks = newChunker(o.Boot<<20, c.transmit)
	if len(o.ControlHosts) > 0 {
		c.target = o.ControlHosts[0]
	}
	return c
}

// Run works until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.o.Ticks:
			c.tick()
		case e := <-c.inbox:
			c.queued.Add(-int64(len(e.payload)))
			c.event(e)
		}
	}
}

// Handle accepts a message. It does not block: when the queue is full the message is
// dropped and asked for again.
func (c *Client) Handle(from string, boot uint64, kind wire.Kind, payload []byte) {
	c.post(event{from: from, boot: boot, kind: kind, payload: payload})
}

func (c *Client) post(e event) { postEvent(c.inbox, &c.queued, e) }

// lock begins a change of the client's state at the current time.
func (c *Client) lock() {
	c.mu.Lock()
	c.now = max(c.now, c.o.Clock.Now())
}

// unlock ends a change and runs its sends and callbacks. Only the goroutine of Run
// calls it, which keeps them in order.
func (c *Client) unlock() {
	c.reportLeases()
	effects := c.effects
	c.effects = nil
	c.mu.Unlock()
	for _, f := range effects {
		f()
	}
}

func (c *Client) transmit(to string, kind wire.Kind, msg any) error {
	err := c.o.Transport.Send(to, kind, msg)
	if err != nil {
		c.o.Log.WithError(err).WithField("to", to).Debug("message not sent")
	}
	return err
}

func (c *Client) event(e event) {
	c.lock()
	defer c.unlock()
	switch e.kind {
	case wire.KindRenewAck:
		c.onRenewAck(e)
	case wire.KindProposeAck:
		c.onProposeAck(e)
	case wire.KindLeader:
		c.onLeader(e)
	case wire.KindSnapshotChunk:
		c.onChunk(e)
	default:
		if e.run != nil {
			e.run()
		}
	}
}

// onChunk runs under the lock; the transport does not block, so parts are sent at once.
func (c *Client) onChunk(e event) {
	var m wire.Chunk
	if wire.Unmarshal(e.payload, &m) != nil {
		return
	}
	switch {
	case m.Ack && m.Inner == wire.KindPropose:
		c.chunks.acknowledged(e.from, m, c.now)
	case !m.Ack && m.Inner == wire.KindRenewAck:
		if whole := c.chunks.received(e.from, m, c.now); whole != nil {
			c.onRenewAck(event{from: e.from, boot: e.boot, kind: m.Inner, payload: whole})
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
	if c.renewNow || c.now-c.renewed >= RenewInterval {
		c.renew()
	}
	c.resend()
}

// Config returns the applied configuration. It must not be modified.
func (c *Client) Config() *config.Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config
}

// Current reports whether the configuration was confirmed within ConfigMaxAge, counted
// from before the confirmed Renew was sent.
func (c *Client) Current() bool {
	now := c.o.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmed && now-c.confirmedAt <= ConfigMaxAge
}

// Confirm waits until the leader has confirmed the applied configuration by an answer to
// a Renew that was sent after the call, and returns that configuration. It returns
// HostIsolated when ctx ends first.
func (c *Client) Confirm(ctx context.Context) (*config.Config, error) {
	asked := c.o.Clock.Now()
	c.post(event{run: func() { c.renewNow = true }})
	for {
		c.mu.Lock()
		done, cfg, next := c.confirmed && c.confirmedAt >= asked, c.config, c.onConfirm
		c.mu.Unlock()
		if done {
			return cfg, nil
		}
		select {
		case <-next:
		case <-ctx.Done():
			return nil, fault.New(fault.HostIsolated, fault.NotRun, "the control group did not confirm the configuration in time").After(RenewInterval)
		}
	}
}

// SetControlHosts replaces the hosts of the settings through which the group is found.
func (c *Client) SetControlHosts(hosts []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.o.ControlHosts = hosts
}

// Membership returns the host that is presumed to lead, whether the voters of the group are
// known, and whether this host is among them.
func (c *Client) Membership() (leader string, known, listed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		known = known || h.Voter
		listed = listed || h.Voter && h.Host == c.o.Host
	}
	return c.target, known, listed
}

// Hosts returns the hosts as the control leader last published them.
func (c *Client) Hosts() []wire.HostStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.hosts)
}

// Leases returns the holder of each pool that has one.
func (c *Client) Leases() []wire.Lease {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.leases)
}

// Marks returns the crash marks, oldest first.
func (c *Client) Marks() []state.Mark {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.marks)
}

// HeldUntil returns the fence and the end of this host's lease of a pool, on the clock
// of the options. ok is false when the lease is not held now.
func (c *Client) HeldUntil(pool string) (fence uint64, until time.Duration, ok bool) {
	now := c.o.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	h, ok := c.held[pool]
	if !ok || now >= h.until {
		return 0, 0, false
	}
	return h.lease.Fence, h.until, true
}

// SetLeaving announces that the host leaves and releases its leases. From its return
// on, HeldUntil reports no lease; the release follows after OnLeases was called.
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
		for _, l := range c.wanted() {
			c.giveUp(l)
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

// OnConfig sets the function that is told of each new configuration.
func (c *Client) OnConfig(f func(*config.Config)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onConfig = f
}

// OnLeases sets the function that is told when the held leases or the table change.
func (c *Client) OnLeases(f func(held, all []wire.Lease)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onLeases = f
}

// OnHosts sets the function that is told when the host list changes.
func (c *Client) OnHosts(f func([]wire.HostStatus)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onHosts = f
}

// Change applies configuration changes atomically and returns the new revision. When
// the answer is lost until ctx ends, it returns a Timeout with run state MayHaveRun;
// the same request id then returns the first answer.
func (c *Client) Change(ctx context.Context, requestID, operator string, ch []config.Change) (revision uint64, err error) {
	r, err := c.do(ctx, state.Command{Config: &state.ConfigChange{RequestID: requestID, Operator: operator, Changes: ch}})
	return r.Revision, err
}

// Claim claims an idempotency key. When the answer is lost it returns ClaimUnavailable
// with run state NotRun, since only the holder of the attempt may run the request; the
// caller then releases the attempt.
func (c *Client) Claim(ctx context.Context, r state.ClaimRequest) (state.ClaimAnswer, error) {
	res, err := c.do(ctx, state.Command{Claim: &r})
	switch f := fault.As(err); {
	case err == nil && res.Claim != nil:
		return *res.Claim, nil
	case err == nil:
		return state.ClaimAnswer{}, fault.New(fault.Internal, fault.NotRun, "the answer holds no claim")
	case f.Code == fault.Timeout || f.Code == fault.QueueFull || f.Code == fault.NoQuorum:
		return state.ClaimAnswer{}, fault.Wrap(err, fault.ClaimUnavailable, fault.NotRun, "the claim was not confirmed")
	}
	return state.ClaimAnswer{}, err
}

// FinishClaim records that a claimed request ran. A Timeout means that the record may
// or may not exist; the call may be repeated.
func (c *Client) FinishClaim(ctx context.Context, r state.ClaimFinish) error {
	_, err := c.do(ctx, state.Command{Finish: &r})
	return err
}

// ReleaseClaim records that a claimed request did not run. Only after it returns nil
// may "not run" be reported for the request.
func (c *Client) ReleaseClaim(ctx context.Context, r state.ClaimRelease) error {
	_, err := c.do(ctx, state.Command{Unclaim: &r})
	return err
}

// MarkCrash records a crash mark. A lost mark is not reported: the pool's scheduler
// keeps its own copy.
func (c *Client) MarkCrash(ctx context.Context, pool string, fp wire.Digest, upstream string) {
	if _, err := c.do(ctx, state.Command{Mark: &state.Mark{Pool: pool, Fingerprint: fp, Upstream: upstream}}); err != nil {
		c.o.Log.WithError(err).Warn("crash mark not recorded")
	}
}

// Order puts an order into the log and returns its fencing number and status. A repeat
// with the same request id returns the status at that time.
func (c *Client) Order(ctx context.Context, requestID string, o state.Order) (state.OrderResult, error) {
	r, err := c.do(ctx, state.Command{Order: &state.OrderIssue{RequestID: requestID, Order: o}})
	if err != nil || r.Order == nil {
		return state.OrderResult{}, err
	}
	return *r.Order, nil
}
