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

// statusPath is the admin path of the state of an instance.
const statusPath = "/debug/status"

// statusFields are the undecoded fields of the status of one instance.
type statusFields map[string]json.RawMessage

// newStatusCommand returns the command that shows the state of the instances.
func newStatusCommand() *cobra.Command {
	var admin []string
	asJSON := false
	command := &cobra.Command{
		Use:   "status",
		Short: "Show the state of instances",
		Long: `Read the state of each instance from its admin address and print one row per
instance. Exits with 3 if an instance does not respond; the others are still
shown.`,
		Example: `  umberctl status --admin 127.0.0.1:7300,127.0.0.1:7301
  umberctl status --admin 127.0.0.1:7300 --json`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			responses := fetchAll[statusFields](command.Context(), admin, statusPath)
			if err := writeStatus(command.OutOrStdout(), responses, asJSON); err != nil {
				return err
			}
			return reportUnreachable(command.ErrOrStderr(), responses)
		},
	}
	command.Flags().StringSliceVar(&admin, "admin", []string{"127.0.0.1:7300"}, adminHelp)
	command.Flags().BoolVar(&asJSON, "json", false, "print every field as JSON")
	return command
}

func writeStatus(w io.Writer, responses []adminResponse[statusFields], asJSON bool) error {
	var rows []statusFields
	for _, response := range responses {
		if response.err == nil {
			rows = append(rows, response.value)
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

// writeStatusTable prints the scalar fields, one column each.
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

// statusColumns returns the names of the scalar fields: the instance first, the
// others in alphabetical order.
func statusColumns(rows []statusFields) []string {
	const first = "instance"
	var columns []string
	for _, row := range rows {
		for name, value := range row {
			if name != first && isScalar(value) && !slices.Contains(columns, name) {
				columns = append(columns, name)
			}
		}
	}
	slices.Sort(columns)
	return append([]string{first}, columns...)
}

// isScalar reports whether the JSON value is neither an object nor a list.
func isScalar(value json.RawMessage) bool {
	return len(value) > 0 && value[0] != '{' && value[0] != '['
}
