package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/fault"
)

const minimal = `host = "h1"
data_centre = "suva"
caller_address = "10.0.0.1:7100"
admin_address = "10.0.0.1:7101"
peer_address = "10.0.0.1:7102"
peer_key = "0123456789abcdef0123456789abcdef"
control_hosts = [{name = "h2", address = "10.0.0.2:7102"}]
`

func writeSettings(c *qt.C, text string) string {
	path := filepath.Join(c.TempDir(), "settings.toml")
	c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

// Guards against an embedded default that does not load, and against optional keys that
// have no value when a file omits them.
func TestDefaults(t *testing.T) {
	c := qt.New(t)
	d := Default()
	c.Assert(d.ControlHosts, qt.DeepEquals, []ControlHost{{"local", "127.0.0.1:7102"}})
	c.Assert(d.DataFolder, qt.Equals, "marigoldshunt-data")
	s, err := Load(writeSettings(c, minimal+"[caller_limits]\nheader_bytes = 2048\n"))
	c.Assert(err, qt.IsNil)
	c.Assert(s.DataFolder, qt.Equals, "")
	c.Assert(s.OperatorKeyHashes, qt.HasLen, 0)
	c.Assert(s.ShutdownDeadline, qt.Equals, 10*time.Minute)
	c.Assert(s.CallerLimits, qt.Equals, CallerLimits{20000, 2048, 30 * time.Second})
	c.Assert(string(s.PeerKey), qt.Equals, "0123456789abcdef0123456789abcdef")
}

// Guards against a host that listens on the address of the port forwarder in front of it, not
// on its own.
func TestPeerListenAddress(t *testing.T) {
	c := qt.New(t)
	s, err := Load(writeSettings(c, minimal))
	c.Assert(err, qt.IsNil)
	c.Assert(s.PeerListenAddress, qt.Equals, "10.0.0.1:7102")
	s, err = Load(writeSettings(c, "peer_listen_address = \"192.168.0.1:7200\"\n"+minimal))
	c.Assert(err, qt.IsNil)
	c.Assert([]string{s.PeerAddress, s.PeerListenAddress}, qt.DeepEquals, []string{"10.0.0.1:7102", "192.168.0.1:7200"})
	_, err = Load(writeSettings(c, "peer_listen_address = \"elsewhere:7200\"\n"+minimal))
	c.Assert(fault.CodeOf(err), qt.Equals, fault.InvalidSettings)
}

// Guards against hosts that take requests of other hosts at a port at which these don't send them, or
// that can't find each other.
func TestOffloadAddress(t *testing.T) {
	c := qt.New(t)
	seeded := strings.Replace(strings.Replace(minimal, `"h1"`, `"10.0.0.1"`, 1), `control_hosts = [{name = "h2", address = "10.0.0.2:7102"}]`, `control_seeds = ["10.0.0.2:7102"]`, 1)
	edge := "[edge]\ngateway_address = \"10.0.0.1:7200\"\nupstream_list = \"10.0.0.9:80\"\n"
	s, err := Load(writeSettings(c, seeded+edge))
	c.Assert(err, qt.IsNil)
	c.Assert(s.Edge.OffloadAddress, qt.Equals, "")
	s, err = Load(writeSettings(c, seeded+edge+"offload = true\n"))
	c.Assert(err, qt.IsNil)
	c.Assert(s.Edge.OffloadAddress, qt.Equals, "10.0.0.1:7103")
	for _, test := range []struct{ old, new, message string }{
		{`control_seeds = ["10.0.0.2:7102"]`, `control_hosts = [{name = "h2", address = "10.0.0.2:7102"}]`, ".*edge.offload: needs control_seeds.*"},
		{`peer_address = "10.0.0.1:7102"`, `peer_address = "10.0.0.1:65535"`, ".*edge.offload: there is no port after.*"},
		{`admin_address = "10.0.0.1:7101"`, `admin_address = "10.0.0.1:7103"`, ".*edge.offload: .* collides with admin_address"},
	} {
		_, err = Load(writeSettings(c, strings.Replace(seeded, test.old, test.new, 1)+edge+"offload = true\n"))
		c.Check(err, qt.ErrorMatches, test.message)
	}
}

// Guards against a key that reaches logs through formatting.
func TestSecretIsHidden(t *testing.T) {
	s := Default()
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%x", "%d"} {
		text := fmt.Sprintf(verb, s.PeerKey) + fmt.Sprintf(verb, *s)
		for _, form := range []string{"%s", "%x", "%d"} {
			qt.Assert(t, text, qt.Not(qt.Contains), strings.Trim(fmt.Sprintf(form, []byte(s.PeerKey)), "[]"))
		}
	}
}

// Guards against a key file that is not read, or whose line end becomes part of the key.
func TestKeyFile(t *testing.T) {
	c := qt.New(t)
	path := writeSettings(c, strings.Replace(minimal, `peer_key = "0123456789abcdef0123456789abcdef"`, `peer_key_file = "peer.key"`, 1))
	_, err := Load(path)
	c.Assert(err, qt.ErrorMatches, "invalid_settings: .*settings.toml: peer_key_file: .*no such file.*")
	key := strings.Repeat("k", 40)
	c.Assert(os.WriteFile(filepath.Join(filepath.Dir(path), "peer.key"), []byte(key+"\n"), 0o600), qt.IsNil)
	s, err := Load(path)
	c.Assert(err, qt.IsNil)
	c.Assert(string(s.PeerKey), qt.Equals, key)
}

// Guards against invalid or misspelt settings that are noticed only at run time.
func TestRefusals(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct{ old, new, message string }{
		{`host = "h1"`, `host = `, `line 1: .*`},
		{`host = "h1"`, ``, `host: required`},
		{`host = "h1"`, `host = "a b"`, `host: "a b" is not a name.*`},
		{`host = "h1"`, `host = "` + strings.Repeat("x", 65) + `"`, `host: .* is not a name.*`},
		{`host = "h1"`, "host = \"h1\"\nhots = 1", `hots: unknown key`},
		{`host = "h1"`, "host = \"h1\"\ncaller_limits.x = 1", `caller_limits.x: unknown key`},
		{`data_centre = "suva"`, ``, `data_centre: required`},
		{`data_centre = "suva"`, "data_centre = \"suva\"\nregion = \"\"", `region: required`},
		{`"10.0.0.1:7100"`, `"localhost:7100"`, `caller_address: .* is not IP:port; names are not resolved`},
		{`"10.0.0.1:7100"`, `"10.0.0.1"`, `caller_address: .* is not IP:port.*`},
		{`"10.0.0.1:7100"`, `"10.0.0.1:0"`, `caller_address: port 0 .*`},
		{`"10.0.0.1:7100"`, `"224.0.0.1:80"`, `caller_address: .*multicast.*`},
		{`"10.0.0.1:7101"`, `"0.0.0.0:7100"`, `admin_address: .* collides with caller_address`},
		{`"10.0.0.1:7102"`, `""`, `peer_address: required`},
		{`peer_key = "0123456789abcdef0123456789abcdef"`, ``, `peer_key: required.*`},
		{`peer_key = "0123456789abcdef0123456789abcdef"`, `peer_key = "short"`, `peer_key: the key has 5 bytes.*`},
		{`peer_key = `, "peer_key_file = \"x\"\npeer_key = ", `peer_key_file: peer_key is set as well.*`},
		{`"0123456789abcdef0123456789abcdef"`, `"marigoldshunt-development-peer-key"`, `peer_key: the published.*`},
		{`control_hosts = [{name = "h2", address = "10.0.0.2:7102"}]`, ``, `control_hosts: 0 control hosts.*`},
		{`"10.0.0.2:7102"}`, `"10.0.0.2:7102"}, {name = "h2", address = "10.0.0.3:1"}`, `control_hosts: .* occurs twice`},
		{`"10.0.0.2:7102"}`, `"0.0.0.0:7102"}`, `control_hosts.address: .*`},
		{`"10.0.0.2:7102"}`, `"h2:7102"}`, `control_hosts.address: .*`},
		{`name = "h2"`, `name = "h1"`, `control_hosts.address: .* is not the peer_address.*`},
		{`name = "h2", address = "10.0.0.2:7102"`, `name = "h1", address = "10.0.0.1:7102"`, `data_folder: required.*`},
		{`host = "h1"`, "host = \"h1\"\ndata_folder = \"d\"", `data_folder: must be empty.*`},
		{`host = "h1"`, "host = \"h1\"\nlog_level = \"loud\"", `log_level: .*`},
		{`host = "h1"`, "host = \"h1\"\nshutdown_deadline = 30", `line 2: shutdown_deadline: .*missing unit.*`},
		{`host = "h1"`, "host = \"h1\"\nshutdown_deadline = \"0s\"", `shutdown_deadline: .*`},
		{`host = "h1"`, "host = \"h1\"\ndisk_mb = \"NaN\"", `line 2: disk_mb: .*invalid syntax.*`},
		{`host = "h1"`, "host = \"h1\"\ndisk_mb = \"64.5\"", `line 2: disk_mb: .*invalid syntax.*`},
		{`host = "h1"`, "host = \"h1\"\ndisk_mb = \"99999999999999999999\"", `line 2: disk_mb: .*out of range.*`},
		{`host = "h1"`, "host = \"h1\"\ndisk_mb = \"-1\"", `disk_mb: -1 .*`},
		{`host = "h1"`, "host = \"h1\"\noperator_key_hashes = [\"my-credential\"]", `operator_key_hashes: an entry is not.*`},
		{`host = "h1"`, "host = \"h1\"\noperator_key_hashes = [\"" + Default().OperatorKeyHashes[0] + `"]`, `operator_key_hashes: the published.*`},
		{`host = "h1"`, "host = \"h1\"\nplatform_hosts = \"http://example:80/\"", `platform_hosts: .*not an IP.*`},
		{`host = "h1"`, "host = \"h1\"\nplatform_hosts = \"ftp://10.0.0.1/\"", `platform_hosts: .*HTTP URL`},
		{`host = "h1"`, "host = \"h1\"\ncaller_limits.max_connections = 0", `caller_limits.max_connections: 0 .*`},
		{`host = "h1"`, "host = \"h1\"\ncaller_limits.header_bytes = 100", `caller_limits.header_bytes: 100 .*`},
		{`host = "h1"`, "host = \"h1\"\ncaller_limits.read_timeout = \"11m\"", `caller_limits.read_timeout: 11m0s .*`},
	} {
		c.Assert(strings.Contains(minimal, test.old), qt.IsTrue)
		path := writeSettings(c, strings.Replace(minimal, test.old, test.new, 1))
		_, err := Load(path)
		c.Check(fault.CodeOf(err), qt.Equals, fault.InvalidSettings, qt.Commentf("%s", test.new))
		c.Check(err, qt.ErrorMatches, "invalid_settings: "+path+": "+test.message)
	}
	_, err := Load(filepath.Join(c.TempDir(), "absent.toml"))
	c.Assert(fault.CodeOf(err), qt.Equals, fault.InvalidSettings)
}
