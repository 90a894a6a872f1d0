// Package command implements the command line of the umbercrank binary.
package command

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/version"
)

// Exit statuses of umbercrank.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Main runs the command given by arguments until it ends or ctx is done, and
// returns the exit status. Logs go to stdout and errors to stderr.
func Main(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	root := newRoot()
	root.SetArgs(arguments)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(stderr, "umbercrank:", err)
	if fault.From(err).Code == fault.InvalidSetting {
		return exitUsage
	}
	return exitFailed
}

// newRoot returns the root command with its subcommands.
func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "umbercrank",
		Short:         "Route language-model traffic by service levels and priorities",
		Version:       version.String(),
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return fault.Wrap(fault.InvalidSetting, err, "invalid command line; see --help")
	})
	root.AddCommand(newServe(), newJoin())
	return root
}
