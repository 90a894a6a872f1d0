// Command umberctl checks configuration documents, inspects running instances,
// generates load, runs benchmarks, and serves stand-ins for engines, services and the
// configuration service.
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
