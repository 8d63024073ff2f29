// Package hostlist reads the platform's list of live and leaving hosts.
//
// The list lags behind, may be wrong and may be missing. It is only a hint: liveness is
// decided by heartbeats between hosts.
package hostlist

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

// State is the state of a host according to the platform.
type State string

// The states that a list may contain.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

const (
	// DefaultInterval is the time between two reads. The list lags by more than this, so
	// reading it more often gains nothing.
	DefaultInterval = 2 * time.Second
	fetchTimeout    = 2 * time.Second
	// maxListBytes is enough for a list of several thousand hosts.
	maxListBytes = 1 << 20
)

// Entry is one host of the list.
type Entry struct {
	Host  string `json:"host"`
	State State  `json:"state"`
}

// List is the platform's list of hosts as last read. ReadAt is the time of that read, zero
// before the first. The list says nothing about a host that is missing from Hosts.
type List struct {
	Hosts  map[string]State
	ReadAt time.Time
}

// Leaving reports whether the list says that the host is leaving.
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
	// OnList, if set, is called with each list that differs from the previous one.
	OnList func(List)
}

// Reader polls the list.
type Reader struct {
	opts     Options
	client   fasthttp.Client
	list     atomic.Pointer[List]
	lastData []byte
	failing  bool
	failures metrics.Counter
}

// New returns a Reader whose list is empty until the first read.
func New(opts Options) *Reader {
	if opts.Interval <= 0 {
		opts.Interval = DefaultInterval
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Log == nil {
		opts.Log = logrus.StandardLogger()
	}
	if opts.Registry == nil {
		opts.Registry = metrics.NewRegistry()
	}
	r := &Reader{opts: opts, failures: metrics.GetOrRegisterCounter("platform.failures", opts.Registry)}
	r.opts.Log = opts.Log.WithField("part", "platform")
	r.client = fasthttp.Client{MaxResponseBodySize: maxListBytes, ReadTimeout: fetchTimeout, WriteTimeout: fetchTimeout}
	r.list.Store(&List{})
	return r
}

// List returns the list as last read. Callers must not change it.
func (r *Reader) List() List { return *r.list.Load() }

// Run polls the source until ctx is done, and returns nil.
func (r *Reader) Run(ctx context.Context) error {
	if r.opts.Source == "" {
		<-ctx.Done()
		return nil
	}
	t := time.NewTicker(r.opts.Interval)
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

// Poll reads the source once. If that fails, the previous list stays in use, and the error
// is returned and counted; only the first of consecutive failures is logged. It must not
// be called concurrently.
func (r *Reader) Poll() error {
	data, err := r.fetch()
	if err == nil && (r.lastData == nil || !bytes.Equal(data, r.lastData)) {
		err = r.update(data)
	} else if err == nil {
		r.list.Store(&List{Hosts: r.List().Hosts, ReadAt: r.opts.Now()})
	}
	if err != nil {
		r.failures.Inc(1)
		if !r.failing {
			r.opts.Log.WithError(err).Warn("Failed to read the host list. The previous list stays in use.")
		}
	}
	r.failing = err != nil
	return err
}

func (r *Reader) update(data []byte) error {
	hosts, err := parse(data)
	if err != nil {
		return err
	}
	r.lastData = data
	list := List{Hosts: hosts, ReadAt: r.opts.Now()}
	r.list.Store(&list)
	if r.opts.OnList != nil {
		r.opts.OnList(list)
	}
	return nil
}

func (r *Reader) fetch() ([]byte, error) {
	if strings.Contains(r.opts.Source, "://") {
		return r.fetchHTTP()
	}
	f, err := os.Open(r.opts.Source)
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
	req.SetRequestURI(r.opts.Source)
	// On a kept connection, bytes after one response would be taken for the next one.
	req.SetConnectionClose()
	if err := r.client.DoTimeout(req, resp, fetchTimeout); err != nil {
		return nil, fault.Wrap(err, fault.NotFound, "", "fetch the host list")
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, fault.New(fault.NotFound, "", "the host list was answered with status %d", resp.StatusCode())
	}
	return bytes.Clone(resp.Body()), nil
}

// parse rejects a list with any invalid entry, because a list that is truncated or corrupt
// in one place can't be trusted in another.
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
