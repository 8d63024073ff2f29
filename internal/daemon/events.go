package daemon

import (
	"strconv"
	"strings"
	"sync"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/timeline"
	"marigoldshunt/internal/wire"
)

// recorder turns changes of configuration, leases and hosts into timeline events.
type recorder struct {
	ring *timeline.Ring

	mu    sync.Mutex
	last  *config.Config
	held  map[string]uint64
	alive map[string]wire.HostStatus
}

func newRecorder(r *timeline.Ring) *recorder {
	return &recorder{ring: r, last: config.New(), held: map[string]uint64{}, alive: map[string]wire.HostStatus{}}
}

// config records the applied revision, and what went out of service or came back.
func (r *recorder) config(c *config.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.last
	r.last = c
	r.ring.Add("config", "applied", "revision", strconv.FormatUint(c.Revision, 10))
	for name, d := range c.DataCentres {
		r.service("data_centre", name, old.DataCentres[name].Out, d.Out, c.Revision)
	}
	for name, u := range c.Upstreams {
		r.service("upstream", name, old.Upstreams[name].Out, u.Out, c.Revision)
	}
	for name, h := range c.Hosts {
		r.service("host", name, old.Hosts[name].Out, h.Out, c.Revision)
	}
}

func (r *recorder) service(kind, name string, was, is bool, revision uint64) {
	if was == is {
		return
	}
	event := "back"
	if is {
		event = "out"
	}
	r.ring.Add("config", event, "kind", kind, "name", name, "revision", strconv.FormatUint(revision, 10))
}

// leases records the leases that this host gained and lost.
func (r *recorder) leases(held []wire.Lease) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := map[string]uint64{}
	for _, l := range held {
		now[l.Pool] = l.Fence
	}
	for pool, fence := range r.held {
		if now[pool] != fence {
			r.ring.Add("scheduler", "lease_lost", "pool", pool, "fence", strconv.FormatUint(fence, 10))
		}
	}
	for pool, fence := range now {
		if r.held[pool] != fence {
			r.ring.Add("scheduler", "lease_gained", "pool", pool, "fence", strconv.FormatUint(fence, 10))
		}
	}
	r.held = now
}

// hosts records changes of the liveness of hosts.
func (r *recorder) hosts(hosts []wire.HostStatus) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range hosts {
		if r.alive[h.Host] == h {
			continue
		}
		r.alive[h.Host] = h
		r.ring.Add("membership", "host", "name", h.Host, "state", hostState(h))
	}
}

func hostState(h wire.HostStatus) string {
	var words []string
	if h.Alive {
		words = append(words, "alive")
	} else {
		words = append(words, "dead")
	}
	if h.Leaving {
		words = append(words, "leaving")
	}
	return strings.Join(words, ",")
}
