package gateway

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

// Guards against a success on a stream route that is no event stream and that nobody can find in logs and metrics.
func TestSuccessThatIsNoStreamIsCountedAndLogged(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	registry := metrics.NewRegistry()
	answer := "HTTP/1.1 201 X\r\nContent-Type: " + strings.Repeat("x", 10_000) + "\r\nContent-Length: 0\r\nX-Proof: p1\r\n\r\n"
	gw := newTestGatewayWith(t, document(), func(o *Options) { o.Log, o.Registry = log, registry }, newUpstream(t, writeRaw("%s", answer)))
	gw.do("POST", "/stream/x", "")
	gw.do("POST", "/order/x", "")
	gw.endRequests()
	c.Check(metrics.GetOrRegisterCounter("gateway.answers_not_streams", registry).Count(), qt.Equals, int64(1))
	c.Check(out.String(), qt.Contains, `msg="Upstream answered a request for a stream with a success that is no event stream."`)
	c.Check(out.String(), qt.Contains, "instance=i0")
	c.Check(out.String(), qt.Contains, "status=201")
	c.Check(out.Len() < 2_000, qt.IsTrue)
}
