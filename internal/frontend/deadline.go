package frontend

import (
	"strconv"
	"time"

	"marigoldshunt/internal/fault"
)

// deadline sets the call's deadline from X-Deadline-Ms, at most the contract's wait and
// run time.
func (s *Server) deadline(next handler) handler {
	return func(r *request) error {
		d := r.contract.MaxRun + r.contract.MaxWait
		if v := r.headerValue("X-Deadline-Ms"); v != "" {
			ms, err := strconv.ParseInt(v, 10, 64)
			if err != nil || ms <= 0 {
				return fault.New(fault.BadRequest, fault.NotRun, "X-Deadline-Ms must be a positive number of milliseconds")
			}
			if ms < d.Milliseconds() {
				d = time.Duration(ms) * time.Millisecond
			}
		}
		r.deadline = s.o.Now().Add(d)
		return next(r)
	}
}
