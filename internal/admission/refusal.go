package admission

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/logsink"
	"marigoldshunt/internal/wire"
)

// maxRequestIDBytes bounds the ids in messages to owners. Callers choose their ids, and the
// owner's line about a longer one has only the number of the request.
const maxRequestIDBytes = 64

// GateResult is the last that a host learnt from the gate of a request.
type GateResult string

// Results of admission requests.
const (
	GateGranted  GateResult = "granted"
	GateRefused  GateResult = "refused"
	GateQueued   GateResult = "queued"
	GateNoReply  GateResult = "no_reply"
	GateBypassed GateResult = "bypassed"
)

// GateAnswer says which gate decided on a request and why, for the log.
type GateAnswer struct {
	// Owner is the host that owns the gate, Seq the number of the request in its line.
	Owner  string
	Seq    uint64
	Result GateResult
	// ReceivedAt is the time of the last reply, zero without one. Wait is the time until the
	// first event that the owner expected then.
	ReceivedAt time.Time
	Wait       time.Duration
	// Refusal is nil unless the owner refused the request and told why.
	Refusal *dispatch.Refusal
}

// AddFields adds the fields of a log line.
func (g *GateAnswer) AddFields(fields logrus.Fields, now time.Time) {
	if g.Owner == "" {
		return
	}
	fields["gate_owner"], fields["gate_seq"], fields["gate_result"] = g.Owner, g.Seq, string(g.Result)
	if !g.ReceivedAt.IsZero() {
		fields["gate_age_ms"] = now.Sub(g.ReceivedAt).Milliseconds()
	}
	if g.Refusal != nil {
		addRefusalFields(fields, g.Refusal)
	} else if g.Result == GateQueued {
		fields["gate_expected_ms"] = g.Wait.Milliseconds()
	}
}

func addRefusalFields(fields logrus.Fields, r *dispatch.Refusal) {
	fields["gate_reason"] = r.Reason.String()
	fields["gate_expected_ms"], fields["gate_limit_ms"] = r.Expected.Milliseconds(), r.Limit.Milliseconds()
	fields["gate_unread_tokens"], fields["gate_queued_tokens"], fields["gate_prompt_tokens"] = r.UnreadTokens, r.QueuedTokens, r.Tokens
	fields["gate_waiting"], fields["gate_running"], fields["gate_tokens_per_ms"] = r.Waiting, r.Running, math.Round(r.PerMs*10)/10
}

// recordLocked records a reply to the request of a waiter.
func (w *waiter) recordLocked(reply wire.AdmissionReply, now time.Time) {
	w.gate.ReceivedAt, w.gate.Wait = now, reply.Wait
	switch {
	case reply.Granted:
		w.gate.Result = GateGranted
	case reply.Queued:
		w.gate.Result = GateQueued
	default:
		w.gate.Result = GateRefused
	}
	if r := reply.Refusal; r != nil {
		w.gate.Refusal = &dispatch.Refusal{
			Reason: dispatch.RefusalReason(r.Reason), Expected: r.Expected, Limit: r.Limit, UnreadTokens: r.UnreadTokens, QueuedTokens: r.QueuedTokens,
			Tokens: r.Tokens, Waiting: r.Waiting, Running: r.Running, PerMs: r.PerMs,
		}
	}
}

// refusalError returns the error of a request that the owner of its gate refused.
func refusalError(reply wire.AdmissionReply) error {
	if r := reply.Refusal; r != nil && dispatch.RefusalReason(r.Reason) == dispatch.RefusedUnreachable {
		return fault.New(fault.UpstreamExcluded, fault.NotRun, "hosts can't connect to the engine").WithRetryAfter(r.Expected)
	}
	if r := reply.Refusal; r != nil && reply.Wait == 0 {
		return fault.New(fault.QueueFull, fault.NotRun, "the gate of the engine gave up the queued request (%s)", dispatch.RefusalReason(r.Reason))
	}
	return fault.New(fault.QueueFull, fault.NotRun, "the engine would answer after %s", reply.Wait.Round(time.Millisecond)).WithRetryAfter(reply.Wait)
}

// gateRefusal is a refusal by a gate of this host.
type gateRefusal struct {
	engine  catalog.Key
	request dispatch.AdmissionRequest
	dispatch.Refusal
}

// reply returns the reply to the host of the request. Wait is 0 for requests that were queued,
// since the time that they have waited says nothing about the next one.
func (r *gateRefusal) reply() addressedReply {
	m := wire.AdmissionReply{Seq: r.request.ID.Seq, Refusal: &wire.GateRefusal{
		Reason: uint8(r.Reason), Expected: r.Expected, Limit: r.Limit, UnreadTokens: r.UnreadTokens, QueuedTokens: r.QueuedTokens,
		Tokens: r.Tokens, Waiting: r.Waiting, Running: r.Running, PerMs: r.PerMs,
	}}
	if r.Reason == dispatch.RefusedLate || r.Reason == dispatch.RefusedFull {
		m.Wait = r.Expected
	}
	return addressedReply{host: r.request.ID.Host, AdmissionReply: m, refusal: r}
}

// takeRefusals returns the replies to the requests that the gate has refused since the last call.
func (g *ownedGate) takeRefusals() (out []addressedReply) {
	for i := range g.refusals {
		out = append(out, g.refusals[i].reply())
	}
	g.refusals = nil
	return out
}

// logRefusal logs a refusal that ended a request of another host. The line of a request of this
// host has the same fields already, and a request that may ask another engine may still succeed.
func (a *Admission) logRefusal(r *gateRefusal) {
	if r.request.ID.Host == a.opts.Host || !r.request.LastAttempt || logsink.DropsSecondary(a.opts.Log, logrus.InfoLevel) {
		return
	}
	fields := logrus.Fields{
		"request": r.request.CallerID, "from": r.request.ID.Host, "gate_seq": r.request.ID.Seq, "instance": r.engine.ID, "rank": r.request.Rank.String(),
	}
	addRefusalFields(fields, &r.Refusal)
	a.opts.Log.WithFields(fields).Info("Gate refused a request of another host.")
}
