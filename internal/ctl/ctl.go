// Package ctl implements marigoldshuntctl, the command line tool for operators.
package ctl

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"marigoldshunt/internal/fault"
)

// EnvPrefix is the prefix of the environment variables of the global flags, for example
// MARIGOLDSHUNTCTL_HOSTS and MARIGOLDSHUNTCTL_KEY_FILE.
const EnvPrefix = "MARIGOLDSHUNTCTL"

// Exit codes.
const (
	ExitOK          = 0
	ExitInternal    = 1
	ExitUsage       = 2
	ExitCredential  = 3
	ExitNotFound    = 4
	ExitConflict    = 5
	ExitInvalid     = 6
	ExitUnavailable = 7
	// ExitUnknown means that the request may have had its effect.
	ExitUnknown = 8
)

const defaultTimeout = 15 * time.Second

// app holds the streams and the global flags of one run of the tool.
type app struct {
	in          io.Reader
	out, errOut io.Writer
	// usage collects the texts of usage until it is known whether the user asked for them.
	usage bytes.Buffer

	hosts, key, keyFile string
	timeout             time.Duration
	json                bool
	// pollInterval is the time between two polls of the hosts.
	pollInterval time.Duration
}

// Run executes the command line and returns the exit code.
func Run(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer) int {
	a := &app{in: in, out: out, errOut: errOut, pollInterval: time.Second}
	return a.run(ctx, args)
}

func (a *app) run(ctx context.Context, args []string) int {
	err := a.root().ParseAndRun(ctx, args)
	if err == nil {
		return ExitOK
	}
	if errors.Is(err, errHelpShown) || errors.Is(err, flag.ErrHelp) && !errors.Is(err, errNoCommand) {
		if _, err := a.usage.WriteTo(a.out); err != nil {
			return ExitInternal
		}
		return ExitOK
	}
	if _, writeErr := a.usage.WriteTo(a.errOut); writeErr != nil || errors.Is(err, errNoCommand) {
		return ExitUsage
	}
	var usage usageError
	var failure *fault.Error
	if !errors.As(err, &failure) || errors.As(err, &usage) {
		fmt.Fprintf(a.errOut, "marigoldshuntctl: %s\n", err)
		return ExitUsage
	}
	fmt.Fprintf(a.errOut, "marigoldshuntctl: %s\n", failure)
	if failure.Code == fault.RevisionConflict && failure.Revision != 0 {
		fmt.Fprintf(a.errOut, "The object is at revision %d. Look at it and repeat the command.\n", failure.Revision)
	}
	return exitCode(failure)
}

// errNoCommand makes ffcli show the usage of a command that needs a subcommand. errHelpShown
// reports that the flag package has shown the usage already.
var (
	errNoCommand = fmt.Errorf("a command is required: %w", flag.ErrHelp)
	errHelpShown = errors.New("help was shown")
)

// usageError is an error in the command line.
type usageError string

func (e usageError) Error() string { return string(e) }

func usagef(format string, args ...any) error { return usageError(fmt.Sprintf(format, args...)) }

// exitCode returns the exit code of an error.
func exitCode(e *fault.Error) int {
	switch e.Code {
	case fault.Unauthenticated, fault.Forbidden:
		return ExitCredential
	case fault.NotFound, fault.PoolUnknown:
		return ExitNotFound
	case fault.RevisionConflict, fault.NotFormed, fault.AlreadyFormed, fault.MembershipConflict, fault.StaleFence:
		return ExitConflict
	case fault.InvalidConfig, fault.BadRequest, fault.BodyTooLarge, fault.FrameTooLarge:
		return ExitInvalid
	case fault.PeerUnreachable, fault.Timeout, fault.NotLeader, fault.NoQuorum, fault.HostIsolated,
		fault.HostLeaving, fault.StorageFailed, fault.StorageCorrupt, fault.StorageForeign, fault.RegionUnreachable:
		if e.RunState == fault.MayHaveRun {
			return ExitUnknown
		}
		return ExitUnavailable
	}
	return ExitInternal
}

func (a *app) root() *ffcli.Command {
	fs := a.flags("marigoldshuntctl")
	fs.StringVar(&a.key, "key", "", "credential of the operator; visible to other users, prefer -key-file")
	return &ffcli.Command{
		ShortUsage: "marigoldshuntctl [flags] <command>",
		LongHelp:   "Flags are also read from " + EnvPrefix + "_HOSTS, _KEY, _KEY_FILE, _TIMEOUT and _JSON.",
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(EnvPrefix)},
		Exec:       requireSubcommand,
		Subcommands: []*ffcli.Command{
			a.controlCommand(), a.configCommand(), a.contractCommand(),
			a.serviceStateCommand(dataCentreTarget), a.serviceStateCommand(hostTarget), a.serviceStateCommand(upstreamTarget),
			a.routingCommand(), a.instancesCommand(), a.explainCommand(),
			a.orderCommand(), a.quarantineCommand(), a.statusCommand(), a.timelineCommand(), a.metricsCommand(),
			a.hashCommand(), a.versionCommand(),
		},
	}
}

// flags returns a flag set with the global flags, which every command accepts. Only the
// root command reads the environment, so that the environment never overrides a flag.
func (a *app) flags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(&a.usage)
	if a.timeout == 0 {
		a.timeout = defaultTimeout
	}
	fs.StringVar(&a.hosts, "hosts", a.hosts, "admin addresses IP:port, separated by commas, tried in turn")
	fs.StringVar(&a.keyFile, "key-file", a.keyFile, "file with the credential of the operator")
	fs.DurationVar(&a.timeout, "timeout", a.timeout, "time limit of a request")
	fs.BoolVar(&a.json, "json", a.json, "print JSON")
	return fs
}

// group returns a command that only has subcommands.
func (a *app) group(name, help string, sub ...*ffcli.Command) *ffcli.Command {
	return &ffcli.Command{
		Name: name, ShortHelp: help, ShortUsage: "marigoldshuntctl " + name + " <command>",
		FlagSet: a.flags(name), Subcommands: sub, Exec: requireSubcommand,
	}
}

func requireSubcommand(_ context.Context, args []string) error {
	if len(args) > 0 {
		return usagef("unknown command %q", args[0])
	}
	return errNoCommand
}

// positionalArgs returns the arguments that are not flags. Flags may follow them.
func positionalArgs(fs *flag.FlagSet, args []string) ([]string, error) {
	var out []string
	for len(args) > 0 {
		if strings.HasPrefix(args[0], "-") && args[0] != "-" {
			err := fs.Parse(args)
			if errors.Is(err, flag.ErrHelp) {
				return nil, errHelpShown
			}
			if err != nil {
				return nil, usageError(err.Error())
			}
			args = fs.Args()
			continue
		}
		out, args = append(out, args[0]), args[1:]
	}
	return out, nil
}

// exactArgs returns the arguments that are not flags, one for each placeholder.
func exactArgs(fs *flag.FlagSet, args []string, placeholders ...string) ([]string, error) {
	out, err := positionalArgs(fs, args)
	if err != nil {
		return nil, err
	}
	if len(out) != len(placeholders) {
		return nil, usagef("%d arguments given, expected %d: %s", len(out), len(placeholders), strings.Join(placeholders, " "))
	}
	return out, nil
}

// clientFromFlags returns a client for the hosts and the credential of the flags. It
// opens no connection.
func (a *app) clientFromFlags() (*client, error) {
	var addresses []string
	for h := range strings.SplitSeq(a.hosts, ",") {
		if h = strings.TrimSpace(h); h == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(h); err != nil {
			return nil, usagef("-hosts: %q is not IP:port", h)
		}
		addresses = append(addresses, h)
	}
	if len(addresses) == 0 {
		return nil, usagef("-hosts or %s_HOSTS is required", EnvPrefix)
	}
	key := a.key
	if a.keyFile != "" {
		if key != "" {
			return nil, usagef("-key and -key-file exclude each other")
		}
		data, err := os.ReadFile(a.keyFile)
		if err != nil {
			return nil, usagef("-key-file: %s", err)
		}
		key = strings.TrimRight(string(data), "\r\n")
	}
	if key == "" {
		return nil, usagef("-key-file, -key or their environment variables are required")
	}
	return newClient(addresses, key, a.timeout), nil
}

// requestID returns the given request ID, or a new one if it is empty.
func requestID(given string) string {
	if given != "" {
		return given
	}
	return uuid.Must(uuid.NewV7()).String()
}

// reportUnknownOutcome tells the operator how to learn the outcome of a request that may
// have run. It returns err.
func (a *app) reportUnknownOutcome(err error, id string, ifRevision uint64) error {
	if err != nil && fault.As(err).RunState == fault.MayHaveRun {
		flags := "-request-id " + id
		if ifRevision != 0 {
			flags += fmt.Sprintf(" (and -if-revision %d where the command has it)", ifRevision)
		}
		fmt.Fprintf(a.errOut, "The outcome is unknown. Repeat the command with %s to learn it.\n", flags)
	}
	return err
}
