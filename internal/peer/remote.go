package peer

import (
	"sync"
	"sync/atomic"
	"time"

	"marigoldshunt/internal/wire"
)

// remote is the state of one peer. Its incoming and outgoing connection form one
// session: when either is lost, both are closed, the send queue is emptied and the loss
// is reported, because messages of both sides may be gone.
type remote struct {
	n    *Node
	host string

	// wake tells the sender that there is a message or that the connection changed.
	wake chan struct{}
	// dialNow ends a backoff early when the peer shows that it is alive.
	dialNow chan struct{}

	// deliver serialises handlers and peer reports; it is taken before mu.
	deliver sync.Mutex

	mu       sync.Mutex // peer.conn in the lock order
	started  bool
	in, out  *conn
	up       bool
	boot     uint64
	queue    queue
	lastSend time.Time
	reports  []report

	traffic traffic
}

// report is a change that OnPeer functions are told.
type report struct {
	boot uint64
	up   bool
}

type traffic struct {
	bytesSent, bytesReceived           atomic.Uint64
	framesSent, framesReceived         atomic.Uint64
	keepalivesSent, keepalivesReceived atomic.Uint64
}

func newRemote(n *Node, host string) *remote {
	return &remote{n: n, host: host, wake: make(chan struct{}, 1), dialNow: make(chan struct{}, 1)}
}

// send queues a message and starts the sender when needed.
func (r *remote) send(it item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.started {
		r.started = r.n.spawn(r.run)
	}
	r.lastSend = it.at
	dropped, full := r.queue.push(it)
	r.n.count.dropped.Inc(int64(dropped))
	if full {
		r.n.count.overflows.Inc(1)
		r.n.log.WithField("peer", r.host).Warn("Send queue is full. Connection reset.")
		r.reset()
		r.queue.push(it)
	}
	signal(r.wake)
}

// reset ends the session. It is called with mu held.
func (r *remote) reset() {
	if r.in != nil {
		r.in.Close()
	}
	if r.out != nil {
		r.out.Close()
	}
	r.in, r.out = nil, nil
	r.queue.take()
	if r.up {
		r.up = false
		r.n.count.losses.Inc(1)
		r.reports = append(r.reports, report{boot: r.boot})
		r.n.spawn(r.flush)
	}
	signal(r.wake)
}

// lost ends the session that c belongs to; it has no effect when that already ended.
func (r *remote) lost(c *conn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.in == c || r.out == c {
		r.reset()
	}
}

// attach makes c part of the session, or of a new session when it shows that the
// earlier one is over.
func (r *remote) attach(c *conn, incoming bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.up && (r.boot != c.boot || incoming && r.in != nil) {
		r.reset()
	}
	if !r.up {
		r.up, r.boot = true, c.boot
		r.reports = append(r.reports, report{boot: c.boot, up: true})
		r.n.spawn(r.flush)
	}
	if incoming {
		r.in = c
		signal(r.dialNow)
		return
	}
	r.out = c
	r.expire()
}

// expire drops the messages that waited too long for a connection, and reports the loss
// as the end and begin of a session. It is called with mu held.
func (r *remote) expire() {
	n := r.queue.expire(time.Now().Add(-queueMaxAge))
	if n == 0 {
		return
	}
	r.n.count.expired.Inc(int64(n))
	if r.up {
		r.reports = append(r.reports, report{boot: r.boot}, report{boot: r.boot, up: true})
		r.n.spawn(r.flush)
	}
}

// flush tells the OnPeer functions what changed.
func (r *remote) flush() {
	r.deliver.Lock()
	defer r.deliver.Unlock()
	r.flushHeld()
}

// flushHeld is flush with deliver held.
func (r *remote) flushHeld() {
	for {
		r.mu.Lock()
		reports := r.reports
		r.reports = nil
		r.mu.Unlock()
		if len(reports) == 0 {
			return
		}
		for _, rep := range reports {
			r.n.tell(r.host, rep)
		}
	}
}

// dispatch hands a message of c to its handler after all earlier reports. It returns
// false when c is no longer part of the session.
func (r *remote) dispatch(c *conn, kind wire.Kind, payload []byte) bool {
	r.deliver.Lock()
	defer r.deliver.Unlock()
	r.flushHeld()
	r.mu.Lock()
	current := r.in == c
	r.mu.Unlock()
	if current {
		r.n.call(r.host, c.boot, kind, payload)
	}
	return current
}

func (r *remote) trafficNow() Traffic {
	t := &r.traffic
	return Traffic{
		BytesSent: t.bytesSent.Load(), BytesReceived: t.bytesReceived.Load(),
		FramesSent: t.framesSent.Load(), FramesReceived: t.framesReceived.Load(),
		KeepalivesSent: t.keepalivesSent.Load(), KeepalivesReceived: t.keepalivesReceived.Load(),
	}
}

// signal sets a one-element channel without waiting.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
