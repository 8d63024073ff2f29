// Command marigoldshuntctl is the operator tool of a marigoldshunt fleet.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"marigoldshunt/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
