package platform

import (
	"io"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/endlesstest"
	"marigoldshunt/internal/fault"
)

const maxHeapGrowth = 24 << 20

// Guards against a list of hosts whose bytes never end and that fills a host's memory, keeps
// the reader from its next read, or keeps a connection open.
func TestEndlessHostList(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, r := range slices.Concat(endlesstest.Heads, endlesstest.Bodies) {
		t.Run(r.Name, func(t *testing.T) {
			c := qt.New(t)
			u := endlesstest.Start(t, r)
			reader := New(Options{Source: "http://" + u.Address + "/hosts", Log: log})
			var err error
			began := time.Now()
			grown := endlesstest.HeapGrowth(func() { err = reader.Poll() })
			c.Check(fault.CodeOf(err), qt.Equals, fault.NotFound, qt.Commentf("%v", err))
			c.Check(time.Since(began) < 2*fetchTimeout, qt.IsTrue)
			c.Check(grown < maxHeapGrowth, qt.IsTrue, qt.Commentf("the heap grew by %d bytes", grown))
			u.AssertClosed(t)
		})
	}
	for _, delay := range []time.Duration{0, 50 * time.Millisecond} {
		u := endlesstest.Start(t, endlesstest.ExtraBytes("[]", delay))
		qt.Check(t, New(Options{Source: "http://" + u.Address + "/hosts", Log: log}).Poll(), qt.IsNil)
		u.AssertClosed(t)
	}
}
