package timeline

import (
	_ "embed"
	"html/template"
	"io"
	"slices"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

//go:embed page.html
var pageHTML string

var pageTemplate = template.Must(template.New("timeline").Parse(pageHTML))

// pageData is the input of the page's template.
type pageData struct {
	Lanes []types.InstanceID `json:"lanes"`
	Rows  []pageRow          `json:"rows"`
}

// pageRow is one event as shown on the page.
type pageRow struct {
	// Offset is the time since the first event, in milliseconds.
	Offset  float64         `json:"t"`
	Time    string          `json:"time"`
	Lane    int             `json:"lane"`
	Kind    Kind            `json:"kind"`
	Request types.RequestID `json:"request"`
	Text    string          `json:"text"`
}

// WriteHTML writes a self-contained HTML page with a lane for each instance, a
// table of the events, and filters by request, kind and text. If the writer fails,
// it returns an error with code Internal.
func WriteHTML(w io.Writer, events []Event) error {
	if err := pageTemplate.Execute(w, newPageData(events)); err != nil {
		return fault.Wrap(fault.Internal, err, "cannot write the HTML page of the time line")
	}
	return nil
}

func newPageData(events []Event) pageData {
	data := pageData{Lanes: lanes(events), Rows: make([]pageRow, 0, len(events))}
	for _, event := range events {
		lane, _ := slices.BinarySearch(data.Lanes, event.Instance)
		data.Rows = append(data.Rows, pageRow{
			Offset:  float64(event.Stamp.Wall-events[0].Stamp.Wall) / 1e6,
			Time:    formatStamp(event.Stamp),
			Lane:    lane,
			Kind:    event.Kind,
			Request: event.Request,
			Text:    Describe(event),
		})
	}
	return data
}

// lanes returns the distinct instances of the events in alphabetical order.
func lanes(events []Event) []types.InstanceID {
	var all []types.InstanceID
	for _, event := range events {
		all = append(all, event.Instance)
	}
	slices.Sort(all)
	return slices.Compact(all)
}
