package daemon

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/control"
	"marigoldshunt/internal/router"
)

// removalLimit is the time after which a data centre or upstream that was taken out of
// service must get no new work.
const removalLimit = 4 * time.Second

// Guards against a change of one of these constants that lets an isolated scheduler and an
// isolated router together send work for longer than removalLimit.
func TestRemovalLimit(t *testing.T) {
	c := qt.New(t)
	worst := control.LeaseDuration + router.GrantMaxAge + upstreamConnectTimeout
	c.Assert(worst < removalLimit, qt.IsTrue, qt.Commentf("worst case %s", worst))
	c.Assert(control.ConfigMaxAge < removalLimit, qt.IsTrue)
}
