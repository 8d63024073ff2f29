package freeport

import (
	"errors"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"marigoldshunt/internal/fault"
)

// Guards against a reserved port that is given to another socket, also between two servers.
func TestReservedPortIsKeptForItsServer(t *testing.T) {
	c := qt.New(t)
	p, err := Reserve("127.0.0.1", 0)
	c.Assert(err, qt.IsNil)
	defer p.Close()
	for range 2 {
		_, err = net.Dial("tcp", p.Address())
		c.Check(errors.Is(err, unix.ECONNREFUSED), qt.IsTrue, qt.Commentf("%v", err))
		for _, ip := range []string{"127.0.0.1", "0.0.0.0"} {
			_, err = Reserve(ip, p.Port())
			c.Check(errors.Is(err, unix.EADDRINUSE), qt.IsTrue, qt.Commentf("%v", err))
		}
		ln, err := net.Listen("tcp", p.Address())
		c.Assert(err, qt.IsNil)
		conn, err := net.Dial("tcp", p.Address())
		c.Assert(err, qt.IsNil)
		served, err := ln.Accept()
		c.Assert(err, qt.IsNil)
		c.Assert(errors.Join(served.Close(), conn.Close(), ln.Close()), qt.IsNil)
	}
}

// Guards against a reservation of a wildcard address under which no host can listen.
func TestReservationOfAllAddresses(t *testing.T) {
	c := qt.New(t)
	p, err := Reserve("0.0.0.0", 0)
	c.Assert(err, qt.IsNil)
	for _, ip := range []net.IP{net.IPv4(127, 0, 0, 7), net.IPv4(127, 0, 0, 8)} {
		ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: ip, Port: p.Port()})
		c.Assert(err, qt.IsNil)
		c.Assert(ln.Close(), qt.IsNil)
	}
	c.Assert(p.Close(), qt.IsNil)
	_, err = Reserve("::1", 0)
	c.Assert(fault.CodeOf(err), qt.Equals, fault.InvalidSettings)
}
