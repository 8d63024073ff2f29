// Command marigoldshuntd is the daemon of every host of a marigoldshunt fleet.
package main

import (
	"os"

	"marigoldshunt/internal/daemon"
	"marigoldshunt/platform"
)

func main() { os.Exit(daemon.Main(os.Args[1:], platform.Adapter{})) }
