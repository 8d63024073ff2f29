package peer

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

func TestLostMessagesAreCountedAndLogged(t *testing.T) {
	c := qt.New(t)
	var out syncBuffer
	log := logrus.New()
	log.SetOutput(&out)
	registry := metrics.NewRegistry()
	n := newTestNetwork().start(t, Options{Host: "a", Boot: 1, Log: log, Registry: registry}, anyPort)
	count := func(name string) int64 { return metrics.GetOrRegisterCounter("peer."+name, registry).Count() }

	c.Assert(fault.CodeOf(n.Send("b", wire.KindRenewAck, wire.Cancel{Pool: string(make([]byte, MaxMessageBytes))})), qt.Equals, fault.FrameTooLarge)
	c.Assert(count("too_large"), qt.Equals, int64(1))
	c.Assert(out.String(), qt.Contains, "level=warning msg=\"Message was not sent.\" bytes=8388")
	c.Assert(out.String(), qt.Contains, "reason=too_large")

	// No host has this name, so its messages expire.
	for range 3 {
		c.Assert(n.Send("nowhere", wire.KindCancel, wire.Cancel{Pool: "p"}), qt.IsNil)
	}
	waitFor(t, func() bool { return strings.Contains(out.String(), "reason=expired") })
	c.Assert(count("expired"), qt.Equals, int64(3))
	c.Assert(strings.Count(out.String(), "Message was not sent."), qt.Equals, 2)
}

func TestLinesAboutLostMessagesAreFew(t *testing.T) {
	c := qt.New(t)
	var out syncBuffer
	log := logrus.New()
	log.SetOutput(&out)
	l := lossLog{log: log}
	start := time.Unix(1_800_000_000, 0)
	for i := range 1_000 {
		l.record("expired", "b", wire.KindCancel, 10, start.Add(time.Duration(i)*time.Millisecond))
	}
	l.record("expired", "b", wire.KindCancel, 10, start.Add(time.Second))
	c.Assert(strings.Count(out.String(), "Message was not sent."), qt.Equals, 2)
	c.Assert(out.String(), qt.Contains, "others=999")
}
