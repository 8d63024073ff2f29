package daemon

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/control"
	"marigoldshunt/internal/router"
)

// departureLimit is the time after which a data centre or upstream that was taken out
// gets no new work.
const departureLimit = 4 * time.Second

// Guards against a change of one constant that lets an isolated scheduler and an
// isolated router together send work for longer than the limit.
func TestDepartureLimit(t *testing.T) {
	c := qt.New(t)
	worst := control.LeaseDuration + router.GrantMaxAge + upstreamConnectTimeout
	c.Assert(worst < departureLimit, qt.IsTrue, qt.Commentf("worst case %s", worst))
	c.Assert(control.ConfigMaxAge < departureLimit, qt.IsTrue)
}
