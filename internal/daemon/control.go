package daemon

import (
	"context"
	"math/rand"
	"time"

	"marigoldshunt/internal/control"
	"marigoldshunt/internal/engine"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/peer"
	"marigoldshunt/internal/state"
	"marigoldshunt/internal/wal"
	"marigoldshunt/internal/wire"
)

// controlRole is the host's part in the replicated log. On a host without a data folder
// and after a storage failure its node is nil; the host goes on as a router.
type controlRole struct {
	d       *Daemon
	log     *wal.Log
	node    *control.Node
	failure error
}

func (d *Daemon) newControlRole() *controlRole {
	r := &controlRole{d: d}
	if d.s.DataFolder == "" {
		return r
	}
	if err := r.open(); err != nil {
		r.failure = err
		d.part("control").WithError(err).Error("Control role stopped.")
		d.timeline.Add("control", "storage_failed", "code", string(fault.CodeOf(err)))
	}
	return r
}

func (r *controlRole) open() error {
	log, restored, err := wal.Open(r.d.s.DataFolder, wal.Options{})
	if err != nil {
		return err
	}
	node, err := control.NewNode(control.NodeOptions{
		Host: r.d.s.Host, Boot: r.d.boot, Storage: log, Restored: restored, Transport: r.d.peers,
		Clock: r.d.clock, Ticks: time.Tick(control.TickInterval),
		Rand:   rand.New(rand.NewSource(int64(r.d.boot ^ uint64(log.ReplicaID())))),
		Orders: orderSender{r.d.engine}, Log: r.d.part("control"), Membership: r.membership(),
	})
	if err != nil {
		log.Close()
		return err
	}
	r.log, r.node = log, node
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
	if r.node == nil {
		return
	}
	for _, k := range control.NodeKinds {
		p.Handle(k, r.node.Handle)
	}
	p.Handle(wire.KindSnapshotChunk, func(from string, boot uint64, kind wire.Kind, payload []byte) {
		r.node.Handle(from, boot, kind, payload)
		c.Handle(from, boot, kind, payload)
	})
}

// run works until ctx ends. A storage failure ends the control role but not the host.
func (r *controlRole) run(ctx context.Context) error {
	if r.node == nil {
		return nil
	}
	if err := r.node.Run(ctx); err != nil && ctx.Err() == nil {
		r.d.part("control").WithError(err).Error("Control role stopped.")
		r.d.timeline.Add("control", "storage_failed", "code", string(fault.CodeOf(err)))
	}
	return nil
}

func (r *controlRole) close() {
	if r.log != nil {
		r.log.Close()
	}
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
