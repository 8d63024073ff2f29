package wire

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
)

// Guards against fields that the array encoding loses or assigns to another field.
func TestRoundTrip(t *testing.T) {
	c := qt.New(t)
	in := RenewAck{
		Seq: 7, Leader: "h1", Revision: 3,
		Delta: &config.Delta{From: 2, To: 3, Changes: []config.AppliedChange{{
			Revision: 3,
			Change:   config.Change{DataCentre: &config.DataCentre{Name: "suva", Out: true}, IfRevision: 1},
		}}},
		Leases: []Lease{{Pool: "p", Host: "h2", Boot: 9, Fence: 12}},
	}
	b, err := Marshal(in)
	c.Assert(err, qt.IsNil)
	var out RenewAck
	c.Assert(Unmarshal(b, &out), qt.IsNil)
	c.Assert(out, qt.DeepEquals, in)
}

// Guards against a panic or an error without a code on malformed bytes from the network.
func TestUnmarshalGarbage(t *testing.T) {
	c := qt.New(t)
	var out RenewAck
	err := Unmarshal([]byte{0xc1, 0xff, 0x00}, &out)
	c.Assert(fault.CodeOf(err), qt.Equals, fault.FrameInvalid)
}

// Guards against a new field before Pool in a message to a scheduler: PoolOf would then
// not find the pool, and the message would be lost.
func TestPoolOf(t *testing.T) {
	c := qt.New(t)
	id := TicketID{Host: "h", Boot: 1, Seq: 2}
	for kind, msg := range map[Kind]any{
		KindTicket: Ticket{ID: id, Pool: "p", Account: "a"}, KindCancel: Cancel{ID: id, Pool: "p"},
		KindFinish: Finish{ID: id, Pool: "p", Upstream: "u"}, KindGrantReturn: GrantReturn{ID: id, Pool: "p"},
		KindRouterHeartbeat: RouterHeartbeat{Pool: "p"}, KindSync: Sync{Pool: "p", Waiting: []Ticket{{ID: id}}},
	} {
		b, err := Marshal(msg)
		c.Assert(err, qt.IsNil)
		c.Assert(PoolOf(kind, b), qt.Equals, "p", qt.Commentf("%T", msg))
		c.Assert(PoolOf(kind, b[:1]), qt.Equals, "")
		c.Assert(PoolOf(kind, []byte{0xc1}), qt.Equals, "")
		c.Assert(PoolOf(KindGrant, b), qt.Equals, "")
	}
}

// Guards against new fields in messages that hosts of an earlier version decode: they refuse
// arrays of another length. New content needs a new kind of message, which they discard.
func TestLoadMessagesKeepTheirFields(t *testing.T) {
	c := qt.New(t)
	const arrayCode = 0x90
	for fields, messages := range map[byte][]any{
		1: {LoadSums{}}, 2: {LoadSum{}, AccountRate{}}, 3: {Loads{}}, 4: {InstanceLoad{}}, 5: {GateLoad{}},
	} {
		for _, m := range messages {
			b, err := Marshal(m)
			c.Assert(err, qt.IsNil)
			c.Check(b[0], qt.Equals, arrayCode|fields, qt.Commentf("%T", m))
		}
	}
	long, err := Marshal([]any{1, 2, 3})
	c.Assert(err, qt.IsNil)
	c.Assert(fault.CodeOf(Unmarshal(long, &LoadSum{})), qt.Equals, fault.FrameInvalid)
}
