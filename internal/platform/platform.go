// Package platform reads the platform's list of live and leaving hosts.
//
// The list comes late, may be wrong and may be absent. It gives hints only: decisions
// about liveness rest on heartbeats between hosts.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"marigoldshunt/internal/fault"
)

// State is what the platform says about a host.
type State string

// States of hosts.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

const (
	// DefaultInterval is the time between two reads. The list lags by more than this, so
	// that reading more often gives nothing.
	DefaultInterval = 2 * time.Second
	fetchTimeout    = 2 * time.Second
	// maxListBytes holds the list of several thousand hosts.
	maxListBytes = 1 << 20
)

// Entry is one host of the list.
type Entry struct {
	Host  string `json:"host"`
	State State  `json:"state"`
}

// List is the list as last read. At is zero when it was never read; a host that is
// absent from Hosts has no hint.
type List struct {
	Hosts map[string]State
	At    time.Time
}

// Leaving reports whether the platform said that the host is leaving.
func (l List) Leaving(host string) bool { return l.Hosts[host] == Leaving }

// Options configure a Reader.
type Options struct {
	// Source is a file path or an HTTP URL; with an empty source the list stays empty.
	Source   string
	Interval time.Duration
	// Now is the wall clock; nil means time.Now.
	Now      func() time.Time
	Log      logrus.FieldLogger
	Registry metrics.Registry
	// OnList, if set, is told of each list that differs from the one before.
	OnList func(List)
}

// Reader polls the list.
type Reader struct {
	o        Options
	client   fasthttp.Client
	list     atomic.Pointer[List]
	last     []byte
	failing  bool
	failures metrics.Counter
}

// New returns a reader that has not read yet.
func New(o Options) *Reader {
	if o.Interval <= 0 {
		o.Interval = DefaultInterval
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Log == nil {
		o.Log = logrus.StandardLogger()
	}
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	r := &Reader{o: o, failures: metrics.GetOrRegisterCounter("platform.failures", o.Registry)}
	r.o.Log = o.Log.WithField("part", "platform")
	r.client = fasthttp.Client{MaxResponseBodySize: maxListBytes, ReadTimeout: fetchTimeout, WriteTimeout: fetchTimeout}
	r.list.Store(&List{})
	return r
}

// List returns the list as last read. Callers must not change it.
func (r *Reader) List() List { return *r.list.Load() }

// Run polls the source until ctx ends, and returns nil.
func (r *Reader) Run(ctx context.Context) error {
	if r.o.Source == "" {
		<-ctx.Done()
		return nil
	}
	t := time.NewTicker(r.o.Interval)
	defer t.Stop()
	for {
		r.Poll()
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// Poll reads the source once. After a failure the earlier list stays, and the error is
// returned, counted and, for the first of a series, logged. It must not be called
// concurrently.
func (r *Reader) Poll() error {
	data, err := r.fetch()
	if err == nil && (r.last == nil || !bytes.Equal(data, r.last)) {
		err = r.adopt(data)
	} else if err == nil {
		r.list.Store(&List{Hosts: r.List().Hosts, At: r.o.Now()})
	}
	if err != nil {
		r.failures.Inc(1)
		if !r.failing {
			r.o.Log.WithError(err).Warn("Host list not read. Keeping the earlier list.")
		}
	}
	r.failing = err != nil
	return err
}

func (r *Reader) adopt(data []byte) error {
	hosts, err := parse(data)
	if err != nil {
		return err
	}
	r.last = data
	list := List{Hosts: hosts, At: r.o.Now()}
	r.list.Store(&list)
	if r.o.OnList != nil {
		r.o.OnList(list)
	}
	return nil
}

func (r *Reader) fetch() ([]byte, error) {
	if strings.Contains(r.o.Source, "://") {
		return r.fetchHTTP()
	}
	f, err := os.Open(r.o.Source)
	if err != nil {
		return nil, fault.Wrap(err, fault.NotFound, "", "open the host list")
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxListBytes+1))
	if err != nil {
		return nil, fault.Wrap(err, fault.NotFound, "", "read the host list")
	}
	if len(data) > maxListBytes {
		return nil, fault.New(fault.BodyTooLarge, "", "the host list exceeds %d bytes", maxListBytes)
	}
	return data, nil
}

func (r *Reader) fetchHTTP() ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(r.o.Source)
	if err := r.client.DoTimeout(req, resp, fetchTimeout); err != nil {
		return nil, fault.Wrap(err, fault.NotFound, "", "fetch the host list")
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, fault.New(fault.NotFound, "", "the host list was answered with status %d", resp.StatusCode())
	}
	return bytes.Clone(resp.Body()), nil
}

// parse refuses a list with any unusable entry, because a list cut or garbled in one
// place can't be trusted in another.
func parse(data []byte) (map[string]State, error) {
	var entries []Entry
	if err := json.Unmarshal(data, &entries); err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, "", "decode the host list")
	}
	hosts := make(map[string]State, len(entries))
	for _, e := range entries {
		if e.Host == "" || (e.State != Live && e.State != Leaving) {
			return nil, fault.New(fault.BadRequest, "", "host %q has the unknown state %q", e.Host, e.State)
		}
		hosts[e.Host] = e.State
	}
	return hosts, nil
}
