package gateway

import (
	"context"
	"crypto/sha256"
	"net"
	"sync"
	"time"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// Parameters of the quarantine of requests that crash upstreams.
const (
	// maxCrashes is the number of upstreams that a request may crash.
	maxCrashes = 2
	// probeDelay lets a crashed upstream's port close before it is looked at.
	probeDelay   = 50 * time.Millisecond
	probeTimeout = 300 * time.Millisecond
	// markTimeout bounds the wait for the replicated record of a crash.
	markTimeout = 3 * time.Second
	// maxSuspects bounds the broken requests remembered for one instance.
	maxSuspects = 256
	// crashRetryAfter is told to callers of quarantined requests.
	crashRetryAfter = 30 * time.Second
)

// CrashRecord is the fleet-wide record of requests that crashed upstreams.
type CrashRecord interface {
	// MarkCrash records that a request crashed an instance of a service.
	MarkCrash(ctx context.Context, service string, fingerprint wire.Digest, instance string)
}

// crashes finds the requests that crash the upstreams which run them. A request counts as
// the cause when its connection broke and the instance can't be connected to right after.
// Others that ran there are marked too, so that one mark alone means nothing.
type crashes struct {
	record CrashRecord
	dial   func(ctx context.Context, address string) error

	mu sync.Mutex
	// own and recorded are the instances that each request crashed, as this host saw it and
	// as the control group has it.
	own, recorded marks
	// suspects are the requests that broke at an instance which is being looked at.
	suspects map[catalog.Key][]suspect
}

// marks are the instances that each request crashed.
type marks map[wire.Digest]map[string]bool

func (m marks) add(fp wire.Digest, instance string) {
	if m[fp] == nil {
		m[fp] = map[string]bool{}
	}
	m[fp][instance] = true
}

// maxOwnMarks bounds the marks of a host that the control group does not confirm.
const maxOwnMarks = 4_096

type suspect struct {
	service     string
	fingerprint wire.Digest
}

func newCrashes(record CrashRecord) *crashes {
	return &crashes{record: record, dial: dialOnce, own: marks{}, recorded: marks{}, suspects: map[catalog.Key][]suspect{}}
}

func dialOnce(ctx context.Context, address string) error {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err == nil {
		err = c.Close()
	}
	return err
}

// fingerprint identifies a request over its repeats by account, method, target and body.
func (q *request) fingerprint() wire.Digest {
	if q.digest != nil {
		return *q.digest
	}
	h := sha256.New()
	for _, part := range []string{q.account, q.r.Method, q.r.Host, q.target} {
		_, _ = h.Write(append([]byte(part), 0)) // a hash takes everything
	}
	_, _ = h.Write(q.body)
	var d wire.Digest
	copy(d[:], h.Sum(nil))
	q.digest = &d
	return d
}

// check refuses a request that has crashed too many upstreams. The fingerprint is asked for
// only while there are marks, because it costs a hash of the body.
func (c *crashes) check(fingerprint func() wire.Digest) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.own)+len(c.recorded) == 0 {
		return nil
	}
	fp := fingerprint()
	n := len(c.recorded[fp])
	for instance := range c.own[fp] {
		if !c.recorded[fp][instance] {
			n++
		}
	}
	if n < maxCrashes {
		return nil
	}
	return fault.New(fault.CrashesUpstreams, fault.NotRun, "the request has crashed %d upstreams", n).After(crashRetryAfter)
}

// broke notes that the connection of a request broke at an instance, and looks at it.
func (c *crashes) broke(service string, fp wire.Digest, i catalog.Instance) {
	c.mu.Lock()
	list, looking := c.suspects[i.Key()]
	if len(list) < maxSuspects {
		c.suspects[i.Key()] = append(list, suspect{service, fp})
	}
	c.mu.Unlock()
	if !looking {
		go c.look(i)
	}
}

// look marks the suspects of an instance if it can't be connected to.
func (c *crashes) look(i catalog.Instance) {
	time.Sleep(probeDelay)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := c.dial(ctx, i.Address)
	c.mu.Lock()
	list := c.suspects[i.Key()]
	delete(c.suspects, i.Key())
	if err != nil {
		for _, s := range list {
			if len(c.own) >= maxOwnMarks {
				clear(c.own)
			}
			c.own.add(s.fingerprint, i.ID)
		}
	}
	c.mu.Unlock()
	if err == nil {
		return
	}
	for _, s := range list {
		mark, cancel := context.WithTimeout(context.Background(), markTimeout)
		c.record.MarkCrash(mark, s.service, s.fingerprint, i.ID)
		cancel()
	}
}

// SetCrashMarks takes the marks that the control group has recorded.
func (s *Server) SetCrashMarks(list []wire.CrashMark) {
	s.crashes.mu.Lock()
	defer s.crashes.mu.Unlock()
	s.crashes.recorded = marks{}
	for _, m := range list {
		s.crashes.recorded.add(m.Fingerprint, m.Upstream)
	}
}
