package daemon

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/edge"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/logsink"
	"marigoldshunt/internal/settings"
)

const version = "0.1.0"

// Exit codes.
const (
	exitFailure  = 1
	exitSettings = 2
)

const (
	// heapPercent of the memory of a process may be the Go runtime's; the rest is for what it
	// does not count: the program itself, and bytes in sockets.
	heapPercent = 85
	// logCloseTime bounds the wait for the last log lines.
	logCloseTime = 200 * time.Millisecond
	// logTime has milliseconds, so that the lines of several hosts can be put in order.
	logTime = "2006-01-02T15:04:05.000Z07:00"
)

// flags are the command line; each also reads MARIGOLDSHUNT_<NAME> from the environment.
type flags struct {
	settings, host, dataCentre, ip, data, control string
	version                                       bool
}

// Main runs the command marigoldshuntd with the adapters of installations, by name, and
// returns its exit code.
func Main(args []string, adapters map[string]edge.Adapter) int {
	err := run(args, adapters)
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "marigoldshuntd:", err)
	if fault.CodeOf(err) == fault.InvalidSettings {
		return exitSettings
	}
	return exitFailure
}

func run(args []string, adapters map[string]edge.Adapter) error {
	// First of all, because a hangup that comes before ends the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	f, err := parseFlags(args)
	if errors.Is(err, flag.ErrHelp) {
		return nil
	}
	if err != nil {
		return fault.Wrap(err, fault.InvalidSettings, "", "command line")
	}
	if f.version {
		fmt.Println("marigoldshuntd", version)
		return nil
	}
	s, err := loadSettings(f)
	if err != nil {
		return err
	}
	if s.Edge != nil && s.Edge.Adapter != settings.AdapterNative && adapters[s.Edge.Adapter] == nil {
		return fault.New(fault.InvalidSettings, "", "%s: edge.adapter: %q is not known", f.settings, s.Edge.Adapter)
	}
	if s.MemoryMB > 0 {
		// The collector works harder near the limit in place of letting the process be killed.
		debug.SetMemoryLimit(int64(s.MemoryMB) << 20 * heapPercent / 100)
	}
	sink := logsink.New(os.Stdout, time.Now)
	defer sink.Close(logCloseTime)
	log := logrus.New()
	log.SetOutput(sink)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: logTime})
	log.SetLevel(s.LogLevel)
	leave, abort, stop := signals()
	defer stop()
	return New(Options{
		Settings: s, SettingsPath: f.settings, Reload: hup, Log: log, Version: version, Adapters: adapters,
	}).Run(leave, abort)
}

func parseFlags(args []string) (flags, error) {
	var f flags
	fs := flag.NewFlagSet("marigoldshuntd", flag.ContinueOnError)
	fs.StringVar(&f.settings, "settings", "", "settings file (TOML); without one the embedded default is used")
	fs.StringVar(&f.host, "host", "", "host name, in place of the default's")
	fs.StringVar(&f.dataCentre, "data-centre", "", "data centre, in place of the default's")
	fs.StringVar(&f.ip, "ip", "", "IP address for all three ports, in place of the default's")
	fs.StringVar(&f.data, "data", "", "data folder, in place of the default's; \"none\" for no control role")
	fs.StringVar(&f.control, "control-hosts", "", "control hosts as name=ip, comma separated, in place of the default's")
	fs.BoolVar(&f.version, "version", false, "print the version")
	err := ff.Parse(fs, args, ff.WithEnvVarPrefix("MARIGOLDSHUNT"))
	return f, err
}

// loadSettings reads the settings file, or the embedded default changed by flags. Flags do not
// change a settings file, so that the file alone says what a host is.
func loadSettings(f flags) (*settings.Settings, error) {
	changed := f.host != "" || f.dataCentre != "" || f.ip != "" || f.data != "" || f.control != ""
	if f.settings != "" {
		if changed {
			return nil, fault.New(fault.InvalidSettings, "", "flags for the embedded default do not go with -settings")
		}
		return settings.Load(f.settings)
	}
	s := settings.Default()
	return s, override(s, f)
}

func override(s *settings.Settings, f flags) error {
	if f.host != "" {
		s.Host = f.host
	}
	if f.dataCentre != "" {
		s.DataCentre = f.dataCentre
	}
	if f.data == "none" {
		s.DataFolder = ""
	} else if f.data != "" {
		s.DataFolder = f.data
	}
	_, peerPort, err := net.SplitHostPort(s.PeerAddress)
	if err != nil {
		return fault.Wrap(err, fault.InvalidSettings, "", "peer_address")
	}
	if f.ip != "" {
		if !net.ParseIP(f.ip).IsLoopback() {
			return fault.New(fault.InvalidSettings, "", "ip: %q is not a loopback address; the embedded default has published keys", f.ip)
		}
		for _, a := range []*string{&s.CallerAddress, &s.AdminAddress, &s.PeerAddress} {
			_, port, err := net.SplitHostPort(*a)
			if err != nil {
				return fault.Wrap(err, fault.InvalidSettings, "", "address %q", *a)
			}
			*a = net.JoinHostPort(f.ip, port)
		}
		s.PeerListen = s.PeerAddress
	}
	if f.control == "" {
		return nil
	}
	s.ControlHosts = nil
	for _, part := range strings.Split(f.control, ",") {
		name, ip, ok := strings.Cut(part, "=")
		if !ok || net.ParseIP(ip) == nil {
			return fault.New(fault.InvalidSettings, "", "control-hosts: %q is not name=ip", part)
		}
		s.ControlHosts = append(s.ControlHosts, settings.ControlHost{Name: name, Address: net.JoinHostPort(ip, peerPort)})
	}
	return nil
}

// signals returns a context that ends with the first SIGTERM or SIGINT and one that
// ends with the second.
func signals() (leave, abort context.Context, stop func()) {
	ch := make(chan os.Signal, 2)
	signal.Notify(ch, os.Interrupt, syscall.SIGTERM)
	leave, cancelLeave := context.WithCancel(context.Background())
	abort, cancelAbort := context.WithCancel(context.Background())
	go func() {
		<-ch
		cancelLeave()
		<-ch
		cancelAbort()
	}()
	return leave, abort, func() {
		signal.Stop(ch)
		cancelLeave()
		cancelAbort()
	}
}
