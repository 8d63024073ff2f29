package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/rendezvous"
	"marigoldshunt/internal/wire"
)

// Parameters of the quarantine of requests that crash upstreams.
const (
	// maxCrashes is the number of crashed upstreams at which a request is refused.
	maxCrashes = 2
	// maxPartCrashes is the number of separate crashes at which a prompt part is refused. It is
	// higher than maxCrashes, because other requests with the part ran beside the cause.
	maxPartCrashes = 3
	// probeDelay gives the port of a crashed upstream time to close before it is probed.
	probeDelay   = 50 * time.Millisecond
	probeTimeout = 300 * time.Millisecond
	// crashMarkTimeout bounds the wait until crash marks are replicated.
	crashMarkTimeout = 3 * time.Second
	// maxReportedMarks bounds the marks in the report of one crash.
	maxReportedMarks = 256
	// disproofDelay collects the marks that are disproved together.
	disproofDelay = 20 * time.Millisecond
	// maxBrokenRequests bounds the requests kept for one instance while it is probed.
	maxBrokenRequests = 256
)

// CrashStore is the fleet-wide record of requests and prompt parts that crashed upstreams.
type CrashStore interface {
	// ChangeCrashMarks records the marks of one crash, and removes disproved marks.
	ChangeCrashMarks(ctx context.Context, added, disproved []wire.CrashMark)
}

// crashTracker finds the requests that crash the upstreams which run them. A request is
// marked when its connection broke and connecting to the instance fails right after, and so are
// the prompt parts that it may share with others. Other requests that ran there at the time are
// marked too, so a single mark proves nothing.
type crashTracker struct {
	store CrashStore
	log   logrus.FieldLogger
	dial  func(ctx context.Context, address string) error
	now   func() time.Time

	mu sync.Mutex
	// own are the crash marks that this host set, recorded those that the control group has.
	own      *ownCrashMarks
	recorded crashMarks
	// names holds what this host knows of fingerprints with marks, logged those whose quarantine is in the log.
	names  map[wire.Digest]markedName
	logged map[wire.Digest]bool
	// disproved are the marks of requests and parts that an upstream answered afterwards: a
	// request that crashes upstreams is never answered. unreported are those that the control
	// group has not been told of.
	disproved  *ownCrashMarks
	unreported []wire.CrashMark
	// evidence is nil if the marks have changed since it was made.
	evidence *crashEvidence
	// broken holds the requests whose connection broke, by the instance being probed.
	broken map[catalog.Key][]brokenRequest
	// host is this host, hosts are those that take turns in trying what is quarantined. trials holds
	// the times until which this host tries nothing of what it has just tried.
	host   string
	hosts  rendezvous.Members
	trials map[wire.Digest]time.Time
}

// brokenRequest is a request whose connection to an instance broke.
type brokenRequest struct {
	id, service string
	fingerprint wire.Digest
	// sharedParts are the ids of the prompt parts that other requests may share. It is empty if
	// the answer had gone on after its begin, so that no part can have caused the crash.
	sharedParts []uint64
}

// crashMarks returns the marks of a request that broke when an instance crashed.
func (r *brokenRequest) crashMarks(instance string, at time.Time) (marks []wire.CrashMark) {
	for _, id := range r.sharedParts {
		marks = append(marks, wire.CrashMark{Pool: r.service, Fingerprint: partFingerprint(r.service, id), Upstream: instance, At: at.UnixMilli()})
	}
	return append(marks, wire.CrashMark{Pool: r.service, Fingerprint: r.fingerprint, Upstream: instance, At: at.UnixMilli()})
}

func newCrashTracker(store CrashStore, log logrus.FieldLogger) *crashTracker {
	return &crashTracker{
		store: store, log: log, dial: probeDial, now: time.Now, own: newOwnCrashMarks(), recorded: crashMarks{}, disproved: newOwnCrashMarks(),
		names: map[wire.Digest]markedName{}, logged: map[wire.Digest]bool{}, broken: map[catalog.Key][]brokenRequest{}, hosts: rendezvous.NewMembers("", nil), trials: map[wire.Digest]time.Time{},
	}
}

func probeDial(ctx context.Context, address string) error {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err == nil {
		err = c.Close()
	}
	return err
}

// fingerprint identifies a request across its retries by account, method, host, target and
// body.
func (q *request) fingerprint() wire.Digest {
	if q.cachedFingerprint != nil {
		return *q.cachedFingerprint
	}
	h := sha256.New()
	for _, part := range []string{q.account, q.r.Method, q.r.Host, q.target} {
		_, _ = h.Write(append([]byte(part), 0)) // a hash never returns an error
	}
	_, _ = h.Write(q.body)
	var d wire.Digest
	copy(d[:], h.Sum(nil))
	q.cachedFingerprint = &d
	return d
}

// partFingerprint identifies a prompt part of the requests to a service.
func partFingerprint(service string, id uint64) (d wire.Digest) {
	sum := sha256.Sum256(binary.BigEndian.AppendUint64([]byte("part\x00"+service+"\x00"), id))
	copy(d[:], sum[:])
	return d
}

func (c *crashTracker) emptyLocked() bool { return c.own.len()+len(c.recorded) == 0 }

// validMarksLocked returns the marks of a request or prompt part that are not disproved.
func (c *crashTracker) validMarksLocked(fp wire.Digest) (marks []wire.CrashMark) {
	for instance, at := range c.recorded[fp] {
		if !c.disproved.marks.has(fp, instance) {
			marks = append(marks, wire.CrashMark{Fingerprint: fp, Upstream: instance, At: at})
		}
	}
	for instance, at := range c.own.marks[fp] {
		if !c.recorded.has(fp, instance) && !c.disproved.marks.has(fp, instance) {
			marks = append(marks, wire.CrashMark{Fingerprint: fp, Upstream: instance, At: at})
		}
	}
	return marks
}

// answered disproves the marks that a request has when an upstream answers it.
func (c *crashTracker) answered(fingerprint func() wire.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.emptyLocked() {
		c.disproveLocked(fingerprint())
	}
}

// partsAnswered disproves the marks of prompt parts when an upstream goes on with the answer
// to a request with them.
func (c *crashTracker) partsAnswered(service string, sharedParts func() []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.emptyLocked() {
		return
	}
	for _, id := range sharedParts() {
		c.disproveLocked(partFingerprint(service, id))
	}
}

func (c *crashTracker) disproveLocked(fp wire.Digest) {
	for _, m := range c.validMarksLocked(fp) {
		c.evidence = nil
		c.disproved.add(fp, m.Upstream, m.At)
		if c.unreported = append(c.unreported, m); len(c.unreported) == 1 {
			time.AfterFunc(disproofDelay, c.reportDisproved)
		}
	}
}

// reportDisproved tells the control group which marks are disproved.
func (c *crashTracker) reportDisproved() {
	c.mu.Lock()
	list := c.unreported
	c.unreported = nil
	c.mu.Unlock()
	for chunk := range slices.Chunk(list, maxReportedMarks) {
		c.changeStored(nil, chunk)
	}
}

func (c *crashTracker) changeStored(added, disproved []wire.CrashMark) {
	ctx, cancel := context.WithTimeout(context.Background(), crashMarkTimeout)
	defer cancel()
	c.store.ChangeCrashMarks(ctx, added, disproved)
}

// connectionBroke records a request whose connection to an instance broke, and has the
// instance probed.
func (c *crashTracker) connectionBroke(r brokenRequest, instance catalog.Instance) {
	c.mu.Lock()
	list, probing := c.broken[instance.Key()]
	if len(list) < maxBrokenRequests {
		c.broken[instance.Key()] = append(list, r)
	}
	c.mu.Unlock()
	if !probing {
		go c.probe(instance)
	}
}

// probe marks the broken requests of an instance if connecting to it fails.
func (c *crashTracker) probe(instance catalog.Instance) {
	time.Sleep(probeDelay)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := c.dial(ctx, instance.Address)
	c.mu.Lock()
	list := c.broken[instance.Key()]
	delete(c.broken, instance.Key())
	var marks []wire.CrashMark
	if err != nil {
		marks = c.markLocked(instance.ID, list)
	}
	c.mu.Unlock()
	if err == nil {
		return
	}
	c.logCrash(instance, list, err)
	c.changeStored(marks[:min(len(marks), maxReportedMarks)], nil)
}

// markLocked adds the marks of the requests that broke when an instance crashed to this host's
// own, and returns them, those of prompt parts first.
func (c *crashTracker) markLocked(instance string, broken []brokenRequest) (marks []wire.CrashMark) {
	c.evidence = nil
	if len(c.names) > maxNames {
		c.forgetNamesLocked()
	}
	seen := map[wire.Digest]bool{}
	var requests []wire.CrashMark
	for _, r := range broken {
		c.names[r.fingerprint] = markedName{service: r.service, whole: true}
		for _, id := range r.sharedParts {
			c.names[partFingerprint(r.service, id)] = markedName{service: r.service, part: id}
		}
		for _, m := range r.crashMarks(instance, c.now()) {
			switch {
			case seen[m.Fingerprint]:
				continue
			case m.Fingerprint == r.fingerprint:
				requests = append(requests, m)
			default:
				marks = append(marks, m)
			}
			seen[m.Fingerprint] = true
			c.own.add(m.Fingerprint, instance, m.At)
		}
	}
	return append(marks, requests...)
}

// SetCrashMarks replaces the marks recorded by the control group. Marks of this host's own that
// the control group had and has no more are dropped: another host has disproved them, or they
// have expired.
func (s *Server) SetCrashMarks(list []wire.CrashMark) {
	s.crashes.setRecorded(list)
}

func (c *crashTracker) setRecorded(list []wire.CrashMark) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evidence = nil
	old := c.recorded
	c.recorded = crashMarks{}
	for _, m := range list {
		c.recorded.add(m.Fingerprint, m.Upstream, m.At)
	}
	for fp, instances := range old {
		for instance := range instances {
			if !c.recorded.has(fp, instance) {
				c.own.drop(fp, instance)
			}
		}
	}
	c.forgetNamesLocked()
}
