package ctl

import (
	"encoding/json"
	"io"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"github.com/umbercrank/umbercrank/pkg/bench"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/simulate"
)

// newBenchCommand returns the command that measures the scheduling policies in
// virtual time.
func newBenchCommand() *cobra.Command {
	options := bench.DefaultOptions()
	faults := []string{}
	for _, f := range options.Faults {
		faults = append(faults, string(f))
	}
	out := "out"
	command := &cobra.Command{
		Use:   "bench",
		Short: "Measure the scheduling policies on the same seeded load in virtual time",
		Example: `  umberctl bench --seeds 5 --out out
  umberctl bench --workloads rappel --loads 2.5 --faults crash`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			options.Faults = options.Faults[:0]
			for _, f := range faults {
				options.Faults = append(options.Faults, bench.Fault(f))
			}
			report, err := bench.Run(command.Context(), options)
			if err != nil {
				return err
			}
			if err := writeReport(report, report.WriteHTML, out, "bench"); err != nil {
				return err
			}
			return report.WriteText(command.OutOrStdout())
		},
	}
	flags := command.Flags()
	flags.Uint64Var(&options.FirstSeed, "seed", options.FirstSeed, "first seed")
	flags.IntVar(&options.Seeds, "seeds", options.Seeds, "number of seeds")
	flags.Float64SliceVar(&options.Loads, "loads", options.Loads, "loads as multiples of the capacity")
	flags.StringSliceVar(&faults, "faults", faults, "faults: none, straggler, crash, lag")
	flags.StringSliceVar(&options.Workloads, "workloads", options.Workloads, "workloads: rappel, kavtaradze")
	flags.IntVar(&options.Parallel, "parallel", options.Parallel, "number of runs in parallel")
	flags.StringVar(&out, "out", out, "directory for bench.json and bench.html")
	command.AddCommand(newBenchEntriesCommand())
	return command
}

// newBenchEntriesCommand returns the command that measures the decisions of
// entries without dispatchers.
func newBenchEntriesCommand() *cobra.Command {
	options := simulate.DefaultOptions()
	out := "out"
	command := &cobra.Command{
		Use:   "entries",
		Short: "Measure the placement and refusal of requests by independent entries in virtual time",
		Example: `  umberctl bench entries --seeds 3 --out out
  umberctl bench entries --sites callbacks --days crashes --loads 1,1.3`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			report, err := simulate.Run(command.Context(), options)
			if err != nil {
				return err
			}
			if err := writeReport(report, report.WriteHTML, out, "entries"); err != nil {
				return err
			}
			return report.WriteText(command.OutOrStdout())
		},
	}
	flags := command.Flags()
	flags.Uint64Var(&options.FirstSeed, "seed", options.FirstSeed, "first seed")
	flags.IntVar(&options.Seeds, "seeds", options.Seeds, "number of seeds")
	flags.Float64SliceVar(&options.Loads, "loads", options.Loads, "loads as multiples of the rates of the sites")
	flags.StringSliceVar(&options.Sites, "sites", nil, "sites: callbacks, bookings, vouchers, callbacks-grown, bookings-grown, vouchers-grown, callbacks-large (all)")
	flags.StringSliceVar(&options.Days, "days", nil, "days: steady, waves, crashes, crash-in-burst, crash-in-first-burst, slow-engines (all)")
	flags.IntVar(&options.Parallel, "parallel", options.Parallel, "number of runs in parallel")
	flags.StringVar(&out, "out", out, "directory for entries.json and entries.html")
	return command
}

// writeReport writes the report as JSON and as an HTML page.
func writeReport(report any, page func(io.Writer) error, directory, name string) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return fault.Wrap(fault.InvalidSetting, err, "cannot create the output directory")
	}
	encode := func(w io.Writer) error {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	if err := writeReportFile(filepath.Join(directory, name+".json"), encode); err != nil {
		return err
	}
	return writeReportFile(filepath.Join(directory, name+".html"), page)
}

// writeReportFile creates the file and calls write to fill it.
func writeReportFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return fault.Wrap(fault.InvalidSetting, err, "cannot create the output file")
	}
	if err := write(file); err != nil {
		file.Close()
		return fault.Wrap(fault.Internal, err, "cannot write the output file")
	}
	if err := file.Close(); err != nil {
		return fault.Wrap(fault.Internal, err, "cannot close the output file")
	}
	return nil
}
