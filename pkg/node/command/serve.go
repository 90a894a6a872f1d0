package command

import (
	"expvar"
	"io"
	"os"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/umbercrank/umbercrank/pkg/node"
)

// statusMetric is the expvar name of the instance's status.
const statusMetric = "umbercrank_status"

// newServe returns the command that runs one instance.
func newServe() *cobra.Command {
	settings := &node.Settings{}
	serve := &cobra.Command{
		Use:   "serve",
		Short: "Run one instance",
		Long: "Run one instance until SIGTERM, which stops it gracefully. Every flag can be\n" +
			"set by an environment variable instead: " + node.EnvironmentPrefix + "CALLER_ADDRESS for --caller-address.",
		Example: "  UMBERCRANK_PEER_SECRET=0123456789abcdef umbercrank serve --instance lac-1 --data-centre lac",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := node.ApplyEnvironment(command.Flags(), os.LookupEnv); err != nil {
				return err
			}
			return runServe(command, *settings)
		},
	}
	settings.AddFlags(serve.Flags())
	return serve
}

// runServe runs an instance with the settings until the command's context is done.
func runServe(command *cobra.Command, settings node.Settings) error {
	if err := settings.Validate(); err != nil {
		return err
	}
	logger := newLogger(command.OutOrStdout(), settings)
	instance, err := node.Provision(command.Context(), settings, logger)
	if err != nil {
		return err
	}
	expvar.Publish(statusMetric, expvar.Func(func() any { return instance.Status() }))
	return instance.Serve(command.Context())
}

// newLogger returns a logger with the format and level of the settings.
func newLogger(out io.Writer, settings node.Settings) zerolog.Logger {
	if settings.LogFormat == "console" {
		out = zerolog.ConsoleWriter{Out: out}
	}
	return zerolog.New(out).Level(settings.Level()).With().Timestamp().Logger()
}
