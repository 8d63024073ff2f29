package daemon

import (
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/settings"
	"marigoldshunt/internal/wal"
)

// newTestDaemon returns a daemon with the settings file of a control host, which has the
// given control hosts, and the path of that file.
func newTestDaemon(c *qt.C, folder, peerAddress, callerAddress, controlHosts string) (*Daemon, string) {
	path := filepath.Join(c.TempDir(), "settings.toml")
	writeControlSettings(c, path, folder, peerAddress, callerAddress, controlHosts)
	s, err := settings.Load(path)
	c.Assert(err, qt.IsNil)
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Options{Settings: s, SettingsPath: path, Log: log}), path
}

func writeControlSettings(c *qt.C, path, folder, peerAddress, callerAddress, controlHosts string) {
	text := `host = "h1"
data_centre = "north"
caller_address = "` + callerAddress + `"
admin_address = "127.0.0.1:7003"
peer_address = "` + peerAddress + `"
data_folder = "` + folder + `"
peer_key = "0123456789abcdef0123456789abcdef"
` + controlHosts
	c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
}

// Guards against control hosts that are renamed or moved in the settings file and still
// resolved with the settings of the start.
func TestReloadedControlHostsAreResolved(t *testing.T) {
	c := qt.New(t)
	entry := func(name, address string) string {
		return "[[control_hosts]]\nname = \"" + name + "\"\naddress = \"" + address + "\"\n"
	}
	own := entry("h1", "127.0.0.1:7001")
	folder := c.TempDir()
	d, path := newTestDaemon(c, folder, "127.0.0.1:7001", "127.0.0.1:7002", own+entry("h2", "127.0.0.2:7001"))
	defer d.controlRole.close()
	reload := func(other string) {
		writeControlSettings(c, path, folder, "127.0.0.1:7001", "127.0.0.1:7002", own+other)
		d.reload()
	}
	check := func(host, want string) {
		address, ok := d.resolve(host)
		c.Check(address, qt.Equals, want, qt.Commentf(host))
		c.Check(ok, qt.Equals, want != "", qt.Commentf(host))
	}
	check("h2", "127.0.0.2:7001")
	reload(entry("h2b", "127.0.0.2:7001"))
	check("h2b", "127.0.0.2:7001")
	check("h2", "")
	reload(entry("h2b", "127.0.0.3:7001"))
	check("h2b", "127.0.0.3:7001")
	reload("control_hosts = 3\n")
	check("h2b", "127.0.0.3:7001")
}

// Guards against a data folder that stays locked after a start that failed because an
// address was in use.
func TestRunReleasesTheLogWhenListeningFails(t *testing.T) {
	c := qt.New(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer taken.Close()
	folder := c.TempDir()
	d, _ := newTestDaemon(c, folder, "127.0.0.1:7001", taken.Addr().String(), "[[control_hosts]]\nname = \"h1\"\naddress = \"127.0.0.1:7001\"\n")
	d.settings.PeerListenAddress, d.settings.AdminAddress = "127.0.0.1:0", "127.0.0.1:0"
	c.Assert(fault.CodeOf(d.Run(t.Context(), t.Context())), qt.Equals, fault.InvalidSettings)
	l, _, err := wal.Open(folder, wal.Options{})
	c.Assert(err, qt.IsNil)
	c.Assert(l.Close(), qt.IsNil)
}
