// Package ctl holds the commands of umberctl, the tool of operators and of
// trials. Each command lives in a file of its own.
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
	// ExitOK says that the command did what it was asked.
	ExitOK = 0
	// ExitFailed says that a check failed, or that an answer was wrong.
	ExitFailed = 1
	// ExitUsage says that the command line is wrong.
	ExitUsage = 2
	// ExitUnreachable says that an address did not answer.
	ExitUnreachable = 3
)

// Main runs one command line and returns the exit status. Results go to stdout
// and failures to stderr.
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

// NewRootCommand returns umberctl with all its commands.
func NewRootCommand() *cobra.Command {
	command := &cobra.Command{
		Use:           "umberctl",
		Short:         "Operate and try the umbercrank router",
		Long:          "umberctl shows what running instances do, drives load at them, and serves small stand-ins of engines, services and the configuration service.",
		Version:       version.String(),
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	command.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return fault.Wrap(fault.InvalidSetting, err, "the command line is wrong; see --help")
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

// exitStatus maps a failure to an exit status. Failures without a type come
// from the parsing of the command line.
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

// untypedStatus tells a failure of cobra's from an internal one.
func untypedStatus(err error, failure *fault.Error) int {
	if err == error(failure) {
		return ExitFailed
	}
	return ExitUsage
}
