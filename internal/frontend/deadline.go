package frontend

import (
	"strconv"
	"time"

	"marigoldshunt/internal/fault"
)

// setDeadline sets the deadline of the call from X-Deadline-Ms. It is limited to the sum of
// the contract's wait and run time.
func (s *Server) setDeadline(next handler) handler {
	return func(r *request) error {
		d := r.contract.MaxRun + r.contract.MaxWait
		if v := r.header("X-Deadline-Ms"); v != "" {
			ms, err := strconv.ParseInt(v, 10, 64)
			if err != nil || ms <= 0 {
				return fault.New(fault.BadRequest, fault.NotRun, "X-Deadline-Ms must be a positive number of milliseconds")
			}
			if ms < d.Milliseconds() {
				d = time.Duration(ms) * time.Millisecond
			}
		}
		r.deadline = s.opts.Now().Add(d)
		return next(r)
	}
}
