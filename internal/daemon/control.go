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

// controlRole is the host's part in the replicated log. It has no node on a host without
// a data folder and while the storage fails; the host then goes on as a router.
type controlRole struct {
	d    *Daemon
	node atomic.Pointer[control.Node]
	// failure is why the last attempt to open the data folder failed.
	failure atomic.Pointer[fault.Error]
	// seeds are the hosts of the settings that may know the control group.
	seeds atomic.Pointer[[]string]
	// log belongs to the goroutine of run once that has begun.
	log *wal.Log
}

func (d *Daemon) newControlRole() *controlRole {
	r := &controlRole{d: d}
	r.setSeeds(controlHosts(d.s))
	if d.s.DataFolder == "" {
		return r
	}
	if err := r.open(); err != nil {
		r.fail(err)
	}
	return r
}

// setSeeds takes the hosts of the settings. A control host finds its group by the members
// that its log names as well, because the seeds may be other hosts by now.
func (r *controlRole) setSeeds(hosts []string) {
	r.seeds.Store(&hosts)
	r.followMembers()
}

// followMembers tells the client through which hosts it can find the group.
func (r *controlRole) followMembers() {
	hosts := slices.Clone(*r.seeds.Load())
	if n := r.node.Load(); n != nil {
		for _, m := range n.Status().Members {
			if !slices.Contains(hosts, m.Host) {
				hosts = append(hosts, m.Host)
			}
		}
	}
	r.d.client.SetControlHosts(hosts)
}

// fail notes that the role has stopped.
func (r *controlRole) fail(err error) {
	r.node.Store(nil)
	r.failure.Store(fault.As(err))
	r.d.part("control").WithError(err).Error("Control role stopped.")
	r.d.timeline.Add("control", "storage_failed", "code", string(fault.CodeOf(err)))
}

func (r *controlRole) open() error {
	log, restored, err := wal.Open(r.d.s.DataFolder, wal.Options{
		OnSync: metrics.GetOrRegisterTimer("wal.sync", r.d.registry).Update,
	})
	if err != nil {
		return err
	}
	node, err := control.NewNode(control.NodeOptions{
		Host: r.d.s.Host, Boot: r.d.boot, Storage: log, Restored: restored, Transport: r.d.peers,
		Clock: r.d.clock, Ticks: time.Tick(control.TickInterval),
		Rand:   rand.New(rand.NewSource(int64(r.d.boot ^ uint64(log.ReplicaID())))),
		Orders: orderSender{r.d.engine}, Log: r.d.part("control"), Membership: r.membership(),
		Seeds: func() []string { return *r.seeds.Load() },
	})
	if err != nil {
		log.Close()
		return err
	}
	r.log = log
	r.failure.Store(nil)
	r.node.Store(node)
	r.followMembers()
	return nil
}

// membership lets the replica join its group by itself where seeds are set.
func (r *controlRole) membership() func() (leader string, known, listed bool) {
	if len(r.d.s.ControlSeeds) == 0 {
		return nil
	}
	return r.d.client.Membership
}

// connect routes messages of the control group to the node. Chunks of large messages go
// to node and client; each drops those that it did not ask for.
func (r *controlRole) connect(p *peer.Node, c *control.Client) {
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
	p.Handle(wire.KindSnapshotChunk, func(from string, boot uint64, kind wire.Kind, payload []byte) {
		toNode(from, boot, kind, payload)
		c.Handle(from, boot, kind, payload)
	})
}

// redirect sends hosts that take this one for a control host to the presumed leader, so
// that a host finds the group through any other.
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
		r.d.part("control").WithError(err).WithField("to", from).Debug("Redirect not sent.")
	}
}

// otherLeader is the presumed leader, empty if that is this host, which does not lead.
func (r *controlRole) otherLeader() string {
	if leader := r.d.client.Leader(); leader != r.d.s.Host {
		return leader
	}
	return ""
}

// run works until ctx ends. A storage failure ends the control role but not the host;
// the data folder is opened again until that succeeds.
func (r *controlRole) run(ctx context.Context) error {
	for r.d.s.DataFolder != "" && ctx.Err() == nil {
		if n := r.node.Load(); n != nil {
			err := n.Run(ctx)
			if err == nil || ctx.Err() != nil {
				return nil
			}
			r.fail(err)
			r.close()
		}
		wait.For(ctx, reopenInterval)
		if fault.CodeOf(r.lastFailure()) == fault.StorageCorrupt {
			// Trying again can't help, and the data stays as it is for an operator.
			return nil
		}
		if err := r.open(); err != nil {
			r.failure.Store(fault.As(err))
			continue
		}
		r.d.part("control").Info("Control role runs again.")
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
	if r.log == nil {
		return
	}
	if err := r.log.Close(); err != nil {
		r.d.part("control").WithError(err).Warn("Log not closed.")
	}
	r.log = nil
}

// orderSender gives committed orders to upstreams.
type orderSender struct{ c *engine.Client }

// Order implements control.OrderSender.
func (s orderSender) Order(ctx context.Context, address string, o state.Order, fence uint64) error {
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
	return s.c.Order(ctx, address, e)
}
