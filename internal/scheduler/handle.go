package scheduler

import (
	"time"

	"marigoldshunt/internal/wire"
)

// message is a peer message as it arrived.
type message struct {
	from    string
	boot    uint64
	kind    wire.Kind
	payload []byte
	at      time.Duration
}

// Handle takes a message from a router. Messages that cannot be decoded, that name
// another pool or that speak for another host are counted and ignored.
func (s *Scheduler) Handle(from string, boot uint64, kind wire.Kind, payload []byte) {
	s.mu.Lock()
	now := s.o.Clock.Now()
	m := message{from: from, boot: boot, kind: kind, payload: payload, at: now}
	if s.term == nil || s.term.pool == nil {
		s.keepEarly(m)
		s.mu.Unlock()
		return
	}
	out := s.pump(s.apply(now, m, nil))
	s.mu.Unlock()
	s.send(out)
}

// keepEarly keeps a message for a term that begins soon.
func (s *Scheduler) keepEarly(m message) {
	if len(s.early) >= maxEarly {
		s.early = s.early[1:]
		s.counters.EarlyLost++
	}
	m.payload = append([]byte(nil), m.payload...)
	s.early = append(s.early, m)
}

// apply changes the core by one message.
func (s *Scheduler) apply(now time.Duration, m message, out []outgoing) []outgoing {
	r := s.router(now, m)
	if r == nil {
		return out
	}
	ok := true
	switch m.kind {
	case wire.KindTicket:
		out, ok = s.ticket(now, m, r, out)
	case wire.KindCancel:
		var c wire.Cancel
		if ok = s.decode(m, &c) && c.Pool == s.o.Pool && mine(m, c.ID); ok {
			s.term.pool.Cancel(now, c.ID)
		}
	case wire.KindFinish:
		var f wire.Finish
		if ok = s.decode(m, &f) && f.Pool == s.o.Pool && mine(m, f.ID); ok {
			s.effects(s.term.pool.Finish(now, &f))
		}
	case wire.KindGrantReturn:
		var g wire.GrantReturn
		ok = s.decode(m, &g) && g.Pool == s.o.Pool && mine(m, g.ID)
		// A return of an earlier term's grant says nothing about a grant of this term.
		if ok && g.Fence == s.term.fence {
			s.term.pool.Return(now, g.ID)
		}
	case wire.KindBeat:
		var b wire.Beat
		if ok = s.decode(m, &b) && b.Pool == s.o.Pool; ok {
			r.clock = max(r.clock, b.RouterClock)
		}
	case wire.KindSync:
		var y wire.Sync
		if ok = s.decode(m, &y) && y.Pool == s.o.Pool; ok {
			r.clock = max(r.clock, y.RouterClock)
			r.synced = true
			s.term.pool.Sync(now, m.from, m.boot, &y)
		}
	default:
		ok = false
	}
	if !ok {
		s.counters.Invalid++
		return out
	}
	out = s.expire(now, out)
	return s.askSync(now, m.from, r, out)
}

func (s *Scheduler) ticket(now time.Duration, m message, r *router, out []outgoing) ([]outgoing, bool) {
	var t wire.Ticket
	if !s.decode(m, &t) || t.Pool != s.o.Pool || !mine(m, t.ID) {
		return out, false
	}
	r.clock = max(r.clock, t.RouterClock)
	if refuse := s.term.pool.Submit(now, &t); refuse != nil {
		s.counters.Refused++
		out = append(out, outgoing{m.from, wire.KindRefuse, refuse})
	}
	return out, true
}

// router returns the sender's entry, nil for a message of an earlier boot. A new boot
// means that the router restarted with empty memory.
func (s *Scheduler) router(now time.Duration, m message) *router {
	r := s.term.routers[m.from]
	switch {
	case r == nil:
		r = &router{boot: m.boot, asked: now - askInterval}
		s.term.routers[m.from] = r
	case m.boot < r.boot:
		return nil
	case m.boot > r.boot:
		s.term.pool.DropRouter(now, m.from, r.boot)
		*r = router{boot: m.boot, asked: now - askInterval}
	}
	r.seen = now
	return r
}

// askSync asks a router for its Sync. A router that was silent for so long that it was
// dropped does not know that its tickets are gone here. During the window the live hosts
// have been asked already.
func (s *Scheduler) askSync(now time.Duration, name string, r *router, out []outgoing) []outgoing {
	if r.synced || !s.term.granting || now-r.asked < askInterval {
		return out
	}
	r.asked = now
	return append(out, s.syncRequest(name))
}

func (s *Scheduler) syncRequest(host string) outgoing {
	return outgoing{host, wire.KindSyncRequest, &wire.SyncRequest{Pool: s.o.Pool, Fence: s.term.fence}}
}

// askLive asks every live host once per term and boot for its Sync, so that the window
// does not depend on when the routers hear of the lease. Hosts that become known later
// are asked then.
func (s *Scheduler) askLive(out []outgoing) []outgoing {
	t := s.term
	if t == nil {
		return out
	}
	for _, h := range s.hosts {
		if boot, asked := t.asked[h.Host]; h.Alive && (!asked || boot < h.Boot) {
			t.asked[h.Host] = h.Boot
			out = append(out, s.syncRequest(h.Host))
		}
	}
	return out
}

func (s *Scheduler) decode(m message, v any) bool { return wire.Unmarshal(m.payload, v) == nil }

// mine reports whether the id belongs to the sender.
func mine(m message, id wire.TicketID) bool { return id.Host == m.from && id.Boot == m.boot }
