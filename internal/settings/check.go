package settings

import (
	"encoding/hex"
	"math"
	"net/netip"
	"net/url"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

// Limits of values.
const (
	// MinKeyBytes is the minimum length of the peer key: 256 bits if its bytes are random.
	MinKeyBytes = 32
	maxKeyBytes = 4096
	// maxControlHosts is the number of hosts dedicated to control at the target scale.
	maxControlHosts     = 8
	maxShutdownDeadline = 24 * time.Hour
	maxConnections      = 1_000_000
	minHeaderBytes      = 1 << 10
	maxHeaderBytes      = 1 << 20
	maxReadTimeout      = 10 * time.Minute
	maxMemoryMB         = 1 << 20
	maxDiskMB           = 1 << 30
)

// namePattern matches names of hosts, data centres and regions. The peer protocol limits
// host names to 64 bytes; the replicated configuration allows the same characters.
var namePattern = regexp.MustCompile(`^[a-zA-Z0-9._:-]{1,64}$`)

// decoder converts a file into settings and keeps the first error.
type decoder struct {
	fileName, folder string
	err              error
}

func (c *decoder) reject(key, format string, args ...any) {
	if c.err == nil {
		c.err = keyError(c.fileName, key, format, args...)
	}
}

func (c *decoder) settings(f *file) *Settings {
	s := &Settings{
		Host:          c.objectName("host", f.Host),
		DataCentre:    c.objectName("data_centre", f.DataCentre),
		Region:        c.objectName("region", f.Region),
		CallerAddress: c.address("caller_address", f.CallerAddress),
		AdminAddress:  c.address("admin_address", f.AdminAddress),
		PeerAddress:   c.address("peer_address", f.PeerAddress),
		DataFolder:    c.path(f.DataFolder),
		PeerKey:       c.peerKey(f),

		OperatorKeyHashes:   c.hashes(f.OperatorKeyHashes),
		LogLevel:            c.logLevel(f.LogLevel),
		ShutdownDeadline:    c.duration("shutdown_deadline", f.ShutdownDeadline, maxShutdownDeadline),
		PlatformHostsSource: c.platformHosts(f.PlatformHosts),
		CallerLimits: CallerLimits{
			MaxConnections: c.number("caller_limits.max_connections", f.CallerLimits.MaxConnections, 1, maxConnections),
			HeaderBytes:    c.number("caller_limits.header_bytes", f.CallerLimits.HeaderBytes, minHeaderBytes, maxHeaderBytes),
			ReadTimeout:    c.duration("caller_limits.read_timeout", f.CallerLimits.ReadTimeout, maxReadTimeout),
		},
	}
	if s.PeerListenAddress = s.PeerAddress; f.PeerListen != "" {
		s.PeerListenAddress = c.address("peer_listen_address", f.PeerListen)
	}
	s.FormGroup = f.FormGroup
	s.MemoryMB = c.number("memory_mb", f.MemoryMB, 0, maxMemoryMB)
	s.DiskMB = c.number("disk_mb", int(f.DiskMB), 0, maxDiskMB)
	s.ControlSeeds = c.seeds(f.ControlSeeds)
	s.Edge = c.edge(f.Edge)
	for _, h := range f.ControlHosts {
		s.ControlHosts = append(s.ControlHosts, ControlHost{Name: h.Name, Address: h.Address})
	}
	if c.err == nil && s.Edge != nil && f.Edge.Offload {
		s.Edge.OffloadAddress = c.offloadAddress(s)
	}
	if c.err == nil {
		c.checkDistinctAddresses(s)
		c.checkControlHosts(s)
		c.checkPublishedKeys(s)
	}
	return s
}

func (c *decoder) objectName(key, v string) string {
	switch {
	case v == "":
		c.reject(key, "required")
	case !namePattern.MatchString(v):
		c.reject(key, "%q is not a name of 1 to 64 letters, digits and . _ : -", v)
	}
	return v
}

func (c *decoder) address(key, v string) string {
	if v == "" {
		c.reject(key, "required")
		return v
	}
	a, err := netip.ParseAddrPort(v)
	switch {
	case err != nil:
		c.reject(key, "%q is not IP:port; names are not resolved", v)
	case a.Port() == 0:
		c.reject(key, "port 0 can't be reached by other hosts")
	case a.Addr().IsMulticast():
		c.reject(key, "%s is a multicast address", a.Addr())
	}
	return v
}

// checkDistinctAddresses rejects listeners that would collide.
func (c *decoder) checkDistinctAddresses(s *Settings) {
	keys := []string{"caller_address", "admin_address", "peer_address"}
	values := []string{s.CallerAddress, s.AdminAddress, s.PeerAddress}
	if s.Edge != nil && s.Edge.OffloadAddress != "" {
		keys, values = append(keys, "edge.offload"), append(values, s.Edge.OffloadAddress)
	}
	for i := range values {
		for j := range i {
			a, b := netip.MustParseAddrPort(values[i]), netip.MustParseAddrPort(values[j])
			overlap := a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
			if overlap && a.Port() == b.Port() {
				c.reject(keys[i], "%s collides with %s", values[i], keys[j])
			}
		}
	}
}

// seeds parses the addresses of hosts that may know the control group.
func (c *decoder) seeds(list []string) []netip.AddrPort {
	var out []netip.AddrPort
	for _, v := range list {
		if c.address("control_seeds", v); c.err != nil {
			return nil
		}
		out = append(out, netip.MustParseAddrPort(v))
	}
	return out
}

// checkSeededHost checks that a host with control_seeds lists no control hosts and can be
// found by its name.
func (c *decoder) checkSeededHost(s *Settings) {
	if len(s.ControlHosts) > 0 {
		c.reject("control_hosts", "must be empty, because control_seeds is set")
	}
	ownIP := netip.MustParseAddrPort(s.PeerAddress).Addr()
	if s.Host != ownIP.String() {
		c.reject("host", "%q is not the address %s of peer_address, by which control_seeds finds hosts", s.Host, ownIP)
	}
}

const (
	// defaultConfigMaxAge is used if the settings omit config_max_age.
	defaultConfigMaxAge = 3500 * time.Millisecond
	maxConfigMaxAge     = time.Minute
)

func (c *decoder) edge(f *fileEdge) *Edge {
	if f == nil {
		return nil
	}
	if f.ConfigMaxAge == 0 {
		f.ConfigMaxAge = duration(defaultConfigMaxAge)
	}
	optionalAddress := func(key, v string) string {
		if v == "" {
			return v
		}
		return c.address(key, v)
	}
	if f.Adapter == "" {
		f.Adapter = AdapterNative
	}
	bounds := c.bounds(f.Bounds)
	return &Edge{
		Adapter:          c.objectName("edge.adapter", f.Adapter),
		GatewayAddress:   c.address("edge.gateway_address", f.GatewayAddress),
		DiscoveryAddress: optionalAddress("edge.discovery_address", f.DiscoveryAddress),
		ReadinessAddress: optionalAddress("edge.readiness_address", f.ReadinessAddress),
		OperatorAddress:  optionalAddress("edge.operator_address", f.OperatorAddress),
		MetricsAddress:   optionalAddress("edge.metrics_address", f.MetricsAddress),
		UpstreamList:     c.address("edge.upstream_list", f.UpstreamList),
		ConfigMaxAge:     bounds.configMaxAge(c.duration("edge.config_max_age", f.ConfigMaxAge, maxConfigMaxAge)),
		ListMaxAge:       bounds.listMaxAge(),
		Bounds:           bounds,
	}
}

// offloadAddress returns the address at which the host takes requests that other hosts pass on.
func (c *decoder) offloadAddress(s *Settings) string {
	if len(s.ControlSeeds) == 0 {
		c.reject("edge.offload", "needs control_seeds, because hosts are then named by their address")
		return ""
	}
	peer := netip.MustParseAddrPort(s.PeerListenAddress)
	if peer.Port() == math.MaxUint16 {
		c.reject("edge.offload", "there is no port after that of peer_listen_address")
		return ""
	}
	return netip.AddrPortFrom(peer.Addr(), peer.Port()+1).String()
}

func (c *decoder) checkControlHosts(s *Settings) {
	if len(s.ControlSeeds) > 0 {
		c.checkSeededHost(s)
		return
	}
	if s.FormGroup {
		c.reject("form_group", "needs control_seeds")
	}
	if n := len(s.ControlHosts); n == 0 || n > maxControlHosts {
		c.reject("control_hosts", "%d control hosts; between 1 and %d are allowed", n, maxControlHosts)
	}
	names, addresses := map[string]bool{}, map[string]bool{}
	for _, h := range s.ControlHosts {
		c.objectName("control_hosts.name", h.Name)
		c.address("control_hosts.address", h.Address)
		if c.err != nil {
			return
		}
		if names[h.Name] || addresses[h.Address] {
			c.reject("control_hosts", "host %s or address %s occurs twice", h.Name, h.Address)
		}
		names[h.Name], addresses[h.Address] = true, true
		if netip.MustParseAddrPort(h.Address).Addr().IsUnspecified() {
			c.reject("control_hosts.address", "%s can't be connected to", h.Address)
		}
		ownAddress := netip.MustParseAddrPort(s.PeerAddress)
		if h.Name == s.Host && !ownAddress.Addr().IsUnspecified() && h.Address != s.PeerAddress {
			c.reject("control_hosts.address", "%s is not the peer_address %s of this host", h.Address, s.PeerAddress)
		}
	}
	switch {
	case names[s.Host] && s.DataFolder == "":
		c.reject("data_folder", "required, because control_hosts lists this host")
	case !names[s.Host] && s.DataFolder != "":
		c.reject("data_folder", "must be empty, because control_hosts does not list this host")
	}
}

// checkPublishedKeys allows the keys of the embedded default on loopback only, because they
// are published with the source.
func (c *decoder) checkPublishedKeys(s *Settings) {
	if c.fileName == defaultName {
		return
	}
	defaults := Default()
	loopback := func(a string) bool { return netip.MustParseAddrPort(a).Addr().IsLoopback() }
	if string(s.PeerKey) == string(defaults.PeerKey) && !loopback(s.PeerAddress) {
		c.reject("peer_key", "the published development key is allowed on loopback only")
	}
	for _, h := range s.OperatorKeyHashes {
		if h == defaults.OperatorKeyHashes[0] && !loopback(s.AdminAddress) {
			c.reject("operator_key_hashes", "the published development credential is allowed on loopback only")
		}
	}
}

func (c *decoder) peerKey(f *file) Secret {
	key, setting := f.PeerKey, "peer_key"
	switch {
	case f.PeerKey != "" && f.PeerKeyFile != "":
		c.reject("peer_key_file", "peer_key is set as well; only one is allowed")
	case f.PeerKey == "" && f.PeerKeyFile == "":
		c.reject("peer_key", "required, unless peer_key_file is set")
	case f.PeerKeyFile != "":
		setting = "peer_key_file"
		data, err := readBounded(c.path(f.PeerKeyFile))
		if err != nil {
			c.reject(setting, "%s", err)
			return nil
		}
		key = trimKey(data)
	}
	if len(key) < MinKeyBytes || len(key) > maxKeyBytes {
		c.reject(setting, "the key has %d bytes; between %d and %d are allowed", len(key), MinKeyBytes, maxKeyBytes)
	}
	return Secret(key)
}

func (c *decoder) hashes(list []string) []string {
	seen := map[string]bool{}
	for _, h := range list {
		b, err := hex.DecodeString(h)
		switch {
		case err != nil || len(b) != 32 || strings.ToLower(h) != h:
			// The error omits the value, which may be a credential put here by mistake.
			c.reject("operator_key_hashes", "an entry is not a SHA-256 hash of 64 lower-case hex digits")
		case seen[h]:
			c.reject("operator_key_hashes", "hash %s occurs twice", h)
		}
		seen[h] = true
	}
	return list
}

func (c *decoder) logLevel(v string) logrus.Level {
	l, err := logrus.ParseLevel(v)
	if err != nil {
		c.reject("log_level", "%q is not one of error, warning, info, debug and trace", v)
	}
	return l
}

func (c *decoder) duration(key string, v duration, limit time.Duration) time.Duration {
	d := time.Duration(v)
	if d <= 0 || d > limit {
		c.reject(key, "%s is not above 0 and at most %s", d, limit)
	}
	return d
}

func (c *decoder) number(key string, v, low, high int) int {
	if v < low || v > high {
		c.reject(key, "%d is not between %d and %d", v, low, high)
	}
	return v
}

func (c *decoder) platformHosts(v string) string {
	if !strings.Contains(v, "://") {
		return c.path(v)
	}
	u, err := url.Parse(v)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		c.reject("platform_hosts", "%q is not a file or an HTTP URL", v)
		return v
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		c.reject("platform_hosts", "%q is not an IP address; names are not resolved", u.Hostname())
	}
	if u.User != nil {
		c.reject("platform_hosts", "the URL must not hold a credential")
	}
	return v
}

// path resolves a relative path against the folder of the settings file.
func (c *decoder) path(v string) string {
	if v == "" || filepath.IsAbs(v) {
		return v
	}
	return filepath.Join(c.folder, v)
}
