package daemon

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/edge"
)

// orderDataCentre gives a host an order and repeats it with the revisions that the host names, as a
// sender that has not left does.
func (f *edgeFleet) orderDataCentre(ip, name string, out bool) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	o := edge.DataCentreOrder{Name: name, Out: out}
	for {
		r, err := f.hosts[ip].d.edge.OrderDataCentre(ctx, o)
		f.Assert(err, qt.IsNil)
		if r.InForce {
			return
		}
		o.IfRevision = &r.Revision
	}
}

func (f *edgeFleet) dataCentreOut(ip, name string) bool {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c, err := f.hosts[ip].d.controlClient.ConfirmConfig(ctx)
	f.Assert(err, qt.IsNil)
	return c.DataCentres[name].Out
}

// Guards against a host that wakes from a freeze and carries out an order whose sender has left, has
// had it done by another host, and has ordered the opposite since.
func TestOrderOfASenderThatHasLeftDoesNotOverruleALaterOne(t *testing.T) {
	f, ips := newGroupOfThree(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	frozen, other := f.hosts[ips[0]].d.edge, ips[1]
	f.orderDataCentre(other, "north", true)

	// The sender has the first answer of the frozen host, repeats the order there, and leaves
	// without an answer.
	back := edge.DataCentreOrder{Name: "north"}
	first, err := frozen.OrderDataCentre(ctx, back)
	f.Assert(err, qt.IsNil)
	f.Assert(first.InForce, qt.IsFalse)
	f.orderDataCentre(other, "north", false)
	f.orderDataCentre(other, "north", true)

	repeated := back
	repeated.IfRevision = &first.Revision
	for _, late := range []edge.DataCentreOrder{back, repeated} {
		r, err := frozen.OrderDataCentre(ctx, late)
		f.Assert(err, qt.IsNil)
		f.Assert(r.InForce, qt.IsFalse)
		f.Assert(r.Revision > first.Revision, qt.IsTrue)
		f.Assert(f.dataCentreOut(ips[2], "north"), qt.IsTrue)
	}
	f.orderDataCentre(ips[0], "north", false)
	f.Assert(f.dataCentreOut(ips[2], "north"), qt.IsFalse)
}

// Guards against a second change for an order that another host has carried out, which would refuse
// the orders of others that know the first one.
func TestOrderThatIsInForceChangesNothing(t *testing.T) {
	f, ips := newGroupOfThree(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	f.orderDataCentre(ips[1], "north", true)
	before, err := f.hosts[ips[1]].d.controlClient.ConfirmConfig(ctx)
	f.Assert(err, qt.IsNil)
	r, err := f.hosts[ips[0]].d.edge.OrderDataCentre(ctx, edge.DataCentreOrder{Name: "north", Out: true})
	f.Assert(err, qt.IsNil)
	f.Assert(r, qt.Equals, edge.DataCentreOrderResult{InForce: true, Revision: before.DataCentres["north"].Revision})
}
