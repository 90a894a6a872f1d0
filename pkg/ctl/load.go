package ctl

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/load"
)

// loadReportOptions configures the output and the checks of the load report.
type loadReportOptions struct {
	// file is the path for the report as JSON; empty means none.
	file string
	// minAnswered is the minimum share of answered requests in each class.
	minAnswered float64
}

// newLoadCommand returns the command that generates load on the router.
func newLoadCommand() *cobra.Command {
	options := load.Options{}
	profile := ""
	var reporting loadReportOptions
	command := &cobra.Command{
		Use:   "load",
		Short: "Send seeded traffic to the router and check every answer",
		Long: `Send open-loop traffic of mixed classes and accounts to the router, as its callers
do: ask an instance for addresses, use them for their lifetime, connect to one of
them, and try another address after a connection failure. Every answer is compared
with the expected answer of the stand-in engines and services.

Exits with 1 if an answer is wrong, truncated or duplicated.
Built-in profiles: ` + strings.Join(load.BuiltInProfiles(), ", ") + `; or the path of a YAML or JSON file.`,
		Example: `  umberctl load --address 127.0.0.1:7100 --profile demo --duration 20s
  umberctl load --address 127.0.0.1:7100 --profile my.yaml --rate-factor 2 --seed 7 --json out.json`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			loaded, err := load.LoadProfile(profile)
			if err != nil {
				return err
			}
			options.Profile = loaded
			return runLoad(command, options, reporting)
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&options.Addresses, "address", []string{"127.0.0.1:7100"}, "instances to ask for addresses, host:port")
	flags.StringVar(&profile, "profile", "demo", "built-in profile, or the path of a file")
	flags.DurationVar(&options.Duration, "duration", 20*time.Second, "duration of the load")
	flags.Float64Var(&options.RateFactor, "rate-factor", 1, "factor applied to the rate of the profile")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the traffic")
	flags.IntVar(&options.Callers, "callers", 32, "number of simulated client processes, each with its own addresses")
	flags.StringSliceVar(&options.Engines, "engine", nil, "base URLs of stand-in engines, used to measure wasted work")
	flags.StringSliceVar(&options.Services, "service", nil, "base URLs of stand-in services, used to check executions")
	flags.StringVar(&reporting.file, "json", "", "file for the report as JSON")
	flags.Float64Var(&reporting.minAnswered, "min-answered", 0, "minimum share of requests, from 0 to 1, that must be answered in every class")
	return command
}

func runLoad(command *cobra.Command, options load.Options, reporting loadReportOptions) error {
	report, err := load.Run(command.Context(), options)
	if err != nil {
		return err
	}
	if err := report.WriteText(command.OutOrStdout()); err != nil {
		return err
	}
	if reporting.file != "" {
		if err := writeJSONFile(reporting.file, report); err != nil {
			return err
		}
	}
	return reporting.check(report)
}

// check returns an error of code CheckFailed if the report has violations or if
// the share of answered requests of a class is below minAnswered.
func (o loadReportOptions) check(report *load.Report) error {
	if report.Violations > 0 {
		return fault.New(fault.CheckFailed, strconv.Itoa(report.Violations)+" violations in the answers or executions")
	}
	for _, class := range report.Classes {
		share := float64(class.Results[load.Answered]) / float64(class.Offered)
		if share < o.minAnswered {
			message := fmt.Sprintf("class %s: %.3f of the requests answered, want %.3f", class.Class, share, o.minAnswered)
			return fault.New(fault.CheckFailed, message)
		}
	}
	return nil
}

// writeJSONFile writes the value as indented JSON.
func writeJSONFile(name string, value any) error {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return fault.Wrap(fault.Internal, err, "cannot encode "+name)
	}
	if err := os.WriteFile(name, append(text, '\n'), 0o644); err != nil {
		return fault.Wrap(fault.InvalidSetting, err, "cannot write "+name)
	}
	return nil
}
