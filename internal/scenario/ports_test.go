package scenario

import (
	"errors"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"marigoldshunt/internal/freeport"
)

// Guards against an address of a host or emulator that another socket takes before the
// process listens, or while it is down.
func TestAddressesOfFleetStayReserved(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t.TempDir())
	defer f.close()
	address, err := f.freeAddress(1)
	c.Assert(err, qt.IsNil)
	a, err := net.ResolveTCPAddr("tcp", address)
	c.Assert(err, qt.IsNil)
	_, err = freeport.Reserve(a.IP.String(), a.Port)
	c.Assert(errors.Is(err, unix.EADDRINUSE), qt.IsTrue, qt.Commentf("%v", err))
	ln, err := net.Listen("tcp", address)
	c.Assert(err, qt.IsNil)
	c.Assert(ln.Close(), qt.IsNil)
}
