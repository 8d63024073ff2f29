package enginemodel

import "time"

// maxCacheEvents is the number of cache events that are kept for publication.
const maxCacheEvents = 1_024

// CacheEvent is the insertion of a prompt part into the cache of an engine, or its eviction.
type CacheEvent struct {
	// Number counts the changes; gaps are lost events.
	Number   int
	Inserted bool
	Part     Part
	at       time.Time
}

// memory is the memory that running requests and cached prompt parts share.
type memory struct {
	opts Options
	// ownTokens is what running requests hold beside shared parts, cachedTokens the size of
	// all cached parts.
	ownTokens, cachedTokens int
	cachedParts             map[uint64]*cachedPart
	// everCached holds the IDs of all parts that were ever cached.
	everCached map[uint64]bool
	events     []CacheEvent
	lastNumber int
}

type cachedPart struct {
	Part
	refs     int
	lastUsed time.Time
}

// unreadPrompt is what an engine has to read of a prompt: all tokens, and those of shared
// parts that were cached before.
type unreadPrompt struct{ tokens, reread int }

func newMemory(opts Options) memory {
	return memory{opts: opts, cachedParts: map[uint64]*cachedPart{}, everCached: map[uint64]bool{}}
}

// reserve reserves memory for a request that starts to run. It returns false if there is
// too little memory even after evicting all unused parts.
func (m *memory) reserve(r *engineRequest, now time.Time) (unreadPrompt, bool) {
	var unread unreadPrompt
	sharedParts := r.Parts[:max(len(r.Parts)-1, 0)]
	neededTokens, prefixCached := r.generated, true
	for i, p := range r.Parts {
		cached := m.cachedParts[p.ID]
		if prefixCached = prefixCached && i < len(sharedParts) && cached != nil; prefixCached {
			cached.lastUsed = now
			cached.refs++
			continue
		}
		unread.tokens += p.Tokens
		if m.everCached[p.ID] && i < len(sharedParts) {
			unread.reread += p.Tokens
		}
		if i >= len(sharedParts) || cached == nil {
			neededTokens += p.Tokens
		} else {
			// The part is cached but unusable without the parts before it, and is read again
			// in place.
			cached.lastUsed = now
			cached.refs++
		}
	}
	if !m.evictFor(neededTokens) {
		for _, p := range sharedParts {
			if cached := m.cachedParts[p.ID]; cached != nil {
				cached.refs--
			}
		}
		return unreadPrompt{}, false
	}
	for _, p := range sharedParts {
		if m.cachedParts[p.ID] == nil {
			m.insert(p, now).refs++
		}
	}
	if len(r.Parts) > 0 {
		r.ownTokens = r.Parts[len(r.Parts)-1].Tokens
	}
	r.ownTokens += r.generated
	m.ownTokens += r.ownTokens
	return unread, true
}

// grow reserves memory for one more token.
func (m *memory) grow(r *engineRequest, now time.Time) bool {
	if !m.evictFor(1) {
		return false
	}
	r.ownTokens++
	m.ownTokens++
	return true
}

// release frees the memory of a request. Its shared parts stay cached until others need
// the memory.
func (m *memory) release(r *engineRequest, now time.Time) {
	m.ownTokens -= r.ownTokens
	r.ownTokens = 0
	for _, p := range r.Parts[:max(len(r.Parts)-1, 0)] {
		if cached := m.cachedParts[p.ID]; cached != nil {
			cached.refs--
			cached.lastUsed = now
		}
	}
}

// evictFor evicts the least recently used parts until a number of tokens is free. It
// returns false if not enough parts are unused.
func (m *memory) evictFor(tokens int) bool {
	for m.ownTokens+m.cachedTokens+tokens > m.opts.MemoryTokens {
		var oldest *cachedPart
		for _, cached := range m.cachedParts {
			if cached.refs == 0 && (oldest == nil || cached.lastUsed.Before(oldest.lastUsed) || cached.lastUsed.Equal(oldest.lastUsed) && cached.ID < oldest.ID) {
				oldest = cached
			}
		}
		if oldest == nil {
			return false
		}
		m.evict(oldest, oldest.lastUsed)
	}
	return true
}

func (m *memory) insert(p Part, now time.Time) *cachedPart {
	cached := &cachedPart{Part: p, lastUsed: now}
	m.cachedParts[p.ID] = cached
	m.everCached[p.ID] = true
	m.cachedTokens += p.Tokens
	m.record(CacheEvent{Inserted: true, Part: p, at: now})
	return cached
}

func (m *memory) evict(cached *cachedPart, now time.Time) {
	delete(m.cachedParts, cached.ID)
	m.cachedTokens -= cached.Tokens
	m.record(CacheEvent{Part: cached.Part, at: now})
}

func (m *memory) reset(now time.Time) {
	m.cachedParts, m.ownTokens, m.cachedTokens = map[uint64]*cachedPart{}, 0, 0
	m.events = nil
}

func (m *memory) record(e CacheEvent) {
	m.lastNumber++
	if m.opts.LoseEveryNthEvent > 0 && m.lastNumber%m.opts.LoseEveryNthEvent == 0 {
		return
	}
	e.Number = m.lastNumber
	if m.events = append(m.events, e); len(m.events) > maxCacheEvents {
		m.events = m.events[1:]
	}
}

func (m *memory) publishedSince(since int, now time.Time) (out []CacheEvent) {
	for _, e := range m.events {
		if e.Number > since && now.Sub(e.at) >= m.opts.EventLag {
			out = append(out, e)
		}
	}
	return out
}
