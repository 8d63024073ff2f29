package scheduler

import (
	"context"
	"time"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/sched"
)

// pollState is the polling of one upstream.
type pollState struct {
	due     time.Duration
	running bool
	// since is the sequence number of the last cache event.
	since uint64
}

// pollJob is one poll of one upstream for one term.
type pollJob struct {
	fence    uint64
	upstream string
	address  string
	cache    bool
	since    uint64
}

// startPolls hands the due polls to the workers. When all workers are busy, the rest
// stays due for the next tick.
func (s *Scheduler) startPolls(now time.Duration) {
	t := s.term
	if t.pool == nil {
		return
	}
	for name := range t.polls {
		if u, ok := s.cfg.Upstreams[name]; !ok || u.Pool != s.o.Pool {
			delete(t.polls, name)
		}
	}
	cache := s.cfg.Pools[s.o.Pool].Kind == config.KindModel
	for name, u := range s.cfg.Upstreams {
		if u.Pool != s.o.Pool || u.Out || s.cfg.DataCentres[u.DataCentre].Out {
			continue
		}
		p := t.polls[name]
		if p == nil {
			p = &pollState{due: now}
			t.polls[name] = p
		}
		if p.running || now < p.due {
			continue
		}
		select {
		case s.jobs <- pollJob{t.fence, name, u.Address, cache, p.since}:
			p.running = true
			p.due = now + PollInterval
		default:
			return
		}
	}
}

func (s *Scheduler) pollWorker(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case j := <-s.jobs:
			s.poll(ctx, j)
		}
	}
}

// poll asks one upstream and applies the answers.
func (s *Scheduler) poll(ctx context.Context, j pollJob) {
	ctx, cancel := context.WithTimeout(ctx, PollTimeout)
	defer cancel()
	sent := s.o.Clock.Now()
	load, err := s.o.Load.Load(ctx, j.address)
	var batch CacheBatch
	var cacheErr error
	if err == nil {
		s.applyLoad(j, sent, load)
		if j.cache {
			batch, cacheErr = s.o.Load.CacheEvents(ctx, j.address, j.since)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || cacheErr != nil {
		s.counters.PollsFailed++
	}
	t := s.term
	if t == nil || t.fence != j.fence || t.polls[j.upstream] == nil {
		return
	}
	p := t.polls[j.upstream]
	p.running = false
	if err != nil || cacheErr != nil {
		return
	}
	now := s.o.Clock.Now()
	for _, e := range batch.Events {
		t.pool.CacheEvent(now, j.upstream, e.Seq, e.Added, e.Removed)
		p.since = e.Seq
	}
}

func (s *Scheduler) applyLoad(j pollJob, sent time.Duration, load LoadReport) {
	s.mu.Lock()
	t := s.term
	if t == nil || t.fence != j.fence || t.pool == nil {
		s.mu.Unlock()
		return
	}
	now := s.o.Clock.Now()
	s.effects(t.pool.Report(now, sched.LoadReport{
		Upstream: j.upstream, Instance: load.Instance,
		Running: load.Running, Queued: load.Queued, At: sent - max(load.Age, 0),
	}))
	s.counters.Polls++
	out := s.pump(s.expire(now, nil))
	s.mu.Unlock()
	s.send(out)
}
