package admin

import (
	"context"
	"strings"

	"github.com/valyala/fasthttp"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// maxRequestIDBytes is the length of the longest request ID that the replicated state accepts.
const maxRequestIDBytes = 64

// ChangeRequest is the body of POST /v1/config.
type ChangeRequest struct {
	RequestID string          `json:"request_id"`
	Changes   []config.Change `json:"changes"`
}

// ServiceStateRequest is the body of the out and back requests. IfRevision is the expected
// revision of the object. A request without it is refused with the current revision, because
// it may be handled after a later one of the same sender.
type ServiceStateRequest struct {
	RequestID  string `json:"request_id"`
	IfRevision uint64 `json:"if_revision"`
}

// InitRequest is the body of POST /v1/control/init.
type InitRequest struct {
	Hosts []string `json:"hosts"`
}

// ReplaceRequest is the body of POST /v1/control/replace.
type ReplaceRequest struct {
	Host string `json:"host"`
}

// LiftRequest is the body of POST /v1/quarantine/lift.
type LiftRequest struct {
	Fingerprint string `json:"fingerprint"`
}

// OrderRequest is the body of POST /v1/orders.
type OrderRequest struct {
	RequestID string `json:"request_id"`
	Order
}

func checkRequestID(id string) error {
	if id == "" || len(id) > maxRequestIDBytes {
		return fault.New(fault.BadRequest, fault.NotRun, "request_id must have 1 to %d bytes", maxRequestIDBytes)
	}
	return nil
}

func (s *Server) change(ctx *fasthttp.RequestCtx) error {
	var r ChangeRequest
	if err := decode(ctx, &r); err != nil {
		return err
	}
	if len(r.Changes) == 0 {
		return fault.New(fault.BadRequest, fault.NotRun, "changes must not be empty")
	}
	for _, change := range r.Changes {
		if change.Routing == nil {
			continue
		}
		if err := change.Routing.FillDerived(); err != nil {
			return err
		}
	}
	if err := checkRequestID(r.RequestID); err != nil {
		return err
	}
	return s.commit(ctx, r.RequestID, r.Changes)
}

// commit has the control group change the configuration. The caller has checked the request id.
func (s *Server) commit(ctx *fasthttp.RequestCtx, requestID string, changes []config.Change) error {
	operator := operatorOf(ctx)
	var revision uint64
	err := withTimeout(func(c context.Context) (err error) {
		revision, err = s.opts.OperatorActions.Change(c, requestID, operator, changes)
		return err
	})
	s.record(ctx, "config_change", err, "request_id", requestID)
	if err != nil {
		return err
	}
	return reply(ctx, RevisionResponse{Revision: revision})
}

// serviceStateHandler returns the handler that takes an object out of service or brings
// it back. The change is sent even if the object seems to be in the wanted state,
// because the configuration of this host may be stale: the revision check decides.
func (s *Server) serviceStateHandler(newChange func(*config.Config, string, bool) (config.Change, bool), name string, out bool) handler {
	return func(ctx *fasthttp.RequestCtx) error {
		var r ServiceStateRequest
		if err := decode(ctx, &r); err != nil {
			return err
		}
		cfg := s.opts.OperatorActions.Config()
		change, ok := newChange(cfg, name, out)
		if !ok && len(cfg.DataCentres) == 0 {
			// A restarted host does not know yet which objects exist.
			return fault.New(fault.HostIsolated, fault.NotRun, "this host has no configuration yet")
		}
		if !ok {
			return fault.New(fault.NotFound, fault.NotRun, "%q is not in the configuration", name)
		}
		if err := checkRequestID(r.RequestID); err != nil {
			return err
		}
		if r.IfRevision == 0 {
			conflict := fault.New(fault.RevisionConflict, fault.NotRun, "if_revision is required; %q is at revision %d", name, change.IfRevision)
			conflict.Revision = change.IfRevision
			return conflict
		}
		change.IfRevision = r.IfRevision
		return s.commit(ctx, r.RequestID, []config.Change{change})
	}
}

func (s *Server) controlInit(ctx *fasthttp.RequestCtx) error {
	var r InitRequest
	if err := decode(ctx, &r); err != nil {
		return err
	}
	if len(r.Hosts) == 0 {
		return fault.New(fault.BadRequest, fault.NotRun, "hosts must not be empty")
	}
	err := withTimeout(func(c context.Context) error { return s.opts.OperatorActions.FormGroup(c, r.Hosts) })
	s.record(ctx, "control_init", err, "hosts", strings.Join(r.Hosts, ","))
	if err != nil {
		return err
	}
	return reply(ctx, struct{}{})
}

func (s *Server) controlReplace(ctx *fasthttp.RequestCtx) error {
	var r ReplaceRequest
	if err := decode(ctx, &r); err != nil {
		return err
	}
	if r.Host == "" {
		return fault.New(fault.BadRequest, fault.NotRun, "host must not be empty")
	}
	err := withTimeout(func(c context.Context) error { return s.opts.OperatorActions.ReplaceReplica(c, r.Host) })
	s.record(ctx, "control_replace", err, "replaced", r.Host)
	if err != nil {
		return err
	}
	return reply(ctx, struct{}{})
}

func (s *Server) quarantineLift(ctx *fasthttp.RequestCtx) error {
	var r LiftRequest
	if err := decode(ctx, &r); err != nil {
		return err
	}
	fingerprint, err := wire.ParseDigest(r.Fingerprint)
	if err != nil {
		return err
	}
	err = withTimeout(func(c context.Context) error { return s.opts.OperatorActions.LiftQuarantine(c, fingerprint) })
	s.record(ctx, "quarantine_lift", err, "fingerprint", r.Fingerprint)
	if err != nil {
		return err
	}
	return reply(ctx, struct{}{})
}

func (s *Server) order(ctx *fasthttp.RequestCtx) error {
	var r OrderRequest
	if err := decode(ctx, &r); err != nil {
		return err
	}
	if err := checkRequestID(r.RequestID); err != nil {
		return err
	}
	switch r.Kind {
	case "load_model", "load_adapter", "load_version", "change_role", "drain":
	default:
		return fault.New(fault.BadRequest, fault.NotRun, "unknown kind of order %q", r.Kind)
	}
	if r.Upstream == "" || (r.Name == "") != (r.Kind == "drain") {
		return fault.New(fault.BadRequest, fault.NotRun, "an order needs upstream and, unless it is drain, name")
	}
	var result OrderResponse
	err := withTimeout(func(c context.Context) (err error) {
		result, err = s.opts.OperatorActions.Order(c, r.RequestID, operatorOf(ctx), r.Order)
		return err
	})
	s.record(ctx, "order", err, "request_id", r.RequestID, "upstream", r.Upstream, "order", r.Kind)
	if err != nil {
		return err
	}
	return reply(ctx, result)
}

func operatorOf(ctx *fasthttp.RequestCtx) string {
	name, _ := ctx.UserValue(operatorUserValue).(string)
	return name
}

// record adds an action of an operator to the timeline and the log.
func (s *Server) record(ctx *fasthttp.RequestCtx, kind string, err error, kv ...string) {
	result := "ok"
	if err != nil {
		result = string(fault.CodeOf(err))
	}
	kv = append(kv, "operator", operatorOf(ctx), "result", result)
	s.opts.Timeline.Add("admin", kind, kv...)
	log := s.log
	for i := 0; i+1 < len(kv); i += 2 {
		log = log.WithField(kv[i], kv[i+1])
	}
	log.Infof("Operator request %s on %s.", kind, ctx.Path())
}
