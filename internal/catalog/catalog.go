// Package catalog keeps the list of upstream instances that the installation publishes.
//
// The list lags behind and may be unavailable for a while. It says what exists and what
// drains; whether an instance works is learnt from its answers.
package catalog

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/wait"
)

// Instance is one start of one upstream.
type Instance struct {
	// ID identifies the start of the process. A later start may have the same ID and then
	// differs in Born.
	ID string
	// Born is the time of the start in Unix milliseconds, 0 when unknown.
	Born       int64
	Service    string
	Address    string
	DataCentre string
	// Slots is the number of requests that the instance runs at once, 0 when unknown.
	Slots int
	// Draining instances must get no further requests.
	Draining bool
	// ColdFor is how much longer the instance stays cold, counted from the time of the list.
	ColdFor time.Duration
}

// Key identifies one start of an instance.
type Key struct {
	ID   string
	Born int64
}

// Key returns the identity of this start.
func (i Instance) Key() Key { return Key{i.ID, i.Born} }

// List is the whole list as it was read at one time.
type List struct {
	Instances []Instance
	// Read is when the first page was asked for.
	Read time.Time
}

// Source reads the whole list once.
type Source interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// lookInterval is the time between two looks whether this host should read.
const lookInterval = 100 * time.Millisecond

// fetchTimeout bounds one read of all pages.
const fetchTimeout = time.Second

// Options configure a Reader.
type Options struct {
	Source Source
	// Reads says whether this host reads the list now.
	Reads func(now time.Time) bool
	// OnList is told of each list that was read.
	OnList   func(List)
	Log      logrus.FieldLogger
	Registry metrics.Registry
}

// Reader polls a Source.
type Reader struct {
	o        Options
	failing  bool
	failures metrics.Counter
}

// NewReader returns a Reader.
func NewReader(o Options) *Reader {
	return &Reader{o: o, failures: metrics.GetOrRegisterCounter("catalog.read_failures", o.Registry)}
}

// Run polls until ctx ends.
func (r *Reader) Run(ctx context.Context) error {
	tick := time.NewTicker(lookInterval)
	defer tick.Stop()
	for {
		if r.o.Reads(time.Now()) {
			r.read(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// failurePause is the time after a failed read.
const failurePause = 400 * time.Millisecond

func (r *Reader) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	at := time.Now()
	list, err := r.o.Source.Instances(ctx)
	if err != nil {
		r.failures.Inc(1)
		// The rate of the list is shared, so a refusal is not answered by asking again.
		defer wait.For(ctx, failurePause)
		if !r.failing {
			r.o.Log.WithError(err).Warn("List of upstreams not read. The last one stays in use.")
		}
		r.failing = true
		return
	}
	if r.failing {
		r.o.Log.WithField("instances", len(list)).Info("List of upstreams read again.")
	}
	r.failing = false
	r.o.OnList(List{Instances: list, Read: at})
}
