package state

import (
	"cmp"
	"maps"
	"slices"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// streamTable remembers where streams began, so that callers can resume them at any host, also
// after all hosts were lost. While one version of a service has been alone for longer than
// StreamRetention, nothing has to be remembered: a stream can only have begun there.
type streamTable struct {
	begun map[wire.StreamID]begunStream
	// order holds the ids in the order of their times.
	order []wire.StreamID
	// origins are the places where streams began, named by their index: a large fleet remembers
	// some hundred thousand streams and a few places.
	origins []streamOrigin
	listed  map[string]listedVersions
}

type begunStream struct {
	at     int64
	origin uint16
}

type streamOrigin struct{ Service, Version string }

// listedVersions are the versions of a service, and since when; 0 means since the first list.
type listedVersions struct {
	versions  []string
	changedAt int64
}

func newStreamTable() streamTable {
	return streamTable{begun: map[wire.StreamID]begunStream{}, listed: map[string]listedVersions{}}
}

func checkStreamChange(c *wire.StreamChange) error {
	n := len(c.Asked)
	for _, b := range c.Begun {
		n += len(b.IDs)
		if len(b.Service) > maxIDBytes || len(b.Version) > maxIDBytes {
			return fault.New(fault.BadRequest, fault.NotRun, "the names in a record of streams have at most 64 bytes")
		}
	}
	for _, l := range c.Listed {
		n += len(l.Versions)
		if len(l.Service) > maxIDBytes || slices.ContainsFunc(l.Versions, func(v string) bool { return len(v) > maxIDBytes }) {
			return fault.New(fault.BadRequest, fault.NotRun, "the names in a list of versions have at most 64 bytes")
		}
	}
	if n > MaxStreamsOfChange || len(c.Begun) > MaxStreamsOfChange || len(c.Listed) > MaxListedServices {
		return fault.New(fault.BadRequest, fault.NotRun, "a change holds at most %d streams", MaxStreamsOfChange)
	}
	return nil
}

// change applies a change and answers it. The first record of a stream stays.
func (t *streamTable) change(now int64, c *wire.StreamChange) Result {
	if err := checkStreamChange(c); err != nil {
		return errorResult(err)
	}
	for _, l := range c.Listed {
		t.list(now, l)
	}
	for _, b := range c.Begun {
		origin, ok := t.originIndex(streamOrigin{b.Service, b.Version})
		if !ok {
			return refuse(fault.BadRequest, fault.NotRun, "streams began at more than 4096 services and versions")
		}
		for _, id := range b.IDs {
			if _, known := t.begun[id]; !known {
				t.insert(id, begunStream{now, origin})
			}
		}
	}
	answer := &wire.StreamAnswer{Services: t.services(now)}
	for _, id := range c.Asked {
		if b, known := t.begun[id]; known {
			o := t.origins[b.origin]
			answer.Known = append(answer.Known, wire.StreamOrigin{ID: id, Service: o.Service, Version: o.Version})
		}
	}
	return Result{Streams: answer}
}

func (t *streamTable) list(now int64, l wire.ServiceVersions) {
	old, known := t.listed[l.Service]
	if known && slices.Equal(old.versions, l.Versions) || !known && len(t.listed) >= MaxListedServices {
		return
	}
	if !known {
		now = 0
	}
	t.listed[l.Service] = listedVersions{l.Versions, now}
}

// originIndex returns the index of an origin, which is added if it is new. Origins without streams
// are removed when no stream is remembered.
func (t *streamTable) originIndex(o streamOrigin) (index uint16, ok bool) {
	if len(t.begun) == 0 {
		t.origins = nil
	}
	i := slices.Index(t.origins, o)
	if i < 0 && len(t.origins) >= MaxStreamOrigins {
		return 0, false
	}
	if i < 0 {
		i = len(t.origins)
		t.origins = append(t.origins, o)
	}
	return uint16(i), true
}

func (t *streamTable) insert(id wire.StreamID, b begunStream) {
	if len(t.order) >= MaxStreams {
		t.dropFirst()
	}
	t.begun[id] = b
	t.order = append(t.order, id)
}

func (t *streamTable) dropFirst() {
	delete(t.begun, t.order[0])
	t.order = t.order[1:]
}

// expire drops the streams that began before a time.
func (t *streamTable) expire(before int64) {
	for len(t.order) > 0 && t.begun[t.order[0]].at < before {
		t.dropFirst()
	}
}

func (t *streamTable) services(now int64) (out []wire.ServiceVersions) {
	for _, service := range slices.Sorted(maps.Keys(t.listed)) {
		l := t.listed[service]
		settled := len(l.versions) == 1 && (l.changedAt == 0 || now-l.changedAt > StreamRetention.Milliseconds())
		out = append(out, wire.ServiceVersions{Service: service, Versions: l.versions, Settled: settled})
	}
	return out
}

// savedStreams is the encoded form of a streamTable.
type savedStreams struct {
	Origins []streamOrigin
	Streams []savedStream
	Listed  []savedVersions
}

type savedStream struct {
	ID     wire.StreamID
	At     int64
	Origin uint16
}

type savedVersions struct {
	Service   string
	Versions  []string
	ChangedAt int64
}

// save returns nil for an empty table.
func (t *streamTable) save() *savedStreams {
	if len(t.order) == 0 && len(t.listed) == 0 {
		return nil
	}
	out := &savedStreams{Origins: t.origins, Streams: make([]savedStream, len(t.order))}
	for i, id := range t.order {
		b := t.begun[id]
		out.Streams[i] = savedStream{id, b.at, b.origin}
	}
	for service, l := range t.listed {
		out.Listed = append(out.Listed, savedVersions{service, l.versions, l.changedAt})
	}
	slices.SortFunc(out.Listed, func(a, b savedVersions) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// restore returns false for a table that save did not write.
func (t *streamTable) restore(in *savedStreams) bool {
	t.origins = in.Origins
	for _, s := range in.Streams {
		if int(s.Origin) >= len(t.origins) {
			return false
		}
		t.insert(s.ID, begunStream{s.At, s.Origin})
	}
	for _, l := range in.Listed {
		t.listed[l.Service] = listedVersions{l.Versions, l.ChangedAt}
	}
	return true
}
