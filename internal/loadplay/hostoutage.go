package loadplay

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"marigoldshunt/internal/dispatch"
)

const (
	// returnSpread is the time over which callers come back once a host is up.
	returnSpread = 100 * time.Millisecond
	// recoveryTime is how long after an outage new streams are compared with resumed ones.
	recoveryTime = time.Second
)

// versionOf returns the software version of an engine.
func (l *Load) versionOf(engine int) string { return fmt.Sprintf("v%d", engine%max(l.Versions, 1)) }

// applyHostOutages takes hosts down and brings them back up, without what they knew.
func (s *Simulation) applyHostOutages() {
	since := s.now.Sub(simStart)
	for i := range s.load.HostOutages {
		switch o := &s.load.HostOutages[i]; {
		case since == o.At.Round(tick):
			s.hostsDown, s.hostsBackAt = o.hostCount(s.load), simStart.Add(o.returnsAt())
			s.loseHosts(i)
		case since == o.returnsAt().Round(tick):
			if s.hostsDown == s.load.Hosts {
				s.policy = s.newPolicy(s)
				s.policy.SetEngines(s.known, s.now)
			}
			s.hostsDown = 0
		}
	}
}

// loseHosts ends the attempts at the hosts that are down. Callers come back once a host is up.
func (s *Simulation) loseHosts(outage int) {
	lost := slices.SortedFunc(maps.Values(s.attempts), func(a, b *Attempt) int { return cmp.Compare(a.ID, b.ID) })
	lost = slices.DeleteFunc(lost, func(a *Attempt) bool { return a.Host >= s.hostsDown })
	for _, a := range lost {
		s.abandon(a)
		if a.Retries >= a.Kind.MaxRetries || !s.upAgainAt().Before(a.At.Add(a.Kind.CallerTimeout)) {
			s.result.recordFailed(a, s.now)
			continue
		}
		next := &Attempt{Request: a.Request, Host: a.Host, Retries: a.Retries + 1, Origin: a.Origin, outage: outage}
		if !a.firstEventAt.IsZero() {
			next.Origin = &dispatch.Origin{Service: engineService, Version: s.load.versionOf(a.engine)}
		}
		if next.Origin != nil {
			s.result.HostOutages[outage].Resumed.Asked++
		}
		s.retryElsewhere(next)
	}
}

// abandon ends an attempt whose host is lost.
func (s *Simulation) abandon(a *Attempt) {
	a.ended = true
	delete(s.attempts, a.ID)
	if a.sent {
		s.engines[a.engine].Remove(a.ID, s.now)
	}
	s.policy.Done(a, dispatch.Cancelled, s.now)
}

// upAgainAt returns when callers of a host that is down find one that is up.
func (s *Simulation) upAgainAt() time.Time {
	if s.hostsDown < s.load.Hosts {
		return s.now
	}
	return s.hostsBackAt
}

// retryElsewhere starts an attempt whose host is down at one that is up, or when the hosts are back.
func (s *Simulation) retryElsewhere(a *Attempt) {
	if up := s.load.Hosts - s.hostsDown; up > 0 {
		a.Host = s.hostsDown + int(a.ID)%up
	}
	spread := time.Duration(a.ID%uint64(returnSpread/tick)) * tick
	s.retrying = append(s.retrying, scheduledAttempt{a, s.upAgainAt().Add(spread)})
}

// HostOutageResult compares, after an outage of hosts, the streams that callers resumed with the new
// ones that arrived within recoveryTime once a host was up.
type HostOutageResult struct{ Resumed, New StreamTally }

// StreamTally counts streams, and those of which an event came.
type StreamTally struct{ Asked, Begun int }

// Share returns the fraction of the streams of which an event came.
func (t *StreamTally) Share() float64 { return float64(t.Begun) / float64(max(t.Asked, 1)) }

// recordBegin records the first event of an attempt.
func (r *Result) recordBegin(a *Attempt) {
	if a.Origin != nil {
		r.HostOutages[a.outage].Resumed.Begun++
	} else if o := r.outageBefore(a.Request); o != nil {
		o.New.Begun++
	}
}

// outageBefore returns the outage after which, and within recoveryTime, a request arrived, nil if there is none.
func (r *Result) outageBefore(q *Request) *HostOutageResult {
	for i := range r.load.HostOutages {
		since := q.At.Sub(simStart.Add(r.load.HostOutages[i].upAgainAt(r.load)))
		if since >= 0 && since < recoveryTime {
			return &r.HostOutages[i]
		}
	}
	return nil
}
