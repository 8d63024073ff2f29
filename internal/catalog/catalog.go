// Package catalog reads the list of upstream instances that the installation publishes.
//
// The list lags behind and may be unavailable for a while. It says which instances exist
// and which are draining; whether an instance works is learnt from its responses.
package catalog

import (
	"context"
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/wait"
)

// Instance is one run of an upstream process.
type Instance struct {
	// ID is the installation's name for the process. A restarted process may keep its ID and
	// then differs in Born.
	ID string
	// Born is the start time in Unix milliseconds, 0 when unknown.
	Born    int64
	Service string
	// Version is that of the software of the process, empty when unknown. What two versions
	// generate for one request does not fit together.
	Version    string
	Address    string
	DataCentre string
	// Slots is how many requests the instance runs concurrently, 0 when unknown.
	Slots int
	// Draining instances must get no new requests.
	Draining bool
	// ColdFor is how much longer the instance stays cold, counted from List.ReadAt.
	ColdFor time.Duration
}

// Key identifies an instance, also when a restarted process has the same ID.
type Key struct {
	ID   string
	Born int64
}

// Key returns the key of the instance.
func (i Instance) Key() Key { return Key{i.ID, i.Born} }

// List is the whole list as read at one time.
type List struct {
	Instances []Instance
	// ReadAt is when the first page was requested.
	ReadAt time.Time
}

// FormatVersion returns the form in logs of the digest of a list.
func FormatVersion(digest uint64) string { return fmt.Sprintf("%016x", digest) }

// Source reads the whole list, once for each call.
type Source interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// checkInterval is how often a host checks whether it should read the list.
const checkInterval = 100 * time.Millisecond

// fetchTimeout bounds one read of all pages.
const fetchTimeout = time.Second

// Options configure a Reader.
type Options struct {
	Source Source
	// ShouldRead reports whether this host should read the list now.
	ShouldRead func(now time.Time) bool
	// Now is the clock of reads; nil means time.Now.
	Now func() time.Time
	// OnList is called with each list that was read.
	OnList   func(List)
	Log      logrus.FieldLogger
	Registry metrics.Registry
}

// Reader reads a Source whenever it is this host's turn.
type Reader struct {
	opts     Options
	failing  bool
	failures metrics.Counter
}

// NewReader returns a Reader.
func NewReader(opts Options) *Reader {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Reader{opts: opts, failures: metrics.GetOrRegisterCounter("catalog.read_failures", opts.Registry)}
}

// Run reads the list until ctx is done, and returns nil.
func (r *Reader) Run(ctx context.Context) error {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		if r.opts.ShouldRead(r.opts.Now()) {
			r.read(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// failureDelay is the pause after a failed read.
const failureDelay = 400 * time.Millisecond

func (r *Reader) read(ctx context.Context) {
	readAt := r.opts.Now()
	readCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	instances, err := r.opts.Source.Instances(readCtx)
	cancel()
	if err != nil {
		r.failures.Inc(1)
		// All hosts share the rate limit of the list, so a refused read is not repeated at once.
		if !r.failing {
			r.opts.Log.WithError(err).Warn("Failed to read the list of upstreams. The last list stays in use.")
		}
		r.failing = true
		wait.For(ctx, failureDelay)
		return
	}
	if r.failing {
		r.opts.Log.WithField("instances", len(instances)).Info("The list of upstreams can be read again.")
	}
	r.failing = false
	r.opts.OnList(List{Instances: instances, ReadAt: readAt})
}
