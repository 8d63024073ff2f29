package ctl

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"

	"github.com/valyala/fasthttp"

	"marigoldshunt/internal/admin"
	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
)

// parallelRequests bounds the requests to hosts at one time.
const parallelRequests = 16

// endpoint is a host by its admin address; the host name is unknown for addresses that
// are not in the configuration.
type endpoint struct {
	host, address string
}

// answerOf is the answer of one host, or why there is none.
type answerOf[T any] struct {
	endpoint
	value *T
	err   error
}

func (e endpoint) name() string {
	if e.host != "" {
		return e.host
	}
	return e.address
}

// addresses returns the hosts of the configuration, and those given by flags that it
// does not have.
func addresses(c *client, cfg *config.Config) []endpoint {
	var out []endpoint
	known := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(cfg.Hosts)) {
		address := cfg.Hosts[name].AdminAddress
		if _, err := netip.ParseAddrPort(address); err == nil {
			out = append(out, endpoint{name, address})
			known[address] = true
		}
	}
	for _, address := range c.hosts {
		if !known[address] {
			out = append(out, endpoint{"", address})
		}
	}
	return out
}

// fleet returns the hosts to ask. Without a configuration, these are the hosts of the
// flags.
func fleet(ctx context.Context, c *client) ([]endpoint, error) {
	cfg, err := fetchConfig(ctx, c)
	if err != nil {
		if fault.CodeOf(err) == fault.Unauthenticated {
			return nil, err
		}
		cfg = config.New()
	}
	return addresses(c, cfg), nil
}

// askAll requests a path from each host once.
func askAll[T any](ctx context.Context, c *client, hosts []endpoint, path string) []answerOf[T] {
	return askEach[T](ctx, c, hosts, func(endpoint) string { return path })
}

func askEach[T any](ctx context.Context, c *client, hosts []endpoint, path func(endpoint) string) []answerOf[T] {
	out := make([]answerOf[T], len(hosts))
	slots := make(chan struct{}, parallelRequests)
	var wg sync.WaitGroup
	for i, h := range hosts {
		path := path(h)
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			v := new(T)
			err := c.attempt(ctx, h.address, fasthttp.MethodGet, path, nil, v)
			out[i] = answerOf[T]{endpoint: h, value: v, err: err}
		})
	}
	wg.Wait()
	return out
}

// distinct removes answers of hosts that have answered under another address as well.
func distinct(answers []answerOf[admin.Status]) []answerOf[admin.Status] {
	seen := map[string]bool{}
	return slices.DeleteFunc(answers, func(s answerOf[admin.Status]) bool {
		if s.err != nil {
			return false
		}
		again := seen[s.value.Host]
		seen[s.value.Host] = true
		return again
	})
}
