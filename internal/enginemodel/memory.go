package enginemodel

import "time"

// maxCacheEvents is the number of cache events that are remembered.
const maxCacheEvents = 1_024

// CacheEvent is a change of what an engine keeps.
type CacheEvent struct {
	// Number counts the changes; gaps are lost events.
	Number int
	Kept   bool
	Part   Part
	at     time.Time
}

// memory is shared by running requests and kept prompt parts.
type memory struct {
	o Options
	// held is what running requests hold of their own, kept the size of all parts.
	held, kept int
	parts      map[uint64]*keptPart
	// seen are the parts that were ever kept.
	seen   map[uint64]bool
	events []CacheEvent
	number int
}

type keptPart struct {
	Part
	users int
	last  time.Time
}

// missing is what an engine has to read of a prompt.
type missing struct{ tokens, again int }

func newMemory(o Options) memory {
	return memory{o: o, parts: map[uint64]*keptPart{}, seen: map[uint64]bool{}}
}

// take reserves the memory of a request that begins to run. It returns false when even
// without unused parts there is no room.
func (m *memory) take(r *run, now time.Time) (missing, bool) {
	var miss missing
	shared := r.Parts[:max(len(r.Parts)-1, 0)]
	needed, found := r.made, true
	for i, p := range r.Parts {
		k := m.parts[p.ID]
		if found = found && i < len(shared) && k != nil; found {
			k.last = now
			k.users++
			continue
		}
		miss.tokens += p.Tokens
		if m.seen[p.ID] && i < len(shared) {
			miss.again += p.Tokens
		}
		if i >= len(shared) || k == nil {
			needed += p.Tokens
		} else {
			// It is kept but not usable without the parts before it, and is read again in place.
			k.last = now
			k.users++
		}
	}
	if !m.evictFor(needed) {
		for _, p := range shared {
			if k := m.parts[p.ID]; k != nil {
				k.users--
			}
		}
		return missing{}, false
	}
	for _, p := range shared {
		if m.parts[p.ID] == nil {
			m.add(p, now).users++
		}
	}
	if len(r.Parts) > 0 {
		r.held = r.Parts[len(r.Parts)-1].Tokens
	}
	r.held += r.made
	m.held += r.held
	return miss, true
}

// grow takes the memory of one more token.
func (m *memory) grow(r *run, now time.Time) bool {
	if !m.evictFor(1) {
		return false
	}
	r.held++
	m.held++
	return true
}

// release gives back what a request holds. Its shared parts stay until others need the
// memory.
func (m *memory) release(r *run, now time.Time) {
	m.held -= r.held
	r.held = 0
	for _, p := range r.Parts[:max(len(r.Parts)-1, 0)] {
		if k := m.parts[p.ID]; k != nil {
			k.users--
			k.last = now
		}
	}
}

// evictFor makes room by dropping the parts whose last use is longest ago.
func (m *memory) evictFor(tokens int) bool {
	for m.held+m.kept+tokens > m.o.MemoryTokens {
		var oldest *keptPart
		for _, k := range m.parts {
			if k.users == 0 && (oldest == nil || k.last.Before(oldest.last) || k.last.Equal(oldest.last) && k.ID < oldest.ID) {
				oldest = k
			}
		}
		if oldest == nil {
			return false
		}
		m.drop(oldest, oldest.last)
	}
	return true
}

func (m *memory) add(p Part, now time.Time) *keptPart {
	k := &keptPart{Part: p, last: now}
	m.parts[p.ID] = k
	m.seen[p.ID] = true
	m.kept += p.Tokens
	m.note(CacheEvent{Kept: true, Part: p, at: now})
	return k
}

func (m *memory) drop(k *keptPart, now time.Time) {
	delete(m.parts, k.ID)
	m.kept -= k.Tokens
	m.note(CacheEvent{Part: k.Part, at: now})
}

func (m *memory) clear(now time.Time) {
	m.parts, m.held, m.kept = map[uint64]*keptPart{}, 0, 0
	m.events = nil
}

func (m *memory) note(e CacheEvent) {
	m.number++
	if m.o.EventGap > 0 && m.number%m.o.EventGap == 0 {
		return
	}
	e.Number = m.number
	if m.events = append(m.events, e); len(m.events) > maxCacheEvents {
		m.events = m.events[1:]
	}
}

func (m *memory) published(since int, now time.Time) (out []CacheEvent) {
	for _, e := range m.events {
		if e.Number > since && now.Sub(e.at) >= m.o.EventLag {
			out = append(out, e)
		}
	}
	return out
}
