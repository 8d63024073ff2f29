package native

import (
	"context"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/endlesstest"
	"marigoldshunt/internal/fault"
)

const (
	readTimeout   = 5 * time.Second
	maxHeapGrowth = 32 << 20
)

// Guards against a list of instances whose bytes never end and that fills a host's memory,
// keeps the reader from its next read, or keeps a connection open.
func TestEndlessInstanceList(t *testing.T) {
	for _, r := range slices.Concat(endlesstest.Heads, endlesstest.Bodies) {
		t.Run(r.Name, func(t *testing.T) {
			c := qt.New(t)
			u := endlesstest.Start(t, r)
			ctx, cancel := context.WithTimeout(t.Context(), readTimeout)
			defer cancel()
			var err error
			grown := endlesstest.HeapGrowth(func() { _, err = Adapter{}.InstanceSource(u.Address).Instances(ctx) })
			c.Check(fault.CodeOf(err), qt.Equals, fault.UpstreamFailed, qt.Commentf("%v", err))
			c.Check(ctx.Err(), qt.IsNil)
			c.Check(grown < maxHeapGrowth, qt.IsTrue, qt.Commentf("the heap grew by %d bytes", grown))
			u.AssertClosed(t)
		})
	}
	for _, delay := range []time.Duration{0, 50 * time.Millisecond} {
		u := endlesstest.Start(t, endlesstest.ExtraBytes(`{"instances":[]}`, delay))
		_, err := Adapter{}.InstanceSource(u.Address).Instances(t.Context())
		qt.Check(t, err, qt.IsNil)
		u.AssertClosed(t)
	}
}
