package daemon

import (
	"context"
	"math/rand"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"marigoldshunt/internal/control"
	"marigoldshunt/internal/engine"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/peer"
	"marigoldshunt/internal/state"
	"marigoldshunt/internal/wait"
	"marigoldshunt/internal/wal"
	"marigoldshunt/internal/wire"
)

// reopenInterval is the time between two attempts to open the data folder after a storage
// failure, such as a full disk.
const reopenInterval = 500 * time.Millisecond

// controlRole runs this host's replica of the control group. It has no node on a host without
// a data folder and while the storage fails; the host then still works as a router.
type controlRole struct {
	d    *Daemon
	node atomic.Pointer[control.Node]
	// failure is why the role last stopped or the data folder could not be opened.
	failure atomic.Pointer[fault.Error]
	// walLog and lastTransfer, that of the last node, are used only by the goroutine of run once that
	// has started.
	walLog       *wal.Log
	lastTransfer uint64
}

func (d *Daemon) newControlRole() *controlRole {
	r := &controlRole{d: d}
	r.updateControlHosts()
	if d.settings.DataFolder == "" {
		return r
	}
	if err := r.open(); err != nil {
		r.recordFailure(err)
	}
	return r
}

// updateControlHosts gives the client the hosts through which it can find the group: those
// from the settings and the known members, because the hosts from the settings may by now
// be outside the group.
func (r *controlRole) updateControlHosts() {
	hosts := controlHosts(r.d.controlSettings.Load())
	if n := r.node.Load(); n != nil {
		for _, m := range n.Status().Members {
			if !slices.Contains(hosts, m.Host) {
				hosts = append(hosts, m.Host)
			}
		}
	}
	r.d.controlClient.SetControlHosts(hosts)
}

// recordFailure drops the node and records why the role has stopped.
func (r *controlRole) recordFailure(err error) {
	r.node.Store(nil)
	r.setFailure(err)
	r.d.logFor("control").WithError(err).Error("Control role stopped.")
	r.d.timeline.Add("control", "storage_failed", "code", string(fault.CodeOf(err)))
}

// setFailure records a failure for the status of the host and counts it.
func (r *controlRole) setFailure(err error) {
	r.failure.Store(fault.As(err))
	metrics.GetOrRegisterCounter("control.storage_failures", r.d.registry).Inc(1)
}

func (r *controlRole) open() error {
	bounds := newLogBounds(r.d.settings)
	walLog, restored, err := wal.Open(r.d.settings.DataFolder, wal.Options{
		Host: r.d.settings.Host, SegmentBytes: bounds.segment,
		OnSync: metrics.GetOrRegisterTimer("wal.sync", r.d.registry).Update,
	})
	if err != nil {
		return err
	}
	node, err := control.NewNode(control.NodeOptions{
		Host: r.d.settings.Host, Boot: r.d.boot, LastTransfer: r.lastTransfer, Storage: walLog, Restored: restored, Transport: r.d.peers,
		Clock: r.d.clock, Ticks: time.Tick(control.TickInterval),
		Rand:   rand.New(rand.NewSource(int64(r.d.boot ^ uint64(walLog.ReplicaID())))),
		Orders: orderSender{r.d.engine}, Log: r.d.logFor("control"), GroupView: r.groupView(), MaxLogBytes: bounds.entries,
		Seeds: func() []string { return controlHosts(r.d.controlSettings.Load()) },
	})
	if err != nil {
		walLog.Close()
		return err
	}
	r.walLog = walLog
	r.failure.Store(nil)
	r.node.Store(node)
	r.updateControlHosts()
	return nil
}

// groupView returns the lookup with which a replica joins its group without an operator, or
// nil without control_seeds.
func (r *controlRole) groupView() func() (leader string, known, listed bool) {
	if len(r.d.settings.ControlSeeds) == 0 {
		return nil
	}
	return r.d.controlClient.GroupView
}

// registerHandlers routes messages of the control group to the node. Snapshot chunks go to
// both node and client; each drops those that it did not request.
func (r *controlRole) registerHandlers(p *peer.Node, c *control.Client) {
	toNode := func(from string, boot uint64, kind wire.Kind, payload []byte) {
		if n := r.node.Load(); n != nil {
			n.Handle(from, boot, kind, payload)
			return
		}
		r.redirect(from, kind, payload)
	}
	for _, k := range control.NodeKinds {
		p.Handle(k, toNode)
	}
	p.Handle(wire.KindChunk, func(from string, boot uint64, kind wire.Kind, payload []byte) {
		toNode(from, boot, kind, payload)
		c.Handle(from, boot, kind, payload)
	})
}

// redirect answers a host that wrongly takes this one for a control host. The answer names
// the presumed leader, so that a host can find the group through any other host.
func (r *controlRole) redirect(from string, kind wire.Kind, payload []byte) {
	var answer any
	var answerKind wire.Kind
	switch kind {
	case wire.KindRenew:
		var m wire.Renew
		if wire.Unmarshal(payload, &m) != nil {
			return
		}
		answerKind, answer = wire.KindRenewAck, wire.RenewAck{Seq: m.Seq, NotLeader: true, Leader: r.otherLeader()}
	case wire.KindPropose:
		var m wire.Propose
		if wire.Unmarshal(payload, &m) != nil {
			return
		}
		answerKind, answer = wire.KindProposeAck, wire.ProposeAck{Seq: m.Seq, NotLeader: true, Leader: r.otherLeader()}
	default:
		return
	}
	if err := r.d.peers.Send(from, answerKind, answer); err != nil {
		r.d.logFor("control").WithError(err).WithField("to", from).Debug("Failed to send the redirect.")
	}
}

// otherLeader returns the presumed leader. It is empty if that is this host, since this host
// has no control node and can't lead.
func (r *controlRole) otherLeader() string {
	if leader := r.d.controlClient.Leader(); leader != r.d.settings.Host {
		return leader
	}
	return ""
}

// run runs the control role until ctx ends. A storage failure stops the role but not the
// host; opening the data folder is then retried until it succeeds or the data is corrupt or
// belongs to another host.
func (r *controlRole) run(ctx context.Context) error {
	for r.d.settings.DataFolder != "" && ctx.Err() == nil {
		if n := r.node.Load(); n != nil {
			err := n.Run(ctx)
			r.lastTransfer = n.LastTransfer()
			if err == nil || ctx.Err() != nil {
				return nil
			}
			r.recordFailure(err)
			r.close()
		}
		wait.For(ctx, reopenInterval)
		if code := fault.CodeOf(r.lastFailure()); code == fault.StorageCorrupt || code == fault.StorageForeign {
			// A retry can't help. The data is left as it is for an operator.
			return nil
		}
		if err := r.open(); err != nil {
			r.setFailure(err)
			continue
		}
		r.d.logFor("control").Info("Control role restarted.")
	}
	return nil
}

func (r *controlRole) lastFailure() error {
	if f := r.failure.Load(); f != nil {
		return f
	}
	return nil
}

func (r *controlRole) close() {
	if r.walLog == nil {
		return
	}
	if err := r.walLog.Close(); err != nil {
		r.d.logFor("control").WithError(err).Warn("Failed to close the write-ahead log.")
	}
	r.walLog = nil
}

// orderSender sends committed orders to upstreams.
type orderSender struct{ client *engine.Client }

// SendOrder implements control.OrderSender.
func (s orderSender) SendOrder(ctx context.Context, address string, o state.Order, fence uint64) error {
	e := engine.Order{Fence: fence, Kind: string(o.Kind)}
	switch o.Kind {
	case state.OrderLoadModel:
		e.Model = o.Name
	case state.OrderLoadAdapter:
		e.Adapter = o.Name
	case state.OrderLoadVersion:
		e.Version = o.Name
	case state.OrderChangeRole:
		e.Role = o.Name
	}
	return s.client.SendOrder(ctx, address, e)
}
