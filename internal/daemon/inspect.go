package daemon

import (
	"context"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/control"
	"marigoldshunt/internal/peer"
	"marigoldshunt/internal/scheduler"
)

// Schedulers returns the state of the pool schedulers whose lease this host holds.
func (d *Daemon) Schedulers() []scheduler.Status { return d.pools.status() }

// Traffic returns the control traffic per peer.
func (d *Daemon) Traffic() map[string]peer.Traffic { return d.peers.Bytes() }

// Config returns the applied configuration. It must not be modified.
func (d *Daemon) Config() *config.Config { return d.client.Config() }

// Current reports whether the host may serve by its last confirmed configuration.
func (d *Daemon) Current() bool { return d.client.Current() }

// Leader returns the presumed control leader.
func (d *Daemon) Leader() string { return d.client.Leader() }

// Control returns the state of the control role; ok is false on a host without one.
func (d *Daemon) Control() (st control.Status, ok bool) {
	if d.role.node.Load() == nil {
		return st, false
	}
	return d.role.node.Load().Status(), true
}

// Form creates the control group on the given hosts. It is repeatable after a Timeout.
func (d *Daemon) Form(ctx context.Context, hosts []string) error {
	return operatorActions{d}.Init(ctx, hosts)
}

// Change commits configuration changes and returns the new revision.
func (d *Daemon) Change(ctx context.Context, requestID, operator string, changes []config.Change) (uint64, error) {
	return d.client.Change(ctx, requestID, operator, changes)
}
