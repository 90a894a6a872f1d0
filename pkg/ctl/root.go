// Package ctl implements the commands of umberctl, the command-line tool for
// operating and testing the router. Each command is in its own file.
package ctl

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/version"
)

// Exit statuses of umberctl.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that a check failed or that an answer was wrong.
	ExitFailed = 1
	// ExitUsage means that the command line, or a file that it names, is not usable.
	ExitUsage = 2
	// ExitUnreachable means that an address did not respond.
	ExitUnreachable = 3
)

// Main runs one command line and returns the exit status. It writes results to
// stdout and errors to stderr.
func Main(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	command := NewRootCommand()
	command.SetArgs(arguments)
	command.SetOut(stdout)
	command.SetErr(stderr)
	err := command.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(stderr, "umberctl:", err)
	return exitStatus(err)
}

// NewRootCommand returns the root command with all subcommands.
func NewRootCommand() *cobra.Command {
	command := &cobra.Command{
		Use:           "umberctl",
		Short:         "Operate and test the umbercrank router",
		Long:          "umberctl shows the state of running instances, sends load to them, and serves stand-ins of engines, services and the configuration service.",
		Version:       version.String(),
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	command.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return fault.Wrap(fault.InvalidSetting, err, "invalid command line; see --help")
	})
	command.AddCommand(
		newBenchCommand(),
		newCheckCommand(),
		newDiffCommand(),
		newExplainCommand(),
		newLoadCommand(),
		newStandinCommand(),
		newStatusCommand(),
		newTimelineCommand(),
	)
	return command
}

// exitStatus maps an error to an exit status. Untyped errors come from the
// parsing of the command line.
func exitStatus(err error) int {
	failure := fault.From(err)
	switch failure.Code {
	case fault.PeerUnavailable, fault.PlatformUnavailable:
		return ExitUnreachable
	case fault.InvalidSetting:
		return ExitUsage
	case fault.Internal:
		return untypedStatus(err, failure)
	default:
		return ExitFailed
	}
}

// untypedStatus distinguishes errors of the cobra package, which are usage
// errors, from internal errors.
func untypedStatus(err error, failure *fault.Error) int {
	if err == error(failure) {
		return ExitFailed
	}
	return ExitUsage
}
