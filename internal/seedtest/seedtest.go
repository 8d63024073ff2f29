// Package seedtest gives randomised tests a fixed seed, so that every CI run has the same
// result.
package seedtest

import (
	"flag"
	"os"
	"testing"
)

// fixedSeed is used unless the command line sets -rapid.seed.
const fixedSeed = "20261"

// Main runs the tests of a package that uses pgregory.net/rapid with a fixed seed and
// without fail files. Call it from TestMain. A failing test prints its seed.
func Main(m *testing.M) {
	flag.Parse()
	setIfDefault("rapid.seed", "0", fixedSeed)
	setIfDefault("rapid.nofailfile", "false", "true")
	os.Exit(m.Run())
}

// setIfDefault sets a flag that still has its default value.
func setIfDefault(name, defaultValue, value string) {
	registered := flag.Lookup(name)
	if registered == nil || registered.Value.String() != defaultValue {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
