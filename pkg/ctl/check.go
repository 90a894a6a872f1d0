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

// newCheckCommand checks documents as instances do.
func newCheckCommand() *cobra.Command {
	parts := ""
	command := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check configuration documents before they are published",
		Long: `Check configuration documents, JSON or YAML, in the same way as instances do. Each
problem is printed as FILE:LINE: ITEM: field NAME: MESSAGE. Exits with 1 when a
document is refused. Warnings do not refuse a document.`,
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
	command.Flags().StringVar(&parts, "parts", "", "directory to write the parts of the document to, as the platform holds them")
	return command
}

// writeParts writes each part of the document to a file of its name.
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

// writeFile writes a file and makes its directory.
func writeFile(path string, text []byte) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return fault.Wrap(fault.InvalidSetting, err, "cannot write "+path)
	}
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return fault.Wrap(fault.InvalidSetting, err, "cannot write "+path)
	}
	return nil
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
