// Command marigoldshuntd is the daemon that runs on every host of a marigoldshunt fleet.
package main

import (
	"os"

	"marigoldshunt/internal/daemon"
	"marigoldshunt/internal/edge"
	"marigoldshunt/platform"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:], map[string]edge.Adapter{"platform": platform.Adapter{}}))
}
