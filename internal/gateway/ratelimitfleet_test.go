package gateway

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"marigoldshunt/internal/admission"
	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/routing"
	"marigoldshunt/internal/wire"
)

// memoryTransport delivers admission messages between the hosts of a test.
type memoryTransport struct {
	from  string
	hosts map[string]*admission.Admission
}

func (t *memoryTransport) Send(to string, kind wire.Kind, msg any) error {
	data, err := wire.Marshal(msg)
	if err != nil {
		return err
	}
	go t.hosts[to].Handle(t.from, 1, kind, data)
	return nil
}

// newAdmittingFleet returns hosts that pace their requests together, until the test ends.
func newAdmittingFleet(t *testing.T, d *routing.Document, hosts int, upstreams ...*upstream) (fleet []*testGateway) {
	byName := map[string]*admission.Admission{}
	var names []string
	for i := range hosts {
		names = append(names, fmt.Sprint("h", i))
	}
	ctx, cancel := context.WithCancel(context.Background())
	var ticks sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		ticks.Wait()
	})
	for _, name := range names {
		byName[name] = admission.New(admission.Options{
			Host: name, Transport: &memoryTransport{name, byName}, Now: time.Now, Log: discardLog(), Registry: metrics.NewRegistry(),
		})
	}
	for _, name := range names {
		a := byName[name]
		a.SetHosts(names)
		gw := newTestGatewayWith(t, d, func(opts *Options) { opts.Admission = a }, upstreams...)
		gw.server.opts.Dispatcher.Update(func(d *dispatch.Dispatcher, _ time.Time) { d.SetHosts(names) })
		ticks.Go(func() {
			ticker := time.NewTicker(100 * time.Millisecond)
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case now := <-ticker.C:
					a.Tick(now)
				}
			}
		})
		fleet = append(fleet, gw)
	}
	return fleet
}

// Guards against hosts that send an upstream, together, more requests than it says that it
// takes, and against hosts that leave it idle while requests wait.
func TestHostsTogetherKeepToTheRateLimitOfAnUpstream(t *testing.T) {
	const (
		perSecond = 5
		hosts     = 3
		// learnTime is how long after the first answer with the limit the hosts may exceed it.
		learnTime    = time.Second
		window       = 4 * time.Second
		sendInterval = 40 * time.Millisecond
		// maxInWindow is one and a half times the limit and a few more.
		maxInWindow = perSecond*4*3/2 + 5
		minInWindow = perSecond*4 - 2
	)
	for _, test := range []struct {
		name   string
		engine *routing.Engine
	}{{"engine", &routing.Engine{Slots: 8, MemoryTokens: 100_000}}, {"plain service", nil}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			var mu sync.Mutex
			var arrived []time.Time
			u := newUpstream(t, func(req *receivedRequest) {
				mu.Lock()
				arrived = append(arrived, time.Now())
				mu.Unlock()
				writeRaw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Proof: p1\r\nX-Rate-Limit: %d\r\n\r\nok", perSecond)(req)
			})
			d := document()
			d.Services[0].Engine = test.engine
			fleet := newAdmittingFleet(t, d, hosts, u)
			begun := time.Now()
			var running sync.WaitGroup
			for i := 0; time.Since(begun) < learnTime+window; i++ {
				running.Go(func() { fleet[i%hosts].do("POST", "/order/x", "") })
				time.Sleep(sendInterval)
			}
			running.Wait()
			counted := 0
			for _, at := range arrived {
				if since := at.Sub(begun); since >= learnTime && since < learnTime+window {
					counted++
				}
			}
			c.Check(counted <= maxInWindow, qt.IsTrue, qt.Commentf("%d requests in %s, at most %d", counted, window, maxInWindow))
			c.Check(counted >= minInWindow, qt.IsTrue, qt.Commentf("%d requests in %s, at least %d", counted, window, minInWindow))
		})
	}
}
