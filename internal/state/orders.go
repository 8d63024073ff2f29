package state

import (
	"maps"
	"slices"

	"marigoldshunt/internal/fault"
)

func (s *State) issue(index uint64, key string, o *OrderIssue) Result {
	if r, refused := s.refuseBootstrap(o.Order.Operator); refused {
		return r
	}
	if _, ok := s.config.Upstreams[o.Order.Upstream]; !ok {
		return refuse(fault.NotFound, fault.NotRun, "the upstream does not exist")
	}
	known := o.Order.Kind.IsLoad() || o.Order.Kind == OrderChangeRole || o.Order.Kind == OrderDrain
	if !known || (o.Order.Name == "") != (o.Order.Kind == OrderDrain) || len(o.Order.Name) > 256 {
		return refuse(fault.BadRequest, fault.NotRun, "the order needs a known kind, and a name unless it is a drain")
	}
	if _, taken := s.orders[index]; taken {
		// The log index is the fencing number, so an entry holds one order at most.
		return refuse(fault.Internal, fault.NotRun, "the log entry holds another order")
	}
	waiting := 0
	for _, p := range s.orders {
		if p.Order.Upstream == o.Order.Upstream {
			waiting++
		}
	}
	if len(s.orders) >= MaxOrders || waiting >= MaxOrdersPerUpstream {
		return refuse(fault.QueueFull, fault.NotRun, "too many orders wait to be sent")
	}
	s.orders[index] = PendingOrder{Fence: index, Order: o.Order, answer: key}
	return Result{Order: &OrderResult{Fence: index, Status: OrderPending}}
}

func (s *State) orderDone(d *OrderDone) Result {
	p, ok := s.orders[d.Fence]
	if !ok {
		return refuse(fault.NotFound, fault.NotRun, "the order is not pending")
	}
	delete(s.orders, d.Fence)
	result := OrderResult{Fence: d.Fence, Status: d.Status, Message: d.Message}
	if len(result.Message) > maxMessage {
		result.Message = result.Message[:maxMessage]
	}
	if a, ok := s.answers[p.answer]; ok && a.Result.Order != nil && a.Result.Order.Fence == d.Fence {
		a.Result.Order = &result
		s.answers[p.answer] = a
	}
	return Result{Order: &result}
}

// Orders returns the pending orders by fencing number.
func (s *State) Orders() []PendingOrder {
	out := make([]PendingOrder, 0, len(s.orders))
	for _, fence := range slices.Sorted(maps.Keys(s.orders)) {
		out = append(out, s.orders[fence])
	}
	return out
}
