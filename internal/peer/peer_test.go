package peer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/hlc"
	"marigoldshunt/internal/wire"
)

// limit bounds a wait for an event that a fault would suppress.
const limit = 20 * time.Second

// net1 is a set of hosts on loopback whose addresses are known to each other.
type net1 struct {
	mu        sync.Mutex
	addresses map[string]string
}

func (w *net1) resolve(host string) (string, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, ok := w.addresses[host]
	return a, ok
}

type testNode struct {
	*Node
	events  chan string
	address string
}

func (w *net1) start(t *testing.T, o Options, address string) *testNode {
	o.Resolve, o.Clock = w.resolve, hlc.New(nil)
	if o.Key == nil {
		o.Key = testKey
	}
	if o.Log == nil {
		l := logrus.New()
		l.SetOutput(io.Discard)
		o.Log = l
	}
	n := &testNode{Node: New(o), events: make(chan string, 100_000)}
	n.OnPeer(func(host string, boot uint64, up bool) {
		n.events <- fmt.Sprintf("%s/%d up=%v", host, boot, up)
	})
	for _, k := range []wire.Kind{wire.KindCancel, wire.KindRenew} {
		n.Handle(k, func(from string, boot uint64, _ wire.Kind, p []byte) {
			var m wire.Cancel
			if err := wire.Unmarshal(p, &m); err != nil {
				t.Error(err)
			}
			n.events <- fmt.Sprintf("%s/%d %s", from, boot, m.Pool)
		})
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	n.address = ln.Addr().String()
	w.mu.Lock()
	w.addresses[o.Host] = n.address
	w.mu.Unlock()
	go n.Serve(ln)
	t.Cleanup(n.Close)
	return n
}

func (n *testNode) next(t *testing.T) string {
	t.Helper()
	select {
	case e := <-n.events:
		return e
	case <-time.After(limit):
		t.Fatal("no event")
		return ""
	}
}

func (n *testNode) send(t *testing.T, to, text string) {
	t.Helper()
	if err := n.Send(to, wire.KindCancel, wire.Cancel{Pool: text}); err != nil {
		t.Fatal(err)
	}
}

func pair() *net1 { return &net1{addresses: map[string]string{}} }

const any0 = "127.0.0.1:0"

// Guards against loss and reordering on an undisturbed connection, a message before the
// report of its peer, and against traffic that is not counted.
func TestDelivery(t *testing.T) {
	c := qt.New(t)
	w := pair()
	a, b := w.start(t, Options{Host: "a", Boot: 1}, any0), w.start(t, Options{Host: "b", Boot: 2}, any0)
	const messages = 2000
	for i := range messages {
		a.send(t, "b", fmt.Sprint(i))
		a.send(t, "a", fmt.Sprint(i))
	}
	c.Assert(b.next(t), qt.Equals, "a/1 up=true")
	for i := range messages {
		c.Assert(b.next(t), qt.Equals, fmt.Sprintf("a/1 %d", i))
	}
	for i := 0; i < messages; {
		if e := a.next(t); e != "b/2 up=true" {
			c.Assert(e, qt.Equals, fmt.Sprintf("a/1 %d", i))
			i++
		}
	}
	got := b.Bytes()["a"]
	c.Assert(got.FramesReceived, qt.Equals, uint64(messages))
	c.Assert(got.BytesReceived > messages*overheadBytes, qt.IsTrue)
	err := a.Send("b", wire.KindCancel, wire.Cancel{Pool: string(make([]byte, MaxFrameBytes))})
	c.Assert(fault.CodeOf(err), qt.Equals, fault.FrameTooLarge)
	a.Close()
	c.Assert(fault.CodeOf(a.Send("b", wire.KindCancel, wire.Cancel{})), qt.Equals, fault.PeerUnreachable)
}

// Guards against a peer with another key, in either role, and a key that reaches logs.
func TestWrongKey(t *testing.T) {
	c := qt.New(t)
	w := pair()
	var log syncBuffer
	l := logrus.New()
	l.SetOutput(&log)
	l.SetLevel(logrus.DebugLevel)
	reg := metrics.NewRegistry()
	other := []byte("another-key-another-key-another-key")
	a := w.start(t, Options{Host: "a", Boot: 1, Log: l, Registry: reg}, any0)
	b := w.start(t, Options{Host: "b", Boot: 2, Key: other, Log: l}, any0)
	a.send(t, "b", "x")
	b.send(t, "a", "y")
	failures := metrics.GetOrRegisterCounter("peer.handshake_failures", reg)
	waitFor(t, func() bool { return failures.Count() >= 4 })
	c.Assert(len(a.events)+len(b.events), qt.Equals, 0)
	c.Assert(log.String(), qt.Contains, "did not prove knowledge")
	for _, k := range [][]byte{testKey, other} {
		for _, form := range []string{"%s", "%x", "%v"} {
			c.Assert(log.String(), qt.Not(qt.Contains), fmt.Sprintf(form, k))
		}
	}
}

// Guards against a connection that reached the wrong host being used.
func TestWrongHost(t *testing.T) {
	c := qt.New(t)
	w := pair()
	reg := metrics.NewRegistry()
	a, b := w.start(t, Options{Host: "a", Boot: 1, Registry: reg}, any0), w.start(t, Options{Host: "b", Boot: 2}, any0)
	w.mu.Lock()
	w.addresses["c"] = b.address
	w.mu.Unlock()
	a.send(t, "c", "x")
	waitFor(t, func() bool { return metrics.GetOrRegisterCounter("peer.handshake_failures", reg).Count() >= 2 })
	c.Assert(len(b.events), qt.Equals, 0)
}

// Guards against a restarted peer that is not reached again, or whose new boot number is
// reported after its messages.
func TestRestart(t *testing.T) {
	c := qt.New(t)
	w := pair()
	a := w.start(t, Options{Host: "a", Boot: 1}, any0)
	b := w.start(t, Options{Host: "b", Boot: 2}, any0)
	a.send(t, "b", "1")
	c.Assert(a.next(t), qt.Equals, "b/2 up=true")
	b.next(t)
	c.Assert(b.next(t), qt.Equals, "a/1 1")
	b.Close()
	c.Assert(a.next(t), qt.Equals, "b/2 up=false")
	begin := time.Now()
	b = w.start(t, Options{Host: "b", Boot: 3}, b.address)
	c.Assert(a.next(t), qt.Equals, "b/3 up=true")
	t.Logf("reached again after %v", time.Since(begin))
	a.send(t, "b", "2")
	b.send(t, "a", "3")
	c.Assert(b.next(t), qt.Equals, "a/1 up=true")
	c.Assert(b.next(t), qt.Equals, "a/1 2")
	c.Assert(a.next(t), qt.Equals, "b/3 3")
}

// cutter is a Dial function whose connections can be disturbed.
type cutter struct {
	mu    sync.Mutex
	conns []net.Conn
	// mangle changes what is written after the handshake.
	mangle func(write int, b []byte) []byte
	frozen bool
}

type cutConn struct {
	net.Conn
	c      *cutter
	writes int
}

func (c *cutter) dial(_ context.Context, address string) (net.Conn, error) {
	nc, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, nc)
	return &cutConn{Conn: nc, c: c}, nil
}

func (c *cutter) cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, nc := range c.conns {
		nc.Close()
	}
	c.conns = nil
}

func (c *cutConn) Write(b []byte) (int, error) {
	c.c.mu.Lock()
	out, frozen := b, c.c.frozen
	if c.writes++; c.c.mangle != nil && c.writes > 2 {
		out = c.c.mangle(c.writes-2, bytes.Clone(b))
	}
	c.c.mu.Unlock()
	if frozen {
		return len(b), nil
	}
	if _, err := c.Conn.Write(out); err != nil {
		return 0, err
	}
	return len(b), nil
}

// Guards against reordering, repetition and an unreported loss when connections are cut.
func TestOrderUnderCuts(t *testing.T) {
	w := pair()
	cut := &cutter{}
	a := w.start(t, Options{Host: "a", Boot: 1, Dial: cut.dial}, any0)
	b := w.start(t, Options{Host: "b", Boot: 2}, any0)
	last, expected, cuts := -1, 0, 0
	for i := 0; cuts < 10; i++ {
		a.send(t, "b", fmt.Sprint(i))
		e := b.next(t)
		var got int
		if e == "a/1 up=true" || e == "a/1 up=false" {
			expected = -1
			continue
		}
		if _, err := fmt.Sscanf(e, "a/1 %d", &got); err != nil {
			t.Fatal(e)
		}
		if got <= last || expected >= 0 && got != expected {
			t.Fatalf("message %d after %d, expected %d", got, last, expected)
		}
		last, expected = got, got+1
		if i%50 == 49 {
			cut.cut()
			cuts++
		}
	}
}

// Guards against acceptance of frames that were changed or repeated on the way: the
// connection ends and nothing of the frame is delivered.
func TestDisturbedFrames(t *testing.T) {
	for name, mangle := range map[string]func(int, []byte) []byte{
		"tampered": func(n int, b []byte) []byte { b[len(b)-1] ^= byte(n - 1); return b },
		"replayed": func(n int, b []byte) []byte {
			if n == 2 {
				return append(b, b...)
			}
			return b
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := pair()
			reg := metrics.NewRegistry()
			a := w.start(t, Options{Host: "a", Boot: 1, Dial: (&cutter{mangle: mangle}).dial}, any0)
			b := w.start(t, Options{Host: "b", Boot: 2, Registry: reg}, any0)
			a.send(t, "b", "1")
			c.Assert(b.next(t), qt.Equals, "a/1 up=true")
			c.Assert(b.next(t), qt.Equals, "a/1 1")
			a.send(t, "b", "2")
			if name == "replayed" {
				c.Assert(b.next(t), qt.Equals, "a/1 2")
			}
			c.Assert(b.next(t), qt.Equals, "a/1 up=false")
			c.Assert(metrics.GetOrRegisterCounter("peer.invalid_frames", reg).Count(), qt.Equals, int64(1))
		})
	}
}

// Guards against a frozen peer that keeps its connection: both ends must detect it.
func TestFrozenPeer(t *testing.T) {
	c := qt.New(t)
	w := pair()
	cut := &cutter{}
	o := Options{Host: "a", Boot: 1, Dial: cut.dial, KeepAlive: 20 * time.Millisecond, Dead: 500 * time.Millisecond}
	a := w.start(t, o, any0)
	o.Host, o.Boot, o.Dial = "b", 2, nil
	b := w.start(t, o, any0)
	a.send(t, "b", "1")
	c.Assert(b.next(t), qt.Equals, "a/1 up=true")
	c.Assert(b.next(t), qt.Equals, "a/1 1")
	waitFor(t, func() bool {
		ka, kb := a.Bytes()["b"], b.Bytes()["a"]
		return ka.KeepalivesReceived > 2 && kb.KeepalivesReceived > 2
	})
	cut.mu.Lock()
	cut.frozen = true
	cut.mu.Unlock()
	c.Assert(b.next(t), qt.Equals, "a/1 up=false")
	c.Assert(a.next(t), qt.Equals, "b/2 up=true")
	c.Assert(a.next(t), qt.Equals, "b/2 up=false")
}

// Guards against a session with both connections that is taken as lost because the
// acceptors leave out their keepalives, and against a frozen peer that this hides.
func TestFrozenPeerOfWholeSession(t *testing.T) {
	c := qt.New(t)
	w := pair()
	cut := &cutter{}
	o := Options{Host: "a", Boot: 1, KeepAlive: 20 * time.Millisecond, Dead: 500 * time.Millisecond}
	a := w.start(t, o, any0)
	o.Host, o.Boot, o.Dial = "b", 2, cut.dial
	b := w.start(t, o, any0)
	a.send(t, "b", "1")
	b.send(t, "a", "2")
	c.Assert(b.next(t), qt.Equals, "a/1 up=true")
	c.Assert(b.next(t), qt.Equals, "a/1 1")
	c.Assert(a.next(t), qt.Equals, "b/2 up=true")
	c.Assert(a.next(t), qt.Equals, "b/2 2")
	// 75 keepalives, most of them 80 ms apart, are three times the silence that ends a quiet
	// session.
	waitFor(t, func() bool {
		return a.Bytes()["b"].KeepalivesReceived > 75 && b.Bytes()["a"].KeepalivesReceived > 75
	})
	c.Assert(len(a.events)+len(b.events), qt.Equals, 0)
	cut.mu.Lock()
	cut.frozen = true
	cut.mu.Unlock()
	c.Assert(a.next(t), qt.Equals, "b/2 up=false")
	c.Assert(b.next(t), qt.Equals, "a/1 up=false")
}

// Guards against idle sessions that cost as much as busy ones, which in a large fleet is
// most of all traffic, and against a quiet session that is taken for a lost one.
func TestQuietSession(t *testing.T) {
	c := qt.New(t)
	w := pair()
	const keepAlive = 10 * time.Millisecond
	o := Options{Host: "a", Boot: 1, KeepAlive: keepAlive, Dead: 2 * time.Second}
	a := w.start(t, o, any0)
	o.Host, o.Boot = "b", 2
	b := w.start(t, o, any0)
	a.send(t, "b", "1")
	c.Assert(b.next(t), qt.Equals, "a/1 up=true")
	c.Assert(b.next(t), qt.Equals, "a/1 1")
	received := func() uint64 { return b.Bytes()["a"].KeepalivesReceived }
	waitFor(t, func() bool { return received() > quietAfter+2 })
	before, began := received(), time.Now()
	waitFor(t, func() bool { return received() >= before+10 })
	// Nine whole intervals lie between ten keepalives, and tickers do not fire early.
	c.Assert(time.Since(began) >= 8*quietFactor*keepAlive, qt.IsTrue, qt.Commentf("ten keepalives within %s", time.Since(began)))
	a.send(t, "b", "2")
	c.Assert(b.next(t), qt.Equals, "a/1 2")
}

// Guards against silent or talkative strangers that lock out peers or use memory.
func TestUnauthenticatedBounds(t *testing.T) {
	c := qt.New(t)
	w := pair()
	reg := metrics.NewRegistry()
	b := w.start(t, Options{Host: "b", Boot: 2, Registry: reg, Handshake: time.Hour}, any0)
	closed := metrics.GetOrRegisterCounter("peer.pending_closed", reg)
	for range maxPending + 10 {
		nc, err := net.Dial("tcp", b.address)
		c.Assert(err, qt.IsNil)
		defer nc.Close()
	}
	waitFor(t, func() bool { return closed.Count() == 10 })
	big, err := net.Dial("tcp", b.address)
	c.Assert(err, qt.IsNil)
	defer big.Close()
	big.Write([]byte{0, 0, 1, 1})
	big.SetReadDeadline(time.Now().Add(limit))
	_, err = big.Read(make([]byte, 1))
	c.Assert(err, qt.Not(qt.ErrorMatches), ".*timeout.*")
	c.Assert(err, qt.IsNotNil)
	a := w.start(t, Options{Host: "a", Boot: 1}, any0)
	a.send(t, "b", "1")
	c.Assert(b.next(t), qt.Equals, "a/1 up=true")
	c.Assert(b.next(t), qt.Equals, "a/1 1")
}

// Guards against a full queue that drops a message which nothing repairs.
func TestQueueBounds(t *testing.T) {
	c := qt.New(t)
	var q queue
	for i := range maxQueueMessages {
		k := wire.KindCancel
		if i == 7 {
			k = wire.KindRenew
		}
		q.push(item{kind: k})
	}
	dropped, full := q.push(item{kind: wire.KindCancel})
	c.Assert([]any{dropped, full}, qt.DeepEquals, []any{1, false})
	dropped, full = q.push(item{kind: wire.KindBeat})
	c.Assert([]any{dropped, full}, qt.DeepEquals, []any{1, false})
	_, full = q.push(item{kind: wire.KindCancel})
	c.Assert(full, qt.IsTrue)
	c.Assert(len(q.take()), qt.Equals, maxQueueMessages)
}

func waitFor(t *testing.T, f func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not reached")
		}
	}
}

type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(b)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}
