// Command umberctl shows what running instances do, drives load at them, and
// serves small stand-ins for trials.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/umbercrank/umbercrank/pkg/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := ctl.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}
