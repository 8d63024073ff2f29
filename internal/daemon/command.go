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
	// goMemoryPercent is the part of the process's memory limit that the Go runtime may use. The
	// rest is for memory that the runtime does not count: the program itself and socket buffers.
	goMemoryPercent = 70
	// logFlushTimeout bounds the wait for the last log lines at exit.
	logFlushTimeout = 200 * time.Millisecond
	// logTimeFormat has milliseconds, so that log lines of several hosts can be sorted by time.
	logTimeFormat = "2006-01-02T15:04:05.000Z07:00"
)

// flags holds the command line flags. Each can also be set with the environment variable
// MARIGOLDSHUNT_<NAME>.
type flags struct {
	settings, host, dataCentre, ip, data, controlHosts string
	version                                            bool
}

// Main runs the command marigoldshuntd and returns its exit code. adapters are the
// installations' adapters by name.
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
	// This comes first, because a SIGHUP terminates the process until Notify is called.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
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
		// Near the limit the garbage collector runs more often, so that the process is not
		// killed for its memory use.
		debug.SetMemoryLimit(int64(s.MemoryMB) << 20 * goMemoryPercent / 100)
	}
	sink := logsink.New(os.Stdout, time.Now, s.Host)
	defer sink.Close(logFlushTimeout)
	log := logrus.New()
	log.SetOutput(sink)
	log.SetFormatter(logsink.Formatter{
		Sink: sink, Formatter: &logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: logTimeFormat},
	})
	log.SetLevel(s.LogLevel)
	leave, abort, stop := shutdownContexts()
	defer stop()
	return New(Options{
		Settings: s, SettingsPath: f.settings, Reload: reload, Log: log, Version: version, Adapters: adapters,
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
	fs.StringVar(&f.controlHosts, "control-hosts", "", "control hosts as name=ip, comma separated, in place of the default's")
	fs.BoolVar(&f.version, "version", false, "print the version")
	err := ff.Parse(fs, args, ff.WithEnvVarPrefix("MARIGOLDSHUNT"))
	return f, err
}

// loadSettings reads the settings file, or else applies the flags to the embedded default.
// Flags can't override a settings file, so that the file alone defines the host.
func loadSettings(f flags) (*settings.Settings, error) {
	overridden := f.host != "" || f.dataCentre != "" || f.ip != "" || f.data != "" || f.controlHosts != ""
	if f.settings != "" {
		if overridden {
			return nil, fault.New(fault.InvalidSettings, "", "flags for the embedded default do not go with -settings")
		}
		return settings.Load(f.settings)
	}
	s := settings.Default()
	return s, applyFlags(s, f)
}

func applyFlags(s *settings.Settings, f flags) error {
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
		s.PeerListenAddress = s.PeerAddress
	}
	if f.controlHosts == "" {
		return nil
	}
	s.ControlHosts = nil
	for _, part := range strings.Split(f.controlHosts, ",") {
		name, ip, ok := strings.Cut(part, "=")
		if !ok || net.ParseIP(ip) == nil {
			return fault.New(fault.InvalidSettings, "", "control-hosts: %q is not name=ip", part)
		}
		s.ControlHosts = append(s.ControlHosts, settings.ControlHost{Name: name, Address: net.JoinHostPort(ip, peerPort)})
	}
	return nil
}

// shutdownContexts returns the context leave, which ends at the first SIGTERM or SIGINT, and
// the context abort, which ends at the second.
func shutdownContexts() (leave, abort context.Context, stop func()) {
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
