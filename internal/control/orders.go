package control

import (
	"context"
	"time"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/state"
)

// orderBook is the leader's view of the orders that it sends.
type orderBook struct {
	ctx    context.Context
	stop   context.CancelFunc
	flying map[string]bool
	tries  map[uint64]orderTry
	// tokens and refilled limit loads for the weight store.
	tokens   float64
	refilled time.Duration
}

type orderTry struct {
	count     int
	notBefore time.Duration
	// done is the result that could not be proposed yet.
	done *state.OrderDone
}

func newOrderBook() orderBook {
	ctx, stop := context.WithCancel(context.Background())
	return orderBook{ctx: ctx, stop: stop, flying: map[string]bool{}, tries: map[uint64]orderTry{}}
}

// sendOrders sends committed orders, the oldest of each upstream first and one at a
// time per upstream.
func (n *Node) sendOrders() {
	if n.o.Orders == nil {
		return
	}
	b := &n.lead.orders
	c := n.st.Config()
	b.refill(c.Policy.LoadsPerMinute, n.now)
	seen := map[string]bool{}
	for _, p := range n.st.Orders() {
		name := p.Order.Upstream
		if seen[name] {
			continue
		}
		seen[name] = true
		if b.flying[name] || len(b.flying) >= maxOrdersInFlight || n.now < b.tries[p.Fence].notBefore {
			continue
		}
		if done := b.tries[p.Fence].done; done != nil {
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
		if p.Order.Kind.IsLoad() && !b.take() {
			continue
		}
		n.sendOrder(b, u, p)
	}
}

// refill adds the tokens of the elapsed time. At most one minute's loads are saved up.
func (b *orderBook) refill(perMinute float64, now time.Duration) {
	if b.refilled == 0 {
		// A new leader does not know the loads of the previous one and starts empty but
		// for the first load.
		b.tokens, b.refilled = min(1, perMinute), now
		return
	}
	b.tokens = min(max(1, perMinute), b.tokens+perMinute*(now-b.refilled).Minutes())
	b.refilled = now
}

func (b *orderBook) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (n *Node) sendOrder(b *orderBook, u config.Upstream, p state.PendingOrder) {
	b.flying[p.Order.Upstream] = true
	parent, term := b.ctx, n.term
	n.o.spawn(func() {
		ctx, cancel := context.WithTimeout(parent, orderTimeout)
		defer cancel()
		err := n.o.Orders.Order(ctx, u.Address, p.Order, p.Fence)
		select {
		case n.inbox <- event{run: func() { n.orderSent(term, p, err) }}:
		case <-parent.Done():
		}
	})
}

func (n *Node) orderSent(term uint64, p state.PendingOrder, err error) {
	if !n.leading() || n.term != term {
		return
	}
	b := &n.lead.orders
	try := b.tries[p.Fence]
	try.count++
	switch {
	case err == nil:
		n.finishOrder(p, state.OrderAccepted, "")
	case fault.As(err).Run == fault.NotRun && try.count < orderAttempts && fault.CodeOf(err) != fault.StaleFence:
		try.notBefore = n.now + orderRetry
		b.tries[p.Fence] = try
		delete(b.flying, p.Order.Upstream)
	default:
		n.finishOrder(p, state.OrderFailed, err.Error())
	}
}

// finishOrder records the result. The upstream gets no other order until the record is
// committed. A result that cannot be proposed is kept, so that the order is not sent
// again by this leader.
func (n *Node) finishOrder(p state.PendingOrder, status state.OrderStatus, message string) {
	b := n.lead.orders
	b.flying[p.Order.Upstream] = true
	done := &state.OrderDone{Fence: p.Fence, Status: status, Message: message}
	n.proposeLocal(state.Command{OrderDone: done}, func(_ state.Result, ok bool) {
		delete(b.flying, p.Order.Upstream)
		delete(b.tries, p.Fence)
		if !ok {
			b.tries[p.Fence] = orderTry{done: done}
		}
	})
}
