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
	origins map[wire.StreamID]streamOrigin
	// order holds the ids in the order of their times.
	order  []wire.StreamID
	listed map[string]listedVersions
}

type streamOrigin struct {
	service, version string
	at               int64
}

// listedVersions are the versions of a service, and since when; 0 means since the first list.
type listedVersions struct {
	versions  []string
	changedAt int64
}

func newStreamTable() streamTable {
	return streamTable{origins: map[wire.StreamID]streamOrigin{}, listed: map[string]listedVersions{}}
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
		for _, id := range b.IDs {
			if _, known := t.origins[id]; !known {
				t.insert(id, streamOrigin{b.Service, b.Version, now})
			}
		}
	}
	answer := &wire.StreamAnswer{Services: t.services(now)}
	for _, id := range c.Asked {
		if o, known := t.origins[id]; known {
			answer.Known = append(answer.Known, wire.StreamOrigin{ID: id, Service: o.service, Version: o.version})
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

func (t *streamTable) insert(id wire.StreamID, o streamOrigin) {
	if len(t.order) >= MaxStreams {
		t.dropFirst()
	}
	t.origins[id] = o
	t.order = append(t.order, id)
}

func (t *streamTable) dropFirst() {
	delete(t.origins, t.order[0])
	t.order = t.order[1:]
}

// expire drops the streams that began before a time.
func (t *streamTable) expire(before int64) {
	for len(t.order) > 0 && t.origins[t.order[0]].at < before {
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
	Streams []savedStream
	Listed  []savedVersions
}

type savedStream struct {
	Origin wire.StreamOrigin
	At     int64
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
	out := &savedStreams{}
	for _, id := range t.order {
		o := t.origins[id]
		out.Streams = append(out.Streams, savedStream{wire.StreamOrigin{ID: id, Service: o.service, Version: o.version}, o.at})
	}
	for service, l := range t.listed {
		out.Listed = append(out.Listed, savedVersions{service, l.versions, l.changedAt})
	}
	slices.SortFunc(out.Listed, func(a, b savedVersions) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

func (t *streamTable) restore(in *savedStreams) {
	for _, s := range in.Streams {
		t.insert(s.Origin.ID, streamOrigin{s.Origin.Service, s.Origin.Version, s.At})
	}
	for _, l := range in.Listed {
		t.listed[l.Service] = listedVersions{l.Versions, l.ChangedAt}
	}
}
