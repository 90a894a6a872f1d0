package timeline

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// wallTimeLayout is the layout of a stamp's wall time, in UTC.
const wallTimeLayout = "15:04:05.000000"

// WriteText writes one line per event: time, instance, kind, and the fields that
// are set. If the writer fails, it returns an error with code Internal.
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

// Describe returns the event's fields as space-separated name=value pairs. The
// detail is appended as a quoted string. Fields that are not set are left out.
func Describe(event Event) string {
	var fields []string
	add := func(name, value string) {
		if value != "" {
			fields = append(fields, name+"="+value)
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
		fields = append(fields, fmt.Sprintf("%q", event.Detail))
	}
	return strings.Join(fields, " ")
}

func formatStamp(stamp Stamp) string {
	text := time.Unix(0, stamp.Wall).UTC().Format(wallTimeLayout)
	if stamp.Logical == 0 {
		return text
	}
	return fmt.Sprintf("%s+%d", text, stamp.Logical)
}
