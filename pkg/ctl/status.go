package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// statusPath is where an instance shows its state.
const statusPath = "/debug/status"

// statusFields are the fields of one instance's status as it sent them.
type statusFields map[string]json.RawMessage

// newStatusCommand shows the state of the instances.
func newStatusCommand() *cobra.Command {
	var admin []string
	asJSON := false
	command := &cobra.Command{
		Use:   "status",
		Short: "Show the state of instances",
		Long: `Ask the admin address of each instance for its state and print one row an
instance. Exits with 3 when an instance does not answer; the others are shown.`,
		Example: `  umberctl status --admin 127.0.0.1:7300,127.0.0.1:7301
  umberctl status --admin 127.0.0.1:7300 --json`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			answers := askAll[statusFields](command.Context(), admin, statusPath)
			if err := writeStatus(command.OutOrStdout(), answers, asJSON); err != nil {
				return err
			}
			return reportUnreachable(command.ErrOrStderr(), answers)
		},
	}
	command.Flags().StringSliceVar(&admin, "admin", []string{"127.0.0.1:7300"}, adminHelp)
	command.Flags().BoolVar(&asJSON, "json", false, "print every field as JSON")
	return command
}

func writeStatus(w io.Writer, answers []adminAnswer[statusFields], asJSON bool) error {
	var rows []statusFields
	for _, answer := range answers {
		if answer.err == nil {
			rows = append(rows, answer.value)
		}
	}
	if !asJSON {
		return writeStatusTable(w, rows)
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(rows); err != nil {
		return fault.Wrap(fault.Internal, err, "cannot write the status")
	}
	return nil
}

// writeStatusTable prints the fields that are single values, one column each.
func writeStatusTable(w io.Writer, rows []statusFields) error {
	columns := statusColumns(rows)
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, strings.Join(columns, "\t"))
	for _, row := range rows {
		cells := make([]string, 0, len(columns))
		for _, column := range columns {
			cells = append(cells, strings.Trim(string(row[column]), `"`))
		}
		fmt.Fprintln(table, strings.Join(cells, "\t"))
	}
	if err := table.Flush(); err != nil {
		return fault.Wrap(fault.Internal, err, "cannot write the status")
	}
	return nil
}

// statusColumns returns the names of single-valued fields: the instance first,
// the others in alphabetical order.
func statusColumns(rows []statusFields) []string {
	const first = "instance"
	var columns []string
	for _, row := range rows {
		for name, value := range row {
			if name != first && isSingle(value) && !slices.Contains(columns, name) {
				columns = append(columns, name)
			}
		}
	}
	slices.Sort(columns)
	return append([]string{first}, columns...)
}

// isSingle reports whether the JSON value is neither an object nor a list.
func isSingle(value json.RawMessage) bool {
	return len(value) > 0 && value[0] != '{' && value[0] != '['
}
