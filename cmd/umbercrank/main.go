// Command umbercrank runs one instance of the router.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/umbercrank/umbercrank/pkg/node/command"
)

func main() {
	// Without this, a write to a standard output without a reader ends the process.
	signal.Ignore(syscall.SIGPIPE)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(command.Main(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
