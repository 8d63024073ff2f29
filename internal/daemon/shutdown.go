package daemon

import (
	"context"
	"time"

	"marigoldshunt/internal/wait"
)

// discoveryUpdateTime is how long other hosts may still name this host in discovery after it
// has announced that it is leaving: one renewal plus the push of the host list.
const discoveryUpdateTime = time.Second

// shutdown waits until the context leave ends, then stops the host without cutting off a
// request: it announces that the host is leaving, releases the leases, serves callers that
// still have this host's address for as long as they may keep it, and waits for running
// requests to end. The shutdown deadline of the settings or the end of ctx cuts this short.
func (d *Daemon) shutdown(leave, ctx context.Context) error {
	select {
	case <-leave.Done():
	case <-ctx.Done():
		d.closeServers(ctx)
		return nil
	}
	limitCtx, cancel := context.WithTimeout(ctx, d.settings.ShutdownDeadline)
	defer cancel()
	d.log.Info("Host is leaving.")
	d.timeline.Add("daemon", "leaving")
	d.controlClient.SetLeaving()
	if d.edge.settings != nil {
		d.edge.shutdown(limitCtx)
	} else {
		wait.For(limitCtx, discoveryUpdateTime+d.controlClient.Config().Policy.KeepFor)
	}
	d.closeServers(limitCtx)
	d.timeline.Add("daemon", "stopped")
	return nil
}

func (d *Daemon) closeServers(ctx context.Context) {
	if err := d.callerServer.Shutdown(ctx); err != nil {
		d.log.WithError(err).Warn("Requests were cut off by the shutdown.")
	}
	adminCtx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := d.adminServer.Shutdown(adminCtx); err != nil {
		d.log.WithError(err).Debug("Operator connections were cut off.")
	}
}
