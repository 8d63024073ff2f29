package state

import (
	"maps"
	"slices"

	"marigoldshunt/internal/fault"
)

func (s *State) issueOrder(index uint64, key string, request *OrderIssue) Result {
	if r, refused := s.refuseBootstrap(request.Order.Operator); refused {
		return r
	}
	if _, ok := s.config.Upstreams[request.Order.Upstream]; !ok {
		return refuse(fault.NotFound, fault.NotRun, "the upstream does not exist")
	}
	knownKind := request.Order.Kind.IsLoad() || request.Order.Kind == OrderChangeRole || request.Order.Kind == OrderDrain
	if !knownKind || (request.Order.Name == "") != (request.Order.Kind == OrderDrain) || len(request.Order.Name) > 256 {
		return refuse(fault.BadRequest, fault.NotRun, "the order needs a known kind, and a name unless it is a drain")
	}
	if _, taken := s.orders[index]; taken {
		// The log index is the fencing number, so an entry holds one order at most.
		return refuse(fault.Internal, fault.NotRun, "the log entry holds another order")
	}
	pendingForUpstream := 0
	for _, p := range s.orders {
		if p.Order.Upstream == request.Order.Upstream {
			pendingForUpstream++
		}
	}
	if len(s.orders) >= MaxOrders || pendingForUpstream >= MaxOrdersPerUpstream {
		return refuse(fault.QueueFull, fault.NotRun, "too many orders wait to be sent")
	}
	s.orders[index] = PendingOrder{Fence: index, Order: request.Order, answerKey: key}
	return Result{Order: &OrderResult{Fence: index, Status: OrderPending}}
}

func (s *State) finishOrder(done *OrderDone) Result {
	order, ok := s.orders[done.Fence]
	if !ok {
		return refuse(fault.NotFound, fault.NotRun, "the order is not pending")
	}
	delete(s.orders, done.Fence)
	result := OrderResult{Fence: done.Fence, Status: done.Status, Message: done.Message}
	if len(result.Message) > maxMessageBytes {
		result.Message = result.Message[:maxMessageBytes]
	}
	if kept, ok := s.answers[order.answerKey]; ok && kept.Result.Order != nil && kept.Result.Order.Fence == done.Fence {
		kept.Result.Order = &result
		s.answers[order.answerKey] = kept
	}
	return Result{Order: &result}
}

// Orders returns the pending orders in order of fencing numbers.
func (s *State) Orders() []PendingOrder {
	out := make([]PendingOrder, 0, len(s.orders))
	for _, fence := range slices.Sorted(maps.Keys(s.orders)) {
		out = append(out, s.orders[fence])
	}
	return out
}
