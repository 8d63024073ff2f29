package wire

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a new kind that logs show as a number, or under the name of another one.
func TestEachKindHasItsName(t *testing.T) {
	c := qt.New(t)
	seen := map[string]bool{}
	for k := KindTicket; k <= KindAdmissionUnreachable; k++ {
		c.Check(kindNames[k], qt.Not(qt.Equals), "", qt.Commentf("kind %d", k))
		c.Check(seen[k.String()], qt.IsFalse, qt.Commentf("%s", k))
		seen[k.String()] = true
	}
	c.Assert(KindRenewAck.String(), qt.Equals, "renew_ack")
	c.Assert(Kind(250).String(), qt.Equals, "kind_250")
}
