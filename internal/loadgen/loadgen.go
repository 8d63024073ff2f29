// Package loadgen sends bounded load from several client accounts to discovered hosts,
// checks that every response is complete and belongs to its request, and reports outcomes.
//
// It uses net/http rather than the HTTP library of the routers, so that a bug in one
// implementation cannot be masked by the same bug on the other side.
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

// RequestSpec is one kind of request.
type RequestSpec struct {
	Pool string          `json:"pool"`
	Kind config.PoolKind `json:"kind"`
	// Share is the relative frequency in the mix of an account; 0 counts as 1.
	Share float64 `json:"share"`
	// Stream, PromptBytes, MaxTokens and Prefixes apply to model pools. Prefixes is the
	// number of different prompt prefixes.
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
	// Text is added to each body, for example a trigger string of the upstream emulator.
	Text string `json:"text"`
}

// Account is one client account.
type Account struct {
	Name string `json:"name"`
	// Key is the bearer credential.
	Key string `json:"key"`
	// Workers is the maximum number of requests in flight.
	Workers int `json:"workers"`
	// Rate limits the requests started per second; 0 means no limit.
	Rate float64       `json:"rate"`
	Mix  []RequestSpec `json:"mix"`
	// SourceIP is the source IP address of the connections; empty means any.
	SourceIP string `json:"origin"`
	// Addresses, if any, are used instead of discovery. An address that occurs more often
	// gets more of the requests.
	Addresses []string `json:"addresses"`
}

// Options are the settings and bounds of a run.
type Options struct {
	// Hosts are the caller addresses of the hosts that are asked first for discovery.
	Hosts    []string
	Accounts []Account
	// Requests bounds the requests of each account, Duration the period in which requests
	// start. At least one must be positive.
	Requests int
	Duration time.Duration
	// Timeout bounds one request.
	Timeout time.Duration
	// Retries is how often a request refused as not_run is retried.
	Retries int
	// MaxRetryDelay bounds the delay after a refusal.
	MaxRetryDelay time.Duration
	// BucketLength is the length of one step of the throughput series.
	BucketLength time.Duration
	Seed         int64
	// OnResult is called after each request, from several goroutines.
	OnResult func(account string, r Result)
	// Dial opens connections; nil means TCP from the account's SourceIP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	Now  func() time.Time
}

// Limits and defaults of Options.
const (
	defaultTimeout       = 60 * time.Second
	defaultMaxRetryDelay = time.Second
	defaultBucketLength  = time.Second
	minRetryDelay        = 5 * time.Millisecond
	// maxWorkers bounds the goroutines of a run.
	maxWorkers = 4096
)

// Run sends the load and returns the report. It returns an error for invalid options, or if
// discovery returns no address at the start.
func Run(ctx context.Context, opts Options) (*Report, error) {
	if err := opts.check(); err != nil {
		return nil, err
	}
	start := opts.Now()
	g, gctx := errgroup.WithContext(ctx)
	clients := make([]*client, len(opts.Accounts))
	for i, a := range opts.Accounts {
		clients[i] = newClient(&opts, a, start)
		defer clients[i].close()
		if len(a.Addresses) > 0 {
			continue
		}
		if err := clients[i].discover(ctx); err != nil {
			return nil, err
		}
	}
	for i, c := range clients {
		for w := range c.account.Workers {
			rng := rand.New(rand.NewSource(opts.Seed + int64(i)<<20 + int64(w)))
			g.Go(func() error { c.runWorker(gctx, rng, w); return nil })
		}
	}
	_ = g.Wait()
	return newReport(clients, opts.Now().Sub(start), opts.BucketLength), nil
}

func (opts *Options) check() error {
	bad := func(format string, args ...any) error {
		return fault.New(fault.InvalidSettings, "", format, args...)
	}
	workers := 0
	for i := range opts.Accounts {
		a := &opts.Accounts[i]
		workers += a.Workers
		if a.Workers <= 0 || len(a.Mix) == 0 {
			return bad("account %q needs workers and a mix", a.Name)
		}
		if len(opts.Hosts) == 0 && len(a.Addresses) == 0 {
			return bad("no hosts given")
		}
	}
	switch {
	case len(opts.Accounts) == 0:
		return bad("no accounts given")
	case workers > maxWorkers:
		return bad("%d workers exceed the limit of %d", workers, maxWorkers)
	case opts.Requests <= 0 && opts.Duration <= 0:
		return bad("the run needs a bound of requests or time")
	}
	if opts.Timeout <= 0 {
		opts.Timeout = defaultTimeout
	}
	if opts.MaxRetryDelay <= 0 {
		opts.MaxRetryDelay = defaultMaxRetryDelay
	}
	if opts.BucketLength <= 0 {
		opts.BucketLength = defaultBucketLength
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return nil
}
