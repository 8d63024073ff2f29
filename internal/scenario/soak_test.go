package scenario

import (
	"context"
	"flag"
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The soak runs real daemons under random faults and checks what callers, operators and
// upstreams see. CI runs soakSeeds for some seconds each; to run more by hand:
//
//	go test ./internal/scenario -run 'TestSoak$' -soak.seeds=50 -soak.from=100 -soak.length=15s
var (
	soakSeedCount = flag.Int("soak.seeds", 0, "number of seeds to run instead of the fixed ones")
	soakFrom      = flag.Int64("soak.from", 1, "first of these seeds")
	soakLength    = flag.Duration("soak.length", 6*time.Second, "duration of the faults of each seed")
	soakKeep      = flag.String("soak.keep", "", "folder for the logs of failed seeds")
)

// soakSeeds are run in CI: one that never failed, and those that found a fault.
var soakSeeds = []int64{
	1,
	400, // a host that had been frozen refused new connections for seconds
	401, // a SIGHUP during the start ended the process
}

// soakCallers is the number of clients that send requests concurrently.
const soakCallers = 24

// Bounds of the guarantees that are checked.
const (
	// recoveryTimeout is the time within which a healed fleet serves again.
	recoveryTimeout = 12 * time.Second
	// revocationLimit is the time after which a revoked credential is refused everywhere,
	// also by hosts that are cut off.
	revocationLimit = 5 * time.Second
	// timeoutOverrun is how long after the route's timeout a response may still arrive.
	timeoutOverrun = 1500 * time.Millisecond
	// undisturbedMargin is the minimum time between the last fault at a host and a request
	// to it whose duration and connection are checked.
	undisturbedMargin = 4 * time.Second
	// maxLostConnections is the number of connections that may end without a response at
	// undisturbed hosts. This happens when a request is sent while the host closes the idle
	// connection.
	maxLostConnections = 3
)

func TestSoak(t *testing.T) {
	forSeeds(t, soakSeeds, func(t *testing.T, seed int64) { newSoak(t, seed, soakHosts, soakUpstreams(), soakDocument).run() })
}

// forSeeds runs a test with the seeds of the flags, or with fixed ones.
func forSeeds(t *testing.T, fixed []int64, run func(t *testing.T, seed int64)) {
	if testing.Short() {
		t.Skip("the soak starts processes")
	}
	seeds := fixed
	if *soakSeedCount > 0 {
		seeds = nil
		for i := range *soakSeedCount {
			seeds = append(seeds, *soakFrom+int64(i))
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { run(t, seed) })
	}
}

// soak is the run of one seed.
type soak struct {
	t     *testing.T
	seed  int64
	fleet *soakFleet
	// document returns the configuration of a version.
	document func(version int) string
	callers  *callers
	start    time.Time

	mu       sync.Mutex
	timeline []string
	// acknowledged holds the time at which each version was acknowledged.
	acknowledged map[int]time.Time
	lastSent     int
}

func newSoak(t *testing.T, seed int64, hosts int, upstreams []soakUpstreamSpec, document func(version int) string) *soak {
	f, err := newSoakFleet(t.TempDir(), hosts, upstreams)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.close)
	return &soak{
		t: t, seed: seed, fleet: f, document: document, callers: &callers{fleet: f, kinds: soakKinds}, start: time.Now(), acknowledged: map[int]time.Time{},
	}
}

func (s *soak) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timeline = append(s.timeline, fmt.Sprintf("%7.3f ", time.Since(s.start).Seconds())+fmt.Sprintf(format, args...))
}

// reportViolation fails the test for a guarantee that was not kept.
func (s *soak) reportViolation(format string, args ...any) {
	s.logf("VIOLATION "+format, args...)
	s.t.Errorf("seed %d: "+format, append([]any{s.seed}, args...)...)
}

func (s *soak) run() {
	defer s.report()
	s.startFleet()
	s.callers.start(soakCallers, s.seed)
	stop := make(chan struct{})
	var work sync.WaitGroup
	work.Add(2)
	go func() { defer work.Done(); s.applyVersions(stop) }()
	go func() { defer work.Done(); s.sendRevoked(stop) }()
	i := &injector{f: s.fleet, rng: rand.New(rand.NewSource(s.seed)), log: s.logf, reportViolation: s.reportViolation}
	i.run(*soakLength)
	s.logf("healed")
	close(stop)
	work.Wait()
	s.checkRecovery()
	s.callers.stopAll()
	s.checkResults()
	s.checkFleet()
}

// startFleet starts the hosts, applies the first version and waits until all accept requests.
func (s *soak) startFleet() {
	for _, h := range s.fleet.hosts {
		if err := s.fleet.startSoakHost(h); err != nil {
			s.t.Fatal(err)
		}
	}
	s.waitFor("the first configuration", 20*time.Second, func() bool { return s.applyVersion(1) == nil })
	s.waitFor("ready hosts", 20*time.Second, s.allReady)
}

func (s *soak) allReady() bool {
	for _, h := range s.fleet.hosts {
		if !s.fleet.hostReady(h) {
			return false
		}
	}
	return true
}

func (s *soak) waitFor(what string, timeout time.Duration, ok func() bool) {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if ok() {
			return
		}
	}
	s.reportViolation("not within %s: %s", timeout, what)
	s.t.FailNow()
}

// applyVersion applies a version and records its acknowledgement.
func (s *soak) applyVersion(version int) error {
	path := filepath.Join(s.fleet.dir, fmt.Sprint("version-", version, ".toml"))
	if err := os.WriteFile(path, []byte(s.document(version)), 0o600); err != nil {
		return err
	}
	s.mu.Lock()
	s.lastSent = max(s.lastSent, version)
	s.mu.Unlock()
	if err := s.fleet.apply(path, 4*time.Second); err != nil {
		s.logf("version %d: %s", version, strings.TrimSpace(err.Error()))
		return err
	}
	s.mu.Lock()
	s.acknowledged[version] = time.Now()
	s.mu.Unlock()
	s.logf("version %d acknowledged", version)
	return nil
}

// applyVersions applies a new version about every second.
func (s *soak) applyVersions(stop <-chan struct{}) {
	for version := 2; ; version++ {
		select {
		case <-stop:
			return
		case <-time.After(800 * time.Millisecond):
			_ = s.applyVersion(version) // an error is logged, and the next version follows
		}
	}
}

// sendRevoked sends requests with credentials that a version removed longer ago than
// revocationLimit.
func (s *soak) sendRevoked(stop <-chan struct{}) {
	rng := rand.New(rand.NewSource(s.seed))
	c := s.callers.newCaller(rng, &http.Transport{DisableKeepAlives: true})
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		newest := s.acknowledgedBefore(time.Now().Add(-revocationLimit))
		if newest < 2 {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
		h := s.fleet.hosts[rng.Intn(soakHosts)]
		c.send(ctx, s.fleet.address(h.ip, portGateway), "orders", versionCredential(newest-1))
		cancel()
	}
}

// acknowledgedBefore returns the highest version acknowledged before a time, or 0.
func (s *soak) acknowledgedBefore(limit time.Time) (version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for v, at := range s.acknowledged {
		if at.Before(limit) {
			version = max(version, v)
		}
	}
	return version
}

// checkRecovery waits until the healed fleet serves on all hosts with the newest version.
func (s *soak) checkRecovery() {
	s.waitFor("ready hosts after the faults", recoveryTimeout, s.allReady)
	c := s.callers.newCaller(rand.New(rand.NewSource(s.seed)), &http.Transport{})
	newest := s.acknowledgedBefore(time.Now())
	for _, h := range s.fleet.hosts {
		for _, kind := range soakKinds {
			s.waitFor(kind+" on host "+h.ip, recoveryTimeout, func() bool { return s.request(c, h, kind).Status == http.StatusOK })
		}
		// A version that was sent without an acknowledgement may be in force instead.
		s.waitFor(fmt.Sprintf("version %d or a later one on host %s", newest, h.ip), recoveryTimeout, func() bool {
			for v := newest; v <= s.lastSent; v++ {
				if s.request(c, h, strings.Trim(versionPath(v), "/")).Status == http.StatusOK {
					return true
				}
			}
			return false
		})
		old := s.request(c, h, strings.Trim(versionPath(1), "/"))
		if newest > 1 && old.Status == http.StatusOK {
			s.reportViolation("host %s serves a route that version %d removed", h.ip, newest)
		}
	}
}

func (s *soak) request(c *caller, h *soakHost, kind string) callerResult {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	return c.send(ctx, s.fleet.address(h.ip, portGateway), kind, soakCredential)
}

// countRuns returns how often each request was run, over all upstreams.
func (s *soak) countRuns() map[string]int {
	sum := map[string]int{}
	for _, u := range s.fleet.upstreams {
		for id, n := range u.Debug().Requests {
			sum[id] += n
		}
	}
	return sum
}

// checkResults compares what callers saw with what upstreams ran.
func (s *soak) checkResults() {
	runs, lost := s.countRuns(), 0
	served := 0
	for _, result := range s.callers.results {
		if result.Fault != "" {
			s.reportViolation("%s at %s: %s", result.ID, result.Address, result.Fault)
		}
		if atMostOnce := result.kind == "orders" || result.kind == "events/once"; atMostOnce && runs[result.ID] > 1 {
			s.reportViolation("%s ran %d times", result.ID, runs[result.ID])
		}
		if notRun := result.Status == 503 || result.Status == 429 || result.Status == 408; notRun && runs[result.ID] > 0 {
			s.reportViolation("%s was answered %d and has run", result.ID, result.Status)
		}
		if result.credential != soakCredential && (runs[result.ID] > 0 || result.Status == 200) {
			s.reportViolation("%s ran with a credential revoked more than %s before", result.ID, revocationLimit)
		}
		proper := result.credential == soakCredential && !strings.HasPrefix(result.kind, "v")
		if denied := result.Status/100 == 4 && result.Status != 408 && result.Status != 429; proper && denied {
			s.reportViolation("%s was refused with %d", result.ID, result.Status)
		}
		if !s.disturbed(result) {
			if took := result.Ended.Sub(result.Sent); took > routeTimeout+timeoutOverrun {
				s.reportViolation("%s took %s at an undisturbed host", result.ID, took)
			}
			if result.Cut && result.Status == 0 {
				lost++
				s.logf("lost %s at %s", result.ID, result.Address)
			}
		}
		if result.Status == 200 && result.Complete {
			served++
		}
	}
	if lost > maxLostConnections {
		s.reportViolation("%d connections ended without a response at undisturbed hosts", lost)
	}
	if served < len(s.callers.results)/10 {
		s.reportViolation("%d of %d requests were served", served, len(s.callers.results))
	}
	garbage := 0
	for _, n := range s.countGarbage() {
		garbage += n
	}
	s.logf("%d requests, %d served, %d lost at undisturbed hosts, %d pieces of garbage", len(s.callers.results), served, lost, garbage)
}

// disturbed reports whether a fault may have affected the host of a request.
func (s *soak) disturbed(result callerResult) bool {
	for _, h := range s.fleet.hosts {
		if strings.HasPrefix(result.Address, h.ip+":") {
			return h.disturbedAt.After(result.Sent.Add(-undisturbedMargin)) || h.startCount > 1 || h.frozen
		}
	}
	return true
}

// checkFleet checks for processes that ended by themselves and cold engines that failed
// under load.
func (s *soak) checkFleet() {
	for _, h := range s.fleet.hosts {
		if !h.process.running() {
			s.reportViolation("the process of host %s has ended", h.ip)
		}
	}
	for _, u := range s.fleet.upstreams {
		if d := u.Debug(); d.ColdOverloads > 0 {
			s.reportViolation("cold upstream %s failed %d times under the fleet's load", u.name, d.ColdOverloads)
		}
	}
}

// report prints the timeline of a failed seed and keeps its logs.
func (s *soak) report() {
	if !s.t.Failed() {
		if testing.Verbose() {
			s.t.Log(s.timeline[len(s.timeline)-1])
		}
		return
	}
	s.t.Log(strings.Join(s.timeline, "\n"))
	if *soakKeep == "" {
		return
	}
	for _, h := range s.fleet.hosts {
		if !h.process.running() {
			s.t.Logf("the process of host %s has ended: %s", h.ip, h.process.cmd.ProcessState)
		}
	}
	// On SIGQUIT the runtime writes the stacks of all goroutines to the log of the host.
	for _, h := range s.fleet.hosts {
		if h.process.running() {
			_ = h.process.signal(syscall.SIGQUIT) // it may just have ended
			<-h.process.done
		}
	}
	logs, err := filepath.Glob(filepath.Join(s.fleet.dir, "*.log"))
	if err != nil {
		s.t.Log(err)
	}
	folder := filepath.Join(*soakKeep, fmt.Sprint("seed-", s.seed))
	if err := os.MkdirAll(folder, 0o700); err != nil {
		s.t.Log(err)
	}
	for _, l := range logs {
		b, err := os.ReadFile(l)
		if err == nil {
			err = os.WriteFile(filepath.Join(folder, filepath.Base(l)), b, 0o600)
		}
		if err != nil {
			s.t.Log(err)
		}
	}
}
