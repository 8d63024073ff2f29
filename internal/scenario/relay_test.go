package scenario

import (
	"net"
	"sync"
	"time"
)

// network forwards the peer connections between hosts, so that links can be cut. Each host
// is reached through its own relay; the source address tells which host connects.
type network struct {
	mu      sync.Mutex
	changed *sync.Cond
	closed  bool
	cuts    map[[2]string]bool
	// blocked holds the directions, from and to, in which no bytes pass; delays holds the
	// delay added in a direction.
	blocked map[[2]string]bool
	delays  map[[2]string]time.Duration
	hosts   map[string]string
	conns   map[net.Conn][2]string
	relays  []net.Listener
}

func newNetwork() *network {
	n := &network{cuts: map[[2]string]bool{}, blocked: map[[2]string]bool{}, delays: map[[2]string]time.Duration{}, hosts: map[string]string{}, conns: map[net.Conn][2]string{}}
	n.changed = sync.NewCond(&n.mu)
	return n
}

func linkOf(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// relay forwards connections at ln to the peer address of a host.
func (n *network) relay(host, ip, address string, ln net.Listener) {
	n.mu.Lock()
	n.hosts[ip] = host
	n.relays = append(n.relays, ln)
	n.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go n.forward(c, host, address)
		}
	}()
}

func (n *network) forward(in net.Conn, to, address string) {
	defer in.Close()
	source := in.RemoteAddr().(*net.TCPAddr).IP.String()
	n.mu.Lock()
	from := n.hosts[source]
	n.mu.Unlock()
	l := linkOf(from, to)
	if !n.waitOpen(from, to) {
		return
	}
	out, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer out.Close()
	n.track(l, in, out)
	defer n.untrack(in, out)
	done := make(chan struct{}, 2)
	go func() { n.copyOneWay(from, to, out, in); done <- struct{}{} }()
	go func() { n.copyOneWay(to, from, in, out); done <- struct{}{} }()
	<-done
}

// copyOneWay copies what one host sends to another until one side ends. While the direction
// is cut or blocked it delivers neither data nor the end of the connection, like a network
// that loses packets.
func (n *network) copyOneWay(from, to string, dst, src net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		length, err := src.Read(buf)
		if !n.waitOpen(from, to) || err != nil {
			return
		}
		if _, err := dst.Write(buf[:length]); err != nil {
			return
		}
	}
}

// waitOpen waits while a direction is cut or blocked, and then for its delay. It returns
// false when the network is closed.
func (n *network) waitOpen(from, to string) bool {
	n.mu.Lock()
	for (n.cuts[linkOf(from, to)] || n.blocked[[2]string{from, to}]) && !n.closed {
		n.changed.Wait()
	}
	delay, closed := n.delays[[2]string{from, to}], n.closed
	n.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	return !closed
}

// setBlocked stops one direction, setDelay delays it; a zero value undoes them.
func (n *network) setBlocked(from, to string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[[2]string{from, to}] = blocked
	n.changed.Broadcast()
}

func (n *network) setDelay(from, to string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[[2]string{from, to}] = d
}

func (n *network) track(l [2]string, conns ...net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range conns {
		n.conns[c] = l
	}
}

func (n *network) untrack(conns ...net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range conns {
		delete(n.conns, c)
	}
}

// cutLink cuts a link. With reset, open connections are reset as well.
func (n *network) cutLink(a, b string, reset bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[linkOf(a, b)] = true
	for c, l := range n.conns {
		if reset && l == linkOf(a, b) {
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}
}

func (n *network) healLink(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, linkOf(a, b))
	n.changed.Broadcast()
}

func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	n.changed.Broadcast()
	for _, ln := range n.relays {
		ln.Close()
	}
	for c := range n.conns {
		c.Close()
	}
}
