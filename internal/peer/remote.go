package peer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"marigoldshunt/internal/wire"
)

// peerState is the state of one peer. Its incoming and its outgoing connection form one
// session: when either is lost, both are closed, the send queue is emptied and the loss
// is reported, because messages in both directions may be lost.
type peerState struct {
	n    *Node
	host string

	// wake tells the sender that there is a message or that the connection changed.
	wake chan struct{}
	// dialNow ends a backoff early when the peer connects and so shows that it is alive.
	dialNow chan struct{}

	// callbackMu serialises the calls of handlers and OnSessionChange functions.
	callbackMu sync.Mutex

	// mu guards the fields from here to changes. It is locked after callbackMu.
	mu                 sync.Mutex
	senderStarted      bool
	incoming, outgoing *conn
	up                 bool
	boot               uint64
	queue              queue
	lastSend           time.Time
	changes            []sessionChange

	traffic trafficCounters
}

// sessionChange is the start or end of a session, which is reported to OnSessionChange
// functions.
type sessionChange struct {
	boot uint64
	up   bool
}

type trafficCounters struct {
	bytesSent, bytesReceived           atomic.Uint64
	framesSent, framesReceived         atomic.Uint64
	keepalivesSent, keepalivesReceived atomic.Uint64
}

func newPeerState(n *Node, host string) *peerState {
	return &peerState{n: n, host: host, wake: make(chan struct{}, 1), dialNow: make(chan struct{}, 1)}
}

// send queues the frames of a message, and starts the goroutine that sends if it does not run yet.
func (p *peerState) send(frames []queuedMessage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.senderStarted {
		p.senderStarted = p.n.spawn(p.connectLoop)
	}
	for _, m := range frames {
		p.queueLocked(m)
	}
	signal(p.wake)
}

// queueLocked queues a frame. A full queue ends the session. The caller holds mu.
func (p *peerState) queueLocked(m queuedMessage) {
	p.lastSend = m.at
	dropped, full := p.queue.push(m)
	p.recordLost("queue_full", p.n.count.dropped, dropped)
	if full {
		p.n.count.overflows.Inc(1)
		p.n.log.WithField("peer", p.host).Warn("Send queue is full. Connection reset.")
		p.endSessionLocked()
		p.queue.push(m)
	}
}

// endSessionLocked ends the session. The caller holds mu.
func (p *peerState) endSessionLocked() {
	if p.incoming != nil {
		p.incoming.Close()
	}
	if p.outgoing != nil {
		p.outgoing.Close()
	}
	p.incoming, p.outgoing = nil, nil
	p.recordLost("session_ended", p.n.count.discarded, p.queue.take())
	if p.up {
		p.up = false
		p.n.count.losses.Inc(1)
		p.changes = append(p.changes, sessionChange{boot: p.boot})
		p.n.spawn(p.reportChanges)
	}
	signal(p.wake)
}

// connLost closes c and ends the session that c belongs to, unless that ended before.
func (p *peerState) connLost(c *conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.incoming == c || p.outgoing == c {
		p.endSessionLocked()
	}
}

// attach makes c part of the session, or of a new session when c shows that the earlier
// one has ended.
func (p *peerState) attach(c *conn, incoming bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.up && (p.boot != c.boot || incoming && p.incoming != nil) {
		p.endSessionLocked()
	}
	if !p.up {
		p.up, p.boot = true, c.boot
		p.changes = append(p.changes, sessionChange{boot: c.boot, up: true})
		p.n.spawn(p.reportChanges)
	}
	if incoming {
		p.incoming = c
		signal(p.dialNow)
		return
	}
	p.outgoing = c
	p.dropExpiredLocked()
}

// dropExpiredLocked drops the messages that waited too long for a connection, and reports
// the loss as the end of a session and the start of the next. The caller holds mu.
func (p *peerState) dropExpiredLocked() {
	expired := p.queue.expire(time.Now().Add(-queueMaxAge))
	if len(expired) == 0 {
		return
	}
	p.recordLost("expired", p.n.count.expired, expired)
	if p.up {
		p.changes = append(p.changes, sessionChange{boot: p.boot}, sessionChange{boot: p.boot, up: true})
		p.n.spawn(p.reportChanges)
	}
}

// recordLost counts and logs messages that will not be sent.
func (p *peerState) recordLost(reason string, counter metrics.Counter, lost []queuedMessage) {
	counter.Inc(int64(len(lost)))
	if p.n.ctx.Err() != nil {
		return
	}
	for _, m := range lost {
		p.n.losses.record(reason, p.host, m.kind, len(m.body), time.Now())
	}
}

// reportChanges passes the pending changes of the session to the OnSessionChange functions.
func (p *peerState) reportChanges() {
	p.callbackMu.Lock()
	defer p.callbackMu.Unlock()
	p.reportChangesLocked()
}

// reportChangesLocked is reportChanges for callers that hold callbackMu.
func (p *peerState) reportChangesLocked() {
	for {
		p.mu.Lock()
		changes := p.changes
		p.changes = nil
		p.mu.Unlock()
		if len(changes) == 0 {
			return
		}
		for _, change := range changes {
			p.n.notifySessionChange(p.host, change)
		}
	}
}

// dispatch passes a message from c to its handler after all earlier changes were reported.
// It returns false when c is no longer part of the session.
func (p *peerState) dispatch(c *conn, kind wire.Kind, payload []byte) bool {
	p.callbackMu.Lock()
	defer p.callbackMu.Unlock()
	p.reportChangesLocked()
	p.mu.Lock()
	current := p.incoming == c
	p.mu.Unlock()
	if current {
		p.n.callHandler(p.host, c.boot, kind, payload)
	}
	return current
}

func (p *peerState) trafficSnapshot() Traffic {
	t := &p.traffic
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
