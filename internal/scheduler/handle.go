package scheduler

import (
	"time"

	"marigoldshunt/internal/wire"
)

// message is a message from a peer, not yet decoded.
type message struct {
	from       string
	boot       uint64
	kind       wire.Kind
	payload    []byte
	receivedAt time.Duration
}

// Handle processes a message from a router. Messages that cannot be decoded, name
// another pool or act for another host are counted and ignored.
func (s *Scheduler) Handle(from string, boot uint64, kind wire.Kind, payload []byte) {
	s.mu.Lock()
	now := s.opts.Clock.Now()
	m := message{from: from, boot: boot, kind: kind, payload: payload, receivedAt: now}
	if s.term == nil || s.term.core == nil {
		s.keepEarlyMessage(m)
		s.mu.Unlock()
		return
	}
	out := s.collectGrants(s.applyMessage(now, m, nil))
	s.mu.Unlock()
	s.send(out)
}

// keepEarlyMessage stores a message for a lease term that may begin soon.
func (s *Scheduler) keepEarlyMessage(m message) {
	if len(s.earlyMessages) >= maxEarlyMessages {
		s.earlyMessages = s.earlyMessages[1:]
		s.counters.EarlyLost++
	}
	m.payload = append([]byte(nil), m.payload...)
	s.earlyMessages = append(s.earlyMessages, m)
}

// applyMessage applies one message to the core and appends the messages to send.
func (s *Scheduler) applyMessage(now time.Duration, m message, out []outgoing) []outgoing {
	r := s.senderState(now, m)
	if r == nil {
		return out
	}
	ok := true
	switch m.kind {
	case wire.KindTicket:
		out, ok = s.submitTicket(now, m, r, out)
	case wire.KindCancel:
		var c wire.Cancel
		if ok = s.decode(m, &c) && c.Pool == s.opts.Pool && sentByOwner(m, c.ID); ok {
			s.term.core.Cancel(now, c.ID)
		}
	case wire.KindFinish:
		var f wire.Finish
		if ok = s.decode(m, &f) && f.Pool == s.opts.Pool && sentByOwner(m, f.ID); ok {
			s.queueCrashMarks(s.term.core.Finish(now, &f))
		}
	case wire.KindGrantReturn:
		var g wire.GrantReturn
		ok = s.decode(m, &g) && g.Pool == s.opts.Pool && sentByOwner(m, g.ID)
		// The return of an earlier term's grant does not affect a grant of this term.
		if ok && g.Fence == s.term.fence {
			s.term.core.Return(now, g.ID)
		}
	case wire.KindRouterHeartbeat:
		var b wire.RouterHeartbeat
		if ok = s.decode(m, &b) && b.Pool == s.opts.Pool; ok {
			r.latestClock = max(r.latestClock, b.RouterClock)
		}
	case wire.KindSync:
		var y wire.Sync
		if ok = s.decode(m, &y) && y.Pool == s.opts.Pool; ok {
			r.latestClock = max(r.latestClock, y.RouterClock)
			r.synced = true
			s.term.core.Sync(now, m.from, m.boot, &y)
		}
	default:
		ok = false
	}
	if !ok {
		s.counters.Invalid++
		return out
	}
	out = s.expireTickets(now, out)
	return s.requestSync(now, m.from, r, out)
}

func (s *Scheduler) submitTicket(now time.Duration, m message, r *routerState, out []outgoing) ([]outgoing, bool) {
	var t wire.Ticket
	if !s.decode(m, &t) || t.Pool != s.opts.Pool || !sentByOwner(m, t.ID) {
		return out, false
	}
	r.latestClock = max(r.latestClock, t.RouterClock)
	if refusal := s.term.core.Submit(now, &t); refusal != nil {
		s.counters.Refused++
		out = append(out, outgoing{m.from, wire.KindRefusal, refusal})
	}
	return out, true
}

// senderState returns the state of the message's sender, or nil if the message is from
// an earlier boot. A new boot means that the router restarted without its state.
func (s *Scheduler) senderState(now time.Duration, m message) *routerState {
	r := s.term.routers[m.from]
	switch {
	case r == nil:
		r = &routerState{boot: m.boot, syncRequestedAt: now - syncRequestInterval}
		s.term.routers[m.from] = r
	case m.boot < r.boot:
		return nil
	case m.boot > r.boot:
		s.term.core.DropRouter(now, m.from, r.boot)
		*r = routerState{boot: m.boot, syncRequestedAt: now - syncRequestInterval}
	}
	r.lastSeen = now
	return r
}

// requestSync asks a router for its Sync. A router that was dropped after a long silence
// does not know that the scheduler has dropped its tickets. During the sync window the
// live hosts have already been asked.
func (s *Scheduler) requestSync(now time.Duration, name string, r *routerState, out []outgoing) []outgoing {
	if r.synced || !s.term.granting || now-r.syncRequestedAt < syncRequestInterval {
		return out
	}
	r.syncRequestedAt = now
	return append(out, s.syncRequestTo(name))
}

func (s *Scheduler) syncRequestTo(host string) outgoing {
	return outgoing{host, wire.KindSyncRequest, &wire.SyncRequest{Pool: s.opts.Pool, Fence: s.term.fence}}
}

// requestLiveSyncs asks every live host for its Sync, once per term and boot, so that the
// sync window does not depend on when the routers learn of the lease. Hosts that become
// known later are asked then.
func (s *Scheduler) requestLiveSyncs(out []outgoing) []outgoing {
	t := s.term
	if t == nil {
		return out
	}
	for _, h := range s.hosts {
		if boot, asked := t.syncRequested[h.Host]; h.Alive && (!asked || boot < h.Boot) {
			t.syncRequested[h.Host] = h.Boot
			out = append(out, s.syncRequestTo(h.Host))
		}
	}
	return out
}

func (s *Scheduler) decode(m message, v any) bool { return wire.Unmarshal(m.payload, v) == nil }

// sentByOwner reports whether the sender of the message owns the ticket.
func sentByOwner(m message, id wire.TicketID) bool { return id.Host == m.from && id.Boot == m.boot }
