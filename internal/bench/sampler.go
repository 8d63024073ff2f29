package bench

import (
	"time"

	"marigoldshunt/internal/sched"
)

// sampleInterval is the time between two samples of a pool.
const sampleInterval = 20 * time.Millisecond

// source gives the accounts, waiting requests and limit of one moment; ok is false while
// there is no scheduler.
type source func() (s sample, ok bool)

// sampler takes samples until stop.
type sampler struct {
	quit chan struct{}
	done chan []sample
}

func startSampler(read source) *sampler {
	s := &sampler{quit: make(chan struct{}), done: make(chan []sample, 1)}
	go func() {
		t := time.NewTicker(sampleInterval)
		defer t.Stop()
		begin := time.Now()
		var list []sample
		for {
			select {
			case <-s.quit:
				s.done <- list
				return
			case <-t.C:
			}
			if one, ok := read(); ok {
				one.At = time.Since(begin)
				list = append(list, one)
			}
		}
	}()
	return s
}

func (s *sampler) stop() []sample {
	close(s.quit)
	return <-s.done
}

// schedulerSource samples the scheduler of a pool.
func (f *fleet) schedulerSource(pool string) source {
	h := f.holder(pool)
	index := map[string]int{}
	for i, c := range f.accounts() {
		index[c.Account] = i
	}
	return func() (sample, bool) {
		if h == nil {
			h = f.holder(pool)
			return sample{}, false
		}
		core := h.core(pool)
		if core == nil {
			h = nil
			return sample{}, false
		}
		s := sample{Busy: f.busy(pool), Waiting: core.Waiting, Accounts: make([]accountSample, len(index))}
		for _, u := range core.Upstreams {
			if u.State != sched.StateOut {
				s.Limit += u.Limit
			}
		}
		for _, a := range core.Accounts {
			if i, ok := index[a.Account]; ok {
				s.Accounts[i] = accountSample{a.Service / a.Weight, a.Waiting > 0 && !a.Blocked, a.Bound}
			}
		}
		return s, true
	}
}

// core returns the state of a pool that the host schedules, or nil.
func (h *host) core(pool string) *sched.Status {
	for _, s := range h.daemon.Schedulers() {
		if s.Pool == pool && s.Held {
			return s.Core
		}
	}
	return nil
}
