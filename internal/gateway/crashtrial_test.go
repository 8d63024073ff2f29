package gateway

import (
	"context"
	"flag"
	"fmt"
	"math/rand"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/rendezvous"
	"marigoldshunt/internal/wire"
)

var quarantineSeeds = flag.Int64("quarantine.seeds", 20, "number of seeds of TestQuarantineFindsTheCrashingPart")

// Guards against a part that is tried more and more often, or by all hosts at once.
func TestTrialsOfAPartBecomeRarer(t *testing.T) {
	c := qt.New(t)
	tracker, rec, clock := crashingTracker()
	for i, instance := range []string{"a", "b", "c"} {
		*clock = clock.Add(minCrashGap)
		crashAt(tracker, rec, instance, byte(i), 7)
	}
	begun, crashes := *clock, 0
	for clock.Sub(begun) < 5*time.Minute {
		*clock = clock.Add(100 * time.Millisecond)
		trial, err := tracker.admitParts("s", partList(7))
		c.Assert(trial, qt.Equals, err == nil)
		if trial {
			crashes++
			crashAt(tracker, rec, fmt.Sprint("x", crashes), byte(100+crashes), 7)
		}
	}
	c.Assert(crashes > 0 && crashes <= 3, qt.IsTrue, qt.Commentf("%d trials in five minutes", crashes))
	// Only the host whose turn it is may try.
	tries := 0
	for i := range 50 {
		tracker.host, tracker.hosts = fmt.Sprint("h", i), rendezvous.NewMembers("h0", hostNames(50))
		tracker.trials = map[wire.Digest]time.Time{}
		*clock = begun.Add(time.Hour)
		if trial, _ := tracker.admitParts("s", partList(7)); trial {
			tries++
		}
	}
	c.Assert(tries, qt.Equals, 1)
}

func hostNames(n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprint("h", i))
	}
	return out
}

// Guards against a request that stays refused although upstreams that ran it only crashed beside it, and
// against one that crashes each upstream that it is tried at, more and more often.
func TestQuarantinedRequestIsTriedAgain(t *testing.T) {
	c := qt.New(t)
	const triedWithin = 15 * time.Second
	bad, sound := fixedFingerprint(wire.Digest{1}), fixedFingerprint(wire.Digest{2})
	tracker, _, clock := crashingTracker()
	crash := func(instance string, fp func() wire.Digest) {
		tracker.own.add(fp(), instance, clock.UnixMilli())
		*clock = clock.Add(minCrashGap)
	}
	for _, fp := range []func() wire.Digest{bad, sound} {
		crash("a", fp)
		crash("b", fp)
		c.Assert(tracker.check(fp), qt.ErrorMatches, `.*the request has crashed 2 upstreams; it is tried again in .*`)
	}
	*clock = clock.Add(triedWithin)
	c.Check(tracker.check(sound), qt.IsNil)
	c.Check(fault.CodeOf(tracker.check(sound)), qt.Equals, fault.CrashesUpstreams, qt.Commentf("two requests are tried at once"))
	tracker.answered(sound)
	c.Check(tracker.check(sound), qt.IsNil)
	c.Check(tracker.check(sound), qt.IsNil)
	trials := 0
	for begun := *clock; clock.Sub(begun) < 5*time.Minute; *clock = clock.Add(100 * time.Millisecond) {
		if tracker.check(bad) == nil {
			trials++
			crash(fmt.Sprint("x", trials), bad)
		}
	}
	c.Check(trials > 0 && trials <= 4, qt.IsTrue, qt.Commentf("%d trials in five minutes", trials))
}

// Guards against a Retry-After before the time at which the part is tried next.
func TestRefusalNamesTheTimeOfTheNextTrial(t *testing.T) {
	c := qt.New(t)
	tracker, clock := trackerAfter(playedCrash{"a", []uint64{7}}, playedCrash{"b", []uint64{7}}, playedCrash{"c", []uint64{7}})
	err := tracker.checkParts("s", partList(7))
	c.Assert(err, qt.ErrorMatches, `.*part 7 of the prompt has crashed 3 upstreams; it is tried again in 10s.*`)
	*clock = clock.Add(fault.As(err).RetryAfter - time.Millisecond)
	c.Assert(fault.CodeOf(tracker.checkParts("s", partList(7))), qt.Equals, fault.CrashesUpstreams)
	*clock = clock.Add(trialWindow)
	c.Assert(tracker.checkParts("s", partList(7)), qt.IsNil)
}

// Guards against sending a trial again to another upstream after it broke.
func TestTrialIsSentOnce(t *testing.T) {
	broken := sequence(closeConn)
	a, b := newUpstream(t, broken), newUpstream(t, broken)
	rec := &crashMarkRecorder{recorded: make(chan struct{}, 8)}
	gw := newTestGatewayWith(t, promptDocument(), func(opts *Options) { opts.CrashStore = rec }, a, b)
	var marks []wire.CrashMark
	for i, instance := range []string{"x", "y", "z"} {
		at := time.Now().Add(-time.Minute + time.Duration(i)*time.Second).UnixMilli()
		marks = append(marks, wire.CrashMark{Fingerprint: partFingerprint("svc", 0xa1), Upstream: instance, At: at})
	}
	gw.server.SetCrashMarks(marks)
	resp, _, _ := gw.do("POST", "/resume/x", "body", "X-Prompt-Parts: a1:10,b2:10")
	gw.Assert(resp.StatusCode, qt.Equals, 502)
	gw.Assert(len(a.requests())+len(b.requests()), qt.Equals, 1)
	resp, _, _ = gw.do("POST", "/resume/x", "other body", "X-Prompt-Parts: a1:10,c3:10")
	gw.Assert(resp.StatusCode, qt.Equals, 503)
	gw.Assert(len(a.requests())+len(b.requests()), qt.Equals, 1)
}

// crashWorld plays hosts and upstreams on a simulated clock. Upstreams crash when they begin to
// answer a request with a bad part and come back after a time.
type crashWorld struct {
	rng      *rand.Rand
	now      time.Time
	trackers []*crashTracker
	marks    []wire.CrashMark
	// events run at their times.
	events []crashEvent
	// downUntil and starts are by upstream.
	downUntil []time.Time
	starts    []int
	running   [][]*crashRequest
	bad       map[uint64]bool
	// crashTimes are the crashes that requests caused, badArrivals the times at which such requests
	// reached an upstream.
	badArrivals  []time.Time
	asked, sound [crashPlaySeconds]int
}

type crashEvent struct {
	at  time.Time
	run func()
}

type crashRequest struct {
	host  int
	parts []uint64
	fp    wire.Digest
}

const (
	crashPlaySeconds = 40
	crashPlayRate    = 50
	crashAnswerTime  = 150 * time.Millisecond
	// crashReportDelay is the time until the marks of a crash are known to all hosts.
	crashReportDelay = 250 * time.Millisecond
)

// ChangeCrashMarks implements CrashStore; the play spreads marks itself.
func (w *crashWorld) ChangeCrashMarks(context.Context, []wire.CrashMark, []wire.CrashMark) {}

func newCrashWorld(seed int64) *crashWorld {
	w := &crashWorld{rng: rand.New(rand.NewSource(seed)), now: time.Unix(1_000_000, 0), bad: map[uint64]bool{}}
	hosts := 1 + w.rng.Intn(6)
	for i := range hosts {
		w.addTracker(i, hosts)
	}
	for range 6 + w.rng.Intn(10) {
		w.downUntil, w.starts, w.running = append(w.downUntil, time.Time{}), append(w.starts, 0), append(w.running, nil)
	}
	return w
}

func (w *crashWorld) addTracker(i, hosts int) {
	tr := newCrashTracker(w, discardLog())
	tr.now = func() time.Time { return w.now }
	tr.host, tr.hosts = fmt.Sprint("h", i), rendezvous.NewMembers("h0", hostNames(hosts))
	tr.setRecorded(w.marks)
	if i < len(w.trackers) {
		w.trackers[i] = tr
		return
	}
	w.trackers = append(w.trackers, tr)
}

func (w *crashWorld) after(d time.Duration, run func()) {
	w.events = append(w.events, crashEvent{w.now.Add(d), run})
}

// report changes the marks that all hosts know.
func (w *crashWorld) report(added, disproved []wire.CrashMark) {
	w.after(crashReportDelay, func() {
		gone := crashMarks{}
		for _, m := range disproved {
			gone.add(m.Fingerprint, m.Upstream, m.At)
		}
		var left []wire.CrashMark
		for _, m := range append(w.marks, added...) {
			if !gone.has(m.Fingerprint, m.Upstream) {
				left = append(left, m)
			}
		}
		w.marks = left
		for _, tr := range w.trackers {
			tr.setRecorded(left)
		}
	})
}

// send lets a caller send a request with the parts; others may share all of them.
func (w *crashWorld) send(parts []uint64, sound bool) {
	second := int(w.now.Unix() - 1_000_000)
	if sound {
		w.asked[second]++
	}
	r := &crashRequest{host: w.rng.Intn(len(w.trackers)), parts: parts}
	w.rng.Read(r.fp[:])
	up := w.upstream()
	if up < 0 {
		return
	}
	if _, err := w.trackers[r.host].admitParts("s", partList(parts...)); err != nil {
		return
	}
	w.running[up] = append(w.running[up], r)
	for _, id := range parts {
		if w.bad[id] {
			w.badArrivals = append(w.badArrivals, w.now)
			w.crash(up)
			return
		}
	}
	start := w.starts[up]
	w.after(crashAnswerTime, func() {
		if w.starts[up] != start {
			return
		}
		w.answer(up, r)
		if sound {
			w.sound[second]++
		}
	})
}

// upstream returns one that is up, or -1.
func (w *crashWorld) upstream() int {
	first := w.rng.Intn(len(w.downUntil))
	for i := range w.downUntil {
		if up := (first + i) % len(w.downUntil); !w.now.Before(w.downUntil[up]) {
			return up
		}
	}
	return -1
}

func (w *crashWorld) crash(up int) {
	broken := map[int][]brokenRequest{}
	for _, r := range w.running[up] {
		broken[r.host] = append(broken[r.host], brokenRequest{service: "s", fingerprint: r.fp, sharedParts: r.parts})
	}
	instance := fmt.Sprintf("u%d-%d", up, w.starts[up])
	for host := range w.trackers {
		if len(broken[host]) == 0 {
			continue
		}
		w.after(probeDelay, func() {
			tr := w.trackers[host]
			tr.mu.Lock()
			marks := tr.markLocked(instance, broken[host])
			tr.mu.Unlock()
			w.report(marks, nil)
		})
	}
	w.running[up] = nil
	w.starts[up]++
	w.downUntil[up] = w.now.Add(time.Duration(1_500+w.rng.Intn(3_000)) * time.Millisecond)
}

func (w *crashWorld) answer(up int, r *crashRequest) {
	for i, other := range w.running[up] {
		if other == r {
			w.running[up] = append(w.running[up][:i], w.running[up][i+1:]...)
			break
		}
	}
	tr := w.trackers[r.host]
	tr.mu.Lock()
	var disproved []wire.CrashMark
	for _, id := range r.parts {
		disproved = append(disproved, tr.validMarksLocked(partFingerprint("s", id))...)
	}
	tr.mu.Unlock()
	tr.partsAnswered("s", partList(r.parts...))
	if len(disproved) > 0 {
		w.report(nil, disproved)
	}
}

// play sends requests for crashPlaySeconds. From second 5 on, a fifth of them has a bad part.
func (w *crashWorld) play() {
	roots := []uint64{1}
	if w.rng.Intn(2) == 0 {
		roots = append(roots, 2)
	}
	badParts := 1 + w.rng.Intn(2)
	badFirst := w.rng.Intn(3) == 0
	restartAt := w.now.Add(time.Duration(6_000+w.rng.Intn(6_000)) * time.Millisecond)
	const step = time.Second / crashPlayRate
	for i := range crashPlaySeconds * crashPlayRate {
		w.runDue()
		if !restartAt.IsZero() && w.now.After(restartAt) {
			w.addTracker(w.rng.Intn(len(w.trackers)), len(w.trackers))
			restartAt = time.Time{}
		}
		root := roots[w.rng.Intn(len(roots))]
		switch {
		case i >= 5*crashPlayRate && w.rng.Intn(5) == 0:
			id := uint64(100 + w.rng.Intn(badParts))
			w.bad[id] = true
			if badFirst {
				w.send([]uint64{id, uint64(200 + w.rng.Intn(20))}, false)
			} else {
				w.send([]uint64{root, id}, false)
			}
		default:
			w.send([]uint64{root, uint64(300 + w.rng.Intn(20))}, true)
		}
		w.now = w.now.Add(step)
	}
}

func (w *crashWorld) runDue() {
	for i := 0; i < len(w.events); i++ {
		if e := w.events[i]; !e.at.After(w.now) {
			w.events = append(w.events[:i], w.events[i+1:]...)
			i--
			e.run()
		}
	}
}

// Guards against sound requests that stay refused after a wave of crashes, and against a crashing part
// that reaches upstreams again and again: at the latest five seconds after the last upstream of the
// wave came back, nine tenths of the sound requests must be answered in each second, and no more than
// three requests with a bad part may arrive later than contactTime after its fifth crash.
func TestQuarantineFindsTheCrashingPart(t *testing.T) {
	const (
		contactTime = 3 * time.Second
		settled     = 13 // seconds: the wave begins at 5
	)
	worstShare, worstArrivals := 1.0, 0
	for seed := range *quarantineSeeds {
		w := newCrashWorld(seed)
		w.play()
		late := 0
		for _, at := range w.badArrivals {
			if len(w.badArrivals) > 5 && at.After(w.badArrivals[4].Add(contactTime)) {
				late++
			}
		}
		worstArrivals = max(worstArrivals, late)
		qt.Check(t, late <= 3*len(w.bad), qt.IsTrue, qt.Commentf("seed %d: %d late arrivals of %d bad parts, %d in all", seed, late, len(w.bad), len(w.badArrivals)))
		for second := settled; second < crashPlaySeconds-1; second++ {
			share := float64(w.sound[second]) / float64(w.asked[second])
			worstShare = min(worstShare, share)
			qt.Check(t, share >= 0.9, qt.IsTrue, qt.Commentf("seed %d: second %d: %d of %d sound requests were answered", seed, second, w.sound[second], w.asked[second]))
		}
	}
	t.Logf("worst share of a second %.2f, most late arrivals %d", worstShare, worstArrivals)
}
