package loadgen

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"marigoldshunt/internal/discovery"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wait"
)

// client sends the requests of one account. It holds the cached addresses and the results.
type client struct {
	opts    *Options
	account Account
	start   time.Time
	http    *http.Client
	started atomic.Int64

	mu              sync.Mutex
	addresses       []string
	seedHosts       []string
	addressesExpire time.Time
	discoveries     int
	nextIndex       int
	nextStart       time.Time
	results         []Result
}

func newClient(opts *Options, a Account, start time.Time) *client {
	d := net.Dialer{Timeout: 2 * time.Second}
	if a.SourceIP != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(a.SourceIP)}
	}
	dial := d.DialContext
	if opts.Dial != nil {
		dial = opts.Dial
	}
	return &client{opts: opts, account: a, start: start, nextStart: start, seedHosts: slices.Clone(opts.Hosts), http: &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: a.Workers,
		DisableCompression:  true,
	}}}
}

func (c *client) close() { c.http.CloseIdleConnections() }

// discoveryTimeout bounds one discovery request to one host.
const discoveryTimeout = 3 * time.Second

// discover asks the cached addresses and then the seed hosts in turn, until one answers.
func (c *client) discover(ctx context.Context) error {
	c.mu.Lock()
	hosts := append(slices.Clone(c.addresses), c.seedHosts...)
	c.mu.Unlock()
	var lastErr error
	for _, h := range hosts {
		answer, err := c.queryHost(ctx, h)
		if err != nil {
			lastErr = err
			continue
		}
		c.mu.Lock()
		c.discoveries++
		c.addresses = c.addresses[:0:0]
		for _, entry := range answer.Addresses {
			c.addresses = append(c.addresses, entry.Address)
		}
		c.addressesExpire = c.opts.Now().Add(time.Duration(answer.KeepForMS) * time.Millisecond)
		c.mu.Unlock()
		return nil
	}
	return fault.Wrap(lastErr, fault.PeerUnreachable, fault.NotRun, "discovery of account %q", c.account.Name)
}

func (c *client) queryHost(ctx context.Context, host string) (discovery.Answer, error) {
	var answer discovery.Answer
	ctx, cancel := context.WithTimeout(ctx, discoveryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+"/v1/discover", nil)
	if err != nil {
		return answer, err
	}
	req.Header.Set("Authorization", "Bearer "+c.account.Key)
	resp, err := c.http.Do(req)
	if err != nil {
		return answer, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return answer, err
	}
	if resp.StatusCode != http.StatusOK {
		return answer, fault.New(fault.PeerUnreachable, fault.NotRun, "host %s answered with status %d", host, resp.StatusCode)
	}
	if err := json.Unmarshal(b, &answer); err != nil {
		return answer, err
	}
	if len(answer.Addresses) == 0 {
		return answer, errors.New("host returned no addresses")
	}
	return answer, nil
}

// maxResponseBytes bounds responses that are read into memory, and lines of streams.
const maxResponseBytes = 16 << 20

// nextAddress returns the next address in turn. It repeats the discovery first if the
// addresses have expired.
func (c *client) nextAddress(ctx context.Context) string {
	c.mu.Lock()
	if fixed := c.account.Addresses; len(fixed) > 0 {
		defer c.mu.Unlock()
		c.nextIndex++
		return fixed[c.nextIndex%len(fixed)]
	}
	expired := !c.opts.Now().Before(c.addressesExpire)
	if expired {
		// One worker asks; the others use the old addresses meanwhile.
		c.addressesExpire = c.opts.Now().Add(discoveryTimeout)
	}
	c.mu.Unlock()
	if expired {
		_ = c.discover(ctx)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.addresses
	if len(list) == 0 {
		list = c.seedHosts
	}
	c.nextIndex++
	return list[c.nextIndex%len(list)]
}

// dropAddress removes an address that accepted no connection, until discovery returns it
// again.
func (c *client) dropAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.Index(c.addresses, address); i >= 0 {
		c.addresses = slices.Delete(slices.Clone(c.addresses), i, i+1)
	}
	if len(c.addresses) == 0 {
		c.addressesExpire = time.Time{}
	}
}

// runWorker sends requests until the bound of the run is reached.
func (c *client) runWorker(ctx context.Context, rng *rand.Rand, worker int) {
	for n := 0; c.waitToStart(ctx); n++ {
		q := newRequest(c.account, pickRequestSpec(c.account.Mix, rng), rng, worker, n, c.opts.Now())
		res := c.send(ctx, q)
		if ctx.Err() != nil {
			return
		}
		c.mu.Lock()
		c.results = append(c.results, res)
		c.mu.Unlock()
		if c.opts.OnResult != nil {
			c.opts.OnResult(c.account.Name, res)
		}
		if res.Code != "" {
			wait.For(ctx, c.retryDelay(res))
		}
	}
}

// waitToStart counts one request towards the account's bound and waits until its rate
// allows it to start. It returns false when the run is over.
func (c *client) waitToStart(ctx context.Context) bool {
	if ctx.Err() != nil || (c.opts.Duration > 0 && c.opts.Now().Sub(c.start) >= c.opts.Duration) {
		return false
	}
	if c.opts.Requests > 0 && c.started.Add(1) > int64(c.opts.Requests) {
		return false
	}
	if c.account.Rate <= 0 {
		return true
	}
	c.mu.Lock()
	at := c.nextStart
	if now := c.opts.Now(); at.Before(now) {
		at = now
	}
	c.nextStart = at.Add(time.Duration(float64(time.Second) / c.account.Rate))
	c.mu.Unlock()
	if c.opts.Duration > 0 && at.Sub(c.start) >= c.opts.Duration {
		return false
	}
	wait.For(ctx, at.Sub(c.opts.Now()))
	return ctx.Err() == nil
}

// retryDelay returns how long a refused worker waits, so that it doesn't retry at once.
func (c *client) retryDelay(r Result) time.Duration {
	return min(max(r.RetryAfter, minRetryDelay), c.opts.MaxRetryDelay)
}

// send sends one request, with retries. After a failed connect it tries the next address.
func (c *client) send(ctx context.Context, q *request) Result {
	started := c.opts.Now()
	var r Result
	for attempt := 0; ; attempt++ {
		address := c.nextAddress(ctx)
		r = c.attempt(ctx, q, address)
		if r.Code == codeConnectFailed {
			c.dropAddress(address)
		}
		retry := r.Code == codeConnectFailed && attempt < discovery.MaxAddresses ||
			r.RunState == fault.NotRun && r.Code != codeConnectFailed && attempt < c.opts.Retries
		if !retry || ctx.Err() != nil {
			break
		}
		if r.Code != codeConnectFailed {
			wait.For(ctx, c.retryDelay(r))
		}
		r.Retries = attempt + 1
	}
	r.Pool = q.spec.Pool
	r.Start = started.Sub(c.start)
	r.Total = c.opts.Now().Sub(started)
	return r
}
