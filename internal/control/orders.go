package control

import (
	"context"
	"time"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/state"
)

// orderDispatch is the leader's state of the orders that it sends.
type orderDispatch struct {
	ctx      context.Context
	stop     context.CancelFunc
	inFlight map[string]bool
	attempts map[uint64]orderAttempt
	// loadTokens and refilledAt are the token bucket that limits load orders for the
	// weight store.
	loadTokens float64
	refilledAt time.Duration
}

type orderAttempt struct {
	count     int
	notBefore time.Duration
	// result is set when the order has ended but its result is not recorded yet.
	result *state.OrderDone
}

func newOrderDispatch() orderDispatch {
	ctx, stop := context.WithCancel(context.Background())
	return orderDispatch{ctx: ctx, stop: stop, inFlight: map[string]bool{}, attempts: map[uint64]orderAttempt{}}
}

// sendOrders sends committed orders, the oldest of each upstream first and one at a
// time per upstream.
func (n *Node) sendOrders() {
	if n.opts.Orders == nil {
		return
	}
	d := &n.lead.orders
	c := n.state.Config()
	d.refillLoadTokens(c.Policy.LoadOrdersPerMinute, n.now)
	seen := map[string]bool{}
	for _, p := range n.state.Orders() {
		name := p.Order.Upstream
		if seen[name] {
			continue
		}
		seen[name] = true
		if d.inFlight[name] || len(d.inFlight) >= maxOrdersInFlight || n.now < d.attempts[p.Fence].notBefore {
			continue
		}
		if done := d.attempts[p.Fence].result; done != nil {
			n.finishOrder(p, done.Status, done.Message)
			continue
		}
		u, ok := c.Upstreams[name]
		if !ok {
			n.finishOrder(p, state.OrderFailed, "the upstream was removed")
			continue
		}
		if !u.ChecksFence && n.now-n.lead.since < fenceWait {
			continue
		}
		if p.Order.Kind.IsLoad() && !d.takeLoadToken() {
			continue
		}
		n.sendOrder(d, u, p)
	}
}

// refillLoadTokens adds the tokens of the elapsed time. At most one minute's loads are
// saved up.
func (d *orderDispatch) refillLoadTokens(perMinute float64, now time.Duration) {
	if d.refilledAt == 0 {
		// A new leader does not know the loads of the previous one, so it starts with the
		// token of one load at most.
		d.loadTokens, d.refilledAt = min(1, perMinute), now
		return
	}
	d.loadTokens = min(max(1, perMinute), d.loadTokens+perMinute*(now-d.refilledAt).Minutes())
	d.refilledAt = now
}

func (d *orderDispatch) takeLoadToken() bool {
	if d.loadTokens < 1 {
		return false
	}
	d.loadTokens--
	return true
}

func (n *Node) sendOrder(d *orderDispatch, u config.Upstream, p state.PendingOrder) {
	d.inFlight[p.Order.Upstream] = true
	parent, term := d.ctx, n.term
	n.opts.spawn(func() {
		ctx, cancel := context.WithTimeout(parent, orderTimeout)
		defer cancel()
		err := n.opts.Orders.SendOrder(ctx, u.Address, p.Order, p.Fence)
		select {
		case n.inbox <- event{run: func() { n.orderSent(term, p, err) }}:
		case <-parent.Done():
		}
	})
}

func (n *Node) orderSent(term uint64, p state.PendingOrder, err error) {
	if !n.isActiveLeader() || n.term != term {
		return
	}
	d := &n.lead.orders
	attempt := d.attempts[p.Fence]
	attempt.count++
	switch {
	case err == nil:
		n.finishOrder(p, state.OrderAccepted, "")
	case fault.As(err).RunState == fault.NotRun && attempt.count < maxOrderAttempts && fault.CodeOf(err) != fault.StaleFence:
		attempt.notBefore = n.now + orderRetryDelay
		d.attempts[p.Fence] = attempt
		delete(d.inFlight, p.Order.Upstream)
	default:
		n.finishOrder(p, state.OrderFailed, err.Error())
	}
}

// finishOrder records the result. The upstream gets no other order until the record is
// committed. A result that cannot be proposed is kept, so that the order is not sent
// again by this leader.
func (n *Node) finishOrder(p state.PendingOrder, status state.OrderStatus, message string) {
	d := n.lead.orders
	d.inFlight[p.Order.Upstream] = true
	done := &state.OrderDone{Fence: p.Fence, Status: status, Message: message}
	n.proposeLocal(state.Command{OrderDone: done}, func(_ state.Result, ok bool) {
		delete(d.inFlight, p.Order.Upstream)
		delete(d.attempts, p.Fence)
		if !ok {
			d.attempts[p.Fence] = orderAttempt{result: done}
		}
	})
}
