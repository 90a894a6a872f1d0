package ctl

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/fault"
)

// newCheckCommand returns the command that validates configuration documents.
func newCheckCommand() *cobra.Command {
	parts := ""
	command := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check configuration documents before they are published",
		Long: `Check configuration documents, JSON or YAML, with the same rules as instances.
Each problem is printed as FILE:LINE: ITEM: field NAME: MESSAGE. Exits with 1 if
a document is refused. A document with warnings only is accepted.`,
		Example: `  umberctl check rules.json
  umberctl check --parts out rules.json`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, files []string) error {
			if parts != "" && len(files) > 1 {
				return fault.New(fault.InvalidSetting, "--parts takes one document")
			}
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
			return writeParts(parts, files[0])
		},
	}
	command.Flags().StringVar(&parts, "parts", "", "directory for the parts of the document, in the form that the platform stores")
	return command
}

// writeParts writes each part of the document to a file with the name of the part.
func writeParts(directory, file string) error {
	if directory == "" {
		return nil
	}
	document, _, err := loadDocument(file)
	if err != nil {
		return err
	}
	parts, err := config.Split(document)
	if err != nil {
		return err
	}
	for name, part := range parts {
		path := filepath.Join(directory, filepath.FromSlash(name))
		if err := writeFile(path, part); err != nil {
			return err
		}
	}
	return nil
}

// writeFile writes a file and creates its directory if necessary.
func writeFile(path string, text []byte) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return fault.Wrap(fault.InvalidSetting, err, "cannot write "+path)
	}
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return fault.Wrap(fault.InvalidSetting, err, "cannot write "+path)
	}
	return nil
}

// checkFile prints the problems of one document, or the number of its items. It
// reports whether the document is accepted.
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

// loadDocument reads, validates and compiles a document.
func loadDocument(file string) (*config.Document, *config.Snapshot, error) {
	text, err := readFile(file)
	if err != nil {
		return nil, nil, err
	}
	document, err := config.Parse(text)
	if err != nil {
		return nil, nil, err
	}
	// The revision is arbitrary: only the platform assigns revisions.
	snapshot, err := config.Compile(1, document)
	return document, snapshot, err
}
