package dispatch

import "time"

// Hosts tell a gate once that a prompt was read and that a request ended, and such a message can be
// lost. What this file does ends the state that it leaves.

// admittedTimeout is the time without a confirmation after which an admitted request is dropped, in
// case its host has died or its messages were lost.
const admittedTimeout = 15 * time.Second

// ConfirmInterval is how often a host has to confirm its admitted requests with Adopt. Two
// confirmations fit into admittedTimeout.
const ConfirmInterval = 7 * time.Second

// unreadTimeout takes the place of admittedTimeout, and UnreadConfirmInterval that of
// ConfirmInterval, until the first event of a request to an engine. They are shorter because an unread prompt keeps
// others from the engine. Most prompts are read sooner than their first confirmation is due, so that
// short times cost few messages.
const (
	unreadTimeout         = 1500 * time.Millisecond
	UnreadConfirmInterval = 500 * time.Millisecond
)

// HasEngine reports whether the upstream of a gate with a number of slots and a memory is an engine.
func HasEngine(slots, memory int) bool { return slots > 0 || memory > 0 }

// Adopt adds a request that was admitted without this gate, or confirms one that still runs.
func (g *Gate) Adopt(r AdmissionRequest, read bool, now time.Time) {
	if known := g.running[r.ID]; known != nil {
		known.confirmedAt = now
		if read && known.reading {
			// The message about its first event was lost, so that when it came isn't known.
			g.finishReading(known, now)
		}
		return
	}
	// Its host may have sent a waiting request without the grant.
	g.stopWaiting(r.ID)
	g.admit(r, g.tokensToRead(r, now), now)
	if read {
		g.finishReading(g.running[r.ID], now)
	}
}

// overdueMargin is how late an engine may be without counting as late, as its speed is an estimate.
const overdueMargin = 100 * time.Millisecond

// overdue returns how much longer than estimated the engine has been reading the oldest prompt in
// progress. Without it, an engine that has stopped answering would look as if it had read everything.
// An upstream without an engine reads no prompts: its answers take their time.
func (g *Gate) overdue(now time.Time) time.Duration {
	if g.readingTokens == 0 || !HasEngine(g.slots, g.cache.maxTokens) {
		return 0
	}
	return max(now.Sub(g.oldestAt)-g.speed.readTime(g.readingTokens)-overdueMargin, 0)
}

// findOldest sets oldestAt after a prompt has been read.
func (g *Gate) findOldest() {
	first := true
	for _, r := range g.running {
		if r.reading && (first || r.at.Before(g.oldestAt)) {
			g.oldestAt, first = r.at, false
		}
	}
}

// Forget drops all requests, admitted and waiting. It is for a gate that belongs to another host from
// now on: this one isn't told of their ends any more.
func (g *Gate) Forget() {
	clear(g.running)
	g.readingTokens, g.waiting, g.restart = 0, nil, restartWatch{}
}

// LostRequest is an admitted request that a gate has dropped. Reading is true if its first event
// was still waited for.
type LostRequest struct {
	Host    string
	Tokens  int
	Reading bool
}

// timeout is the time without a confirmation after which a request is dropped.
func (g *Gate) timeout(r *admittedRequest) time.Duration {
	if r.reading && HasEngine(g.slots, g.cache.maxTokens) {
		return unreadTimeout
	}
	return admittedTimeout
}

// DropLost drops admitted requests that were not confirmed in time, and returns them.
func (g *Gate) DropLost(now time.Time) (dropped []LostRequest) {
	for id, r := range g.running {
		if now.Sub(r.confirmedAt) > g.timeout(r) {
			dropped = append(dropped, LostRequest{Host: id.Host, Tokens: r.tokens, Reading: r.reading})
			g.Done(id, now)
		}
	}
	return dropped
}
