package scheduler

import (
	"sort"
	"time"

	"marigoldshunt/internal/sched"
)

// Counters counts events since the start of the process.
type Counters struct {
	Granted        uint64 `json:"granted"`
	Refused        uint64 `json:"refused"`
	Invalid        uint64 `json:"invalid"`
	EarlyLost      uint64 `json:"early_lost"`
	RoutersDropped uint64 `json:"routers_dropped"`
	Polls          uint64 `json:"polls"`
	PollsFailed    uint64 `json:"polls_failed"`
	SendFailed     uint64 `json:"send_failed"`
	// MarksLost counts crash marks that were not written because the queue was full.
	MarksLost uint64 `json:"marks_lost"`
}

// RouterStatus describes one router as the scheduler sees it.
type RouterStatus struct {
	Host   string        `json:"host"`
	Boot   uint64        `json:"boot"`
	Synced bool          `json:"synced"`
	Silent time.Duration `json:"silent"`
}

// Status describes the scheduler for the admin interface.
type Status struct {
	Pool string `json:"pool"`
	// Held is true while this host holds the pool's lease.
	Held  bool   `json:"held"`
	Fence uint64 `json:"fence"`
	// Granting is false while the sync window is open.
	Granting bool           `json:"granting"`
	Routers  []RouterStatus `json:"routers"`
	// Core is nil without a lease.
	Core     *sched.Status `json:"core"`
	Counters Counters      `json:"counters"`
}

// Status returns the present state. Routers are sorted by host.
func (s *Scheduler) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	st := Status{Pool: s.opts.Pool, Counters: s.counters}
	t := s.term
	if t == nil {
		return st
	}
	fence, until, ok := s.opts.Lease.HeldUntil(s.opts.Pool)
	st.Fence, st.Granting = t.fence, t.granting
	st.Held = ok && fence == t.fence && now < until
	for name, r := range t.routers {
		st.Routers = append(st.Routers, RouterStatus{name, r.boot, r.synced, now - r.lastSeen})
	}
	sort.Slice(st.Routers, func(i, j int) bool { return st.Routers[i].Host < st.Routers[j].Host })
	if t.core != nil {
		core := t.core.Status(now)
		st.Core = &core
	}
	return st
}
