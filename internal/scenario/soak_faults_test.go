package scenario

import (
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// Times of faults.
const (
	minFaultInterval = 150 * time.Millisecond
	maxFaultInterval = 1100 * time.Millisecond
	// minWipeInterval is the minimum time between two lost disks: only one may be lost at a
	// time.
	minWipeInterval = 8 * time.Second
	// signalReadyAfter is the time after which a started process handles signals.
	signalReadyAfter = time.Second
	// exitTimeout bounds the wait for a process after the shutdown deadline of its settings.
	exitTimeout = 10 * time.Second
)

// injector causes a random series of overlapping faults from one seed.
type injector struct {
	f   *soakFleet
	rng *rand.Rand
	log func(format string, args ...any)
	// reportViolation fails the test.
	reportViolation func(format string, args ...any)
	// pending holds the actions that undo the current faults, each with its time.
	pending  []pendingUndo
	lastWipe time.Time
}

type pendingUndo struct {
	due    time.Time
	revert func()
}

// run injects faults for d and then undoes those that remain.
func (i *injector) run(d time.Duration) {
	end := time.Now().Add(d)
	next := time.Now()
	for time.Now().Before(end) {
		time.Sleep(10 * time.Millisecond)
		i.undoDue(time.Now())
		if time.Now().After(next) {
			i.injectRandom()
			next = time.Now().Add(i.randomDuration(minFaultInterval, maxFaultInterval))
		}
	}
	i.undoDue(time.Now().Add(time.Hour))
}

func (i *injector) undoDue(now time.Time) {
	var later []pendingUndo
	for _, u := range i.pending {
		if u.due.After(now) {
			later = append(later, u)
			continue
		}
		u.revert()
	}
	i.pending = later
}

func (i *injector) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(i.rng.Int63n(int64(high-low)))
}

// undoAfter schedules the undo of a fault after a random time.
func (i *injector) undoAfter(low, high time.Duration, revert func()) {
	i.pending = append(i.pending, pendingUndo{time.Now().Add(i.randomDuration(low, high)), revert})
}

func (i *injector) pickHost() *soakHost { return i.f.hosts[i.rng.Intn(soakHosts)] }

func (i *injector) markDisturbed(h *soakHost) {
	i.f.disturbedMu.Lock()
	defer i.f.disturbedMu.Unlock()
	h.disturbedAt = time.Now()
}

// injectRandom injects one random fault.
func (i *injector) injectRandom() {
	faults := []struct {
		name string
		do   func() string
	}{
		{"kill", i.killHost}, {"stop", i.stopHost}, {"freeze", i.freezeHost}, {"cut", i.cutLink}, {"one way", i.blockOneWay}, {"delay", i.delayOneWay},
		{"upstream lost", i.refuseConnections}, {"upstream cold", i.turnCold}, {"upstream silent", i.cutUpstream},
		{"list lost", i.failList}, {"disk lost", i.wipeDisk}, {"settings", i.changeSettings}, {"all control hosts killed", i.killControlHosts},
	}
	chosen := faults[i.rng.Intn(len(faults))]
	i.log("fault: %s %s", chosen.name, chosen.do())
}

// signalHost ends a host with a signal. It starts the host again once it has ended and a
// random time has passed.
func (i *injector) signalHost(h *soakHost, s syscall.Signal, low, high time.Duration) {
	if !h.process.running() || h.frozen {
		return
	}
	i.markDisturbed(h)
	i.log("host %s gets %s", h.ip, s)
	_ = h.process.signal(s) // it may have ended by itself, which the checks find
	old := h.process
	i.undoAfter(low, high, func() { i.restart(h, old) })
}

func (i *injector) restart(h *soakHost, old *process) {
	// The host may have been frozen while it was ending.
	_ = old.signal(syscall.SIGCONT)
	select {
	case <-old.done:
	case <-time.After(exitTimeout):
		i.reportViolation("host %s has not ended", h.ip)
		_ = old.signal(syscall.SIGQUIT) // the stacks go to its log
		time.Sleep(signalReadyAfter)
		old.kill()
	}
	i.markDisturbed(h)
	if h.process != old {
		// Another restart has already replaced the process, after a second signal during
		// its end.
		return
	}
	if err := i.f.startSoakHost(h); err != nil {
		i.log("host %s not started: %s", h.ip, err)
		return
	}
	i.log("host %s started", h.ip)
}

func (i *injector) killHost() string {
	h := i.pickHost()
	i.signalHost(h, syscall.SIGKILL, 100*time.Millisecond, 2*time.Second)
	return h.ip
}

func (i *injector) stopHost() string {
	h := i.pickHost()
	i.signalHost(h, syscall.SIGTERM, 3200*time.Millisecond, 5*time.Second)
	return h.ip
}

func (i *injector) killControlHosts() string {
	for _, h := range i.f.hosts[:soakControlHosts] {
		i.signalHost(h, syscall.SIGKILL, 100*time.Millisecond, time.Second)
	}
	return ""
}

func (i *injector) freezeHost() string {
	h := i.pickHost()
	if !h.process.running() || h.frozen {
		return "nothing"
	}
	h.frozen = true
	i.markDisturbed(h)
	_ = h.process.signal(syscall.SIGSTOP) // as in signalHost
	p := h.process
	i.undoAfter(300*time.Millisecond, 4*time.Second, func() {
		_ = p.signal(syscall.SIGCONT)
		h.frozen = false
		i.markDisturbed(h)
	})
	return h.ip
}

func (i *injector) pickPair() (a, b *soakHost) {
	p := i.rng.Perm(soakHosts)
	a, b = i.f.hosts[p[0]], i.f.hosts[p[1]]
	i.markDisturbed(a)
	i.markDisturbed(b)
	return a, b
}

func (i *injector) cutLink() string {
	a, b := i.pickPair()
	reset := i.rng.Intn(2) == 0
	i.f.network.cutLink(a.ip, b.ip, reset)
	i.undoAfter(300*time.Millisecond, 4*time.Second, func() {
		i.f.network.healLink(a.ip, b.ip)
		i.markDisturbed(a)
		i.markDisturbed(b)
	})
	return fmt.Sprint(a.ip, " ", b.ip, " reset ", reset)
}

func (i *injector) blockOneWay() string {
	a, b := i.pickPair()
	i.f.network.setBlocked(a.ip, b.ip, true)
	i.undoAfter(300*time.Millisecond, 4*time.Second, func() {
		i.f.network.setBlocked(a.ip, b.ip, false)
		i.markDisturbed(a)
		i.markDisturbed(b)
	})
	return a.ip + " to " + b.ip
}

func (i *injector) delayOneWay() string {
	a, b := i.pickPair()
	d := i.randomDuration(5*time.Millisecond, 60*time.Millisecond)
	i.f.network.setDelay(a.ip, b.ip, d)
	i.undoAfter(500*time.Millisecond, 4*time.Second, func() {
		i.f.network.setDelay(a.ip, b.ip, 0)
		i.markDisturbed(a)
		i.markDisturbed(b)
	})
	return fmt.Sprint(a.ip, " to ", b.ip, " ", d)
}

func (i *injector) pickUpstream() *soakUpstream { return i.f.upstreams[i.rng.Intn(len(i.f.upstreams))] }

func (i *injector) refuseConnections() string {
	u := i.pickUpstream()
	u.RefuseConnections(i.randomDuration(200*time.Millisecond, 2*time.Second))
	return u.name
}

func (i *injector) turnCold() string {
	u := i.pickUpstream()
	u.TurnCold()
	return u.name
}

func (i *injector) cutUpstream() string {
	u := i.pickUpstream()
	i.f.network.cutLink("", u.name, false)
	i.undoAfter(300*time.Millisecond, 3*time.Second, func() { i.f.network.healLink("", u.name) })
	return u.name
}

func (i *injector) failList() string {
	i.f.listDown.Store(true)
	i.undoAfter(500*time.Millisecond, 3*time.Second, func() { i.f.listDown.Store(false) })
	return ""
}

// wipeDisk kills a control host and empties its disk, unless another disk was lost recently
// or a control host is down, frozen or recently disturbed.
func (i *injector) wipeDisk() string {
	if time.Since(i.lastWipe) < minWipeInterval {
		return "not now"
	}
	for _, h := range i.f.hosts[:soakControlHosts] {
		if !h.process.running() || h.frozen || time.Since(h.disturbedAt) < minWipeInterval/2 {
			return "not now"
		}
	}
	i.lastWipe = time.Now()
	h := i.f.hosts[i.rng.Intn(soakControlHosts)]
	i.markDisturbed(h)
	h.process.kill()
	if err := os.RemoveAll(filepath.Clean(h.disk)); err != nil {
		i.log("disk of %s not emptied: %s", h.ip, err)
	}
	old := h.process
	i.undoAfter(100*time.Millisecond, time.Second, func() { i.restart(h, old) })
	return h.ip
}

// changeSettings writes other seed addresses to the settings of a host, and sends SIGHUP in
// half of the cases.
func (i *injector) changeSettings() string {
	h := i.pickHost()
	if _, err := i.f.writeSettings(h, false, i.f.seedAddresses(i.rng.Intn(soakControlHosts))); err != nil {
		i.log("settings of %s not written: %s", h.ip, err)
	}
	// A process that has just started can't catch a signal yet.
	if i.rng.Intn(2) == 0 && h.process.running() && time.Since(h.disturbedAt) > signalReadyAfter {
		_ = h.process.signal(syscall.SIGHUP) // as in signalHost
	}
	return h.ip
}
