package daemon

import (
	"time"

	"marigoldshunt/internal/admin"
	"marigoldshunt/internal/dispatch"
)

// status describes the routed services for operators; nil without an edge.
func (e *edgeRole) status() *admin.EdgeStatus {
	if e.s == nil {
		return nil
	}
	out := &admin.EdgeStatus{Ready: e.Ready(), Running: e.gateway.Running(), ListAgeMS: e.catalog.age().Milliseconds()}
	if t := e.table.Load(); t != nil {
		out.Version = t.Document.Version
	}
	e.dispatch.Update(func(d *dispatch.Dispatcher, now time.Time) { out.Instances = d.Status(now) })
	return out
}

// gauges are what this host believes now.
func (e *edgeRole) gauges() map[string]float64 {
	st := e.status()
	out := map[string]float64{
		"edge.ready": indicator(st.Ready), "edge.version": float64(st.Version), "edge.running": float64(st.Running),
		"edge.list_age_seconds":      float64(st.ListAgeMS) / 1000,
		"control.config_age_seconds": e.d.client.ConfigAge().Seconds(),
		"control.revision":           float64(e.d.client.Config().Revision),
		"control.hosts_alive":        0,
		"gateway.connections":        float64(e.gateway.Connections()),
		"gateway.overload_level":     e.gateway.OverloadLevel(),
	}
	m := readMemory()
	out["process.memory_bytes"], out["process.live_bytes"] = float64(m.totalBytes), float64(m.liveBytes)
	out["process.goroutines"] = float64(m.goroutines)
	for _, i := range st.Instances {
		out["edge.instances_"+i.State]++
	}
	for _, h := range e.d.client.Hosts() {
		out["control.hosts_alive"] += indicator(h.Alive)
	}
	if n := e.d.role.node.Load(); n != nil {
		c := n.Status()
		out["control.leads"] = indicator(c.Leader == e.d.s.Host)
		out["control.term"], out["control.applied"] = float64(c.Term), float64(c.Applied)
	}
	return out
}

func indicator(v bool) float64 {
	if v {
		return 1
	}
	return 0
}
