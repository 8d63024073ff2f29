// Package freeport reserves TCP ports for servers that start later, also in other processes.
package freeport

import (
	"net"
	"net/netip"
	"strconv"

	"golang.org/x/sys/unix"

	"marigoldshunt/internal/fault"
)

// Port is a reserved address. Until Close, the system gives its port to no other socket, and
// a server that asks for the address itself can listen there. Connections to it are refused
// while no server listens.
type Port struct {
	fd      int
	address netip.AddrPort
}

// Reserve reserves a port of an IPv4 address, or any free port if port is 0. It returns
// InvalidSettings if ip is not an IPv4 address or the port is in use.
//
// The reservation is a socket that is bound and never listens. A listener that is closed for
// the server is not enough: a process that another goroutine has forked and that has not yet
// executed its program holds a copy of the listener.
func Reserve(ip string, port int) (*Port, error) {
	addr, err := netip.ParseAddr(ip)
	if err != nil || !addr.Is4() {
		return nil, fault.New(fault.InvalidSettings, "", "reserve a port: %q is not an IPv4 address", ip)
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "", "reserve a port")
	}
	p := &Port{fd: fd}
	if err := p.bind(addr, port); err != nil {
		unix.Close(fd)
		return nil, fault.Wrap(err, fault.InvalidSettings, "", "reserve %s", net.JoinHostPort(ip, strconv.Itoa(port)))
	}
	return p, nil
}

func (p *Port) bind(addr netip.Addr, port int) error {
	if err := unix.Bind(p.fd, &unix.SockaddrInet4{Port: port, Addr: addr.As4()}); err != nil {
		return err
	}
	// Set after the bind, so that two reservations of one address fail.
	if err := unix.SetsockoptInt(p.fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return err
	}
	bound, err := unix.Getsockname(p.fd)
	if err != nil {
		return err
	}
	p.address = netip.AddrPortFrom(addr, uint16(bound.(*unix.SockaddrInet4).Port))
	return nil
}

// Address returns the reserved IP address and port.
func (p *Port) Address() string { return p.address.String() }

// Port returns the number of the reserved port.
func (p *Port) Port() int { return int(p.address.Port()) }

// Close ends the reservation. A server that listens at the address is not affected.
func (p *Port) Close() error {
	return fault.Wrap(unix.Close(p.fd), fault.Internal, "", "end the reservation of %s", p.address)
}
