package catalog

import (
	"cmp"
	"math/rand"
	"slices"
	"time"

	"marigoldshunt/internal/rendezvous"
)

// Timing of the questions by which a host checks that its list is the one of the fleet.
const (
	// CheckInterval is the time between two questions while they are answered.
	CheckInterval = 600 * time.Millisecond
	// RepeatAfter is how long an answer may take before another host is asked.
	RepeatAfter = 200 * time.Millisecond
	// HurriedAfter is the least time between two questions that requests wait for.
	HurriedAfter = 20 * time.Millisecond
	// MaxContactAge is the time without an answer after which a host must not send requests by its
	// list. With the second between two reads of the list it stays below the time in which an
	// instance that leaves must get no more requests.
	MaxContactAge = 1800 * time.Millisecond
	// maxAskedHosts bounds the hosts that one host asks, and with them its sessions.
	maxAskedHosts = 8
	// maxOpenQuestions bounds the questions whose answers still count.
	maxOpenQuestions = 16
)

// Contact decides when a host asks another one whether their lists are the same, and how long ago
// such an answer confirmed the host's list.
//
// Announcements of the list can't tell that: a host that is short of CPU time reads them late, and
// the age that they name leaves out the time on the way. The age of an answer counts from its
// question, on the host's own clock. Each host asks a few others, in random order, so that no host
// answers for all and the loss of some costs no contact.
//
// A Contact does no I/O and reads no clock, and is not safe for concurrent use. Times are those of a
// monotonic clock.
type Contact struct {
	host string
	rng  *rand.Rand
	// others are the hosts that are asked.
	others []string
	// answering holds the other hosts that have answered before. Hosts of an earlier version of
	// the program never do.
	answering []string
	seq       uint64
	// askedAt holds the times of the open questions, by number, and lastAsked that of the latest.
	askedAt   map[uint64]time.Duration
	lastAsked time.Duration
	// answered is true once the latest question has been answered.
	answered bool
	// hurried is true while the next question is due at once.
	hurried bool
	// confirmed is true once an answer has confirmed the list, confirmedAt when that was asked.
	confirmed   bool
	confirmedAt time.Duration
}

// NewContact returns the Contact of a host that knows no other host yet.
func NewContact(host string, rng *rand.Rand) *Contact {
	return &Contact{host: host, rng: rng, askedAt: map[uint64]time.Duration{}}
}

// SetHosts replaces the live hosts, with or without this one. Those that are asked stay the same
// while they live.
func (c *Contact) SetHosts(hosts []string) {
	c.others = slices.DeleteFunc(slices.Clone(hosts), func(h string) bool { return h == c.host })
	key := rendezvous.Hash(c.host)
	slices.SortFunc(c.others, func(a, b string) int {
		return cmp.Compare(rendezvous.Weight(key, rendezvous.Hash(b)), rendezvous.Weight(key, rendezvous.Hash(a)))
	})
	c.others = c.others[:min(len(c.others), maxAskedHosts)]
	c.answering = slices.DeleteFunc(c.answering, func(h string) bool { return !slices.Contains(c.others, h) })
}

// Hurry makes the next question due at once, unless one was asked within HurriedAfter.
func (c *Contact) Hurry(now time.Duration) {
	c.hurried = c.hurried || now-c.lastAsked >= HurriedAfter
}

// Next returns whom to ask now, and the number of the question; ok is false while none is due.
func (c *Contact) Next(now time.Duration) (to string, seq uint64, ok bool) {
	pause := RepeatAfter
	if c.answered {
		pause = CheckInterval
	}
	if len(c.others) == 0 || c.seq > 0 && !c.hurried && now-c.lastAsked < pause {
		return "", 0, false
	}
	c.hurried = false
	hosts := c.others
	if c.seq++; !c.answered && c.seq%2 == 0 && len(c.answering) > 0 {
		hosts = c.answering
	}
	c.askedAt[c.seq], c.lastAsked, c.answered = now, now, false
	delete(c.askedAt, c.seq-maxOpenQuestions)
	return hosts[c.rng.Intn(len(hosts))], c.seq, true
}

// Confirm records that the answer of a host to a question confirmed the list.
func (c *Contact) Confirm(from string, seq uint64, now time.Duration) {
	askedAt, open := c.askedAt[seq]
	if !open || askedAt > now {
		return
	}
	delete(c.askedAt, seq)
	if !slices.Contains(c.answering, from) && slices.Contains(c.others, from) {
		c.answering = append(c.answering, from)
	}
	c.answered = c.answered || seq == c.seq
	if !c.confirmed || askedAt > c.confirmedAt {
		c.confirmed, c.confirmedAt = true, askedAt
	}
}

// Age returns how long ago the list was confirmed. known is false before the first confirmation. A
// single host has nobody to disagree with, so that its list is always confirmed.
func (c *Contact) Age(now time.Duration) (age time.Duration, known bool) {
	if len(c.others) == 0 {
		return 0, true
	}
	return now - c.confirmedAt, c.confirmed
}
