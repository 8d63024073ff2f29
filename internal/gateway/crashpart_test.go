package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/routing"
	"marigoldshunt/internal/wire"
)

// crashingFleet is a set of hosts that share their crash marks, in front of upstreams that
// crash on one prompt part and come back at once as another instance.
type crashingFleet struct {
	*qt.C
	hosts     []*testGateway
	upstreams []*upstream
	// reported gets one value for each crash that a host has reported.
	reported chan struct{}

	mu      sync.Mutex
	restart []int
	crashes int
	marks   []wire.CrashMark
	sent    int
}

// crashingPart is the hexadecimal id of the part.
const crashingPart = "bad"

func newCrashingFleet(t *testing.T, hosts, upstreams int) *crashingFleet {
	f := &crashingFleet{C: qt.New(t), reported: make(chan struct{}, 64), restart: make([]int, upstreams)}
	d := document()
	for i := range d.Routes {
		d.Routes[i].PromptAffinity = true
	}
	d.Services[0].Engine = &routing.Engine{Slots: 4, MemoryTokens: 100_000}
	for i := range upstreams {
		f.upstreams = append(f.upstreams, newUpstream(t, func(req *receivedRequest) {
			if strings.Contains(req.Header.Get("X-Prompt-Parts"), crashingPart+":") {
				f.crash(i)
				closeConn(req)
				return
			}
			writeRaw("%s", rawResponse(200, "answer"))(req)
		}))
	}
	for range hosts {
		gw := newTestGatewayWith(t, d, func(opts *Options) { opts.CrashStore = f })
		gw.server.crashes.dial = func(context.Context, string) error { return fault.New(fault.UpstreamFailed, "", "refused") }
		f.hosts = append(f.hosts, gw)
	}
	f.setInstances()
	return f
}

// crash gives the upstream another instance id.
func (f *crashingFleet) crash(i int) {
	f.mu.Lock()
	f.crashes++
	f.restart[i]++
	f.mu.Unlock()
	f.setInstances()
}

func (f *crashingFleet) setInstances() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []catalog.Instance
	for i, u := range f.upstreams {
		list = append(list, catalog.Instance{ID: fmt.Sprintf("i%d-%d", i, f.restart[i]), Service: "svc", Address: u.ln.Addr().String(), DataCentre: "dc", Slots: 4})
	}
	for _, gw := range f.hosts {
		gw.server.opts.Dispatcher.SetInstances(catalog.List{Instances: list})
	}
}

// MarkCrash implements CrashStore for all hosts, in place of the control group.
func (f *crashingFleet) MarkCrash(_ context.Context, service string, fp wire.Digest, instance string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.marks = append(f.marks, wire.CrashMark{Pool: service, Fingerprint: fp, Upstream: instance})
	for _, gw := range f.hosts {
		gw.server.SetCrashMarks(f.marks)
	}
	f.reported <- struct{}{}
}

// send sends a request that no other one equals through a host, with the given parts and one
// of its own.
func (f *crashingFleet) send(host int, parts string) (*http.Response, string) {
	f.mu.Lock()
	f.sent++
	own := f.sent
	f.mu.Unlock()
	resp, body, _ := f.hosts[host].do("POST", "/order/x", fmt.Sprint("body ", own), fmt.Sprintf("X-Prompt-Parts: %s,%x:10", parts, 0x1000+own))
	return resp, body
}

func (f *crashingFleet) crashCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes
}

// waitReported waits until a host has reported the last crash.
func (f *crashingFleet) waitReported() {
	select {
	case <-f.reported:
	case <-time.After(testTimeout):
		f.Fatal("a crash was not reported")
	}
}

// Guards against a part of prompts that crashes one upstream after another, because no two
// requests with it are alike.
func TestPromptPartThatCrashesUpstreamsIsQuarantined(t *testing.T) {
	const (
		crashesToQuarantine = 5
		timeToQuarantine    = 3 * time.Second
	)
	f := newCrashingFleet(t, 2, 4)
	bad, sound := "a1:100,"+crashingPart+":50", "a1:100,c3:50"
	for i := range crashesToQuarantine {
		if resp, _ := f.send(i%2, bad); resp == nil || resp.StatusCode != 503 {
			f.waitReported()
		}
		resp, _ := f.send(i%2, sound)
		f.Assert(resp.StatusCode, qt.Equals, 200)
	}
	for due, refused := time.Now().Add(timeToQuarantine), false; !refused; time.Sleep(timeToQuarantine / 20) {
		f.Assert(time.Now().Before(due), qt.IsTrue, qt.Commentf("requests with the part are still sent, %d crashes", f.crashCount()))
		resp, _ := f.send(0, bad)
		if refused = resp != nil && resp.StatusCode == 503; !refused {
			f.waitReported()
		}
	}
	crashes := f.crashCount()
	for i := range 10 {
		resp, body := f.send(i%2, bad)
		f.Assert(resp.StatusCode, qt.Equals, 503)
		f.Assert(body, qt.Equals, failureBody(fault.CrashesUpstreams, fault.NotRun))
		resp, _ = f.send(i%2, sound)
		f.Assert(resp.StatusCode, qt.Equals, 200)
	}
	f.Assert(f.crashCount(), qt.Equals, crashes)
}
