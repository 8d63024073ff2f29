package gateway

import (
	"context"
	"crypto/sha256"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// Parameters of the quarantine of requests that crash upstreams.
const (
	// maxCrashes is the number of crashed upstreams at which a request is refused.
	maxCrashes = 2
	// probeDelay gives the port of a crashed upstream time to close before it is probed.
	probeDelay   = 50 * time.Millisecond
	probeTimeout = 300 * time.Millisecond
	// crashMarkTimeout bounds the wait until a crash mark is replicated.
	crashMarkTimeout = 3 * time.Second
	// maxBrokenRequests bounds the requests kept for one instance while it is probed.
	maxBrokenRequests = 256
	// crashRetryAfter is the Retry-After for quarantined requests.
	crashRetryAfter = 30 * time.Second
)

// CrashStore is the fleet-wide record of requests that crashed upstreams.
type CrashStore interface {
	// MarkCrash records that a request crashed an instance of a service.
	MarkCrash(ctx context.Context, service string, fingerprint wire.Digest, instance string)
}

// crashTracker finds the requests that crash the upstreams which run them. A request is
// marked when its connection broke and connecting to the instance fails right after. Other
// requests that ran there at the time are marked too, so a single mark proves nothing.
type crashTracker struct {
	store CrashStore
	log   logrus.FieldLogger
	dial  func(ctx context.Context, address string) error

	mu sync.Mutex
	// own are the crash marks that this host set, recorded those that the control group has.
	own      *ownCrashMarks
	recorded crashMarks
	// disproved are the marks of requests that an upstream answered afterwards: a request that
	// crashes upstreams is never answered.
	disproved crashMarks
	// broken holds the requests whose connection broke, by the instance being probed.
	broken map[catalog.Key][]brokenRequest
}

// brokenRequest is a request whose connection to an instance broke.
type brokenRequest struct {
	id, service string
	fingerprint wire.Digest
	// sharedParts are the ids of the prompt parts that other requests may share.
	sharedParts []uint64
}

func newCrashTracker(store CrashStore, log logrus.FieldLogger) *crashTracker {
	return &crashTracker{
		store: store, log: log, dial: probeDial, own: newOwnCrashMarks(), recorded: crashMarks{}, disproved: crashMarks{},
		broken: map[catalog.Key][]brokenRequest{},
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

// check refuses a request that has crashed too many upstreams. It calls fingerprint, which
// hashes the body, only while there are marks.
func (c *crashTracker) check(fingerprint func() wire.Digest) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.own.len()+len(c.recorded) == 0 {
		return nil
	}
	n := len(c.validMarksLocked(fingerprint()))
	if n < maxCrashes {
		return nil
	}
	return fault.New(fault.CrashesUpstreams, fault.NotRun, "the request has crashed %d upstreams", n).WithRetryAfter(crashRetryAfter)
}

// validMarksLocked returns the instances that the request crashed, without those whose marks
// are disproved.
func (c *crashTracker) validMarksLocked(fp wire.Digest) (instances []string) {
	for instance := range c.recorded[fp] {
		if !c.disproved[fp][instance] {
			instances = append(instances, instance)
		}
	}
	for instance := range c.own.marks[fp] {
		if !c.recorded[fp][instance] && !c.disproved[fp][instance] {
			instances = append(instances, instance)
		}
	}
	return instances
}

// answered disproves the marks that a request has when an upstream answers it.
func (c *crashTracker) answered(fingerprint func() wire.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.own.len()+len(c.recorded) == 0 {
		return
	}
	fp := fingerprint()
	for _, instance := range c.validMarksLocked(fp) {
		if len(c.disproved) >= maxOwnCrashMarks {
			clear(c.disproved)
		}
		c.disproved.add(fp, instance)
	}
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
	if err != nil {
		for _, s := range list {
			c.own.add(s.fingerprint, instance.ID)
		}
	}
	c.mu.Unlock()
	if err == nil {
		return
	}
	c.logCrash(instance, list, err)
	for _, s := range list {
		markCtx, cancel := context.WithTimeout(context.Background(), crashMarkTimeout)
		c.store.MarkCrash(markCtx, s.service, s.fingerprint, instance.ID)
		cancel()
	}
}

// SetCrashMarks replaces the marks recorded by the control group.
func (s *Server) SetCrashMarks(list []wire.CrashMark) {
	s.crashes.mu.Lock()
	defer s.crashes.mu.Unlock()
	s.crashes.recorded = crashMarks{}
	for _, m := range list {
		s.crashes.recorded.add(m.Fingerprint, m.Upstream)
	}
}
