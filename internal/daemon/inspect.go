package daemon

import (
	"context"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/control"
	"marigoldshunt/internal/peer"
	"marigoldshunt/internal/scheduler"
)

// Schedulers returns the state of the pool schedulers whose lease this host holds.
func (d *Daemon) Schedulers() []scheduler.Status { return d.schedulers.status() }

// Traffic returns the control traffic per peer.
func (d *Daemon) Traffic() map[string]peer.Traffic { return d.peers.Traffic() }

// Config returns the applied configuration. It must not be modified.
func (d *Daemon) Config() *config.Config { return d.controlClient.Config() }

// ConfigCurrent reports whether the last confirmed configuration is recent enough to serve
// with.
func (d *Daemon) ConfigCurrent() bool { return d.controlClient.ConfigCurrent() }

// Leader returns the presumed leader of the control group.
func (d *Daemon) Leader() string { return d.controlClient.Leader() }

// Control returns the state of the control role; ok is false on a host without one.
func (d *Daemon) Control() (st control.Status, ok bool) {
	if d.controlRole.node.Load() == nil {
		return st, false
	}
	return d.controlRole.node.Load().Status(), true
}

// Form creates the control group on the given hosts. It may be retried after a Timeout.
func (d *Daemon) Form(ctx context.Context, hosts []string) error {
	return operatorActions{d}.FormGroup(ctx, hosts)
}

// Change commits configuration changes and returns the new revision.
func (d *Daemon) Change(ctx context.Context, requestID, operator string, changes []config.Change) (uint64, error) {
	return d.controlClient.Change(ctx, requestID, operator, changes)
}
