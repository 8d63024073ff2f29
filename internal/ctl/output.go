package ctl

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"runtime/debug"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"marigoldshunt/internal/fault"
)

// Version is set by the linker for releases.
var Version = "development"

// maxCredentialBytes limits the input of the hash command.
const maxCredentialBytes = 4096

// show prints v as JSON if -json is set, and the table otherwise.
func (a *app) show(v any, header string, rows [][]string) error {
	if a.json {
		return a.printJSON(v)
	}
	w := tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)
	if header != "" {
		fmt.Fprintln(w, strings.ReplaceAll(header, " ", "\t"))
	}
	for _, r := range rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	return outputError(w.Flush())
}

func (a *app) printJSON(v any) error {
	e := json.NewEncoder(a.out)
	e.SetIndent("", "  ")
	return outputError(e.Encode(v))
}

func outputError(err error) error {
	return fault.Wrap(err, fault.Internal, "", "write the output")
}

// formatNumber formats a JSON number, without an exponent if it is whole.
func formatNumber(v any) string {
	if f, ok := v.(float64); ok && f == float64(int64(f)) {
		return fmt.Sprint(int64(f))
	}
	if v == nil {
		return "-"
	}
	return fmt.Sprint(v)
}

func (a *app) hashCommand() *ffcli.Command {
	fs := a.flags("hash")
	return &ffcli.Command{
		Name: "hash", ShortHelp: "Read a credential from standard input and print its hash", FlagSet: fs,
		Exec: func(_ context.Context, args []string) error {
			if _, err := exactArgs(fs, args); err != nil {
				return err
			}
			data, err := io.ReadAll(io.LimitReader(a.in, maxCredentialBytes+1))
			if err != nil {
				return fault.Wrap(err, fault.Internal, "", "read the credential")
			}
			key := strings.TrimRight(string(data), "\r\n")
			if key == "" || len(data) > maxCredentialBytes {
				return fault.New(fault.BadRequest, fault.NotRun, "a credential has 1 to %d bytes", maxCredentialBytes)
			}
			sum := sha256.Sum256([]byte(key))
			hash := hex.EncodeToString(sum[:])
			return a.show(map[string]string{"hash": hash}, "", [][]string{{hash}})
		},
	}
}

func (a *app) versionCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "version", ShortHelp: "Print the version of the tool", FlagSet: a.flags("version"),
		Exec: func(context.Context, []string) error {
			v := map[string]string{"version": Version}
			if info, ok := debug.ReadBuildInfo(); ok {
				v["go"] = info.GoVersion
				for _, s := range info.Settings {
					if s.Key == "vcs.revision" {
						v["commit"] = s.Value
					}
				}
			}
			var rows [][]string
			for _, k := range slices.Sorted(maps.Keys(v)) {
				rows = append(rows, []string{k, v[k]})
			}
			return a.show(v, "", rows)
		},
	}
}
