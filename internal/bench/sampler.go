package bench

import (
	"time"

	"marigoldshunt/internal/sched"
)

// sampleInterval is the time between two samples of a pool.
const sampleInterval = 20 * time.Millisecond

// sampleSource takes one sample; the time is set by the caller. ok is false while no
// scheduler can be read.
type sampleSource func() (s sample, ok bool)

// sampler takes samples until stop is called.
type sampler struct {
	stopping chan struct{}
	done     chan []sample
}

func startSampler(read sampleSource) *sampler {
	s := &sampler{stopping: make(chan struct{}), done: make(chan []sample, 1)}
	go func() {
		t := time.NewTicker(sampleInterval)
		defer t.Stop()
		begin := time.Now()
		var list []sample
		for {
			select {
			case <-s.stopping:
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
	close(s.stopping)
	return <-s.done
}

// schedulerSampleSource samples the scheduler of a pool.
func (f *fleet) schedulerSampleSource(pool string) sampleSource {
	h := f.schedulerHost(pool)
	index := map[string]int{}
	for i, c := range f.accounts() {
		index[c.Account] = i
	}
	return func() (sample, bool) {
		if h == nil {
			h = f.schedulerHost(pool)
			return sample{}, false
		}
		status := h.poolStatus(pool)
		if status == nil {
			h = nil
			return sample{}, false
		}
		s := sample{BusyTime: f.busyTime(pool), Waiting: status.Waiting, Accounts: make([]accountSample, len(index))}
		for _, u := range status.Upstreams {
			if u.State != sched.UpstreamOut {
				s.Limit += u.Limit
			}
		}
		for _, a := range status.Accounts {
			if i, ok := index[a.Account]; ok {
				s.Accounts[i] = accountSample{a.Service / a.Weight, a.Waiting > 0 && !a.Blocked, a.Bound}
			}
		}
		return s, true
	}
}

// poolStatus returns the status of a pool that the host schedules, or nil.
func (h *host) poolStatus(pool string) *sched.Status {
	for _, s := range h.daemon.Schedulers() {
		if s.Pool == pool && s.Held {
			return s.Core
		}
	}
	return nil
}
