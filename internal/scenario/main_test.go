// Package scenario runs scripts against fleets of real processes on loopback. Each
// script in testdata describes a fleet, causes faults and checks the invariants of
// docs/design.md that it names. README.md lists the commands of the scripts.
package scenario

import (
	"io"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"marigoldshunt/internal/ctl"
	"marigoldshunt/internal/daemon"
	"marigoldshunt/internal/emulator"
)

// childVariable is set for processes started by the test harness, which hold a pipe from it
// as their standard input.
const childVariable = "MARIGOLDSHUNT_SCENARIO_CHILD"

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"marigoldshuntd": func() {
			exitWithParent()
			os.Exit(daemon.Main(os.Args[1:], nil))
		},
		"upstream-emulator": func() {
			exitWithParent()
			emulator.Main(os.Args[1:])
		},
		"marigoldshuntctl": func() {
			os.Exit(ctl.Run(ctlContext, os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
		},
	})
}

// exitWithParent ends the process when the test harness is gone, so that a killed test
// leaves no process behind.
func exitWithParent() {
	if os.Getenv(childVariable) == "" {
		return
	}
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(1)
	}()
}

func TestScenarios(t *testing.T) {
	if testing.Short() {
		t.Skip("scenarios start processes and take a minute")
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			f := newFleet(e.WorkDir)
			e.Values[fleetKey{}] = f
			e.Defer(f.close)
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"fleet":    command(cmdFleet),
			"sigkill":  command(cmdSigkill),
			"sigterm":  command(cmdSigterm),
			"restart":  command(cmdRestart),
			"freeze":   command(cmdFreeze),
			"thaw":     command(cmdThaw),
			"cut":      command(cmdCut),
			"heal":     command(cmdHeal),
			"emulator": command(cmdEmulator),
			"load":     command(cmdLoad),
			"orders":   command(cmdOrders),
			"send":     command(cmdSend),
			"race":     command(cmdRace),
			"changes":  command(cmdChanges),
			"mark":     command(cmdMark),
			"let":      command(cmdLet),
			"await":    command(cmdAwait),
			"assert":   command(cmdAssert),
		},
	})
}

type fleetKey struct{}

// command passes the fleet of the script to a script command. None of the commands can be
// negated.
func command(f func(ts *testscript.TestScript, f *fleet, args []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg {
			ts.Fatalf("this command can't be negated")
		}
		fl := ts.Value(fleetKey{}).(*fleet)
		if err := f(ts, fl, args); err != nil {
			fl.logState(ts)
			ts.Fatalf("%s", err)
		}
	}
}
