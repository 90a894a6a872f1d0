package ctl

import (
	"os"
	"slices"

	"github.com/spf13/cobra"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/timeline"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// timelineFlags select the events and the output format.
type timelineFlags struct {
	admin    []string
	request  string
	kinds    []string
	htmlFile string
	jsonFile string
}

// newTimelineCommand returns the command that merges the events of the instances.
func newTimelineCommand() *cobra.Command {
	var flags timelineFlags
	command := &cobra.Command{
		Use:   "timeline",
		Short: "Show the merged events of all instances",
		Long: `Read the latest events of each instance, merge them in the order of their hybrid
logical clocks, and print them, or write a self-contained HTML page with a lane
for each instance. Exits with 3 if an instance does not respond; the events of
the others are still shown.`,
		Example: `  umberctl timeline --admin 127.0.0.1:7300,127.0.0.1:7301 --html timeline.html
  umberctl timeline --admin 127.0.0.1:7300 --request 01JD4Z6E0VJ8M3X5Y1T2S3R4Q5
  umberctl timeline --admin 127.0.0.1:7300 --kind config_applied,instance_started`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runTimeline(command, flags)
		},
	}
	set := command.Flags()
	set.StringSliceVar(&flags.admin, "admin", []string{"127.0.0.1:7300"}, adminHelp)
	set.StringVar(&flags.request, "request", "", "only the events of this request")
	set.StringSliceVar(&flags.kinds, "kind", nil, "only the events of these kinds")
	set.StringVar(&flags.htmlFile, "html", "", "write an HTML page to this file instead of text")
	set.StringVar(&flags.jsonFile, "json", "", "write the events as JSON to this file instead of text")
	return command
}

func runTimeline(command *cobra.Command, flags timelineFlags) error {
	responses := fetchAll[timeline.Response](command.Context(), flags.admin, timeline.Path)
	var lists [][]timeline.Event
	for _, response := range responses {
		lists = append(lists, response.value.Events)
	}
	events := flags.filter(timeline.Merge(lists...))
	if err := flags.write(command, events); err != nil {
		return err
	}
	return reportUnreachable(command.ErrOrStderr(), responses)
}

// filter returns the events selected by the flags.
func (f timelineFlags) filter(events []timeline.Event) []timeline.Event {
	if f.request != "" {
		events = timeline.ForRequest(events, types.RequestID(f.request))
	}
	if len(f.kinds) == 0 {
		return events
	}
	return slices.DeleteFunc(events, func(event timeline.Event) bool {
		return !slices.Contains(f.kinds, string(event.Kind))
	})
}

func (f timelineFlags) write(command *cobra.Command, events []timeline.Event) error {
	if f.jsonFile != "" {
		if err := writeJSONFile(f.jsonFile, events); err != nil {
			return err
		}
	}
	if f.htmlFile != "" {
		return writePage(f.htmlFile, events)
	}
	if f.jsonFile != "" {
		return nil
	}
	return timeline.WriteText(command.OutOrStdout(), events)
}

func writePage(name string, events []timeline.Event) error {
	file, err := os.Create(name)
	if err != nil {
		return fault.Wrap(fault.InvalidSetting, err, "cannot write "+name)
	}
	defer file.Close()
	if err := timeline.WriteHTML(file, events); err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return fault.Wrap(fault.Internal, err, "cannot write "+name)
	}
	return nil
}
