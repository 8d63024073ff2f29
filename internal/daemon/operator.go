package daemon

import (
	"context"

	"github.com/google/uuid"

	"marigoldshunt/internal/admin"
	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/state"
	"marigoldshunt/internal/wire"
)

// operatorActions implements admin.OperatorActions: it carries out the requests of operators.
type operatorActions struct{ d *Daemon }

// Config implements admin.OperatorActions.
func (a operatorActions) Config() *config.Config { return a.d.controlClient.Config() }

// Change implements admin.OperatorActions.
func (a operatorActions) Change(ctx context.Context, requestID, operator string, changes []config.Change) (uint64, error) {
	return a.d.controlClient.Change(ctx, requestID, operator, changes)
}

// FormGroup implements admin.OperatorActions.
func (a operatorActions) FormGroup(ctx context.Context, hosts []string) error {
	node := a.d.controlRole.node.Load()
	if node == nil {
		return a.noRoleError()
	}
	return node.Form(ctx, uuid.NewString(), hosts)
}

// ReplaceReplica implements admin.OperatorActions. The new replica is on the same host.
func (a operatorActions) ReplaceReplica(ctx context.Context, host string) error {
	node := a.d.controlRole.node.Load()
	if node == nil {
		return a.noRoleError()
	}
	return node.ReplaceReplica(ctx, uuid.NewString(), host, host)
}

func (a operatorActions) noRoleError() error {
	if f := a.d.controlRole.failure.Load(); f != nil {
		return f
	}
	return fault.New(fault.NotLeader, fault.NotRun, "host %s has no control role", a.d.settings.Host)
}

// Order implements admin.OperatorActions.
func (a operatorActions) Order(ctx context.Context, requestID, operator string, o admin.Order) (admin.OrderResponse, error) {
	r, err := a.d.controlClient.IssueOrder(ctx, requestID, state.Order{Upstream: o.Upstream, Kind: state.OrderKind(o.Kind), Name: o.Name, Operator: operator})
	return admin.OrderResponse{Fence: r.Fence, Status: string(r.Status), Message: r.Message}, err
}

// LiftQuarantine implements admin.OperatorActions.
func (a operatorActions) LiftQuarantine(ctx context.Context, fingerprint wire.Digest) error {
	return a.d.controlClient.LiftQuarantine(ctx, fingerprint)
}

// Status implements admin.OperatorActions.
func (a operatorActions) Status() any { return a.d.status() }

// controlView is the view of configuration and hosts that the server for callers uses. The
// platform's list only adds a hint: callers are not sent to hosts that the platform is
// about to remove.
type controlView struct{ d *Daemon }

// Config implements frontend.ControlView.
func (v controlView) Config() *config.Config { return v.d.controlClient.Config() }

// ConfigCurrent implements frontend.ControlView.
func (v controlView) ConfigCurrent() bool { return v.d.controlClient.ConfigCurrent() }

// Leaving implements frontend.ControlView.
func (v controlView) Leaving() bool { return v.d.controlClient.Leaving() }

// Hosts implements frontend.ControlView.
func (v controlView) Hosts() []wire.HostStatus {
	hosts := v.d.controlClient.Hosts()
	list := v.d.hostList.List()
	for i := range hosts {
		if list.Leaving(hosts[i].Host) {
			hosts[i].Leaving = true
		}
	}
	return hosts
}
