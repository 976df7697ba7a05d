// Command standin runs stand-ins for the systems outside the product, puts load on
// a deployment and measures it.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/standin/commander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := commander.New(os.Stdout, os.Stderr, clock.System{}).Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
