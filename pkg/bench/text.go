package bench

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// WriteText writes the cases, floods and targets as tables.
func (r *Report) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, workload := range r.Options.selectedWorkloads() {
		r.writeCases(w, workload)
	}
	fmt.Fprintln(w, "one large account\tpolicy\tloss of the others\tspread")
	for _, f := range r.Floods {
		fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f..%.3f\n", f.Workload, f.Policy, f.Loss.Median, f.Loss.Min, f.Loss.Max)
	}
	fmt.Fprintln(w, "\ntarget\tresult\tmeasured\taim\tworst case")
	for _, t := range r.Targets {
		fmt.Fprintf(w, "%s\t%s\t%.4g\t%.4g\t%s\n", t.Name, t.verdict(), t.Measured, t.Aim, t.Where)
	}
	return w.Flush()
}

func (t Target) verdict() string {
	if t.Met {
		return "met"
	}
	return "missed"
}

// writeCases writes the table of one workload with the medians over the seeds, and
// the range of the attainment of the top tier.
func (r *Report) writeCases(w io.Writer, workload Workload) {
	fmt.Fprintf(w, "%s\tload\tpolicy\ttop\tspread\t%s\tgoodput\twasted\tinv\tfirst p50/95/99\tgap p50/95/99\trefused\ttook p50/95\tsent\n",
		workload.Name, strings.Join(classNames(workload), "\t"))
	for _, c := range r.Cases {
		if c.Workload != workload.Name {
			continue
		}
		top := c.Values[topModelKey(workload)]
		fmt.Fprintf(w, "%s\t%.1f\t%s\t%.3f\t%.3f..%.3f\t", c.Fault, c.Load, c.Policy, top.Median, top.Min, top.Max)
		for _, name := range classNames(workload) {
			fmt.Fprintf(w, "%.3f\t", c.Values["class."+name].Median)
		}
		fmt.Fprintf(w, "%.0f\t%.4f\t%.0f\t%s\t%s\t%.3f\t%.0f/%.0f\t%.0f\n",
			c.Values["goodput"].Median, c.Values["wasted"].Median, c.Values["inversions"].Median,
			c.quantiles("first_token"), c.quantiles("gap"), c.Values["refusals"].Median,
			c.Values["refusal_time.p50"].Median, c.Values["refusal_time.p95"].Median, c.Values["refusal_delay.p99"].Median)
	}
	fmt.Fprintln(w)
}

// quantiles formats the three quantiles of a duration in milliseconds.
func (c Case) quantiles(name string) string {
	return fmt.Sprintf("%.0f/%.0f/%.0f", c.Values[name+".p50"].Median, c.Values[name+".p95"].Median, c.Values[name+".p99"].Median)
}

// classNames returns the names of the classes in the order of the workload: the
// classes of models before those of services, the highest tier of each first.
func classNames(w Workload) []string {
	names := []string{}
	for _, c := range w.Classes {
		names = append(names, string(c.Class.Name))
	}
	return slices.Clip(names)
}
