package ctl

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/fault"
)

// newCheckCommand checks documents as instances do.
func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check configuration documents before they are published",
		Long: `Check configuration documents, JSON or YAML, in the same way as instances do. Each
problem is printed as FILE:LINE: ITEM: field NAME: MESSAGE. Exits with 1 when a
document is refused. Warnings do not refuse a document.`,
		Example: `  umberctl check rules.json`,
		Args:    cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, files []string) error {
			refused := 0
			for _, file := range files {
				ok, err := checkFile(command.OutOrStdout(), file)
				if err != nil {
					return err
				}
				if !ok {
					refused++
				}
			}
			if refused > 0 {
				return fault.New(fault.InvalidConfiguration, fmt.Sprintf("%d of %d documents refused", refused, len(files)))
			}
			return nil
		},
	}
}

// checkFile prints the problems of one document, or what it holds.
func checkFile(w io.Writer, file string) (bool, error) {
	document, _, err := loadDocument(file)
	problems := config.Problems(err)
	if err != nil && len(problems) == 0 {
		return false, err
	}
	for _, problem := range problems {
		fmt.Fprintf(w, "%s:%d: %s\n", file, problem.Line, problem)
	}
	if len(problems) > 0 {
		return false, nil
	}
	for _, warning := range config.Warnings(document) {
		fmt.Fprintf(w, "%s:%d: warning: %s\n", file, warning.Line, warning)
	}
	fmt.Fprintf(w, "%s: ok: %d classes, %d rules, %d targets, %d upstreams, %d accounts\n", file,
		len(document.Classes), len(document.Rules), len(document.Targets), len(document.Upstreams), len(document.Accounts))
	return true, nil
}

// loadDocument reads, checks and compiles a document.
func loadDocument(file string) (*config.Document, *config.Snapshot, error) {
	text, err := readFile(file)
	if err != nil {
		return nil, nil, err
	}
	document, err := config.Parse(text)
	if err != nil {
		return nil, nil, err
	}
	// The revision does not matter outside of the platform.
	snapshot, err := config.Compile(1, document)
	return document, snapshot, err
}
