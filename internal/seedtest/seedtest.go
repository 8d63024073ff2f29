// Package seedtest gives random tests a fixed seed, so that CI has the same verdict on
// every run.
package seedtest

import (
	"flag"
	"os"
	"testing"
)

// fixedSeed is used unless the command line sets -rapid.seed.
const fixedSeed = "20261"

// Main runs the tests of a package that uses pgregory.net/rapid. It is called from
// TestMain. A failing test prints its seed.
func Main(m *testing.M) {
	flag.Parse()
	set("rapid.seed", "0", fixedSeed)
	set("rapid.nofailfile", "false", "true")
	os.Exit(m.Run())
}

// set changes a flag that still has its default.
func set(name, standard, value string) {
	f := flag.Lookup(name)
	if f == nil || f.Value.String() != standard {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
