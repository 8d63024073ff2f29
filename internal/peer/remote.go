package peer

import (
	"sync"
	"sync/atomic"
	"time"

	"marigoldshunt/internal/wire"
)

// remote is the state of one peer. Its incoming and its outgoing connection form one
// session: when either is lost, both are closed, the send queue is emptied and the loss
// is reported, because messages in both directions may be lost.
type remote struct {
	n    *Node
	host string

	// wake tells the sender that there is a message or that the connection changed.
	wake chan struct{}
	// dialNow ends a backoff early when the peer connects and so shows that it is alive.
	dialNow chan struct{}

	// callbackMu serialises the calls of handlers and OnPeer functions; it is locked before
	// mu.
	callbackMu sync.Mutex

	mu                 sync.Mutex // peer.conn in the lock order
	senderStarted      bool
	incoming, outgoing *conn
	up                 bool
	boot               uint64
	queue              queue
	lastSend           time.Time
	changes            []sessionChange

	traffic trafficCounters
}

// sessionChange is the start or end of a session, which is reported to OnPeer functions.
type sessionChange struct {
	boot uint64
	up   bool
}

type trafficCounters struct {
	bytesSent, bytesReceived           atomic.Uint64
	framesSent, framesReceived         atomic.Uint64
	keepalivesSent, keepalivesReceived atomic.Uint64
}

func newRemote(n *Node, host string) *remote {
	return &remote{n: n, host: host, wake: make(chan struct{}, 1), dialNow: make(chan struct{}, 1)}
}

// send queues a message, and starts the goroutine that sends if it does not run yet. A
// full queue ends the session.
func (r *remote) send(m queuedMessage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.senderStarted {
		r.senderStarted = r.n.spawn(r.run)
	}
	r.lastSend = m.at
	dropped, full := r.queue.push(m)
	r.n.count.dropped.Inc(int64(dropped))
	if full {
		r.n.count.overflows.Inc(1)
		r.n.log.WithField("peer", r.host).Warn("Send queue is full. Connection reset.")
		r.endSessionLocked()
		r.queue.push(m)
	}
	signal(r.wake)
}

// endSessionLocked ends the session. The caller holds mu.
func (r *remote) endSessionLocked() {
	if r.incoming != nil {
		r.incoming.Close()
	}
	if r.outgoing != nil {
		r.outgoing.Close()
	}
	r.incoming, r.outgoing = nil, nil
	r.queue.take()
	if r.up {
		r.up = false
		r.n.count.losses.Inc(1)
		r.changes = append(r.changes, sessionChange{boot: r.boot})
		r.n.spawn(r.reportChanges)
	}
	signal(r.wake)
}

// connLost closes c and ends the session that c belongs to, unless that ended before.
func (r *remote) connLost(c *conn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.incoming == c || r.outgoing == c {
		r.endSessionLocked()
	}
}

// attach makes c part of the session, or of a new session when c shows that the earlier
// one has ended.
func (r *remote) attach(c *conn, incoming bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.up && (r.boot != c.boot || incoming && r.incoming != nil) {
		r.endSessionLocked()
	}
	if !r.up {
		r.up, r.boot = true, c.boot
		r.changes = append(r.changes, sessionChange{boot: c.boot, up: true})
		r.n.spawn(r.reportChanges)
	}
	if incoming {
		r.incoming = c
		signal(r.dialNow)
		return
	}
	r.outgoing = c
	r.dropExpiredLocked()
}

// dropExpiredLocked drops the messages that waited too long for a connection, and reports
// the loss as the end of a session and the start of the next. The caller holds mu.
func (r *remote) dropExpiredLocked() {
	n := r.queue.expire(time.Now().Add(-queueMaxAge))
	if n == 0 {
		return
	}
	r.n.count.expired.Inc(int64(n))
	if r.up {
		r.changes = append(r.changes, sessionChange{boot: r.boot}, sessionChange{boot: r.boot, up: true})
		r.n.spawn(r.reportChanges)
	}
}

// reportChanges passes the pending changes of the session to the OnPeer functions.
func (r *remote) reportChanges() {
	r.callbackMu.Lock()
	defer r.callbackMu.Unlock()
	r.reportChangesLocked()
}

// reportChangesLocked does the same; the caller holds callbackMu.
func (r *remote) reportChangesLocked() {
	for {
		r.mu.Lock()
		changes := r.changes
		r.changes = nil
		r.mu.Unlock()
		if len(changes) == 0 {
			return
		}
		for _, change := range changes {
			r.n.notifyPeerChange(r.host, change)
		}
	}
}

// dispatch passes a message from c to its handler after all earlier changes were reported.
// It returns false when c is no longer part of the session.
func (r *remote) dispatch(c *conn, kind wire.Kind, payload []byte) bool {
	r.callbackMu.Lock()
	defer r.callbackMu.Unlock()
	r.reportChangesLocked()
	r.mu.Lock()
	current := r.incoming == c
	r.mu.Unlock()
	if current {
		r.n.callHandler(r.host, c.boot, kind, payload)
	}
	return current
}

func (r *remote) trafficSnapshot() Traffic {
	t := &r.traffic
	return Traffic{
		BytesSent: t.bytesSent.Load(), BytesReceived: t.bytesReceived.Load(),
		FramesSent: t.framesSent.Load(), FramesReceived: t.framesReceived.Load(),
		KeepalivesSent: t.keepalivesSent.Load(), KeepalivesReceived: t.keepalivesReceived.Load(),
	}
}

// signal fills a channel with a buffer of one, without blocking if it is full.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
