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

// client is one account with its cached addresses and its results.
type client struct {
	o       *Options
	account Account
	start   time.Time
	http    *http.Client
	started atomic.Int64

	mu        sync.Mutex
	addresses []string
	known     []string
	until     time.Time
	asked     int
	turn      int
	next      time.Time
	results   []Result
}

func newClient(o *Options, a Account, start time.Time) *client {
	d := net.Dialer{Timeout: 2 * time.Second}
	if a.Origin != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(a.Origin)}
	}
	dial := d.DialContext
	if o.Dial != nil {
		dial = o.Dial
	}
	return &client{o: o, account: a, start: start, next: start, known: slices.Clone(o.Hosts), http: &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: a.Workers,
		DisableCompression:  true,
	}}}
}

func (c *client) close() { c.http.CloseIdleConnections() }

// discoverTimeout bounds one question to one host.
const discoverTimeout = 3 * time.Second

// refresh asks the known hosts in turn until one answers.
func (c *client) refresh(ctx context.Context) error {
	c.mu.Lock()
	hosts := append(slices.Clone(c.addresses), c.known...)
	c.mu.Unlock()
	var last error
	for _, h := range hosts {
		a, err := c.ask(ctx, h)
		if err != nil {
			last = err
			continue
		}
		c.mu.Lock()
		c.asked++
		c.addresses = c.addresses[:0:0]
		for _, ad := range a.Addresses {
			c.addresses = append(c.addresses, ad.Address)
		}
		c.until = c.o.Now().Add(time.Duration(a.KeepForMS) * time.Millisecond)
		c.mu.Unlock()
		return nil
	}
	return fault.Wrap(last, fault.PeerUnreachable, fault.NotRun, "discovery of account %q", c.account.Name)
}

func (c *client) ask(ctx context.Context, host string) (discovery.Answer, error) {
	var a discovery.Answer
	ctx, cancel := context.WithTimeout(ctx, discoverTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+"/v1/discover", nil)
	if err != nil {
		return a, err
	}
	req.Header.Set("Authorization", "Bearer "+c.account.Key)
	resp, err := c.http.Do(req)
	if err != nil {
		return a, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxSmall))
	if err != nil {
		return a, err
	}
	if resp.StatusCode != http.StatusOK {
		return a, fault.New(fault.PeerUnreachable, fault.NotRun, "host %s answered with status %d", host, resp.StatusCode)
	}
	if err := json.Unmarshal(b, &a); err != nil {
		return a, err
	}
	if len(a.Addresses) == 0 {
		return a, errors.New("host returned no addresses")
	}
	return a, nil
}

// maxSmall bounds answers that are read whole in memory.
const maxSmall = 16 << 20

// address returns the next address in turn, after asking again when the answer is old.
func (c *client) address(ctx context.Context) string {
	c.mu.Lock()
	if fixed := c.account.Addresses; len(fixed) > 0 {
		defer c.mu.Unlock()
		c.turn++
		return fixed[c.turn%len(fixed)]
	}
	old := !c.o.Now().Before(c.until)
	if old {
		// One worker asks; the others keep the old answer meanwhile.
		c.until = c.o.Now().Add(discoverTimeout)
	}
	c.mu.Unlock()
	if old {
		_ = c.refresh(ctx)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.addresses
	if len(list) == 0 {
		list = c.known
	}
	c.turn++
	return list[c.turn%len(list)]
}

// drop forgets an address that refused a connection, until discovery returns it again.
func (c *client) drop(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.Index(c.addresses, address); i >= 0 {
		c.addresses = slices.Delete(slices.Clone(c.addresses), i, i+1)
	}
	if len(c.addresses) == 0 {
		c.until = time.Time{}
	}
}

// work sends requests until the run's bound is reached.
func (c *client) work(ctx context.Context, rng *rand.Rand, worker int) {
	for n := 0; c.more(ctx); n++ {
		j := makeJob(c.account, pick(c.account.Mix, rng), rng, worker, n, c.o.Now())
		res := c.send(ctx, j)
		if ctx.Err() != nil {
			return
		}
		c.mu.Lock()
		c.results = append(c.results, res)
		c.mu.Unlock()
		if c.o.OnResult != nil {
			c.o.OnResult(c.account.Name, res)
		}
		if res.Code != "" {
			wait.For(ctx, c.pause(res))
		}
	}
}

// more claims one request of the account's bound and waits for its turn in the rate.
func (c *client) more(ctx context.Context) bool {
	if ctx.Err() != nil || (c.o.Duration > 0 && c.o.Now().Sub(c.start) >= c.o.Duration) {
		return false
	}
	if c.o.Requests > 0 && c.started.Add(1) > int64(c.o.Requests) {
		return false
	}
	if c.account.Rate <= 0 {
		return true
	}
	c.mu.Lock()
	at := c.next
	if now := c.o.Now(); at.Before(now) {
		at = now
	}
	c.next = at.Add(time.Duration(float64(time.Second) / c.account.Rate))
	c.mu.Unlock()
	if c.o.Duration > 0 && at.Sub(c.start) >= c.o.Duration {
		return false
	}
	wait.For(ctx, at.Sub(c.o.Now()))
	return ctx.Err() == nil
}

// pause keeps a refused worker from asking again at once.
func (c *client) pause(r Result) time.Duration {
	return min(max(r.RetryAfter, defaultPause), c.o.MaxPause)
}

// send runs one request with its retries. A request that no host accepted a connection
// for goes to the next address.
func (c *client) send(ctx context.Context, j *job) Result {
	begin := c.o.Now()
	var r Result
	for try := 0; ; try++ {
		address := c.address(ctx)
		r = c.attempt(ctx, j, address)
		if r.Code == codeConnect {
			c.drop(address)
		}
		again := r.Code == codeConnect && try < discovery.MaxAddresses ||
			r.RunState == fault.NotRun && r.Code != codeConnect && try < c.o.Retries
		if !again || ctx.Err() != nil {
			break
		}
		if r.Code != codeConnect {
			wait.For(ctx, c.pause(r))
		}
		r.Tries = try + 1
	}
	r.Pool = j.work.Pool
	r.Start = begin.Sub(c.start)
	r.Total = c.o.Now().Sub(begin)
	return r
}
