package ctl

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"marigoldshunt/internal/fault"
)

// maxLogLine is the largest size of a log line in bytes.
const maxLogLine = 1 << 20

// logLine is one line of a host's log with its fields. text is the whole line.
type logLine struct {
	source, time, text string
	fields             map[string]string
	// quoted holds the fields as they stand in the line.
	quoted map[string]string
}

// explainCommand returns the command that prints what hosts logged about one request.
func (a *app) explainCommand() *ffcli.Command {
	fs := a.flags("explain")
	return &ffcli.Command{
		Name: "explain", ShortUsage: "marigoldshuntctl explain ID [LOGFILE ...]",
		ShortHelp: "Show what hosts logged about a request, in the order of time", FlagSet: fs,
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usagef("a request id is required")
			}
			lines, err := a.readLogs(args[0], args[1:])
			if err != nil {
				return err
			}
			if len(lines) == 0 {
				return fault.New(fault.NotFound, fault.NotRun, "no line names request %q; a request that ends well leaves none", args[0])
			}
			slices.SortStableFunc(lines, func(x, y logLine) int { return cmp.Compare(x.time, y.time) })
			for _, l := range lines {
				if _, err := fmt.Fprintln(a.out, formatLogLine(l)); err != nil {
					return outputError(err)
				}
			}
			return nil
		},
	}
}

// readLogs returns the log lines about a request from files, or from the standard input
// if there are none.
func (a *app) readLogs(id string, files []string) ([]logLine, error) {
	if len(files) == 0 {
		return findLines(id, "input", a.in)
	}
	var out []logLine
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, usageError(err.Error())
		}
		lines, err := findLines(id, name, f)
		f.Close()
		if err != nil {
			return nil, err
		}
		out = append(out, lines...)
	}
	return out, nil
}

// fieldPattern matches a field of a log line: key=value or key="quoted value".
var fieldPattern = regexp.MustCompile(`([a-z_]+)=("(?:[^"\\]|\\.)*"|\S+)`)

func findLines(id, source string, r io.Reader) ([]logLine, error) {
	var out []logLine
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		if !strings.Contains(s.Text(), id) {
			continue
		}
		l := logLine{source: source, text: s.Text(), fields: map[string]string{}, quoted: map[string]string{}}
		for _, m := range fieldPattern.FindAllStringSubmatch(s.Text(), -1) {
			l.fields[m[1]], l.quoted[m[1]] = strings.Trim(m[2], `"`), m[2]
		}
		if l.fields["request"] == id {
			l.time = l.fields["time"]
			out = append(out, l)
		}
	}
	return out, fault.Wrap(s.Err(), fault.BadRequest, fault.NotRun, "read %s", source)
}

// Fields of a line in the order in which they are shown: first what happened, then what decided
// it. Other fields follow in the order of their names, and the cause comes last.
var (
	firstFields = []string{
		"route", "account", "rank", "code", "run", "sends", "instance", "status", "waited_ms", "retry_after_ms",
		"config_age_ms", "version", "list_age_ms", "list_version", "instances", "candidates", "left_out",
		"load_source", "load_age_ms", "load_running", "load_tokens", "cost_ms", "from", "gate_owner", "gate_seq",
		"gate_result", "gate_reason", "gate_age_ms", "gate_expected_ms", "gate_limit_ms", "gate_tokens_per_ms",
		"gate_unread_tokens", "gate_queued_tokens", "gate_prompt_tokens", "gate_waiting", "gate_running",
	}
	lastFields = []string{"cause"}
	// hiddenFields are shown in another way or do not concern the request.
	hiddenFields = []string{"time", "level", "msg", "part", "request", "host"}
)

// formatLogLine formats a line with its host and the fields that explain a request. A line
// without a host is shown with its file.
func formatLogLine(l logLine) string {
	var other []string
	for key := range l.quoted {
		if !slices.Contains(firstFields, key) && !slices.Contains(lastFields, key) && !slices.Contains(hiddenFields, key) {
			other = append(other, key)
		}
	}
	slices.Sort(other)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: %s", l.time, cmp.Or(l.fields["host"], l.source), l.fields["msg"])
	for _, key := range slices.Concat(firstFields, other, lastFields) {
		if v, ok := l.quoted[key]; ok {
			fmt.Fprintf(&b, " %s=%s", key, v)
		}
	}
	return b.String()
}
