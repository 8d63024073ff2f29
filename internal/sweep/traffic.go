package sweep

import (
	"runtime"
	"slices"
	"time"

	"marigoldshunt/internal/wire"
)

// frameHeaderBytes is the length and the authentication code of a frame.
const frameHeaderBytes = 20

// frameBytes returns the size of a message on a connection between hosts.
func frameBytes(from string, kind wire.Kind, payload []byte) (int, error) {
	body, err := wire.Marshal(&wire.Envelope{Kind: kind, From: from, Boot: 1 << 60, HLC: 1 << 60, Payload: payload})
	return len(body) + frameHeaderBytes, err
}

// meter counts the messages of one kind of traffic while it is on.
type meter struct {
	on       bool
	messages int
	out, in  map[string]int
	err      error
}

func newMeter() *meter { return &meter{out: map[string]int{}, in: map[string]int{}} }

// reset forgets what was counted.
func (m *meter) reset() {
	m.messages = 0
	clear(m.out)
	clear(m.in)
}

// count counts a message with an encoded payload.
func (m *meter) count(from, to string, kind wire.Kind, payload []byte) {
	if !m.on || from == to {
		return
	}
	n, err := frameBytes(from, kind, payload)
	if err != nil {
		m.err = err
		return
	}
	m.add(from, to, n)
}

func (m *meter) add(from, to string, bytes int) {
	m.messages++
	m.out[from] += bytes
	m.in[to] += bytes
}

// traffic returns the rates of a fleet over a counted period.
func (m *meter) traffic(hosts int, period time.Duration) Traffic {
	t := Traffic{Messages: float64(m.messages) / float64(hosts) / period.Seconds()}
	var in []float64
	for i := range hosts {
		h := hostName(i)
		t.MeanBytes += float64(m.out[h]) / float64(hosts) / period.Seconds()
		t.MaxOutBytes = max(t.MaxOutBytes, float64(m.out[h])/period.Seconds())
		in = append(in, float64(m.in[h])/period.Seconds())
	}
	slices.Sort(in)
	t.MedianInBytes, t.MaxInBytes = in[len(in)/2], in[len(in)-1]
	return t
}

// heapBytes returns the bytes of the live objects on the heap.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}
