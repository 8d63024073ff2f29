package scenario

import (
	"context"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"marigoldshunt/internal/emulator"
	"marigoldshunt/internal/enginemodel"
)

// stopSeeds are run in CI.
var stopSeeds = []int64{1, 2}

const (
	// floodCallers is the number of callers of the account that floods a host. A third of them open
	// a connection for each request, a third send rarely on the one that they keep.
	floodCallers = 60
	rarePause    = 600 * time.Millisecond
	// floodConnections is the connection limit of the flooded host.
	floodConnections = 40
	floodCredential  = "soak-flood-credential"
	// arrivalSlack is how long after its last byte a request may be lost if no process has read it.
	arrivalSlack = 200 * time.Millisecond
	// pausedTime is how long after its SIGTERM a host is still paused in short bursts, so that it
	// has the rest of its shutdown deadline to end without.
	pausedTime = 1200 * time.Millisecond
)

// Guards against a stopping host that is short of processor time and closes connections whose requests
// have arrived.
func TestSoakStopUnderFlood(t *testing.T) {
	forSeeds(t, stopSeeds, func(t *testing.T, seed int64) {
		newSoak(t, seed, soakHosts, stopUpstreams(), floodDocument).runStops()
	})
}

// stopUpstreams describes upstreams without faults of their own.
func stopUpstreams() (list []soakUpstreamSpec) {
	e := enginemodel.TypicalOptions()
	e.PromptTokensPerMs = 100
	for _, name := range []string{"engine-0", "engine-1"} {
		list = append(list, soakUpstreamSpec{name, "engines", emulator.Options{Engine: &e}})
	}
	for _, name := range []string{"service-0", "service-1"} {
		list = append(list, soakUpstreamSpec{name, "records", emulator.Options{WorkTime: 20 * time.Millisecond}})
	}
	return list
}

// floodDocument closes idle connections earlier than some callers send on them.
func floodDocument(version int) string {
	limits := "[routing.limits]\n"
	document := strings.Replace(soakDocument(version), limits, limits+"idle_timeout = \"400ms\"\n", 1)
	return document + accountEntry("flood", floodCredential)
}

// runStops stops hosts as operators plan it, again and again, one of them under a flood.
func (s *soak) runStops() {
	defer s.report()
	s.fleet.hosts[0].procs, s.fleet.hosts[0].maxConnections = 1, floodConnections
	s.startFleet()
	s.callers.start(soakCallers, s.seed)
	flood := &callers{fleet: s.fleet, name: "flood-", kinds: []string{"reads", "orders"}}
	flood.startFlood(s.fleet.address(s.fleet.hosts[0].ip, portGateway), s.seed)
	stop := make(chan struct{})
	var work sync.WaitGroup
	work.Go(func() { s.applyVersions(stop) })
	work.Go(func() { s.stopHosts(s.fleet.hosts[1:], stop) })
	s.stopFloodedHost(s.fleet.hosts[0], rand.New(rand.NewSource(s.seed)))
	close(stop)
	work.Wait()
	flood.stopAll()
	s.checkRecovery()
	s.callers.stopAll()
	s.checkAnswered(append(flood.results, s.callers.results...))
	s.checkFleet()
}

// startFlood starts callers that send to one host only.
func (c *callers) startFlood(address string, seed int64) {
	c.stopped = make(chan struct{})
	for i := range floodCallers {
		client := c.newCaller(rand.New(rand.NewSource(seed<<8+int64(i))), &http.Transport{DisableKeepAlives: i%3 == 1})
		if i%3 == 0 {
			client.meanPause = rarePause
		}
		c.workers.Go(func() {
			defer client.HTTP.CloseIdleConnections()
			for client.waitPause() {
				ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
				client.send(ctx, address, c.kinds[client.Random.Intn(len(c.kinds))], floodCredential)
				cancel()
			}
		})
	}
}

// stopFloodedHost stops and restarts a host until the soak is over. The host gets processor time only
// in short bursts before and after its SIGTERM, which comes while it has none.
func (s *soak) stopFloodedHost(h *soakHost, rng *rand.Rand) {
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int63n(int64(high-low))) }
	for end := time.Now().Add(*soakLength); time.Now().Before(end); {
		p := h.process
		pause := func(meanwhile func()) {
			_ = p.signal(syscall.SIGSTOP) // an end by itself is found by the wait for it
			time.Sleep(between(250*time.Millisecond, 400*time.Millisecond))
			meanwhile()
			_ = p.signal(syscall.SIGCONT)
			time.Sleep(between(20*time.Millisecond, 100*time.Millisecond))
		}
		for range rng.Intn(3) {
			pause(func() {})
		}
		var signalled time.Time
		pause(func() {
			signalled = time.Now()
			s.logf("flooded host %s gets SIGTERM", h.ip)
			_ = p.signal(syscall.SIGTERM)
		})
		for p.running() && time.Since(signalled) < pausedTime {
			pause(func() {})
		}
		s.restartAfterStop(h)
		time.Sleep(between(500*time.Millisecond, 1500*time.Millisecond))
	}
}

// stopHosts stops and restarts hosts one after the other, and has others read their settings again.
func (s *soak) stopHosts(hosts []*soakHost, stop <-chan struct{}) {
	rng := rand.New(rand.NewSource(-s.seed))
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.Int63n(int64(time.Second)))):
		}
		order := rng.Perm(len(hosts))
		h, reloads := hosts[order[0]], hosts[order[1]]
		s.logf("host %s gets SIGHUP, host %s SIGTERM", reloads.ip, h.ip)
		_ = reloads.process.signal(syscall.SIGHUP) // a host that has ended by itself is found by the checks
		_ = h.process.signal(syscall.SIGTERM)
		s.restartAfterStop(h)
		s.waitFor("the restarted host "+h.ip, recoveryTimeout, func() bool { return s.fleet.hostReady(h) })
	}
}

// restartAfterStop waits until a host that was signalled has ended, and starts it again.
func (s *soak) restartAfterStop(h *soakHost) {
	select {
	case <-h.process.done:
	case <-time.After(exitTimeout):
		s.reportViolation("host %s has not ended", h.ip)
		h.process.kill()
	}
	s.logf("host %s has ended", h.ip)
	if err := s.fleet.startSoakHost(h); err != nil {
		s.reportViolation("host %s not started: %s", h.ip, err)
	}
}

// checkAnswered checks that each request that had arrived at a host got an answer or a refusal.
func (s *soak) checkAnswered(results []callerResult) {
	runs, lost, example := s.countRuns(), 0, ""
	for _, r := range results {
		if r.Fault != "" {
			s.reportViolation("%s at %s: %s", r.ID, r.Address, r.Fault)
		}
		if !lostByHost(r, runs[r.ID] > 0) {
			continue
		}
		lost++
		example = r.ID + " at " + r.Address
		s.logf("lost %s: sent at %.3f, cut at %.3f, %s after its last byte, on a kept connection %v, status %d, runs %d", example,
			r.Sent.Sub(s.start).Seconds(), r.Ended.Sub(s.start).Seconds(), r.Ended.Sub(r.Written), r.KeptConnection, r.Status, runs[r.ID])
	}
	if lost > 0 {
		s.reportViolation("%d of %d requests ended without a complete answer or a refusal, the last one %s", lost, len(results), example)
	}
	s.logf("%d requests, %d lost", len(results), lost)
}

// lostByHost reports whether a connection ended that owed its request an answer: it ended inside one,
// or the request has run, or it had arrived longer ago than arrivalSlack.
func lostByHost(r callerResult, hasRun bool) bool {
	if !r.Cut || r.TimedOut || r.Written.IsZero() || r.Ended.Sub(r.Sent) >= routeTimeout {
		return false
	}
	return r.Status != 0 || hasRun || r.Ended.Sub(r.Written) > arrivalSlack
}
