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
	minFaultGap = 150 * time.Millisecond
	maxFaultGap = 1100 * time.Millisecond
	// wipePause is the least time between two lost disks: one may be lost at a time.
	wipePause = 8 * time.Second
	// startTime is when a started process handles signals.
	startTime = time.Second
)

// injector causes faults in series that overlap, all drawn from one seed.
type injector struct {
	f   *soakFleet
	rng *rand.Rand
	log func(format string, args ...any)
	// undo holds what ends the faults under way, by time.
	undo  []undo
	wiped time.Time
}

type undo struct {
	at time.Time
	do func()
}

// run causes faults for some time and then undoes what is left.
func (i *injector) run(d time.Duration) {
	end := time.Now().Add(d)
	next := time.Now()
	for time.Now().Before(end) {
		time.Sleep(10 * time.Millisecond)
		i.expire(time.Now())
		if time.Now().After(next) {
			i.cause()
			next = time.Now().Add(i.between(minFaultGap, maxFaultGap))
		}
	}
	i.expire(time.Now().Add(time.Hour))
}

func (i *injector) expire(now time.Time) {
	var left []undo
	for _, u := range i.undo {
		if u.at.After(now) {
			left = append(left, u)
			continue
		}
		u.do()
	}
	i.undo = left
}

func (i *injector) between(low, high time.Duration) time.Duration {
	return low + time.Duration(i.rng.Int63n(int64(high-low)))
}

// after undoes a fault after a drawn time.
func (i *injector) after(low, high time.Duration, do func()) {
	i.undo = append(i.undo, undo{time.Now().Add(i.between(low, high)), do})
}

func (i *injector) host() *soakHost { return i.f.hosts[i.rng.Intn(soakHosts)] }

func (i *injector) touch(h *soakHost) {
	i.f.mu.Lock()
	defer i.f.mu.Unlock()
	h.touched = time.Now()
}

// cause causes one fault.
func (i *injector) cause() {
	faults := []struct {
		name string
		do   func() string
	}{
		{"kill", i.kill}, {"stop", i.stop}, {"freeze", i.freeze}, {"cut", i.cut}, {"one way", i.oneWay}, {"delay", i.delay},
		{"upstream lost", i.loseUpstream}, {"upstream cold", i.turnCold}, {"upstream silent", i.silenceUpstream},
		{"list lost", i.loseList}, {"disk lost", i.wipe}, {"settings", i.changeSettings}, {"all control hosts killed", i.killControl},
	}
	x := faults[i.rng.Intn(len(faults))]
	i.log("fault: %s %s", x.name, x.do())
}

// down ends a host by a signal, and starts it again once it has ended and the pause is over.
func (i *injector) down(h *soakHost, s syscall.Signal, low, high time.Duration) {
	if !h.p.running() || h.frozen {
		return
	}
	i.touch(h)
	i.log("host %s gets %s", h.ip, s)
	_ = h.p.signal(s) // it may have ended by itself, which the checks find
	old := h.p
	i.after(low, high, func() { i.restart(h, old) })
}

func (i *injector) restart(h *soakHost, old *process) {
	// A host may have been frozen while it was ending.
	_ = old.signal(syscall.SIGCONT)
	<-old.done
	i.touch(h)
	if h.p != old {
		// A second signal came while the process was ending.
		return
	}
	if err := i.f.startSoakHost(h); err != nil {
		i.log("host %s not started: %s", h.ip, err)
		return
	}
	i.log("host %s started", h.ip)
}

func (i *injector) kill() string {
	h := i.host()
	i.down(h, syscall.SIGKILL, 100*time.Millisecond, 2*time.Second)
	return h.ip
}

func (i *injector) stop() string {
	h := i.host()
	i.down(h, syscall.SIGTERM, 3200*time.Millisecond, 5*time.Second)
	return h.ip
}

func (i *injector) killControl() string {
	for _, h := range i.f.hosts[:soakControl] {
		i.down(h, syscall.SIGKILL, 100*time.Millisecond, time.Second)
	}
	return ""
}

func (i *injector) freeze() string {
	h := i.host()
	if !h.p.running() || h.frozen {
		return "nothing"
	}
	h.frozen = true
	i.touch(h)
	_ = h.p.signal(syscall.SIGSTOP) // as in down
	p := h.p
	i.after(300*time.Millisecond, 4*time.Second, func() {
		_ = p.signal(syscall.SIGCONT)
		h.frozen = false
		i.touch(h)
	})
	return h.ip
}

func (i *injector) pair() (a, b *soakHost) {
	p := i.rng.Perm(soakHosts)
	a, b = i.f.hosts[p[0]], i.f.hosts[p[1]]
	i.touch(a)
	i.touch(b)
	return a, b
}

func (i *injector) cut() string {
	a, b := i.pair()
	reset := i.rng.Intn(2) == 0
	i.f.network.cut(a.ip, b.ip, reset)
	i.after(300*time.Millisecond, 4*time.Second, func() {
		i.f.network.heal(a.ip, b.ip)
		i.touch(a)
		i.touch(b)
	})
	return fmt.Sprint(a.ip, " ", b.ip, " reset ", reset)
}

func (i *injector) oneWay() string {
	a, b := i.pair()
	i.f.network.silence(a.ip, b.ip, true)
	i.after(300*time.Millisecond, 4*time.Second, func() {
		i.f.network.silence(a.ip, b.ip, false)
		i.touch(a)
		i.touch(b)
	})
	return a.ip + " to " + b.ip
}

func (i *injector) delay() string {
	a, b := i.pair()
	d := i.between(5*time.Millisecond, 60*time.Millisecond)
	i.f.network.delay(a.ip, b.ip, d)
	i.after(500*time.Millisecond, 4*time.Second, func() {
		i.f.network.delay(a.ip, b.ip, 0)
		i.touch(a)
		i.touch(b)
	})
	return fmt.Sprint(a.ip, " to ", b.ip, " ", d)
}

func (i *injector) upstream() *soakUpstream { return i.f.upstreams[i.rng.Intn(len(i.f.upstreams))] }

func (i *injector) loseUpstream() string {
	u := i.upstream()
	u.Refuse(i.between(200*time.Millisecond, 2*time.Second))
	return u.name
}

func (i *injector) turnCold() string {
	u := i.upstream()
	u.TurnCold()
	return u.name
}

func (i *injector) silenceUpstream() string {
	u := i.upstream()
	i.f.network.cut("", u.name, false)
	i.after(300*time.Millisecond, 3*time.Second, func() { i.f.network.heal("", u.name) })
	return u.name
}

func (i *injector) loseList() string {
	i.f.listDown.Store(true)
	i.after(500*time.Millisecond, 3*time.Second, func() { i.f.listDown.Store(false) })
	return ""
}

// wipe kills a control host and empties its disk, unless another disk was lost lately or
// another control host is away.
func (i *injector) wipe() string {
	if time.Since(i.wiped) < wipePause {
		return "not now"
	}
	for _, h := range i.f.hosts[:soakControl] {
		if !h.p.running() || h.frozen || time.Since(h.touched) < wipePause/2 {
			return "not now"
		}
	}
	i.wiped = time.Now()
	h := i.f.hosts[i.rng.Intn(soakControl)]
	i.touch(h)
	h.p.kill()
	if err := os.RemoveAll(filepath.Clean(h.disk)); err != nil {
		i.log("disk of %s not emptied: %s", h.ip, err)
	}
	old := h.p
	i.after(100*time.Millisecond, time.Second, func() { i.restart(h, old) })
	return h.ip
}

// changeSettings writes other seeds; the signal may come, or the file alone.
func (i *injector) changeSettings() string {
	h := i.host()
	if _, err := i.f.writeSettings(h, false, i.f.seeds(i.rng.Intn(soakControl))); err != nil {
		i.log("settings of %s not written: %s", h.ip, err)
	}
	// Before its first instructions a process can't catch a signal.
	if i.rng.Intn(2) == 0 && h.p.running() && time.Since(h.touched) > startTime {
		_ = h.p.signal(syscall.SIGHUP) // as in down
	}
	return h.ip
}
