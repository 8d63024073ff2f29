package loadgen

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/native"
)

// RoutedCaller is one client of routed services in the native formats. It asks hosts where
// to connect, caches the addresses, and checks every response against what the upstream
// emulator sends. It is not safe for concurrent use.
type RoutedCaller struct {
	// DiscoveryAddresses holds the discovery addresses of hosts.
	DiscoveryAddresses []string
	// DataCentre is where the caller is, HostHeader the Host header of its requests.
	DataCentre, HostHeader string
	HTTP                   *http.Client
	Random                 *rand.Rand

	addresses       []string
	addressesExpire time.Time
}

// RoutedRequest is one request.
type RoutedRequest struct {
	ID         string
	Path       string
	Credential string
	// BodyBytes is the length of the body.
	BodyBytes int
	// Timeout is how long the caller waits; with 0 no deadline is sent.
	Timeout time.Duration
	// Parts and Usage are the headers X-Prompt-Parts and X-Token-Usage of a generation
	// request. Events is the number of events that its stream must have; with 0 the response
	// must be that of a plain service.
	Parts, Usage string
	Events       int
	// LastEvent is the number of the last event that the caller has of a stream that it resumes, 0
	// for a new one. Resumes is the ID of the request that brought the first event.
	LastEvent int
	Resumes   string
}

// RoutedResult is the outcome of one request at the caller.
type RoutedResult struct {
	ID, Address string
	Sent, Ended time.Time
	// Written is when the last byte of the request was written to its connection; zero if there was
	// no connection, or if it ended before.
	Written time.Time
	// KeptConnection means that the connection had served a request before.
	KeptConnection bool
	// First is when the first event, or the complete response of a service, had arrived; zero
	// without one.
	First  time.Time
	Status int
	// Complete means that the HTTP response was read to its end, CallerCancelled that the
	// caller cancelled the request, Cut that the request failed in another way: the
	// connection ended before or during the response, or the request timed out.
	Complete, Cut, CallerCancelled bool
	// TimedOut means that the request was cut because the caller waits no longer.
	TimedOut bool
	// FailureCode is the code in the body of a failure, RetryAfter its header.
	FailureCode string
	RetryAfter  time.Duration
	// Events is the number of events that came whole, in order and byte for byte as an upstream
	// makes them; those before a resumed stream count.
	Events int
	// StreamFault is what is wrong with a stream, empty for nothing; Fault describes it.
	StreamFault StreamFault
	// PartialEvent means that the connection ended inside an event that was sound so far.
	PartialEvent bool
	// FailureAsStream means that a failure had the content type of an event stream and a body.
	FailureAsStream bool
	// Fault describes what is wrong with a response that looks complete but is not, or that
	// belongs to another request. Such a response is a fault of the fleet.
	Fault string
}

// Bounds of discovery: the number of hosts that are asked, and the timeout of each request.
const (
	maxRoutedDiscoveryHosts = 3
	routedDiscoveryTimeout  = time.Second
)

// Discover asks up to three hosts where to connect, unless the cached addresses are still
// valid. It returns an error only if no address is cached.
func (c *RoutedCaller) Discover(ctx context.Context) error {
	if time.Now().Before(c.addressesExpire) && len(c.addresses) > 0 {
		return nil
	}
	var lastErr error
	for _, i := range c.Random.Perm(len(c.DiscoveryAddresses))[:min(maxRoutedDiscoveryHosts, len(c.DiscoveryAddresses))] {
		if lastErr = c.queryHost(ctx, c.DiscoveryAddresses[i]); lastErr == nil {
			return nil
		}
	}
	if len(c.addresses) > 0 {
		return nil
	}
	return fault.Wrap(lastErr, fault.HostIsolated, fault.NotRun, "no host tells where to connect")
}

func (c *RoutedCaller) queryHost(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, routedDiscoveryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/connect?data_centre="+c.DataCentre, nil)
	if err != nil {
		return err
	}
	req.Close = true
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var answer native.ConnectAnswer
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&answer); err != nil || len(answer.Addresses) == 0 {
		return fault.New(fault.HostIsolated, fault.NotRun, "host %s answered with %d and no address", address, resp.StatusCode)
	}
	c.addresses, c.addressesExpire = answer.Addresses, time.Now().Add(time.Duration(answer.KeepForMS)*time.Millisecond)
	return nil
}

// Address returns a random one of the discovered addresses.
func (c *RoutedCaller) Address() string { return c.addresses[c.Random.Intn(len(c.addresses))] }

// ExpireAddresses makes the next Discover ask the hosts again.
func (c *RoutedCaller) ExpireAddresses() { c.addressesExpire = time.Time{} }

// Send sends a request to a host and checks the response.
func (c *RoutedCaller) Send(ctx context.Context, address string, q RoutedRequest) RoutedResult {
	r := RoutedResult{ID: q.ID, Address: address, Sent: time.Now()}
	var written atomic.Pointer[time.Time]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { r.KeptConnection = info.Reused },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if at := time.Now(); info.Err == nil {
				written.Store(&at)
			}
		},
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, "http://"+address+q.Path, strings.NewReader(strings.Repeat("x", q.BodyBytes)))
	if err != nil {
		r.Fault = err.Error()
		return r
	}
	// Without GetBody the transport cannot resend a request on its own.
	req.GetBody = nil
	req.Host = c.HostHeader
	req.Header.Set("X-Request-Id", q.ID)
	if q.Credential != "" {
		req.Header.Set("X-Api-Key", q.Credential)
	}
	if q.Timeout > 0 {
		req.Header.Set("X-Deadline-Ms", strconv.FormatInt(q.Timeout.Milliseconds(), 10))
	}
	if q.Parts != "" {
		req.Header.Set("X-Prompt-Parts", q.Parts)
		req.Header.Set("X-Token-Usage", q.Usage)
	}
	if q.LastEvent > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(q.LastEvent))
		req.Header.Set("X-Resumes", q.Resumes)
	}
	resp, err := c.HTTP.Do(req)
	if err == nil {
		r.Status = resp.StatusCode
		err = r.check(resp, &q)
		resp.Body.Close()
	}
	r.Ended = time.Now()
	if at := written.Load(); at != nil {
		r.Written = *at
	}
	r.CallerCancelled = errors.Is(ctx.Err(), context.Canceled)
	r.Complete, r.Cut = err == nil, err != nil && !r.CallerCancelled
	r.TimedOut = r.Cut && errors.Is(ctx.Err(), context.DeadlineExceeded)
	return r
}

// Unanswered reports whether the request reached a connection that ended without any answer or
// refusal while the caller still waited.
func (r *RoutedResult) Unanswered() bool {
	return r.Cut && r.Status == 0 && !r.TimedOut && !r.Written.IsZero()
}

// recordFault records the first fault of a response.
func (r *RoutedResult) recordFault(format string, args ...any) {
	if r.Fault == "" {
		r.Fault = fmt.Sprintf(format, args...)
	}
}

// check reads and checks a response. It returns an error if the connection ends inside it.
func (r *RoutedResult) check(resp *http.Response, q *RoutedRequest) error {
	// A refusal sent before the request was parsed carries no ID.
	if id := resp.Header.Get("X-Request-Id"); id != q.ID && (id != "" || resp.StatusCode != http.StatusServiceUnavailable) {
		r.recordFault("the answer is that of request %q", id)
	}
	switch {
	case q.Events > 0 && resp.StatusCode/100 == 2:
		return r.checkEvents(resp.Body, q)
	case resp.StatusCode != http.StatusOK:
		return r.readFailure(resp)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return err
	}
	r.First = time.Now()
	if len(b) > maxResponseBytes {
		r.recordFault("the answer exceeds %d bytes", maxResponseBytes)
		return nil
	}
	var a struct {
		ID    string `json:"id"`
		Path  string `json:"path"`
		Bytes int    `json:"bytes"`
	}
	if json.Unmarshal(b, &a) != nil || a.ID != q.ID || a.Bytes != q.BodyBytes || a.Path != q.Path {
		r.recordFault("the answer is %q", b)
	}
	return nil
}
