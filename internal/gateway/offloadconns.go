package gateway

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"marigoldshunt/internal/netopt"
	"marigoldshunt/internal/offload"
)

// OffloadOptions configure how an overloaded host passes requests on.
type OffloadOptions struct {
	// Dial connects to the address at which another host takes passed-on requests; nil turns
	// passing on off.
	Dial func(ctx context.Context, host string) (net.Conn, error)
	// MaxOpen bounds the connections to other hosts.
	MaxOpen int
}

// offloader holds the connections to the hosts that take requests.
type offloader struct {
	opts OffloadOptions

	mu     sync.Mutex
	picker *offload.Picker
	idle   map[string][]idleHostConn
	// open counts the connections that are in use or idle.
	open int
}

// hostConn is a connection to another host.
type hostConn struct {
	net.Conn
	host string
}

type idleHostConn struct {
	*hostConn
	since time.Time
}

func newOffloader(opts OffloadOptions, picker *offload.Picker) *offloader {
	return &offloader{opts: opts, picker: picker, idle: map[string][]idleHostConn{}}
}

// usable reports whether there are hosts that take requests, and room for one more.
func (o *offloader) usable() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.opts.Dial != nil && o.picker.Any() && (o.open < o.opts.MaxOpen || len(o.idle) > 0)
}

// SetOffloadHosts sets the other hosts of the data centre that take requests.
func (s *Server) SetOffloadHosts(hosts []string) {
	s.offloader.mu.Lock()
	defer s.offloader.mu.Unlock()
	s.offloader.picker.SetHosts(hosts)
}

// connect returns a connection to a host with time to spare, or nil. Each connection must be
// given back with release.
func (o *offloader) connect(ctx context.Context) *hostConn {
	for range maxOffloadConnects {
		o.mu.Lock()
		host, ok := o.picker.Pick(time.Now())
		o.mu.Unlock()
		if !ok {
			return nil
		}
		if hc := o.connectTo(ctx, host); hc != nil {
			return hc
		}
	}
	return nil
}

// connectTo returns a connection to a host that was picked, or nil and ends the use of the host.
func (o *offloader) connectTo(ctx context.Context, host string) *hostConn {
	if hc := o.takeIdle(host); hc != nil {
		return hc
	}
	if !o.reserve(host) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, offloadConnectTimeout)
	defer cancel()
	nc, err := o.opts.Dial(ctx, host)
	if err != nil {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.picker.Done(host)
		if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) {
			o.picker.Late(host, time.Now())
		} else {
			o.picker.Failed(host, time.Now())
		}
		o.open--
		return nil
	}
	return &hostConn{Conn: nc, host: host}
}

// takeIdle returns an idle connection to a host that the host has not closed, or nil.
func (o *offloader) takeIdle(host string) *hostConn {
	for {
		o.mu.Lock()
		conns := o.idle[host]
		if len(conns) == 0 {
			o.mu.Unlock()
			return nil
		}
		hc := conns[len(conns)-1].hostConn
		o.removeIdleLocked(host, conns[:len(conns)-1])
		o.mu.Unlock()
		if raw, ok := netopt.RawConn(hc.Conn); ok {
			if open, unread := netopt.CheckConn(raw); open && !unread {
				return hc
			}
		}
		o.discard(hc)
	}
}

func (o *offloader) removeIdleLocked(host string, left []idleHostConn) {
	if len(left) == 0 {
		delete(o.idle, host)
		return
	}
	o.idle[host] = left
}

// reserve counts one more open connection, unless there are too many.
func (o *offloader) reserve(host string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.open >= o.opts.MaxOpen {
		o.picker.Done(host)
		return false
	}
	o.open++
	return true
}

// discard closes a connection that is not in use.
func (o *offloader) discard(hc *hostConn) {
	_ = hc.Close() // nothing is sent on it any more
	o.mu.Lock()
	defer o.mu.Unlock()
	o.open--
}

// release ends the use of a connection. failed is true if the host gave no response.
func (o *offloader) release(hc *hostConn, keep, failed bool) {
	now := time.Now()
	o.mu.Lock()
	o.picker.Done(hc.host)
	if failed {
		o.picker.Failed(hc.host, now)
	}
	if keep {
		o.idle[hc.host] = append(o.idle[hc.host], idleHostConn{hc, now})
	}
	o.mu.Unlock()
	if !keep {
		o.discard(hc)
	}
}

// closeIdleSince closes the connections that have been idle since before cutoff.
func (o *offloader) closeIdleSince(cutoff time.Time) {
	var closing []*hostConn
	o.mu.Lock()
	for host, conns := range o.idle {
		n := 0 // the longest idle connections come first
		for ; n < len(conns) && conns[n].since.Before(cutoff); n++ {
			closing = append(closing, conns[n].hostConn)
		}
		o.removeIdleLocked(host, conns[n:])
	}
	o.mu.Unlock()
	for _, hc := range closing {
		o.discard(hc)
	}
}
