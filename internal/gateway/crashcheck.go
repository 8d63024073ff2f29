package gateway

import (
	"fmt"
	"time"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// checkCrashes refuses a request that, or a prompt part of which, is quarantined. A request by which
// the quarantine is tried is sent once.
func (q *request) checkCrashes() error {
	if q.trial && q.sends == 0 {
		return nil
	}
	trial, err := q.server.crashes.admit(q.service.Name, q.fingerprint, q.job.SharedParts)
	if err != nil || !trial {
		return err
	}
	if q.sends > 0 {
		return crashesUpstreams(trialWindow, "the request, or a part of its prompt, is being tried")
	}
	q.trial = true
	q.server.count("quarantine_trials")
	return nil
}

// admit refuses a request that, or a prompt part of which, is quarantined, unless this request tries
// it again. It calls the functions, of which one hashes the body, only while there are marks.
func (c *crashTracker) admit(service string, fingerprint func() wire.Digest, sharedParts func() []uint64) (trial bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.emptyLocked() {
		return false, nil
	}
	suspects, marked := c.suspectsLocked(service, sharedParts())
	fp := fingerprint()
	if marks := c.validMarksLocked(fp); len(marks) >= maxCrashes {
		c.names[fp] = markedName{service: service, whole: true}
		suspects = append(suspects, suspect{fingerprint: fp, marks: marks, whole: true, likely: true})
	}
	if len(suspects) == 0 {
		return false, nil
	}
	c.logQuarantinedLocked(service, suspects)
	trial, latest, due := c.tryLocked(suspects, marked)
	if trial {
		c.log.WithField("service", service).WithField("quarantined", len(suspects)).WithField("cause", latest.cause()).Info("The quarantine is tried by one request.")
		return true, nil
	}
	retryAfter := max(due.Sub(c.now()), trialWindow)
	return false, crashesUpstreams(retryAfter, "%s; it is tried again in %s", latest.cause(), retryAfter.Round(time.Millisecond))
}

// suspectsLocked returns the quarantined ones of the prompt parts, and how many of them have marks.
func (c *crashTracker) suspectsLocked(service string, sharedParts []uint64) (suspects []suspect, marked int) {
	for _, id := range sharedParts {
		fp := partFingerprint(service, id)
		marks := c.validMarksLocked(fp)
		if len(marks) > 0 {
			marked++
			c.names[fp] = markedName{service: service, part: id}
		}
		if partSuspected(marks) && c.evidenceLocked().blamed[fp] {
			suspects = append(suspects, suspect{fingerprint: fp, part: id, marks: marks, likely: c.evidenceLocked().likelyCause(fp)})
		}
	}
	return suspects, marked
}

// cause says why a request is refused.
func (s *suspect) cause() string {
	if s.whole {
		return fmt.Sprintf("the request has crashed %d upstreams", len(s.marks))
	}
	return fmt.Sprintf("part %x of the prompt has crashed %d upstreams", s.part, len(s.marks))
}

func crashesUpstreams(retryAfter time.Duration, format string, args ...any) error {
	return fault.New(fault.CrashesUpstreams, fault.NotRun, format, args...).WithRetryAfter(retryAfter)
}
