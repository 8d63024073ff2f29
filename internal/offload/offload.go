// Package offload chooses the hosts to which an overloaded host passes requests.
//
// A host that is short of CPU time passes requests on to other hosts of its data centre, which
// costs it a fraction of what serving them would. The load that this answers: one client account
// keeps to one host and sends more than the host can serve, while the others have time to spare.
//
// The package does no I/O and reads no clock.
package offload

import (
	"maps"
	"math/rand"
	"slices"
	"time"
)

// avoidTime is how long a host is not chosen after a request could not be passed to it. The hosts
// that the control group considers alive change within about that time.
const avoidTime = 2 * time.Second

// Picker chooses among the other hosts of a data centre. It is not safe for concurrent use.
type Picker struct {
	random *rand.Rand
	hosts  []string
	// running counts the requests that each host has been passed and not completed.
	running map[string]int
	// avoidedUntil is set for hosts that could not be reached, lateUntil for those that were not reached
	// in time.
	avoidedUntil, lateUntil map[string]time.Time
}

// NewPicker returns a Picker without hosts.
func NewPicker(random *rand.Rand) *Picker {
	return &Picker{random: random, running: map[string]int{}, avoidedUntil: map[string]time.Time{}, lateUntil: map[string]time.Time{}}
}

// SetHosts replaces the hosts to choose from.
func (p *Picker) SetHosts(hosts []string) {
	p.hosts = slices.Clone(hosts)
	gone := func(host string, _ time.Time) bool { return !slices.Contains(hosts, host) }
	maps.DeleteFunc(p.avoidedUntil, gone)
	maps.DeleteFunc(p.lateUntil, gone)
}

// Pick chooses a host and counts a running request there; ok is false if there is none. Of two
// random hosts it takes the one with fewer running requests: the flood then spreads over all hosts,
// and one that has stopped responding soon gets no more of it.
func (p *Picker) Pick(now time.Time) (host string, ok bool) {
	usable := p.usable(now)
	if len(usable) == 0 {
		return "", false
	}
	first := p.random.Intn(len(usable))
	host = usable[first]
	if len(usable) > 1 {
		// Any but the first one: comparing a host with itself would choose one that is silent.
		second := (first + 1 + p.random.Intn(len(usable)-1)) % len(usable)
		if other := usable[second]; p.running[other] < p.running[host] {
			host = other
		}
	}
	p.running[host]++
	return host, true
}

// usable returns the hosts that are not avoided. If fewer than half were reached in time, it returns the
// late ones too: it is then more likely this host that is too busy to reach any in time.
func (p *Picker) usable(now time.Time) []string {
	reached := without(p.hosts, p.avoidedUntil, now)
	if inTime := without(reached, p.lateUntil, now); 2*len(inTime) >= len(reached) {
		return inTime
	}
	return reached
}

// without returns the hosts that are not avoided.
func without(hosts []string, avoidedUntil map[string]time.Time, now time.Time) (out []string) {
	if len(avoidedUntil) == 0 {
		return hosts
	}
	for _, host := range hosts {
		if until, avoided := avoidedUntil[host]; !avoided || !now.Before(until) {
			out = append(out, host)
		}
	}
	return out
}

// Done ends a request that Pick counted.
func (p *Picker) Done(host string) {
	if p.running[host]--; p.running[host] <= 0 {
		delete(p.running, host)
	}
}

// Failed avoids a host for a while, because a request could not be passed to it or it ended one
// without a response.
func (p *Picker) Failed(host string, now time.Time) {
	if slices.Contains(p.hosts, host) {
		p.avoidedUntil[host] = now.Add(avoidTime)
	}
}

// Late avoids a host for a while, because a connect to it took too long.
func (p *Picker) Late(host string, now time.Time) {
	if slices.Contains(p.hosts, host) {
		p.lateUntil[host] = now.Add(avoidTime)
	}
}

// Any reports whether there are hosts to choose from.
func (p *Picker) Any() bool { return len(p.hosts) > 0 }
