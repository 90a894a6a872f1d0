package ctl

import (
	"bytes"
	"strings"
	"testing"

	"github.com/spf13/cobra"
)

// run executes one command line and returns its outputs and exit status.
func run(t *testing.T, arguments ...string) (string, string, int) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	status := Main(t.Context(), arguments, &stdout, &stderr)
	return stdout.String(), stderr.String(), status
}

func TestInvalidCommandLinesReturnExitUsage(t *testing.T) {
	for _, line := range []string{"nothing", "standin engine --no-such-flag", "standin engine extra", "standin service --address nowhere"} {
		_, stderr, status := run(t, strings.Fields(line)...)
		if status != ExitUsage || stderr == "" {
			t.Errorf("%q: status %d, %q", line, status, stderr)
		}
	}
}

func TestVersion(t *testing.T) {
	if stdout, _, status := run(t, "--version"); status != ExitOK || !strings.HasPrefix(stdout, "umberctl version") {
		t.Errorf("status %d, %q", status, stdout)
	}
}

func TestEveryCommandHasHelpAndExample(t *testing.T) {
	var visit func(command *cobra.Command)
	visit = func(command *cobra.Command) {
		if command.Runnable() && (command.Short == "" || command.Example == "") {
			t.Errorf("%s lacks a help text or an example", command.CommandPath())
		}
		for _, child := range command.Commands() {
			visit(child)
		}
	}
	visit(NewRootCommand())
}
