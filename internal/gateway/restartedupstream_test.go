package gateway

import (
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/routing"
)

// restartingUpstream is an upstream whose process ends and starts again at the same address.
type restartingUpstream struct {
	*upstream
	mu      sync.Mutex
	conns   map[net.Conn]bool
	arrived []time.Time
}

func newRestartingUpstream(t *testing.T) *restartingUpstream {
	r := &restartingUpstream{conns: map[net.Conn]bool{}}
	r.upstream = newUpstream(t, func(req *receivedRequest) {
		r.mu.Lock()
		r.conns[req.conn] = true
		r.arrived = append(r.arrived, time.Now())
		r.mu.Unlock()
		writeRaw("%s", rawResponse(200, "ok"))(req)
	})
	return r
}

// stop ends the process: its port is closed and its connections are reset.
func (r *restartingUpstream) stop() {
	r.ln.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	clear(r.conns)
}

// start starts the process again, and returns when it did.
func (r *restartingUpstream) start(t *testing.T) time.Time {
	c := qt.New(t)
	ln, err := net.Listen("tcp", r.ln.Addr().String())
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { ln.Close() })
	at := time.Now()
	go r.acceptAll(ln)
	return at
}

// mostWithin returns the most requests that arrived within a time from some moment since start.
func (r *restartingUpstream) mostWithin(window time.Duration, since time.Time) (most int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, first := range r.arrived {
		n := 0
		for _, at := range r.arrived[i:] {
			if at.Sub(first) < window {
				n++
			}
		}
		if !first.Before(since) {
			most = max(most, n)
		}
	}
	return most
}

// An engine that had started again under its old id was flooded until the list of instances said that it is cold.
func TestRestartedEngineIsNotFloodedBeforeTheListNamesIt(t *testing.T) {
	const (
		hosts         = 8
		coldPerSecond = 4.0
		warmUpTime    = 3 * time.Second
		runTime       = 500 * time.Millisecond
		downTime      = 600 * time.Millisecond
		listLag       = 2 * time.Second
		sendInterval  = 5 * time.Millisecond
		// maxInSecond is one and a half times the limit and a few more.
		maxInSecond = coldPerSecond*3/2 + 5
	)
	c := qt.New(t)
	u := newRestartingUpstream(t)
	d := document()
	d.Services[0].Engine = &routing.Engine{Slots: 64, MemoryTokens: 100_000}
	d.Services[0].ColdPerSecond, d.Services[0].WarmUpTime = coldPerSecond, warmUpTime
	fleet := newAdmittingFleet(t, d, hosts, u.upstream)
	var running sync.WaitGroup
	next := 0
	send := func(length time.Duration) {
		for begun := time.Now(); time.Since(begun) < length; next++ {
			host := fleet[next%hosts]
			running.Go(func() { host.do("GET", "/read/x", "") })
			time.Sleep(sendInterval)
		}
	}
	send(runTime)
	u.stop()
	send(downTime)
	startedAt := u.start(t)
	send(listLag)
	running.Wait()
	most := u.mostWithin(time.Second, startedAt)
	c.Check(most <= maxInSecond, qt.IsTrue, qt.Commentf("%d requests in one second at a cold engine, at most %g", most, maxInSecond))
	c.Check(most > 0, qt.IsTrue, qt.Commentf("no request reached the engine after its start"))
}
