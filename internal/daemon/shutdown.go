package daemon

import (
	"context"
	"time"

	"marigoldshunt/internal/wait"
)

// announceTime is how long after the announcement other hosts may still name this host
// in discovery: one renewal and the push of the host list.
const announceTime = time.Second

// shutdown waits for leave, then ends the host without cutting off a request: the
// leave is announced and leases are released, callers that hold the address are served
// for the keep-for time, and running requests end. The deadline of the settings or the
// end of ctx cuts this short.
func (d *Daemon) shutdown(leave, ctx context.Context) error {
	select {
	case <-leave.Done():
	case <-ctx.Done():
		d.closeServers(ctx)
		return nil
	}
	limit, cancel := context.WithTimeout(ctx, d.s.ShutdownDeadline)
	defer cancel()
	d.log.Info("Host leaves.")
	d.timeline.Add("daemon", "leaving")
	d.client.SetLeaving()
	if d.edge.s != nil {
		d.edge.leave(limit)
	} else {
		wait.For(limit, announceTime+d.client.Config().Policy.KeepFor)
	}
	d.closeServers(limit)
	d.timeline.Add("daemon", "stopped")
	return nil
}

func (d *Daemon) closeServers(ctx context.Context) {
	if err := d.callers.Shutdown(ctx); err != nil {
		d.log.WithError(err).Warn("Requests were cut off by the end of the shutdown.")
	}
	adminCtx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := d.admin.Shutdown(adminCtx); err != nil {
		d.log.WithError(err).Debug("Operator connections were cut off.")
	}
}
