package hostlist

import (
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"marigoldshunt/internal/fault"
)

func discardLogger() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// Guards against a missing, corrupt or oversized list that replaces the previous one.
func TestInvalidListKeepsPrevious(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "hosts.json")
	now := time.Unix(1000, 0)
	changes := 0
	r := New(Options{
		Source: path, Now: func() time.Time { return now }, Log: discardLogger(),
		OnList: func(List) { changes++ },
	})
	c.Assert(fault.CodeOf(r.Poll()), qt.Equals, fault.NotFound)
	c.Assert(r.List().ReadAt.IsZero(), qt.IsTrue)
	valid := `[{"host":"h1","state":"live"},{"host":"h2","state":"leaving"}]`
	c.Assert(os.WriteFile(path, []byte(valid), 0o600), qt.IsNil)
	c.Assert(r.Poll(), qt.IsNil)
	c.Assert(r.List().Leaving("h2"), qt.IsTrue)
	c.Assert(r.List().Leaving("h1") || r.List().Leaving("h3"), qt.IsFalse)
	firstReadAt := now
	for _, invalid := range []struct {
		text string
		code fault.Code
	}{
		{`[{"host":"h1","st`, fault.BadRequest},
		{`[{"host":"h1","state":"dead"}]`, fault.BadRequest},
		{`[{"state":"live"}]`, fault.BadRequest},
		{string(make([]byte, maxListBytes+1)), fault.BodyTooLarge},
	} {
		now = now.Add(time.Second)
		c.Assert(os.WriteFile(path, []byte(invalid.text), 0o600), qt.IsNil)
		c.Assert(fault.CodeOf(r.Poll()), qt.Equals, invalid.code)
		c.Assert(r.List().Leaving("h2"), qt.IsTrue)
		c.Assert(r.List().ReadAt, qt.Equals, firstReadAt)
	}
	c.Assert(os.WriteFile(path, []byte(valid), 0o600), qt.IsNil)
	c.Assert(r.Poll(), qt.IsNil)
	c.Assert(r.List().ReadAt, qt.Equals, now)
	c.Assert(changes, qt.Equals, 1)
}

// Guards against an error page that is taken for a list, and against polling that stops
// after a failure.
func TestHTTP(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	requests := 0
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		if requests++; requests == 1 {
			ctx.Error(`[]`, fasthttp.StatusServiceUnavailable)
			return
		}
		ctx.WriteString(`[{"host":"h1","state":"leaving"}]`)
	}}
	go server.Serve(ln)
	defer server.Shutdown()
	lists := make(chan List, 10)
	reg := metrics.NewRegistry()
	r := New(Options{
		Source: "http://" + ln.Addr().String() + "/", Interval: time.Millisecond, Log: discardLogger(),
		Registry: reg, OnList: func(l List) { lists <- l },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- r.Run(ctx) }()
	c.Assert((<-lists).Leaving("h1"), qt.IsTrue)
	cancel()
	c.Assert(<-done, qt.IsNil)
	c.Assert(metrics.GetOrRegisterCounter("platform.failures", reg).Count(), qt.Equals, int64(1))
}
