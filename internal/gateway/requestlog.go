package gateway

import (
	"fmt"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/logsink"
)

// logFailure logs why a request failed, in one line.
func (q *request) logFailure(e *fault.Error) {
	if logsink.Drops(q.server.log, logrus.InfoLevel) {
		return
	}
	fields := q.logFields(e)
	fields["sends"], fields["waited_ms"] = q.sends, time.Since(q.arrived).Milliseconds()
	if e.RetryAfter > 0 {
		fields["retry_after_ms"] = e.RetryAfter.Milliseconds()
	}
	q.server.log.WithFields(fields).Info("Request failed.")
}

// logRepeat logs why a request is sent again.
func (q *request) logRepeat(e *fault.Error) {
	if !logsink.Drops(q.server.log, logrus.InfoLevel) {
		q.server.log.WithFields(q.logFields(e)).Info("Request sent again.")
	}
}

// logFields returns what decided the last attempt of a request, and its error.
func (q *request) logFields(e *fault.Error) logrus.Fields {
	fields := logrus.Fields{"request": q.id, "code": string(e.Code), "run": string(e.RunState), "cause": e.Message()}
	fields["config_age_ms"], fields["list_contact_ms"] = q.view.Age.Milliseconds(), q.view.ListContactAge.Milliseconds()
	if q.view.Table != nil {
		fields["version"] = q.view.Table.Document.Version
	}
	if q.route != nil {
		fields["route"] = q.route.Name
	}
	if q.account != "" {
		fields["account"] = q.account
	}
	if q.job.Ranked {
		fields["rank"] = q.job.Rank.String()
	}
	if n := len(q.job.Tried); n > 0 {
		fields["instance"], fields["instance_version"] = q.job.Tried[n-1].ID, q.instanceVersion
	}
	if q.lastEventID != "" {
		fields["last_event"], fields["resumes"] = q.lastEventID, q.resumes
	}
	if q.job.Origin != nil {
		fields["begun_at_version"] = q.job.Origin.Version
	}
	q.addDecision(fields)
	q.gate.AddFields(fields, time.Now())
	return fields
}

// addDecision adds what decided the last choice of an instance, if there was one.
func (q *request) addDecision(fields logrus.Fields) {
	c := &q.job.Decision
	if c.Instances == 0 {
		return
	}
	fields["list_age_ms"], fields["list_version"] = q.view.ListAge.Milliseconds(), catalog.FormatVersion(q.view.ListVersion)
	fields["instances"], fields["candidates"] = c.Instances, c.Candidates
	if c.Candidates < c.Instances {
		fields["left_out"] = leftOutText(c.LeftOut)
	}
	if c.LoadSource == dispatch.NoLoad {
		return
	}
	fields["load_source"], fields["load_age_ms"] = c.LoadSource.String(), c.LoadAge.Milliseconds()
	fields["load_running"], fields["cost_ms"] = c.Running, c.Cost.Milliseconds()
	if q.service.Engine != nil {
		fields["load_tokens"] = c.BacklogTokens
	}
}

// leftOutText lists the reasons for which instances could not take a request.
func leftOutText(l dispatch.LeftOut) string {
	var out []string
	for _, reason := range []struct {
		name  string
		count int
	}{{"tried", l.Tried}, {"draining", l.Draining}, {"replaced", l.Replaced}, {"data_centre_out", l.OutOfService}, {"paused", l.Paused}, {"other_version", l.OtherVersion}, {"cold", l.Cold}} {
		if reason.count > 0 {
			out = append(out, fmt.Sprintf("%s:%d", reason.name, reason.count))
		}
	}
	return strings.Join(out, ",")
}

// refusalEndsRequest reports whether the request fails if the engine's gate refuses it, because
// it asks no other engine. See sendWithRetries.
func (q *request) refusalEndsRequest() bool {
	return q.sends == 0 && (!q.job.MayTryAnotherEngine(len(q.job.Tried)) || q.job.Decision.Candidates == 1)
}

// logExcluded logs that the chosen instance may get no requests any more since the request waited.
func (q *request) logExcluded(p *dispatch.Placement, reason dispatch.ExclusionReason) {
	q.server.count("excluded_while_waiting")
	if logsink.DropsSecondary(q.server.log, logrus.InfoLevel) {
		return
	}
	fields := logrus.Fields{"request": q.id, "instance": p.Instance.ID, "left_out": reason.String(), "waited_ms": time.Since(q.arrived).Milliseconds()}
	fields["list_age_ms"], fields["list_version"] = q.view.ListAge.Milliseconds(), catalog.FormatVersion(q.view.ListVersion)
	q.gate.AddFields(fields, time.Now())
	q.server.log.WithFields(fields).Info("Upstream may get no requests any more; the request is placed again.")
}
