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

// loadCheck says what becomes of the report.
type loadCheck struct {
	// file takes the report as JSON; empty means none.
	file string
	// minAnswered is the share of answered requests that each class must reach.
	minAnswered float64
}

// newLoadCommand drives traffic at the router.
func newLoadCommand() *cobra.Command {
	options := load.Options{}
	profile := ""
	var check loadCheck
	command := &cobra.Command{
		Use:   "load",
		Short: "Drive seeded traffic at the router and check every answer",
		Long: `Drive open-loop traffic of mixed classes and accounts at the router, as its
callers would: ask an instance for addresses, keep the answer for its lifetime,
connect there, and try another address after a connection failure. Every answer
is compared with the one that the stand-in engines and services must give.

Exits with 1 when an answer was wrong, truncated or doubled.
Built-in profiles: ` + strings.Join(load.BuiltIn(), ", ") + `; or name a file in YAML or JSON.`,
		Example: `  umberctl load --address 127.0.0.1:7100 --profile demo --duration 20s
  umberctl load --address 127.0.0.1:7100 --profile my.yaml --rate-factor 2 --seed 7 --json out.json`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			loaded, err := load.LoadProfile(profile)
			if err != nil {
				return err
			}
			options.Profile = loaded
			return runLoad(command, options, check)
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&options.Addresses, "address", []string{"127.0.0.1:7100"}, "instances to ask for addresses, host:port")
	flags.StringVar(&profile, "profile", "demo", "built-in profile or file")
	flags.DurationVar(&options.Duration, "duration", 20*time.Second, "length of the load")
	flags.Float64Var(&options.Factor, "rate-factor", 1, "factor on the profile's rate")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the traffic")
	flags.IntVar(&options.Callers, "callers", 32, "client processes to imitate, each with addresses of its own")
	flags.StringSliceVar(&options.Engines, "engine", nil, "base URLs of stand-in engines, to measure wasted work")
	flags.StringSliceVar(&options.Services, "service", nil, "base URLs of stand-in services, to check executions")
	flags.StringVar(&check.file, "json", "", "file for the report as JSON")
	flags.Float64Var(&check.minAnswered, "min-answered", 0, "least share of requests, from 0 to 1, that must be answered in every class")
	return command
}

func runLoad(command *cobra.Command, options load.Options, check loadCheck) error {
	report, err := load.Run(command.Context(), options)
	if err != nil {
		return err
	}
	if err := report.WriteText(command.OutOrStdout()); err != nil {
		return err
	}
	if check.file != "" {
		if err := writeJSONFile(check.file, report); err != nil {
			return err
		}
	}
	return check.verdict(report)
}

// verdict returns a fault of code CheckFailed when a promise was broken or a
// class was answered too seldom.
func (c loadCheck) verdict(report *load.Report) error {
	if report.Violations > 0 {
		return fault.New(fault.CheckFailed, strconv.Itoa(report.Violations)+" answers or executions broke a promise")
	}
	for _, class := range report.Classes {
		share := float64(class.Results[load.Answered]) / float64(class.Offered)
		if share < c.minAnswered {
			message := fmt.Sprintf("class %s: %.3f of the requests answered, want %.3f", class.Class, share, c.minAnswered)
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
