package timeline

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// textTime is the layout of a stamp's wall time, in UTC.
const textTime = "15:04:05.000000"

// WriteText writes one line an event: time, instance, kind, and the fields that
// the event has. It returns a fault of code Internal when the writer fails.
func WriteText(w io.Writer, events []Event) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	for _, event := range events {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", formatStamp(event.Stamp), event.Instance, event.Kind, Describe(event))
	}
	if err := table.Flush(); err != nil {
		return fault.Wrap(fault.Internal, err, "cannot write the time line")
	}
	return nil
}

// Describe returns the fields that the event has as "name=value" words.
func Describe(event Event) string {
	var words []string
	add := func(name, value string) {
		if value != "" {
			words = append(words, name+"="+value)
		}
	}
	add("request", string(event.Request))
	add("class", string(event.Class))
	if event.Tier != 0 {
		add("tier", fmt.Sprint(event.Tier))
	}
	add("account", string(event.Account))
	add("pool", event.Pool)
	add("upstream", string(event.Upstream))
	if event.Revision != 0 {
		add("revision", fmt.Sprint(event.Revision))
	}
	add("run_state", string(event.RunState))
	add("code", event.Code)
	if event.Took != 0 {
		add("took", event.Took.Round(time.Microsecond).String())
	}
	if event.Detail != "" {
		words = append(words, fmt.Sprintf("%q", event.Detail))
	}
	return strings.Join(words, " ")
}

func formatStamp(stamp Stamp) string {
	text := time.Unix(0, stamp.Wall).UTC().Format(textTime)
	if stamp.Logical == 0 {
		return text
	}
	return fmt.Sprintf("%s+%d", text, stamp.Logical)
}
