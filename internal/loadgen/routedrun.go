package loadgen

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"marigoldshunt/internal/fault"
)

// RoutedOptions are the settings of a run of requests to one route.
type RoutedOptions struct {
	DiscoveryAddresses []string
	DataCentre         string
	HostHeader         string
	// Path is the prefix of the route; a unique number is appended.
	Path       string
	Credential string
	BodyBytes  int
	// Each of the Workers sends Requests requests, one after the other.
	Workers, Requests int
	Timeout           time.Duration
	// SharedTokens and OwnTokens are the lengths of the shared prefix and of the rest of a
	// generation's prompt, Prefixes is the number of different shared prefixes. OutputTokens
	// and TokensPerEvent describe the streams. With no OutputTokens the responses must be
	// those of a plain service.
	SharedTokens, OwnTokens, Prefixes int
	OutputTokens, TokensPerEvent      int
	// Tries is the number of requests that a caller makes at most to begin a stream, and as many for each
	// time that it resumes the stream after a broken connection; those that find no host that serves
	// don't count. With 0 it makes one and resumes nothing.
	Tries int
	Seed  int64
}

// RoutedReport counts the outcomes of a run.
type RoutedReport struct {
	Requests int `json:"requests"`
	Complete int `json:"whole"`
	Cut      int `json:"cut"`
	Faulty   int `json:"faulty"`
	// StreamFaults counts the faulty streams by what is wrong with them.
	StreamFaults map[StreamFault]int `json:"stream_faults"`
	// PartialEvents counts the cut streams that ended inside an event, which the end of a host
	// explains. FailuresAsStreams counts failures with the content type of an event stream.
	PartialEvents     int            `json:"partial_events"`
	FailuresAsStreams int            `json:"failures_as_streams"`
	Status            map[string]int `json:"status"`
	// FirstMS holds quantiles of the time to the first event, or to the complete response of
	// a service.
	FirstMS map[string]float64 `json:"first_ms"`
	// Streams compares resumed streams with new ones, and counts requests without an answer, by second.
	Streams *StreamShares `json:"streams"`
	// Example describes the fault of one faulty response.
	Example    string `json:"example,omitempty"`
	firstTimes []time.Duration
}

func (opts *RoutedOptions) check() error {
	switch {
	case len(opts.DiscoveryAddresses) == 0:
		return fault.New(fault.InvalidSettings, "", "no hosts given")
	case opts.Workers <= 0 || opts.Workers > maxWorkers || opts.Requests <= 0:
		return fault.New(fault.InvalidSettings, "", "workers must be from 1 to %d, and requests positive", maxWorkers)
	case opts.Tries < 0 || opts.Tries > 0 && opts.OutputTokens <= 0:
		return fault.New(fault.InvalidSettings, "", "tries must not be negative, and only streams are resumed")
	case opts.OutputTokens > 0 && (opts.TokensPerEvent <= 0 || opts.OwnTokens <= 0 || opts.Prefixes <= 0):
		return fault.New(fault.InvalidSettings, "", "generations need tokens per event, own tokens and groups")
	}
	if opts.Timeout <= 0 {
		opts.Timeout = defaultTimeout
	}
	return nil
}

// RunRouted sends the load and returns the report. It returns an error for invalid options,
// or if discovery finds no address.
func RunRouted(ctx context.Context, opts RoutedOptions) (*RoutedReport, error) {
	if err := opts.check(); err != nil {
		return nil, err
	}
	r := &RoutedReport{Status: map[string]int{}, StreamFaults: map[StreamFault]int{}, FirstMS: map[string]float64{}, Streams: NewStreamShares()}
	var mu sync.Mutex
	started := time.Now()
	record := func(t StreamTry) {
		atStop := t.Unanswered() && refusesConnections(t.Address)
		mu.Lock()
		defer mu.Unlock()
		r.add(t.RoutedResult)
		sent := t.Sent.Sub(started)
		if opts.OutputTokens > 0 {
			r.Streams.Add(t, sent)
		}
		if t.Unanswered() {
			r.Streams.AddUnanswered(sent, atStop)
		}
	}
	g, ctx := errgroup.WithContext(ctx)
	for w := range opts.Workers {
		g.Go(func() error {
			c := &RoutedCaller{
				DiscoveryAddresses: opts.DiscoveryAddresses, DataCentre: opts.DataCentre, HostHeader: opts.HostHeader,
				HTTP: &http.Client{Transport: &http.Transport{DisableCompression: true}}, Random: rand.New(rand.NewSource(opts.Seed<<8 + int64(w))),
			}
			defer c.HTTP.CloseIdleConnections()
			for n := range opts.Requests {
				q := opts.request(c.Random, fmt.Sprintf("w%d-%d", w, n))
				if opts.Tries > 0 {
					c.FollowStream(ctx, q, opts.Tries, opts.Timeout, record)
					continue
				}
				if err := c.Discover(ctx); err != nil {
					return err
				}
				reqCtx, cancel := context.WithTimeout(ctx, opts.Timeout)
				res := c.Send(reqCtx, c.Address(), q)
				cancel()
				record(StreamTry{RoutedResult: res, Last: true})
			}
			return nil
		})
	}
	err := g.Wait()
	r.finish()
	return r, err
}

// stopCheckTimeout bounds the connection that shows whether a host is stopping.
const stopCheckTimeout = 200 * time.Millisecond

// refusesConnections reports whether nothing listens at an address, as at a host that is stopping.
func refusesConnections(address string) bool {
	c, err := net.DialTimeout("tcp", address, stopCheckTimeout)
	if err == nil {
		_ = c.Close() // nothing was sent
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// request generates one request at random.
func (opts *RoutedOptions) request(rng *rand.Rand, id string) RoutedRequest {
	q := RoutedRequest{ID: id, Path: opts.Path + id, Credential: opts.Credential, BodyBytes: opts.BodyBytes, Timeout: opts.Timeout}
	if opts.OutputTokens > 0 {
		q.Parts = fmt.Sprintf("%x:%d,%x:%d", 1+rng.Intn(opts.Prefixes), opts.SharedTokens, 1<<40+rng.Int63n(1<<40), opts.OwnTokens)
		q.Usage = fmt.Sprintf("%d,%d", opts.SharedTokens+opts.OwnTokens, opts.OutputTokens)
		q.Events = (opts.OutputTokens + opts.TokensPerEvent - 1) / opts.TokensPerEvent
	}
	return q
}

func (r *RoutedReport) add(res RoutedResult) {
	r.Requests++
	r.Status[fmt.Sprint(res.Status)]++
	if res.StreamFault != "" {
		r.StreamFaults[res.StreamFault]++
	}
	if res.PartialEvent {
		r.PartialEvents++
	}
	if res.FailureAsStream {
		r.FailuresAsStreams++
	}
	switch {
	case res.Fault != "":
		r.Faulty++
		r.Example = res.ID + ": " + res.Fault
	case res.Cut:
		r.Cut++
	case res.Complete && res.Status == http.StatusOK:
		r.Complete++
		r.firstTimes = append(r.firstTimes, res.First.Sub(res.Sent))
	}
}

func (r *RoutedReport) finish() {
	slices.Sort(r.firstTimes)
	for name, q := range map[string]float64{"p50": 0.5, "p95": 0.95} {
		if n := len(r.firstTimes); n > 0 {
			r.FirstMS[name] = float64(r.firstTimes[min(int(q*float64(n)), n-1)].Microseconds()) / 1000
		}
	}
}
