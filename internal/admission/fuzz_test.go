package admission

import (
	"math"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/wire"
)

// discardTransport drops all messages.
type discardTransport struct{}

func (discardTransport) Send(string, wire.Kind, any) error { return nil }

// FuzzMessages guards against messages from another host that crash the process or leave
// a gate with a negative backlog, whatever their numbers.
func FuzzMessages(f *testing.F) {
	for i, m := range []any{
		wire.AdmissionRequest{Seq: 1, ID: "e", Service: "s", Slots: 4, MemoryTokens: 1000, Tokens: 10, AimLeft: time.Second, EndLeft: 2 * time.Second},
		wire.AdmissionRequest{Seq: 2, ID: "e", Service: "s", Tokens: -10, Parts: []wire.PromptPart{{ID: 1, Tokens: -5}, {ID: 2, Tokens: 1 << 60}}, AimLeft: -time.Hour, Rank: 255},
		wire.AdmissionProgress{Seq: 1, ID: "e", Done: true}, wire.AdmissionReply{Seq: 1, Granted: true},
	} {
		b, err := wire.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint8(min(i, 3)), b, b)
	}
	request, err := wire.Marshal(wire.AdmissionRequest{Seq: 1, ID: "e", Service: "s", Slots: 4, MemoryTokens: 1000, Tokens: 10, AimLeft: time.Second, EndLeft: 2 * time.Second})
	if err != nil {
		f.Fatal(err)
	}
	for _, m := range []wire.AdmissionUnreachable{
		{ID: "e", ColdPerSecond: 4, WarmUpTime: time.Second}, {ID: "e", ColdPerSecond: math.Inf(1), WarmUpTime: math.MinInt64}, {ID: "e", ColdPerSecond: math.NaN(), WarmUpTime: math.MaxInt64},
	} {
		b, err := wire.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint8(slices.Index(Kinds, wire.KindAdmissionUnreachable)), request, b)
	}
	f.Fuzz(func(t *testing.T, kind uint8, first, second []byte) {
		c := qt.New(t)
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		log := logrus.New()
		log.SetLevel(logrus.PanicLevel)
		a := New(Options{Host: "h", Transport: discardTransport{}, Now: func() time.Time { return now }, Log: log, Registry: metrics.NewRegistry()})
		for _, payload := range [][]byte{first, second} {
			for _, k := range []wire.Kind{Kinds[int(kind)%len(Kinds)], wire.KindAdmissionRequest} {
				a.Handle("other", 1, k, payload)
			}
			now = now.Add(20 * time.Millisecond)
			a.Tick(now)
		}
		for _, l := range a.Loads() {
			c.Assert(l.Backlog >= 0 && l.Running >= 0, qt.IsTrue, qt.Commentf("%+v", l))
		}
	})
}
