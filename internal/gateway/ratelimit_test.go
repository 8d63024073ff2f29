package gateway

import (
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

// Guards against an upstream's limit of which the logs say nothing, and against one that a
// refusal or a forged response without the header seems to end.
func TestRateLimitIsLoggedWhenItChanges(t *testing.T) {
	c := qt.New(t)
	answer := func(status int, header string) func(*receivedRequest) {
		return writeRaw("HTTP/1.1 %d X\r\nContent-Length: 0\r\nX-Proof: p1\r\n%s\r\n", status, header)
	}
	u := newUpstream(t, answer(200, ""), answer(200, "X-Rate-Limit: 7.5\r\n"), answer(200, "X-Rate-Limit: 7.5\r\n"), answer(404, ""), writeRaw("%s", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), answer(200, "X-Rate-Limit: 3\r\n"), answer(200, ""))
	log, hook := logtest.NewNullLogger()
	gw := newTestGatewayWith(t, document(), func(opts *Options) { opts.Log = log }, u)
	for range 7 {
		gw.do("POST", "/order/x", "")
	}
	gw.endRequests()
	var got []string
	for _, e := range hook.AllEntries() {
		if e.Data["per_second"] != nil {
			got = append(got, fmt.Sprint(e.Data["instance"], " ", e.Data["before"], " ", e.Data["per_second"]))
		}
	}
	c.Assert(got, qt.DeepEquals, []string{"i0 0 7.5", "i0 7.5 3", "i0 3 0"})
}

// Guards against limits that are no numbers of requests.
func TestInvalidRateLimitsAreIgnored(t *testing.T) {
	c := qt.New(t)
	names := NativeHeaderNames()
	for _, test := range []struct {
		value     string
		perSecond float64
		named     bool
	}{{"7.9", 7.9, true}, {" 12 ", 12, true}, {"0", minRateLimit, true}, {"", 0, false}, {"-1", 0, false}, {"NaN", 0, false}, {"Inf", 0, false}, {"1e9", 0, false}, {"7 per second", 0, false}} {
		h := http.Header{}
		h.Set(names.RateLimit, test.value)
		perSecond, named := names.rateLimit(h)
		c.Check(perSecond, qt.Equals, test.perSecond, qt.Commentf(test.value))
		c.Check(named, qt.Equals, test.named, qt.Commentf(test.value))
	}
}
