package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"marigoldshunt/internal/wire"
)

// marksOf returns crash marks of a fingerprint, one second apart, the first at begun.
func marksOf(service string, fp wire.Digest, begun time.Time, instances ...string) (marks []wire.CrashMark) {
	for i, instance := range instances {
		marks = append(marks, wire.CrashMark{Pool: service, Fingerprint: fp, Upstream: instance, At: begun.Add(time.Duration(i) * time.Second).UnixMilli()})
	}
	return marks
}

// Guards against a quarantine of which operators can't see what it refuses, since when and by which crashes.
func TestQuarantineIsListedAndLogged(t *testing.T) {
	log, hook := logtest.NewNullLogger()
	gw := newTestGatewayWith(t, promptDocument(), func(opts *Options) { opts.Log = log }, newUpstream(t, closeConn))
	begun := time.Now().Truncate(time.Second)
	part, few := partFingerprint("svc", 0xa1), partFingerprint("svc", 0xb2)
	marks := append(marksOf("svc", few, begun, "j1", "j2"), marksOf("svc", part, begun, "j1", "j2", "j3", "j4")...)
	gw.server.SetCrashMarks(marks)
	resp, _, _ := gw.do("POST", "/resume/x", "body", "X-Prompt-Parts: b2:10,a1:10,c3:10")
	gw.Assert(resp.StatusCode, qt.Equals, 503)
	list := gw.server.Quarantined()
	gw.Assert(list, qt.HasLen, 1)
	gw.Check(list[0].Fingerprint, qt.Equals, part)
	gw.Check([]string{list[0].Service, list[0].Part}, qt.DeepEquals, []string{"svc", "a1"})
	gw.Check(list[0].Since.Equal(begun.Add(2*time.Second)), qt.IsTrue, qt.Commentf("%v", list[0].Since))
	gw.Check(list[0].NextTrial.Equal(begun.Add(3*time.Second+likelyTrialPause)), qt.IsTrue, qt.Commentf("%v", list[0].NextTrial))
	gw.Assert(list[0].Crashes, qt.HasLen, 4)
	gw.Check(list[0].Crashes[0].Instance, qt.Equals, "j1")
	gw.do("POST", "/resume/x", "body", "X-Prompt-Parts: b2:10,a1:10,c3:10")
	entries := messages(hook, "Requests are quarantined.")
	gw.Assert(entries, qt.HasLen, 1)
	gw.Check(entries[0].Data["prompt_part"], qt.Equals, "a1")
	gw.Check(entries[0].Data["instances"], qt.Equals, "j1,j2,j3,j4")
	gw.server.SetCrashMarks(marks[:2])
	gw.Check(gw.server.Quarantined(), qt.HasLen, 0)
	ended := messages(hook, "Requests are no longer quarantined.")
	gw.Assert(ended, qt.HasLen, 1)
	gw.Check(ended[0].Data["fingerprint"], qt.Equals, part.String())
}

// Guards against the same for a whole request, whose marks may not have reached the control group.
func TestQuarantinedRequestIsListed(t *testing.T) {
	c := qt.New(t)
	tracker, _, clock := crashingTracker()
	fp := wire.Digest{1}
	for _, instance := range []string{"a", "b", "c"} {
		tracker.markLocked(instance, []brokenRequest{{service: "s", fingerprint: fp}})
		*clock = clock.Add(time.Second)
	}
	list := tracker.quarantinedLocked()
	c.Assert(list, qt.HasLen, 1)
	c.Check(list[0].Part, qt.Equals, "")
	c.Check(list[0].Since.Equal(clock.Add(-2*time.Second)), qt.IsTrue, qt.Commentf("%v", list[0].Since))
	c.Check(list[0].Crashes, qt.HasLen, 3)
	tracker.answered(fixedFingerprint(fp))
	c.Check(tracker.quarantinedLocked(), qt.HasLen, 0)
	tracker.setRecorded(marksOf("s", fp, *clock, "a", "b", "c"))
	c.Check(tracker.names, qt.HasLen, 1)
	tracker.setRecorded(nil)
	c.Check(tracker.names, qt.HasLen, 0)
}

func messages(hook *logtest.Hook, text string) (entries []*logrus.Entry) {
	for _, e := range hook.AllEntries() {
		if e.Message == text {
			entries = append(entries, e)
		}
	}
	return entries
}
