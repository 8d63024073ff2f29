package gateway

import (
	"strconv"
	"time"

	"marigoldshunt/internal/rendezvous"
	"marigoldshunt/internal/wire"
)

// Trials of quarantined prompt parts. A part whose requests broke at every crash, although it caused
// none, is answered by no request any more, so only a trial can disprove its marks.
const (
	// trialPause is the least time from the last crash of a part until it is tried.
	trialPause = 2 * time.Second
	// likelyTrialPause takes its place for a part that is the likely cause of its crashes.
	likelyTrialPause = 10 * time.Second
	// trialGrowth is the ratio of the pause to the time between the first and the last crash of a
	// part, so that the pauses grow with each trial that fails.
	trialGrowth = 3
	// trialWindow is how long one host may try a part before it is the turn of another one.
	trialWindow = 2 * time.Second
)

// suspectPart is a quarantined part of a request.
type suspectPart struct {
	fingerprint wire.Digest
	// marks are its crashes; there is at least one.
	marks []wire.CrashMark
	// likely is true if it is the likely cause of them.
	likely bool
}

// lastCrash returns the time of the last crash in Unix milliseconds.
func (p *suspectPart) lastCrash() (last int64) {
	for _, m := range p.marks {
		last = max(last, m.At)
	}
	return last
}

// trialDue returns when a request with this part may be tried, by the number of its parts that have
// crash marks. Requests with fewer of them come first: they crash upstreams less often, and their
// answers tell more.
func (p *suspectPart) trialDue(marked int) time.Time {
	first, last := p.marks[0].At, p.lastCrash()
	for _, m := range p.marks {
		first = min(first, m.At)
	}
	pause := trialPause
	if p.likely {
		pause = max(likelyTrialPause, trialGrowth*time.Duration(last-first)*time.Millisecond)
	}
	return time.UnixMilli(last).Add(pause * time.Duration(marked))
}

// trialTurn returns the host whose turn it is to try a part that has been due for some time. All
// hosts know the same crashes and find the same host, so that about one request at a time is tried
// in the whole fleet.
func (p *suspectPart) trialTurn(hosts rendezvous.Members, dueFor time.Duration) string {
	window := strconv.FormatInt(int64(dueFor/trialWindow), 10)
	return hosts.Best(rendezvous.Hash(string(p.fingerprint[:]), strconv.FormatInt(p.lastCrash(), 10), window))
}

// tryLocked reports whether a request with these quarantined parts is tried now, and when it may be
// tried otherwise. marked is the number of its parts that have crash marks.
func (c *crashTracker) tryLocked(suspects []suspectPart, marked int) (trial bool, due time.Time) {
	now := c.now()
	latest := &suspects[0]
	for i := range suspects {
		if !now.Before(suspects[i].trialDue(marked)) { // otherwise it makes no difference
			suspects[i].likely = c.evidenceLocked().likelyCause(suspects[i].fingerprint)
		}
		if d := suspects[i].trialDue(marked); d.After(due) {
			latest, due = &suspects[i], d
		}
		if until, tried := c.trials[suspects[i].fingerprint]; tried && now.Before(until) {
			return false, until
		}
	}
	if now.Before(due) {
		return false, due
	}
	if latest.trialTurn(c.hosts, now.Sub(due)) != c.host {
		return false, now.Add(trialWindow)
	}
	for fp, until := range c.trials {
		if !now.Before(until) {
			delete(c.trials, fp)
		}
	}
	for _, p := range suspects {
		c.trials[p.fingerprint] = now.Add(trialWindow)
	}
	return true, due
}

// SetHosts sets the name of this host and the hosts that take turns in trying quarantined parts.
func (s *Server) SetHosts(host string, alive []string) {
	s.crashes.mu.Lock()
	defer s.crashes.mu.Unlock()
	s.crashes.host, s.crashes.hosts = host, rendezvous.NewMembers(host, alive)
}
