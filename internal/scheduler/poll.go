package scheduler

import (
	"context"
	"time"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/sched"
)

// pollState is the state of the polls of one upstream.
type pollState struct {
	due      time.Duration
	inFlight bool
	// lastCacheEvent is the sequence number of the last cache event.
	lastCacheEvent uint64
}

// pollJob is one poll of one upstream in one lease term.
type pollJob struct {
	fence       uint64
	upstream    string
	address     string
	cacheEvents bool
	since       uint64
}

// startPolls passes the due polls to the workers. When all workers are busy, the
// remaining polls stay due for the next tick.
func (s *Scheduler) startPolls(now time.Duration) {
	t := s.term
	if t.core == nil {
		return
	}
	for name := range t.polls {
		if u, ok := s.cfg.Upstreams[name]; !ok || u.Pool != s.opts.Pool {
			delete(t.polls, name)
		}
	}
	cacheEvents := s.cfg.Pools[s.opts.Pool].Kind == config.KindModel
	for name, u := range s.cfg.Upstreams {
		if u.Pool != s.opts.Pool || u.Out || s.cfg.DataCentres[u.DataCentre].Out {
			continue
		}
		p := t.polls[name]
		if p == nil {
			p = &pollState{due: now}
			t.polls[name] = p
		}
		if p.inFlight || now < p.due {
			continue
		}
		select {
		case s.pollJobs <- pollJob{t.fence, name, u.Address, cacheEvents, p.lastCacheEvent}:
			p.inFlight = true
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
		case j := <-s.pollJobs:
			s.poll(ctx, j)
		}
	}
}

// poll asks one upstream for its load and its cache events and applies the answers.
func (s *Scheduler) poll(ctx context.Context, j pollJob) {
	ctx, cancel := context.WithTimeout(ctx, PollTimeout)
	defer cancel()
	sent := s.opts.Clock.Now()
	load, err := s.opts.Load.FetchLoad(ctx, j.address)
	var batch CacheBatch
	var cacheErr error
	if err == nil {
		s.applyLoad(j, sent, load)
		if j.cacheEvents {
			batch, cacheErr = s.opts.Load.CacheEvents(ctx, j.address, j.since)
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
	p.inFlight = false
	if err != nil || cacheErr != nil {
		return
	}
	now := s.opts.Clock.Now()
	for _, e := range batch.Events {
		t.core.ApplyCacheEvent(now, j.upstream, e.Seq, e.Added, e.Removed)
		p.lastCacheEvent = e.Seq
	}
}

func (s *Scheduler) applyLoad(j pollJob, sent time.Duration, load LoadReport) {
	s.mu.Lock()
	t := s.term
	if t == nil || t.fence != j.fence || t.core == nil {
		s.mu.Unlock()
		return
	}
	now := s.opts.Clock.Now()
	s.queueCrashMarks(t.core.ApplyLoadReport(now, sched.LoadReport{
		Upstream: j.upstream, Instance: load.Instance,
		Running: load.Running, Queued: load.Queued, SampledAt: sent - max(load.Age, 0),
	}))
	s.counters.Polls++
	out := s.collectGrants(s.expireTickets(now, nil))
	s.mu.Unlock()
	s.send(out)
}
