package ctl

import (
	"github.com/spf13/cobra"

	"github.com/umbercrank/umbercrank/pkg/standin/service"
)

// newStandinServiceCommand returns the command that serves a stand-in service.
func newStandinServiceCommand() *cobra.Command {
	settings := service.DefaultSettings()
	address := ""
	command := &cobra.Command{
		Use:   "service",
		Short: "Serve a stand-in of a plain service",
		Long: `Serve a stand-in of a plain service. It executes every call that it receives and
counts the executions of each idempotency key:

  curl http://127.0.0.1:9101/executions

Faults can be changed while it runs:

  curl -X PUT -d '{"delay_ms":50,"reset_after":1}' http://127.0.0.1:9101/faults`,
		Example: `  umberctl standin service --address 127.0.0.1:9101 --name queue --delay 3ms`,
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return serveStandin(command, "service "+settings.Name, address, service.New(settings))
		},
	}
	flags := command.Flags()
	flags.StringVar(&address, "address", "127.0.0.1:9101", "host:port to listen on")
	flags.StringVar(&settings.Name, "name", settings.Name, "name reported in the answers")
	flags.IntVar(&settings.MaxConcurrent, "max-concurrent", settings.MaxConcurrent, "maximum number of calls executed at the same time")
	flags.Int64Var(&settings.MaxBodyBytes, "max-body-bytes", settings.MaxBodyBytes, "maximum size of a request body, in bytes")
	flags.IntVar(&settings.MaxKeys, "max-keys", settings.MaxKeys, "maximum number of keys whose executions are counted separately")
	faults := &settings.Faults
	flags.BoolVar(&faults.Leaving, "leaving", false, "refuse new calls from the start")
	flags.DurationVar(&faults.Delay, "delay", faults.Delay, "duration of a call")
	flags.IntVar(&faults.ResetBefore, "reset-before", 0, "number of upcoming calls whose connection is reset before execution")
	flags.IntVar(&faults.ResetAfter, "reset-after", 0, "number of upcoming calls whose connection is reset after execution")
	return command
}
