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
			if _, err := exactArgs(fs, args); err != nil {
				return err
			}
			c, err := a.clientFromFlags()
			if err != nil {
				return err
			}
			endpoints, err := fleetEndpoints(ctx, c)
			if err != nil {
				return err
			}
			m := newMerger()
			if *since > 0 {
				m.start = hlc.FromTime(time.Now().Add(-*since))
			}
			return a.timeline(ctx, c, endpoints, m, *follow)
		},
	}
}

func (a *app) timeline(ctx context.Context, c *client, endpoints []endpoint, m *merger, follow bool) error {
	unreachable := map[string]bool{}
	for {
		answered := 0
		answers := queryEach[admin.TimelineResponse](ctx, c, endpoints, func(e endpoint) string {
			return fmt.Sprintf("/v1/timeline?since=%d&max=%d", m.eventsOf(e.address).last, timeline.Capacity)
		})
		if ctx.Err() != nil && follow {
			return nil
		}
		for _, t := range answers {
			if t.err != nil {
				m.eventsOf(t.address).answered = false
				if !unreachable[t.address] {
					fmt.Fprintf(a.errOut, "No events from %s: %s\n", t.name(), t.err)
				}
				unreachable[t.address] = true
				continue
			}
			answered++
			delete(unreachable, t.address)
			m.add(t.address, t.value)
		}
		if answered == 0 && !follow {
			return fault.New(fault.PeerUnreachable, fault.NotRun, "no host answered")
		}
		if err := a.printEvents(m.take(!follow)); err != nil || !follow {
			return err
		}
		select {
		case <-time.After(a.pollInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

// merger merges the events of several responses per host. With -follow, it holds back the
// events above the lowest UpTo of the answering hosts, because a slower host may still
// report an earlier event. So the output stays in order.
type merger struct {
	start uint64
	// byAddress holds the events by address. addressOf maps each host to the one address
	// whose responses are used, so that the events of a host with two addresses are not shown
	// twice.
	byAddress map[string]*hostEvents
	addressOf map[string]string
}

func newMerger() *merger {
	return &merger{byAddress: map[string]*hostEvents{}, addressOf: map[string]string{}}
}

type hostEvents struct {
	last, upTo uint64
	answered   bool
	pending    []timeline.Event
}

func (m *merger) eventsOf(address string) *hostEvents {
	h := m.byAddress[address]
	if h == nil {
		h = &hostEvents{last: m.start}
		m.byAddress[address] = h
	}
	return h
}

func (m *merger) add(address string, t *admin.TimelineResponse) {
	if known, ok := m.addressOf[t.Host]; ok && known != address {
		return
	}
	m.addressOf[t.Host] = address
	h := m.eventsOf(address)
	h.answered, h.upTo = true, t.UpTo
	if n := len(t.Events); n > 0 {
		h.pending = append(h.pending, t.Events...)
		h.last = t.Events[n-1].HLC
	}
}

// take removes and returns the merged events that need not be held back, or all events
// if all is set.
func (m *merger) take(all bool) []timeline.Event {
	horizon := uint64(math.MaxUint64)
	if !all {
		for _, h := range m.byAddress {
			if h.answered {
				horizon = min(horizon, h.upTo)
			}
		}
	}
	var lists [][]timeline.Event
	for _, address := range slices.Sorted(maps.Keys(m.byAddress)) {
		h := m.byAddress[address]
		n := slices.IndexFunc(h.pending, func(e timeline.Event) bool { return e.HLC > horizon })
		if n < 0 {
			n = len(h.pending)
		}
		lists = append(lists, h.pending[:n])
		h.pending = h.pending[n:]
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
		if _, err := fmt.Fprintf(a.out, "%s+%d %s %s %s%s\n", stamp, ev.HLC&0xffff, ev.Host, ev.Component, ev.Kind, b.String()); err != nil {
			return outputError(err)
		}
	}
	return nil
}
