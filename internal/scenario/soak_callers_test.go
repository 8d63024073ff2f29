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

// soakOutput is the number of tokens of each stream, soakEvents that of its events.
const (
	soakOutput = 40
	soakEvents = (soakOutput + 5) / 6
)

// ending is what a caller saw of one request.
type ending struct {
	loadgen.RoutedResult
	kind, credential string
}

// callers send requests until they are stopped and keep the endings.
type callers struct {
	f    *soakFleet
	stop chan struct{}
	work sync.WaitGroup

	mu      sync.Mutex
	endings []ending
	seq     int
}

// callerPause is the mean time between two requests of one caller.
const callerPause = 30 * time.Millisecond

func (c *callers) start(n int, seed int64) {
	c.stop = make(chan struct{})
	for i := range n {
		s := c.newCaller(rand.New(rand.NewSource(seed<<8+int64(i))), &http.Transport{DisableCompression: true})
		s.DataCentre = dataCentreOf(i)
		c.work.Add(1)
		go func() {
			defer c.work.Done()
			defer s.HTTP.CloseIdleConnections()
			for s.pause() {
				s.one()
			}
		}()
	}
}

func (c *callers) end() {
	close(c.stop)
	c.work.Wait()
}

func (c *callers) note(e ending) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endings = append(c.endings, e)
}

func (c *callers) id(kind string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	return fmt.Sprintf("%s-%d", strings.ReplaceAll(kind, "/", "_"), c.seq)
}

// caller is one client with its own connections.
type caller struct {
	loadgen.RoutedCaller
	c *callers
}

func (c *callers) newCaller(rng *rand.Rand, t *http.Transport) *caller {
	s := &caller{c: c, RoutedCaller: loadgen.RoutedCaller{Host: "soak.example", HTTP: &http.Client{Transport: t}, Random: rng}}
	for _, h := range c.f.hosts {
		s.Discovery = append(s.Discovery, c.f.at(h.ip, portDiscovery))
	}
	return s
}

func (s *caller) pause() bool {
	select {
	case <-s.c.stop:
		return false
	case <-time.After(time.Duration(s.Random.ExpFloat64() * float64(callerPause))):
		return true
	}
}

// Times of requests: the route's timeout, and when the harness gives up.
const (
	routeTime   = 4 * time.Second
	requestTime = routeTime + 3*time.Second
)

func (s *caller) one() {
	ctx, cancel := context.WithTimeout(context.Background(), requestTime)
	defer cancel()
	if s.Discover(ctx) != nil {
		return
	}
	kind := []string{"orders", "reads", "events", "events/once"}[s.Random.Intn(4)]
	if s.Random.Intn(12) == 0 {
		// Some callers leave early.
		time.AfterFunc(time.Duration(s.Random.Intn(60))*time.Millisecond, cancel)
	}
	if e := s.send(ctx, s.Address(), kind, soakCredential); e.Cut {
		s.Forget()
	}
}

// send sends one request to a host and notes how it ended.
func (s *caller) send(ctx context.Context, address, kind, credential string) ending {
	id := s.c.id(kind)
	q := loadgen.RoutedRequest{
		ID: id, Path: "/" + kind + "/" + id, Credential: credential, BodyBytes: 10 + s.Random.Intn(2_000), Deadline: routeTime,
	}
	if strings.HasPrefix(kind, "events") {
		q.Parts = fmt.Sprintf("%x:2000,%x:%d", 1+s.Random.Intn(5), 1<<40+s.Random.Intn(1<<30), 50+s.Random.Intn(500))
		q.Usage = fmt.Sprintf("2300,%d", soakOutput)
		q.Events = soakEvents
	}
	e := ending{s.Send(ctx, address, q), kind, credential}
	s.c.note(e)
	return e
}
