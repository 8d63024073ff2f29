package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"marigoldshunt/internal/admin"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/hlc"
	"marigoldshunt/internal/timeline"
)

func (a *app) timelineCommand() *ffcli.Command {
	fs := a.flags("timeline")
	follow := fs.Bool("follow", false, "continue with new events until interrupted")
	since := fs.Duration("since", 0, "only events of this last time; 0 means all that are kept")
	return &ffcli.Command{
		Name: "timeline", ShortHelp: "Show the events of all hosts in the order of cause and effect", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if _, err := positional(fs, args); err != nil {
				return err
			}
			c, err := a.connect()
			if err != nil {
				return err
			}
			list, err := fleet(ctx, c)
			if err != nil {
				return err
			}
			m := newMerger()
			if *since > 0 {
				m.start = hlc.FromTime(time.Now().Add(-*since))
			}
			return a.timeline(ctx, c, list, m, *follow)
		},
	}
}

func (a *app) timeline(ctx context.Context, c *client, list []endpoint, m *merger, follow bool) error {
	missing := map[string]bool{}
	for {
		answered := 0
		answers := askEach[admin.TimelineAnswer](ctx, c, list, func(e endpoint) string {
			return fmt.Sprintf("/v1/timeline?since=%d&max=%d", m.host(e.address).last, timeline.Capacity)
		})
		if ctx.Err() != nil && follow {
			return nil
		}
		for _, t := range answers {
			if t.err != nil {
				m.host(t.address).answered = false
				if !missing[t.address] {
					fmt.Fprintf(a.err, "No events from %s: %s\n", t.name(), t.err)
				}
				missing[t.address] = true
				continue
			}
			answered++
			delete(missing, t.address)
			m.add(t.address, t.value)
		}
		if answered == 0 && !follow {
			return fault.New(fault.PeerUnreachable, fault.NotRun, "no host answered")
		}
		if err := a.printEvents(m.take(!follow)); err != nil || !follow {
			return err
		}
		select {
		case <-time.After(a.poll):
		case <-ctx.Done():
			return nil
		}
	}
}

// merger joins the events of several answers per host. While it follows, it holds back
// the events after the earliest clock value up to which every answering host is known,
// so that what is printed stays in order.
type merger struct {
	start uint64
	// hosts are the events by address, addresses the address of each host that counts:
	// a host that answers under two must not appear twice.
	hosts     map[string]*hostEvents
	addresses map[string]string
}

func newMerger() *merger {
	return &merger{hosts: map[string]*hostEvents{}, addresses: map[string]string{}}
}

type hostEvents struct {
	last, upTo uint64
	answered   bool
	waiting    []timeline.Event
}

func (m *merger) host(address string) *hostEvents {
	h := m.hosts[address]
	if h == nil {
		h = &hostEvents{last: m.start}
		m.hosts[address] = h
	}
	return h
}

func (m *merger) add(address string, t *admin.TimelineAnswer) {
	if known, ok := m.addresses[t.Host]; ok && known != address {
		return
	}
	m.addresses[t.Host] = address
	h := m.host(address)
	h.answered, h.upTo = true, t.UpTo
	if n := len(t.Events); n > 0 {
		h.waiting = append(h.waiting, t.Events...)
		h.last = t.Events[n-1].HLC
	}
}

// take returns the merged events that are due; all of them when all is set.
func (m *merger) take(all bool) []timeline.Event {
	horizon := uint64(math.MaxUint64)
	if !all {
		for _, h := range m.hosts {
			if h.answered {
				horizon = min(horizon, h.upTo)
			}
		}
	}
	var lists [][]timeline.Event
	for _, address := range slices.Sorted(maps.Keys(m.hosts)) {
		h := m.hosts[address]
		n := slices.IndexFunc(h.waiting, func(e timeline.Event) bool { return e.HLC > horizon })
		if n < 0 {
			n = len(h.waiting)
		}
		lists = append(lists, h.waiting[:n])
		h.waiting = h.waiting[n:]
	}
	return timeline.Merge(lists...)
}

func (a *app) printEvents(events []timeline.Event) error {
	if a.json {
		e := json.NewEncoder(a.out)
		for _, ev := range events {
			if err := e.Encode(ev); err != nil {
				return outputError(err)
			}
		}
		return nil
	}
	for _, ev := range events {
		var b strings.Builder
		for _, k := range slices.Sorted(maps.Keys(ev.Fields)) {
			fmt.Fprintf(&b, " %s=%q", k, ev.Fields[k])
		}
		stamp := hlc.Time(ev.HLC).Format("2006-01-02T15:04:05.000Z")
		if _, err := fmt.Fprintf(a.out, "%s+%d %s %s %s%s\n", stamp, ev.HLC&0xffff, ev.Host, ev.Part, ev.Kind, b.String()); err != nil {
			return outputError(err)
		}
	}
	return nil
}
