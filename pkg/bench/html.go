package bench

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"strings"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

//go:embed report.html
var pageSource string

// The size of a plot, in SVG units.
const (
	plotWidth  = 320.0
	plotHeight = 200.0
	plotMargin = 40.0
)

// plot shows a metric over the load, with one line for each policy.
type plot struct {
	Title string
	Lines []line
	Loads []axisLabel
	Marks []axisLabel
}

// line is the polyline of one policy. Its points are SVG coordinates.
type line struct {
	Policy PolicyName
	Points string
	Colour string
}

// axisLabel is a label on an axis.
type axisLabel struct {
	At    float64
	Label string
}

var colours = map[PolicyName]string{
	PolicyIndependent: "#b8860b", PolicyFIFO: "#4169e1", PolicyProduct: "#b22222",
}

// page is the input of the template.
type page struct {
	Report *Report
	Plots  []plot
	Text   string
}

// WriteHTML writes a self-contained page with the plots and the tables.
func (r *Report) WriteHTML(out io.Writer) error {
	parsed, err := template.New("report").Parse(pageSource)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "the template of the report is malformed")
	}
	var text strings.Builder
	if err := r.WriteText(&text); err != nil {
		return fault.Wrap(fault.Internal, err, "cannot write the tables")
	}
	if err := parsed.Execute(out, page{Report: r, Plots: r.plots(), Text: text.String()}); err != nil {
		return fault.Wrap(fault.Internal, err, "cannot write the page")
	}
	return nil
}

// plots returns the plots of every workload and fault.
func (r *Report) plots() []plot {
	var plots []plot
	for _, w := range r.Options.selectedWorkloads() {
		for _, f := range r.Options.Faults {
			for _, metric := range []struct{ name, title string }{
				{topModelKey(w), "attainment of the top tier"},
				{"goodput", "goodput, tokens/s"},
				{"wasted", "wasted work"},
				{"first_token.p95", "first token p95, ms"},
			} {
				title := fmt.Sprintf("%s, %s: %s", w.Name, f, metric.title)
				plots = append(plots, r.plot(title, metric.name, w.Name, f))
			}
		}
	}
	return plots
}

// plot returns the plot of one metric.
func (r *Report) plot(title, name, workload string, f Fault) plot {
	p := plot{Title: title}
	highest := 0.0
	for _, c := range r.Cases {
		if c.Workload == workload && c.Fault == f {
			highest = max(highest, c.Values[name].Median)
		}
	}
	if highest == 0 {
		highest = 1
	}
	loads := r.Options.Loads
	x := func(i int) float64 {
		return plotMargin + float64(i)*(plotWidth-2*plotMargin)/float64(max(len(loads)-1, 1))
	}
	y := func(value float64) float64 {
		return plotHeight - plotMargin - value/highest*(plotHeight-2*plotMargin)
	}
	for i, load := range loads {
		p.Loads = append(p.Loads, axisLabel{x(i), fmt.Sprintf("%.1f", load)})
	}
	p.Marks = []axisLabel{{y(0), "0"}, {y(highest), fmt.Sprintf("%.3g", highest)}}
	for _, policy := range Policies() {
		var points strings.Builder
		for i, load := range loads {
			for _, c := range r.Cases {
				if c.Workload == workload && c.Fault == f && c.Policy == policy && c.Load == load {
					fmt.Fprintf(&points, "%.1f,%.1f ", x(i), y(c.Values[name].Median))
				}
			}
		}
		p.Lines = append(p.Lines, line{policy, points.String(), colours[policy]})
	}
	return p
}
