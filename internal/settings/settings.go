// Package settings reads the static settings of the daemon from TOML.
//
// Every field is checked before anything starts. Invalid settings give an InvalidSettings
// error that names the file, the key and the reason.
package settings

import (
	_ "embed"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/fault"
)

//go:embed default.toml
var defaultTOML string

// defaultName is the file name of the embedded settings in errors. It also marks them, because
// some checks differ for them.
const defaultName = "default settings"

// maxFileBytes bounds the settings file and the key file.
const maxFileBytes = 1 << 20

// Secret is a key that is formatted as a placeholder, so that it can't reach logs.
type Secret []byte

// String returns a placeholder.
func (Secret) String() string { return "[hidden]" }

// GoString returns a placeholder.
func (Secret) GoString() string { return "[hidden]" }

// Format writes a placeholder for every verb.
func (Secret) Format(f fmt.State, _ rune) { io.WriteString(f, "[hidden]") }

// MarshalText returns a placeholder.
func (Secret) MarshalText() ([]byte, error) { return []byte("[hidden]"), nil }

// ControlHost is a member of the control group and its peer address.
type ControlHost struct {
	Name    string
	Address string
}

// CallerLimits limit what callers can use before they are authenticated.
type CallerLimits struct {
	MaxConnections int
	HeaderBytes    int
	ReadTimeout    time.Duration
}

// Settings are the checked static settings of one host. Addresses are IP:port.
type Settings struct {
	Host          string
	DataCentre    string
	Region        string
	CallerAddress string
	AdminAddress  string
	PeerAddress   string
	// PeerListenAddress is the local address at which peer connections are accepted and
	// from which they are made. It differs from PeerAddress if other hosts reach this one
	// through a port forwarder.
	PeerListenAddress string
	// DataFolder is empty on hosts without the control role.
	DataFolder   string
	ControlHosts []ControlHost
	PeerKey      Secret
	// OperatorKeyHashes are hex SHA-256 hashes of the credentials that are accepted
	// until the replicated configuration has operators.
	OperatorKeyHashes []string
	LogLevel          logrus.Level
	ShutdownDeadline  time.Duration
	// PlatformHostsSource is the file or URL of the platform's host list; empty for none.
	PlatformHostsSource string
	CallerLimits        CallerLimits
	// ControlSeeds are addresses of hosts that may know the control group. They are used
	// instead of ControlHosts: hosts are then named by their IP address, all of them use the
	// same peer port, and the group is repaired and extended automatically; with FormGroup it
	// is also formed automatically.
	ControlSeeds []netip.AddrPort
	// FormGroup lets the hosts of ControlSeeds form a new group when their data folders
	// are empty.
	FormGroup bool
	// MemoryMB is the memory that the process may use, 0 for no limit.
	MemoryMB int
	// DiskMB is the size of the disk of DataFolder, 0 for no limit.
	DiskMB int
	// Edge is nil on hosts that serve no routed services.
	Edge *Edge
}

// AdapterNative is the name of the adapter of the project's own formats.
const AdapterNative = "native"

// Edge configures the interfaces of routed services. Addresses are IP:port. GatewayAddress
// and UpstreamList are required; an interface whose address is empty is not served.
type Edge struct {
	// Adapter is the name of the adapter for the installation's formats.
	Adapter          string
	GatewayAddress   string
	DiscoveryAddress string
	ReadinessAddress string
	OperatorAddress  string
	// OffloadAddress takes requests that overloaded hosts of the data centre pass on. All hosts use
	// the same port, and their names must be their IP addresses. Its port is the one after that of
	// PeerListenAddress.
	OffloadAddress string
	// MetricsAddress serves GET /metrics as text, without a credential.
	MetricsAddress string
	// UpstreamList is the address at which the installation publishes its instances.
	UpstreamList string
	// ConfigMaxAge is how long a host serves requests without confirmation that its
	// configuration is current, ListMaxAge the same for its list of instances. Both follow from
	// Bounds where these name times.
	ConfigMaxAge, ListMaxAge time.Duration
	Bounds                   Bounds
}

// file is the structure of the settings file.
type file struct {
	Host          string `toml:"host"`
	DataCentre    string `toml:"data_centre"`
	Region        string `toml:"region"`
	CallerAddress string `toml:"caller_address"`
	AdminAddress  string `toml:"admin_address"`
	PeerAddress   string `toml:"peer_address"`
	PeerListen    string `toml:"peer_listen_address"`
	DataFolder    string `toml:"data_folder"`
	ControlHosts  []struct {
		Name    string `toml:"name"`
		Address string `toml:"address"`
	} `toml:"control_hosts"`
	PeerKey           string   `toml:"peer_key"`
	PeerKeyFile       string   `toml:"peer_key_file"`
	OperatorKeyHashes []string `toml:"operator_key_hashes"`
	LogLevel          string   `toml:"log_level"`
	ShutdownDeadline  duration `toml:"shutdown_deadline"`
	PlatformHosts     string   `toml:"platform_hosts"`
	CallerLimits      struct {
		MaxConnections int      `toml:"max_connections"`
		HeaderBytes    int      `toml:"header_bytes"`
		ReadTimeout    duration `toml:"read_timeout"`
	} `toml:"caller_limits"`
	ControlSeeds []string  `toml:"control_seeds"`
	FormGroup    bool      `toml:"form_group"`
	MemoryMB     int       `toml:"memory_mb"`
	DiskMB       megabytes `toml:"disk_mb"`
	Edge         *fileEdge `toml:"edge"`
}

type fileEdge struct {
	Adapter          string   `toml:"adapter"`
	GatewayAddress   string   `toml:"gateway_address"`
	DiscoveryAddress string   `toml:"discovery_address"`
	ReadinessAddress string   `toml:"readiness_address"`
	OperatorAddress  string   `toml:"operator_address"`
	Offload          bool     `toml:"offload"`
	MetricsAddress   string   `toml:"metrics_address"`
	UpstreamList     string   `toml:"upstream_list"`
	ConfigMaxAge     duration `toml:"config_max_age"`

	Bounds *fileBounds `toml:"bounds"`
}

// duration is a time with a unit, such as "30s". A number without a unit is refused.
type duration time.Duration

// megabytes is a whole number of MB as text; a host without a disk has the empty text.
type megabytes int

// UnmarshalText parses a size.
func (m *megabytes) UnmarshalText(b []byte) error {
	if len(b) == 0 {
		*m = 0
		return nil
	}
	v, err := strconv.Atoi(string(b))
	*m = megabytes(v)
	return err
}

// UnmarshalText parses a duration.
func (d *duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = duration(v)
	return err
}

// Load reads and checks a settings file. Relative paths in it are resolved against its
// folder. Optional keys that it omits have the value of the embedded default.
func Load(path string) (*Settings, error) {
	data, err := readBounded(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.InvalidSettings, "", "%s", path)
	}
	return parse(path, filepath.Dir(path), string(data))
}

// Default returns the embedded settings of one control host on loopback. Its data
// folder is relative to the working directory.
func Default() *Settings {
	s, err := parse(defaultName, "", defaultTOML)
	if err != nil {
		// The embedded file is part of the program, and a test checks that it loads.
		panic(err)
	}
	return s
}

func parse(fileName, folder, text string) (*Settings, error) {
	var f file
	meta, err := toml.Decode(text, &f)
	if err != nil {
		return nil, decodeError(fileName, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, keyError(fileName, unknown[0].String(), "unknown key")
	}
	if fileName != defaultName {
		fillOptional(&f, meta)
	}
	c := &decoder{fileName: fileName, folder: folder}
	s := c.settings(&f)
	if c.err != nil {
		return nil, c.err
	}
	return s, nil
}

// fillOptional copies from the embedded default the optional keys that a file omits.
func fillOptional(f *file, meta toml.MetaData) {
	var defaults file
	if _, err := toml.Decode(defaultTOML, &defaults); err != nil {
		panic(err)
	}
	for _, optional := range []struct {
		key         []string
		copyDefault func()
	}{
		{[]string{"region"}, func() { f.Region = defaults.Region }},
		{[]string{"log_level"}, func() { f.LogLevel = defaults.LogLevel }},
		{[]string{"shutdown_deadline"}, func() { f.ShutdownDeadline = defaults.ShutdownDeadline }},
		{[]string{"caller_limits", "max_connections"}, func() { f.CallerLimits.MaxConnections = defaults.CallerLimits.MaxConnections }},
		{[]string{"caller_limits", "header_bytes"}, func() { f.CallerLimits.HeaderBytes = defaults.CallerLimits.HeaderBytes }},
		{[]string{"caller_limits", "read_timeout"}, func() { f.CallerLimits.ReadTimeout = defaults.CallerLimits.ReadTimeout }},
	} {
		if !meta.IsDefined(optional.key...) {
			optional.copyDefault()
		}
	}
}

func decodeError(fileName string, err error) error {
	var parseError toml.ParseError
	if errors.As(err, &parseError) {
		return fault.New(fault.InvalidSettings, "", "%s: line %d: %s: %s", fileName, parseError.Position.Line, parseError.LastKey, parseError.Message)
	}
	return fault.New(fault.InvalidSettings, "", "%s: %s", fileName, err)
}

func keyError(fileName, key, format string, args ...any) error {
	reason := fault.New(fault.InvalidSettings, "", format, args...)
	return fault.New(fault.InvalidSettings, "", "%s: %s: %s", fileName, key, reason.Message())
}

func readBounded(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() || info.Size() > maxFileBytes {
		return nil, fault.New(fault.InvalidSettings, "", "not a regular file of at most %d bytes", maxFileBytes)
	}
	return os.ReadFile(path)
}

func trimKey(b []byte) string { return strings.TrimRight(string(b), "\r\n") }
