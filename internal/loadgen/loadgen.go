// Package loadgen sends bounded load from several client accounts through discovery,
// checks that every answer is whole and belongs to its request, and reports outcomes.
//
// It uses net/http rather than the library of the routers, so that a fault of one HTTP
// implementation cannot hide behind the same fault on the other side.
package loadgen

import (
	"context"
	"math/rand"
	"net"
	"time"

	"golang.org/x/sync/errgroup"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
)

// Work is one kind of request.
type Work struct {
	Pool string      `json:"pool"`
	Kind config.Kind `json:"kind"`
	// Share is the relative frequency among the works of an account; 0 counts as 1.
	Share float64 `json:"share"`
	// Stream, PromptBytes, MaxTokens and Prefixes apply to model pools. Prefixes is the
	// number of distinct prompt beginnings.
	Stream      bool `json:"stream"`
	PromptBytes int  `json:"prompt_bytes"`
	MaxTokens   int  `json:"max_tokens"`
	Prefixes    int  `json:"prefixes"`
	// Method, Path, BodyBytes and Keyed apply to services. A number that is unique in
	// the run is appended to Path; Keyed sends an Idempotency-Key.
	Method    string `json:"method"`
	Path      string `json:"path"`
	BodyBytes int    `json:"body_bytes"`
	Keyed     bool   `json:"keyed"`
	// Text is added to each body, for example a trigger of the upstream emulator.
	Text string `json:"text"`
}

// Account is one client account.
type Account struct {
	Name string `json:"name"`
	// Key is the bearer credential.
	Key string `json:"key"`
	// Workers is the number of requests in flight at most.
	Workers int `json:"workers"`
	// Rate bounds the requests started per second; 0 means no bound.
	Rate float64 `json:"rate"`
	Mix  []Work  `json:"mix"`
	// Origin is the source IP address of the connections; empty means any.
	Origin string `json:"origin"`
	// Addresses, when given, replace discovery. An address that occurs more often gets
	// more of the requests.
	Addresses []string `json:"addresses"`
}

// Options bound and shape a run.
type Options struct {
	// Hosts are caller addresses to ask for discovery first.
	Hosts    []string
	Accounts []Account
	// Requests bounds the requests of each account, Duration the time in which requests
	// start. At least one must be positive.
	Requests int
	Duration time.Duration
	// Timeout bounds one request.
	Timeout time.Duration
	// Retries is how often a request refused as not_run is sent again.
	Retries int
	// MaxPause bounds the pause after a refusal with Retry-After.
	MaxPause time.Duration
	// Bucket is the width of the throughput series.
	Bucket time.Duration
	Seed   int64
	// OnResult is called after each request, from several goroutines.
	OnResult func(account string, r Result)
	// Dial opens connections; nil means TCP from the account's origin.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	Now  func() time.Time
}

// Limits and defaults of Options.
const (
	defaultTimeout  = 60 * time.Second
	defaultMaxPause = time.Second
	defaultBucket   = time.Second
	defaultPause    = 5 * time.Millisecond
	// maxWorkers bounds the goroutines of a run.
	maxWorkers = 4096
)

// Run sends the load and returns the report. It returns an error for bad options or
// when discovery gave no address at the start.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	start := o.Now()
	g, gctx := errgroup.WithContext(ctx)
	clients := make([]*client, len(o.Accounts))
	for i, a := range o.Accounts {
		clients[i] = newClient(&o, a, start)
		defer clients[i].close()
		if len(a.Addresses) > 0 {
			continue
		}
		if err := clients[i].refresh(ctx); err != nil {
			return nil, err
		}
	}
	for i, c := range clients {
		for w := range c.account.Workers {
			rng := rand.New(rand.NewSource(o.Seed + int64(i)<<20 + int64(w)))
			g.Go(func() error { c.work(gctx, rng, w); return nil })
		}
	}
	_ = g.Wait()
	return makeReport(clients, o.Now().Sub(start), o.Bucket), nil
}

func (o *Options) check() error {
	bad := func(format string, args ...any) error {
		return fault.New(fault.InvalidSettings, "", format, args...)
	}
	workers := 0
	for i := range o.Accounts {
		a := &o.Accounts[i]
		workers += a.Workers
		if a.Workers <= 0 || len(a.Mix) == 0 {
			return bad("account %q needs workers and a mix", a.Name)
		}
		if len(o.Hosts) == 0 && len(a.Addresses) == 0 {
			return bad("no hosts given")
		}
	}
	switch {
	case len(o.Accounts) == 0:
		return bad("no accounts given")
	case workers > maxWorkers:
		return bad("%d workers exceed the limit of %d", workers, maxWorkers)
	case o.Requests <= 0 && o.Duration <= 0:
		return bad("the run needs a bound of requests or time")
	}
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.MaxPause <= 0 {
		o.MaxPause = defaultMaxPause
	}
	if o.Bucket <= 0 {
		o.Bucket = defaultBucket
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return nil
}
