package gateway

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/routing"
)

// Guards against bodies without any bound where the document sets none.
func TestBodyLimitWithoutSetting(t *testing.T) {
	d := document()
	d.Limits.BodyBytes = 0
	u := newUpstream(t, writeRaw("%s", rawResponse(200, "ok")))
	gw := newTestGateway(t, d, u)
	resp, _, ok := gw.do("POST", "/order/x", strings.Repeat("b", routing.DefaultBodyBytes))
	gw.Assert(ok, qt.IsTrue)
	gw.Check(resp.StatusCode, qt.Equals, 200)
	answer := gw.sendRaw(fmt.Sprintf("POST /order/x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", routing.DefaultBodyBytes+1))
	gw.Check(answer, qt.Contains, " 413 ")
	gw.Check(answer, qt.Contains, `"code":"body_too_large","run_state":"not_run"`)
	gw.Check(u.requests(), qt.HasLen, 1)
}
