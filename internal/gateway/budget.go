package gateway

import "sync/atomic"

// budget bounds a sum over all requests of the host, in bytes.
type budget struct {
	limit int64 // 0 for none
	used  atomic.Int64
}

// reservation is what one request holds of a budget.
type reservation struct {
	budget *budget
	held   int64
}

// growTo returns false, and holds no more than before, if the budget has no room for size bytes
// in place of those that are held.
func (r *reservation) growTo(size int64) bool {
	if size <= r.held {
		return true
	}
	if r.budget.used.Add(size-r.held) > r.budget.limit && r.budget.limit > 0 {
		r.budget.used.Add(r.held - size)
		return false
	}
	r.held = size
	return true
}

// release may be called more than once.
func (r *reservation) release() {
	r.budget.used.Add(-r.held)
	r.held = 0
}
