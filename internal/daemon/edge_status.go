package daemon

import (
	"time"

	"marigoldshunt/internal/admin"
	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/gateway"
)

// status returns the state of the routed services for operators, nil without an edge.
func (e *edgeRole) status() *admin.EdgeStatus {
	if e.settings == nil {
		return nil
	}
	listAge, _ := e.catalog.version()
	out := &admin.EdgeStatus{Ready: e.Ready(), Running: e.gateway.Running(), ListAgeMS: listAge.Milliseconds()}
	if t := e.routingTable.Load(); t != nil {
		out.Version = t.Document.Version
	}
	e.dispatcher.Update(func(d *dispatch.Dispatcher, now time.Time) { out.Instances = d.Status(now) })
	for _, q := range e.gateway.Quarantined() {
		out.Quarantined = append(out.Quarantined, quarantineStatus(q))
	}
	return out
}

func quarantineStatus(q gateway.Quarantined) admin.QuarantineStatus {
	out := admin.QuarantineStatus{
		Fingerprint: q.Fingerprint.String(), Service: q.Service, PromptPart: q.Part, Since: q.Since.UTC(), NextTrial: q.NextTrial.UTC(),
	}
	for _, crash := range q.Crashes {
		out.Crashes = append(out.Crashes, admin.CrashStatus{Instance: crash.Instance, At: crash.At.UTC()})
	}
	return out
}

// gauges returns the present values of this host's gauge metrics.
func (e *edgeRole) gauges() map[string]float64 {
	status := e.status()
	connections := e.gateway.Connections()
	out := map[string]float64{
		"edge.ready": boolGauge(status.Ready), "edge.version": float64(status.Version), "edge.running": float64(status.Running),
		"edge.list_age_seconds":       float64(status.ListAgeMS) / 1000,
		"control.config_age_seconds":  e.d.controlClient.ConfigAge().Seconds(),
		"control.revision":            float64(e.d.controlClient.Config().Revision),
		"control.hosts_alive":         0,
		"gateway.connections":         float64(connections.Open),
		"gateway.unread_connections":  float64(connections.Unread),
		"gateway.idle_connections":    float64(connections.Idle),
		"gateway.closing_connections": float64(connections.Closing),
		"gateway.refusing":            float64(connections.Refusing),
		"gateway.overload_level":      e.gateway.AccountRateLimit(),
	}
	m := readMemory()
	out["process.memory_bytes"], out["process.live_bytes"] = float64(m.totalBytes), float64(m.liveBytes)
	out["process.goroutines"] = float64(m.goroutines)
	out["edge.quarantined"] = float64(len(status.Quarantined))
	for _, i := range status.Instances {
		out["edge.instances_"+i.State]++
	}
	for _, h := range e.d.controlClient.Hosts() {
		out["control.hosts_alive"] += boolGauge(h.Alive)
	}
	if n := e.d.controlRole.node.Load(); n != nil {
		c := n.Status()
		out["control.leads"] = boolGauge(c.Leader == e.d.settings.Host)
		out["control.term"], out["control.applied"] = float64(c.Term), float64(c.Applied)
	}
	return out
}

func boolGauge(v bool) float64 {
	if v {
		return 1
	}
	return 0
}
