package gateway

import (
	"strconv"
	"time"

	"marigoldshunt/internal/rendezvous"
	"marigoldshunt/internal/wire"
)

// Trials of quarantined requests and prompt parts. A part whose requests broke at every crash, although
// it caused none, is answered by no request any more, so only a trial can disprove its marks.
const (
	// trialPause is the least time from the last crash of a part until it is tried.
	trialPause = 2 * time.Second
	// likelyTrialPause takes its place for a part that is the likely cause of its crashes, and for a
	// whole request: no other one needs the answer soon.
	likelyTrialPause = 10 * time.Second
	// trialGrowth is the ratio of the pause to the time between the first and the last crash of
	// both, so that the pauses grow with each trial that fails.
	trialGrowth = 3
	// trialWindow is how long one host may try a suspect before it is the turn of another one.
	trialWindow = 2 * time.Second
)

// suspect is a quarantined request, or a quarantined part of its prompt.
type suspect struct {
	fingerprint wire.Digest
	// part is the id of the part; whole is true for the request.
	part  uint64
	whole bool
	// marks are its crashes; there is at least one.
	marks []wire.CrashMark
	// likely is true if it is the likely cause of them.
	likely bool
}

// lastCrash returns the time of the last crash in Unix milliseconds.
func (s *suspect) lastCrash() (last int64) {
	for _, m := range s.marks {
		last = max(last, m.At)
	}
	return last
}

// trialDue returns when a request with this suspect may be tried. For a part it depends on the number
// of parts of the request that have crash marks: requests with fewer of them come first, since they
// crash upstreams less often and their answers tell more. A whole request is tried by none but its like.
func (s *suspect) trialDue(marked int) time.Time {
	first, last := s.marks[0].At, s.lastCrash()
	for _, m := range s.marks {
		first = min(first, m.At)
	}
	pause := trialPause
	if s.likely {
		pause = max(likelyTrialPause, trialGrowth*time.Duration(last-first)*time.Millisecond)
	}
	if !s.whole {
		pause *= time.Duration(marked)
	}
	return time.UnixMilli(last).Add(pause)
}

// trialTurn returns the host whose turn it is to try a suspect that has been due for some time. All
// hosts know the same crashes and find the same host, so that about one request at a time is tried
// in the whole fleet.
func (s *suspect) trialTurn(hosts rendezvous.Members, dueFor time.Duration) string {
	window := strconv.FormatInt(int64(dueFor/trialWindow), 10)
	return hosts.Best(rendezvous.Hash(string(s.fingerprint[:]), strconv.FormatInt(s.lastCrash(), 10), window))
}

// tryLocked reports whether a request with these suspects is tried now. If not, it returns when it may
// be tried, and the suspect for which it has to wait. marked is the number of its parts that have crash marks.
func (c *crashTracker) tryLocked(suspects []suspect, marked int) (trial bool, latest *suspect, due time.Time) {
	now := c.now()
	for i := range suspects {
		s := &suspects[i]
		if d := s.trialDue(marked); latest == nil || d.After(due) {
			latest, due = s, d
		}
		if until, tried := c.trials[s.fingerprint]; tried && now.Before(until) {
			return false, s, until
		}
	}
	if now.Before(due) {
		return false, latest, due
	}
	if latest.trialTurn(c.hosts, now.Sub(due)) != c.host {
		return false, latest, now.Add(trialWindow)
	}
	for fp, until := range c.trials {
		if !now.Before(until) {
			delete(c.trials, fp)
		}
	}
	for _, s := range suspects {
		c.trials[s.fingerprint] = now.Add(trialWindow)
	}
	return true, latest, due
}

// SetHosts sets the name of this host and the hosts that take turns in trying what is quarantined.
func (s *Server) SetHosts(host string, alive []string) {
	s.crashes.mu.Lock()
	defer s.crashes.mu.Unlock()
	s.crashes.host, s.crashes.hosts = host, rendezvous.NewMembers(host, alive)
}
