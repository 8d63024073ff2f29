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

// maxParallelRequests limits the concurrent requests to hosts.
const maxParallelRequests = 16

// endpoint is the admin address of a host. The host name is empty for an address that is
// not in the configuration.
type endpoint struct {
	host, address string
}

// hostAnswer is the answer of one host, or the error if there is none.
type hostAnswer[T any] struct {
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

// endpoints returns the hosts of the configuration, and the addresses given by flags that
// are not in it.
func endpoints(c *client, cfg *config.Config) []endpoint {
	var out []endpoint
	known := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(cfg.Hosts)) {
		address := cfg.Hosts[name].AdminAddress
		if _, err := netip.ParseAddrPort(address); err == nil {
			out = append(out, endpoint{name, address})
			known[address] = true
		}
	}
	for _, address := range c.addresses {
		if !known[address] {
			out = append(out, endpoint{"", address})
		}
	}
	return out
}

// fleetEndpoints returns the hosts to query. Without a configuration, these are the hosts of
// the flags.
func fleetEndpoints(ctx context.Context, c *client) ([]endpoint, error) {
	cfg, err := fetchConfig(ctx, c)
	if err != nil {
		if fault.CodeOf(err) == fault.Unauthenticated {
			return nil, err
		}
		cfg = config.New()
	}
	return endpoints(c, cfg), nil
}

// queryAll requests the same path from each host once.
func queryAll[T any](ctx context.Context, c *client, endpoints []endpoint, path string) []hostAnswer[T] {
	return queryEach[T](ctx, c, endpoints, func(endpoint) string { return path })
}

// queryEach requests a path of its own from each host once.
func queryEach[T any](ctx context.Context, c *client, endpoints []endpoint, path func(endpoint) string) []hostAnswer[T] {
	out := make([]hostAnswer[T], len(endpoints))
	semaphore := make(chan struct{}, maxParallelRequests)
	var wg sync.WaitGroup
	for i, e := range endpoints {
		path := path(e)
		wg.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			v := new(T)
			err := c.attempt(ctx, e.address, fasthttp.MethodGet, path, nil, v)
			out[i] = hostAnswer[T]{endpoint: e, value: v, err: err}
		})
	}
	wg.Wait()
	return out
}

// distinctHosts removes repeated answers of hosts that answered under several addresses.
func distinctHosts(answers []hostAnswer[admin.Status]) []hostAnswer[admin.Status] {
	seen := map[string]bool{}
	return slices.DeleteFunc(answers, func(s hostAnswer[admin.Status]) bool {
		if s.err != nil {
			return false
		}
		again := seen[s.value.Host]
		seen[s.value.Host] = true
		return again
	})
}
