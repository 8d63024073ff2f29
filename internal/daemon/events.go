package daemon

import (
	"strconv"
	"strings"
	"sync"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/timeline"
	"marigoldshunt/internal/wire"
)

// recorder writes changes of configuration, leases and hosts to the timeline.
type recorder struct {
	ring *timeline.Ring

	mu           sync.Mutex
	lastConfig   *config.Config
	heldFences   map[string]uint64
	hostStatuses map[string]wire.HostStatus
}

func newRecorder(r *timeline.Ring) *recorder {
	return &recorder{ring: r, lastConfig: config.New(), heldFences: map[string]uint64{}, hostStatuses: map[string]wire.HostStatus{}}
}

// recordConfig records the applied revision, and what was taken out of service or put back.
func (r *recorder) recordConfig(c *config.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.lastConfig
	r.lastConfig = c
	r.ring.Add("config", "applied", "revision", strconv.FormatUint(c.Revision, 10))
	for name, d := range c.DataCentres {
		r.recordServiceChange("data_centre", name, old.DataCentres[name].Out, d.Out, c.Revision)
	}
	for name, u := range c.Upstreams {
		r.recordServiceChange("upstream", name, old.Upstreams[name].Out, u.Out, c.Revision)
	}
	for name, h := range c.Hosts {
		r.recordServiceChange("host", name, old.Hosts[name].Out, h.Out, c.Revision)
	}
}

func (r *recorder) recordServiceChange(kind, name string, wasOut, isOut bool, revision uint64) {
	if wasOut == isOut {
		return
	}
	event := "back"
	if isOut {
		event = "out"
	}
	r.ring.Add("config", event, "kind", kind, "name", name, "revision", strconv.FormatUint(revision, 10))
}

// recordLeases records the leases that this host gained and lost.
func (r *recorder) recordLeases(held []wire.Lease) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fences := map[string]uint64{}
	for _, l := range held {
		fences[l.Pool] = l.Fence
	}
	for pool, fence := range r.heldFences {
		if fences[pool] != fence {
			r.ring.Add("scheduler", "lease_lost", "pool", pool, "fence", strconv.FormatUint(fence, 10))
		}
	}
	for pool, fence := range fences {
		if r.heldFences[pool] != fence {
			r.ring.Add("scheduler", "lease_gained", "pool", pool, "fence", strconv.FormatUint(fence, 10))
		}
	}
	r.heldFences = fences
}

// recordHosts records changes of the status of hosts.
func (r *recorder) recordHosts(hosts []wire.HostStatus) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range hosts {
		if r.hostStatuses[h.Host] == h {
			continue
		}
		r.hostStatuses[h.Host] = h
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
