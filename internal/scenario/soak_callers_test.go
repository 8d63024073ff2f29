package scenario

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"

	"marigoldshunt/internal/loadgen"
)

// soakOutputTokens is the number of output tokens of each stream, soakEvents the number of
// its events.
const (
	soakOutputTokens = 40
	soakEvents       = (soakOutputTokens + 5) / 6
)

// soakKinds are the routes to which callers send.
var soakKinds = []string{"orders", "reads", "events", "events/once"}

// callerResult is what a caller saw of one request.
type callerResult struct {
	loadgen.RoutedResult
	kind, credential string
}

// callers send requests until they are stopped, and keep the results.
type callers struct {
	fleet *soakFleet
	// name is the prefix of the ids of their requests.
	name string
	// kinds are the routes to which they send at random.
	kinds   []string
	stopped chan struct{}
	workers sync.WaitGroup

	mu      sync.Mutex
	results []callerResult
	seq     int
}

// meanCallerPause is the usual mean time between two requests of one caller.
const meanCallerPause = 30 * time.Millisecond

func (c *callers) start(n int, seed int64) {
	c.stopped = make(chan struct{})
	for i := range n {
		client := c.newCaller(rand.New(rand.NewSource(seed<<8+int64(i))), &http.Transport{DisableCompression: true})
		client.DataCentre = dataCentreOf(i)
		c.workers.Add(1)
		go func() {
			defer c.workers.Done()
			defer client.HTTP.CloseIdleConnections()
			for client.waitPause() {
				client.sendRandom()
			}
		}()
	}
}

func (c *callers) stopAll() {
	close(c.stopped)
	c.workers.Wait()
}

func (c *callers) record(result callerResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, result)
}

func (c *callers) newID(kind string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	return fmt.Sprintf("%s%s-%d", c.name, strings.ReplaceAll(kind, "/", "_"), c.seq)
}

// caller is one client with its own connections.
type caller struct {
	loadgen.RoutedCaller
	callers *callers
	// meanPause is the mean time between two of its requests.
	meanPause time.Duration
}

func (c *callers) newCaller(rng *rand.Rand, t *http.Transport) *caller {
	client := &caller{callers: c, meanPause: meanCallerPause, RoutedCaller: loadgen.RoutedCaller{HostHeader: "soak.example", HTTP: &http.Client{Transport: t}, Random: rng}}
	for _, h := range c.fleet.hosts {
		client.DiscoveryAddresses = append(client.DiscoveryAddresses, c.fleet.address(h.ip, portDiscovery))
	}
	return client
}

func (c *caller) waitPause() bool {
	select {
	case <-c.callers.stopped:
		return false
	case <-time.After(time.Duration(c.Random.ExpFloat64() * float64(c.meanPause))):
		return true
	}
}

// Timeouts of requests: that of the route, and that of the caller.
const (
	routeTimeout  = 4 * time.Second
	callerTimeout = routeTimeout + 3*time.Second
)

func (c *caller) sendRandom() {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	if c.Discover(ctx) != nil {
		return
	}
	kind := c.callers.kinds[c.Random.Intn(len(c.callers.kinds))]
	if c.Random.Intn(12) == 0 {
		// Some callers cancel their request early.
		time.AfterFunc(time.Duration(c.Random.Intn(60))*time.Millisecond, cancel)
	}
	if result := c.send(ctx, c.Address(), kind, soakCredential); result.Cut {
		c.ExpireAddresses()
	}
}

// send sends one request to a host and records its result.
func (c *caller) send(ctx context.Context, address, kind, credential string) callerResult {
	result := callerResult{c.Send(ctx, address, c.request(kind, c.callers.newID(kind), credential)), kind, credential}
	c.callers.record(result)
	return result
}

// request generates a request to a route at random.
func (c *caller) request(kind, id, credential string) loadgen.RoutedRequest {
	req := loadgen.RoutedRequest{
		ID: id, Path: "/" + kind + "/" + id, Credential: credential, BodyBytes: 10 + c.Random.Intn(2_000), Timeout: routeTimeout,
	}
	if strings.HasPrefix(kind, "events") {
		req.Parts = fmt.Sprintf("%x:2000,%x:%d", 1+c.Random.Intn(5), 1<<40+c.Random.Intn(1<<30), 50+c.Random.Intn(500))
		req.Usage = fmt.Sprintf("2300,%d", soakOutputTokens)
		req.Events = soakEvents
	}
	return req
}
