package command

import (
	"expvar"
	"io"
	"os"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/umbercrank/umbercrank/pkg/node"
)

// statusMetric names the instance's status among the metrics.
const statusMetric = "umbercrank_status"

// newServe returns the command that runs one instance.
func newServe() *cobra.Command {
	settings := &node.Settings{}
	serve := &cobra.Command{
		Use:   "serve",
		Short: "Run one entry instance",
		Long: "Run one entry instance until SIGTERM, which stops it gracefully. Every flag can be\n" +
			"set by an environment variable instead: " + node.EnvironmentPrefix + "CALLER_ADDRESS for --caller-address.",
		Example: "  UMBERCRANK_PEER_SECRET=0123456789abcdef umbercrank serve --instance lac-1 --data-centre lac",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := node.ApplyEnvironment(command.Flags(), os.LookupEnv); err != nil {
				return err
			}
			return run(command, *settings)
		},
	}
	settings.AddFlags(serve.Flags())
	return serve
}

// run serves with the settings until the command's context ends.
func run(command *cobra.Command, settings node.Settings) error {
	if err := settings.Validate(); err != nil {
		return err
	}
	logger := newLogger(command.OutOrStdout(), settings)
	built, err := node.Provision(settings, logger)
	if err != nil {
		return err
	}
	expvar.Publish(statusMetric, expvar.Func(func() any { return built.Status() }))
	return built.Serve(command.Context())
}

// newLogger returns the logger that the settings ask for.
func newLogger(out io.Writer, settings node.Settings) zerolog.Logger {
	if settings.LogFormat == "console" {
		out = zerolog.ConsoleWriter{Out: out}
	}
	return zerolog.New(out).Level(settings.Level()).With().Timestamp().Logger()
}
