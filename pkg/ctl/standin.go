package ctl

import (
	"context"
	"fmt"
	"net"

	"github.com/spf13/cobra"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// newStandinCommand returns the parent command of the stand-ins.
func newStandinCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "standin",
		Short: "Serve a stand-in of an engine, a service or the configuration service",
		Long:  "Stand-ins replace the platform and the upstreams in tests. They are not for production use.",
		Example: `  umberctl standin engine --address 127.0.0.1:9001
  umberctl standin service --address 127.0.0.1:9101
  umberctl standin config --address 127.0.0.1:7000 --document rules.json`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	command.AddCommand(
		newStandinConfigCommand(),
		newStandinEngineCommand(),
		newStandinServiceCommand(),
	)
	return command
}

// server is a stand-in that serves on a listener until ctx is done.
type server interface {
	Serve(ctx context.Context, listener net.Listener) error
}

// serveStandin listens on the address, prints it, and serves until the context of
// the command is done.
func serveStandin(command *cobra.Command, name, address string, standin server) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fault.Wrap(fault.InvalidSetting, err, "cannot listen on "+address)
	}
	fmt.Fprintf(command.OutOrStdout(), "%s: listening on http://%s\n", name, listener.Addr())
	return standin.Serve(command.Context(), listener)
}
