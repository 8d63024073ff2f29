package peer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/freeport"
	"marigoldshunt/internal/hlc"
	"marigoldshunt/internal/wire"
)

// eventTimeout bounds the wait for an event that a fault could suppress.
const eventTimeout = 20 * time.Second

// testNetwork is a set of hosts on loopback that know each other's addresses.
type testNetwork struct {
	mu        sync.Mutex
	addresses map[string]string
}

func (network *testNetwork) resolve(host string) (string, bool) {
	network.mu.Lock()
	defer network.mu.Unlock()
	a, ok := network.addresses[host]
	return a, ok
}

type testNode struct {
	*Node
	events  chan string
	address string
}

func (network *testNetwork) start(t *testing.T, opts Options, address string) *testNode {
	opts.Resolve, opts.Clock = network.resolve, hlc.New(nil)
	if opts.Key == nil {
		opts.Key = testKey
	}
	if opts.Log == nil {
		l := logrus.New()
		l.SetOutput(io.Discard)
		opts.Log = l
	}
	n := &testNode{Node: New(opts), events: make(chan string, 100_000)}
	n.OnSessionChange(func(host string, boot uint64, up bool) {
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
	network.mu.Lock()
	network.addresses[opts.Host] = n.address
	network.mu.Unlock()
	go n.Serve(ln)
	t.Cleanup(n.Close)
	return n
}

func (n *testNode) nextEvent(t *testing.T) string {
	t.Helper()
	select {
	case e := <-n.events:
		return e
	case <-time.After(eventTimeout):
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

func newTestNetwork() *testNetwork { return &testNetwork{addresses: map[string]string{}} }

const anyPort = "127.0.0.1:0"

// Guards against loss and reordering on a working connection, against a message that is
// delivered before the start of its session is reported, and against uncounted traffic.
func TestDelivery(t *testing.T) {
	c := qt.New(t)
	network := newTestNetwork()
	a, b := network.start(t, Options{Host: "a", Boot: 1}, anyPort), network.start(t, Options{Host: "b", Boot: 2}, anyPort)
	const messages = 2000
	for i := range messages {
		a.send(t, "b", fmt.Sprint(i))
		a.send(t, "a", fmt.Sprint(i))
	}
	c.Assert(b.nextEvent(t), qt.Equals, "a/1 up=true")
	for i := range messages {
		c.Assert(b.nextEvent(t), qt.Equals, fmt.Sprintf("a/1 %d", i))
	}
	for i := 0; i < messages; {
		if e := a.nextEvent(t); e != "b/2 up=true" {
			c.Assert(e, qt.Equals, fmt.Sprintf("a/1 %d", i))
			i++
		}
	}
	got := b.Traffic()["a"]
	c.Assert(got.FramesReceived, qt.Equals, uint64(messages))
	c.Assert(got.BytesReceived > messages*overheadBytes, qt.IsTrue)
	for _, size := range []int{MaxFrameBytes - 2*maxEnvelopeBytes, MaxFrameBytes - maxEnvelopeBytes, MaxFrameBytes, 3*MaxFrameBytes + 1, MaxMessageBytes - 100} {
		large := strings.Repeat("x", size)
		a.send(t, "b", large)
		a.send(t, "b", "after it")
		c.Assert(b.nextEvent(t) == "a/1 "+large, qt.IsTrue, qt.Commentf("%d bytes", size))
		c.Assert(b.nextEvent(t), qt.Equals, "a/1 after it")
	}
	err := a.Send("b", wire.KindCancel, wire.Cancel{Pool: string(make([]byte, MaxMessageBytes))})
	c.Assert(fault.CodeOf(err), qt.Equals, fault.FrameTooLarge)
	a.Close()
	c.Assert(fault.CodeOf(a.Send("b", wire.KindCancel, wire.Cancel{})), qt.Equals, fault.PeerUnreachable)
}

// Guards against the acceptance of a peer with another key, as dialler or as acceptor, and
// against a key in the logs.
func TestWrongKey(t *testing.T) {
	c := qt.New(t)
	network := newTestNetwork()
	var log syncBuffer
	l := logrus.New()
	l.SetOutput(&log)
	l.SetLevel(logrus.DebugLevel)
	reg := metrics.NewRegistry()
	other := []byte("another-key-another-key-another-key")
	a := network.start(t, Options{Host: "a", Boot: 1, Log: l, Registry: reg}, anyPort)
	b := network.start(t, Options{Host: "b", Boot: 2, Key: other, Log: l}, anyPort)
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

// Guards against the use of a connection that reached the wrong host.
func TestWrongHost(t *testing.T) {
	c := qt.New(t)
	network := newTestNetwork()
	reg := metrics.NewRegistry()
	a, b := network.start(t, Options{Host: "a", Boot: 1, Registry: reg}, anyPort), network.start(t, Options{Host: "b", Boot: 2}, anyPort)
	network.mu.Lock()
	network.addresses["c"] = b.address
	network.mu.Unlock()
	a.send(t, "c", "x")
	waitFor(t, func() bool { return metrics.GetOrRegisterCounter("peer.handshake_failures", reg).Count() >= 2 })
	c.Assert(len(b.events), qt.Equals, 0)
}

// Guards against a restarted peer that is not connected again, or whose new boot number
// is reported after its messages.
func TestRestart(t *testing.T) {
	c := qt.New(t)
	network := newTestNetwork()
	port, err := freeport.Reserve("127.0.0.1", 0)
	c.Assert(err, qt.IsNil)
	defer port.Close()
	a := network.start(t, Options{Host: "a", Boot: 1}, anyPort)
	b := network.start(t, Options{Host: "b", Boot: 2}, port.Address())
	a.send(t, "b", "1")
	c.Assert(a.nextEvent(t), qt.Equals, "b/2 up=true")
	b.nextEvent(t)
	c.Assert(b.nextEvent(t), qt.Equals, "a/1 1")
	b.Close()
	c.Assert(a.nextEvent(t), qt.Equals, "b/2 up=false")
	begin := time.Now()
	b = network.start(t, Options{Host: "b", Boot: 3}, b.address)
	c.Assert(a.nextEvent(t), qt.Equals, "b/3 up=true")
	t.Logf("connected again after %v", time.Since(begin))
	a.send(t, "b", "2")
	b.send(t, "a", "3")
	c.Assert(b.nextEvent(t), qt.Equals, "a/1 up=true")
	c.Assert(b.nextEvent(t), qt.Equals, "a/1 2")
	c.Assert(a.nextEvent(t), qt.Equals, "b/3 3")
}

// faultyDialer has a Dial function for connections with faults: it can close them, alter
// what is written to them, or discard it.
type faultyDialer struct {
	mu    sync.Mutex
	conns []net.Conn
	// alter changes what is written after the handshake.
	alter func(write int, b []byte) []byte
	// frozen connections discard what is written.
	frozen bool
}

type faultyConn struct {
	net.Conn
	dialer *faultyDialer
	writes int
}

func (d *faultyDialer) dial(_ context.Context, address string) (net.Conn, error) {
	nc, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns = append(d.conns, nc)
	return &faultyConn{Conn: nc, dialer: d}, nil
}

func (d *faultyDialer) closeConns() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, nc := range d.conns {
		nc.Close()
	}
	d.conns = nil
}

func (c *faultyConn) Write(b []byte) (int, error) {
	c.dialer.mu.Lock()
	out, frozen := b, c.dialer.frozen
	if c.writes++; c.dialer.alter != nil && c.writes > 2 {
		out = c.dialer.alter(c.writes-2, bytes.Clone(b))
	}
	c.dialer.mu.Unlock()
	if frozen {
		return len(b), nil
	}
	if _, err := c.Conn.Write(out); err != nil {
		return 0, err
	}
	return len(b), nil
}

// Guards against reordering, repetition and an unreported loss when connections are
// closed and replaced by new ones.
func TestOrderAcrossReconnects(t *testing.T) {
	network := newTestNetwork()
	dialer := &faultyDialer{}
	a := network.start(t, Options{Host: "a", Boot: 1, Dial: dialer.dial}, anyPort)
	b := network.start(t, Options{Host: "b", Boot: 2}, anyPort)
	last, expected, cuts := -1, 0, 0
	for i := 0; cuts < 10; i++ {
		a.send(t, "b", fmt.Sprint(i))
		e := b.nextEvent(t)
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
			dialer.closeConns()
			cuts++
		}
	}
}

// Guards against the acceptance of frames that were changed or repeated in transit: the
// connection must end and nothing of the frame may be delivered.
func TestAlteredFramesEndTheConnection(t *testing.T) {
	for name, alter := range map[string]func(int, []byte) []byte{
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
			network := newTestNetwork()
			reg := metrics.NewRegistry()
			a := network.start(t, Options{Host: "a", Boot: 1, Dial: (&faultyDialer{alter: alter}).dial}, anyPort)
			b := network.start(t, Options{Host: "b", Boot: 2, Registry: reg}, anyPort)
			a.send(t, "b", "1")
			c.Assert(b.nextEvent(t), qt.Equals, "a/1 up=true")
			c.Assert(b.nextEvent(t), qt.Equals, "a/1 1")
			a.send(t, "b", "2")
			if name == "replayed" {
				c.Assert(b.nextEvent(t), qt.Equals, "a/1 2")
			}
			c.Assert(b.nextEvent(t), qt.Equals, "a/1 up=false")
			c.Assert(metrics.GetOrRegisterCounter("peer.invalid_frames", reg).Count(), qt.Equals, int64(1))
		})
	}
}

// Guards against a peer that keeps its connection open but sends nothing any more: both
// ends must detect the loss.
func TestFrozenPeer(t *testing.T) {
	c := qt.New(t)
	network := newTestNetwork()
	dialer := &faultyDialer{}
	opts := Options{Host: "a", Boot: 1, Dial: dialer.dial, KeepAlive: 20 * time.Millisecond, SilenceTimeout: 500 * time.Millisecond}
	a := network.start(t, opts, anyPort)
	opts.Host, opts.Boot, opts.Dial = "b", 2, nil
	b := network.start(t, opts, anyPort)
	a.send(t, "b", "1")
	c.Assert(b.nextEvent(t), qt.Equals, "a/1 up=true")
	c.Assert(b.nextEvent(t), qt.Equals, "a/1 1")
	waitFor(t, func() bool {
		ka, kb := a.Traffic()["b"], b.Traffic()["a"]
		return ka.KeepalivesReceived > 2 && kb.KeepalivesReceived > 2
	})
	dialer.mu.Lock()
	dialer.frozen = true
	dialer.mu.Unlock()
	c.Assert(b.nextEvent(t), qt.Equals, "a/1 up=false")
	c.Assert(a.nextEvent(t), qt.Equals, "b/2 up=true")
	c.Assert(a.nextEvent(t), qt.Equals, "b/2 up=false")
}

// Guards against a session with both connections that is considered lost because acceptors
// then send no keepalives, and against a frozen peer that goes unnoticed for that reason.
func TestFrozenPeerWithBothConnections(t *testing.T) {
	c := qt.New(t)
	network := newTestNetwork()
	dialer := &faultyDialer{}
	opts := Options{Host: "a", Boot: 1, KeepAlive: 20 * time.Millisecond, SilenceTimeout: 500 * time.Millisecond}
	a := network.start(t, opts, anyPort)
	opts.Host, opts.Boot, opts.Dial = "b", 2, dialer.dial
	b := network.start(t, opts, anyPort)
	a.send(t, "b", "1")
	b.send(t, "a", "2")
	c.Assert(b.nextEvent(t), qt.Equals, "a/1 up=true")
	c.Assert(b.nextEvent(t), qt.Equals, "a/1 1")
	c.Assert(a.nextEvent(t), qt.Equals, "b/2 up=true")
	c.Assert(a.nextEvent(t), qt.Equals, "b/2 2")
	// 75 keepalives, most of them 80 ms apart, take three times as long as the silence that
	// ends an idle session.
	waitFor(t, func() bool {
		return a.Traffic()["b"].KeepalivesReceived > 75 && b.Traffic()["a"].KeepalivesReceived > 75
	})
	c.Assert(len(a.events)+len(b.events), qt.Equals, 0)
	dialer.mu.Lock()
	dialer.frozen = true
	dialer.mu.Unlock()
	c.Assert(a.nextEvent(t), qt.Equals, "b/2 up=false")
	c.Assert(b.nextEvent(t), qt.Equals, "a/1 up=false")
}

// Guards against idle sessions with as many keepalives as other sessions, which would be
// most of the traffic of a large fleet, and against an idle session that is considered lost.
func TestIdleSessionKeepalives(t *testing.T) {
	c := qt.New(t)
	network := newTestNetwork()
	const keepAlive = 10 * time.Millisecond
	opts := Options{Host: "a", Boot: 1, KeepAlive: keepAlive, SilenceTimeout: 2 * time.Second}
	a := network.start(t, opts, anyPort)
	opts.Host, opts.Boot = "b", 2
	b := network.start(t, opts, anyPort)
	a.send(t, "b", "1")
	c.Assert(b.nextEvent(t), qt.Equals, "a/1 up=true")
	c.Assert(b.nextEvent(t), qt.Equals, "a/1 1")
	received := func() uint64 { return b.Traffic()["a"].KeepalivesReceived }
	waitFor(t, func() bool { return received() > idleAfterIntervals+2 })
	before, began := received(), time.Now()
	waitFor(t, func() bool { return received() >= before+10 })
	// There are nine full intervals between ten keepalives, and tickers do not fire early.
	c.Assert(time.Since(began) >= 8*idleKeepaliveFactor*keepAlive, qt.IsTrue, qt.Commentf("ten keepalives within %s", time.Since(began)))
	a.send(t, "b", "2")
	c.Assert(b.nextEvent(t), qt.Equals, "a/1 2")
}

// Guards against unauthenticated connections that keep peers from connecting or use
// memory, by sending nothing or a message that is too long.
func TestUnauthenticatedConnectionLimits(t *testing.T) {
	c := qt.New(t)
	network := newTestNetwork()
	reg := metrics.NewRegistry()
	b := network.start(t, Options{Host: "b", Boot: 2, Registry: reg, HandshakeTimeout: time.Hour}, anyPort)
	closed := metrics.GetOrRegisterCounter("peer.pending_closed", reg)
	for range maxPendingHandshakes + 10 {
		nc, err := net.Dial("tcp", b.address)
		c.Assert(err, qt.IsNil)
		defer nc.Close()
	}
	waitFor(t, func() bool { return closed.Count() == 10 })
	oversized, err := net.Dial("tcp", b.address)
	c.Assert(err, qt.IsNil)
	defer oversized.Close()
	oversized.Write([]byte{0, 0, 1, 1})
	oversized.SetReadDeadline(time.Now().Add(eventTimeout))
	_, err = oversized.Read(make([]byte, 1))
	c.Assert(err, qt.Not(qt.ErrorMatches), ".*timeout.*")
	c.Assert(err, qt.IsNotNil)
	a := network.start(t, Options{Host: "a", Boot: 1}, anyPort)
	a.send(t, "b", "1")
	c.Assert(b.nextEvent(t), qt.Equals, "a/1 up=true")
	c.Assert(b.nextEvent(t), qt.Equals, "a/1 1")
}

// Guards against a full queue that drops a message which the sender does not repeat.
func TestFullQueue(t *testing.T) {
	c := qt.New(t)
	var q queue
	for i := range maxQueueMessages {
		k := wire.KindCancel
		if i == 7 {
			k = wire.KindRenew
		}
		q.push(queuedMessage{kind: k})
	}
	dropped, full := q.push(queuedMessage{kind: wire.KindCancel})
	c.Assert(full, qt.IsFalse)
	c.Assert(dropped, qt.HasLen, 1)
	c.Assert(dropped[0].kind, qt.Equals, wire.KindRenew)
	dropped, full = q.push(queuedMessage{kind: wire.KindRouterHeartbeat})
	c.Assert(full, qt.IsFalse)
	c.Assert(dropped, qt.HasLen, 1)
	c.Assert(dropped[0].kind, qt.Equals, wire.KindRouterHeartbeat)
	_, full = q.push(queuedMessage{kind: wire.KindCancel})
	c.Assert(full, qt.IsTrue)
	c.Assert(len(q.take()), qt.Equals, maxQueueMessages)
}

func waitFor(t *testing.T, f func() bool) {
	t.Helper()
	for end := time.Now().Add(eventTimeout); !f(); time.Sleep(time.Millisecond) {
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
