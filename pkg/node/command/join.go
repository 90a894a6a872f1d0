package command

import (
	"io"
	"os"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"github.com/spf13/cobra"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/node"
	"github.com/umbercrank/umbercrank/platform"
)

const (
	// logBufferLines is the maximum number of log lines waiting to be written.
	// Further lines are dropped and counted, so that a slow log reader does not
	// block the router.
	logBufferLines = 2048
	// logPollInterval is the interval at which the writer polls for waiting lines.
	logPollInterval = 20 * time.Millisecond
)

// newJoin returns the command that runs one instance on a platform.
func newJoin() *cobra.Command {
	var path, secret string
	join := &cobra.Command{
		Use:   "join",
		Short: "Run one instance with the settings, store and protocol of a platform",
		Long: "Run one instance until SIGTERM, which stops it gracefully. Its addresses, peers and\n" +
			"limits are read from the platform's settings file; see docs/PLATFORM.md.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := node.ApplyEnvironment(command.Flags(), os.LookupEnv); err != nil {
				return err
			}
			if path == "" {
				return fault.New(fault.InvalidSetting, "settings: the path of the settings file is required")
			}
			out, flush := newNonBlockingWriter(command.OutOrStdout())
			defer flush()
			logger := zerolog.New(out).With().Timestamp().Logger()
			return platform.Run(command.Context(), path, secret, logger)
		},
	}
	join.Flags().StringVar(&path, "settings", platform.SettingsPath(), "path of the platform's settings file")
	join.Flags().StringVar(&secret, "peer-secret", "", "secret that all instances share")
	return join
}

// newNonBlockingWriter returns a writer to out that never blocks, and a function that
// writes the waiting lines and closes it.
func newNonBlockingWriter(out io.Writer) (io.Writer, func()) {
	writer := diode.NewWriter(out, logBufferLines, logPollInterval, func(dropped int) {
		logger := zerolog.New(out)
		logger.Warn().Int("lines", dropped).Msg("log lines dropped")
	})
	return writer, func() { _ = writer.Close() }
}
