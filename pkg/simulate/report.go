package simulate

import (
	"context"
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"runtime"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"

	"golang.org/x/sync/errgroup"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// Options configures Run. It selects the cases to simulate.
type Options struct {
	FirstSeed uint64    `json:"first_seed"`
	Seeds     int       `json:"seeds"`
	Loads     []float64 `json:"loads"`
	// Sites and Days are the names of the simulated sites and days; empty means
	// all.
	Sites []string `json:"sites"`
	Days  []string `json:"days"`
	// Parallel is the maximum number of concurrent runs.
	Parallel int `json:"parallel"`
}

// DefaultOptions returns the options that `make bench` uses.
func DefaultOptions() Options {
	return Options{FirstSeed: 1, Seeds: 3, Loads: []float64{0.7, 1, 1.3}, Parallel: max(1, runtime.GOMAXPROCS(0)/2)}
}

// Validate returns InvalidSetting if the options are invalid or select no case.
func (o Options) Validate() error {
	if o.Seeds < 1 {
		return fault.New(fault.InvalidSetting, "the number of seeds is below one")
	}
	for _, load := range o.Loads {
		if load <= 0 || load > 10 {
			return fault.New(fault.InvalidSetting, fmt.Sprintf("load %v is out of range: it must be above 0 and at most 10 times the configured rates", load))
		}
	}
	if len(o.sites()) == 0 || len(o.days()) == 0 || len(o.Loads) == 0 {
		return fault.New(fault.InvalidSetting, "no known site, day or load is selected")
	}
	return nil
}

func (o Options) sites() []Site {
	return slices.DeleteFunc(Sites(), func(s Site) bool { return len(o.Sites) > 0 && !slices.Contains(o.Sites, s.Name) })
}

func (o Options) days() []Day {
	return slices.DeleteFunc(Days(), func(d Day) bool { return len(o.Days) > 0 && !slices.Contains(o.Days, d.Name) })
}

// Summary summarizes a metric over the seeds.
type Summary struct {
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
}

func summarize(results []Result, metric func(Result) float64) Summary {
	var values []float64
	for _, result := range results {
		values = append(values, metric(result))
	}
	slices.Sort(values)
	return Summary{Median: values[len(values)/2], Min: values[0], Max: values[len(values)-1]}
}

// Case holds the results of one site, day, load and policy for all seeds.
type Case struct {
	Site   string     `json:"site"`
	Day    string     `json:"day"`
	Load   float64    `json:"load"`
	Policy PolicyName `json:"policy"`
	Runs   []Result   `json:"runs"`
}

// Worth summarizes Metrics.Worth of all requests over the seeds.
func (c Case) Worth() Summary {
	return summarize(c.Runs, func(result Result) float64 { return result.All.Worth })
}

// Report holds the results of all cases.
type Report struct {
	Options Options `json:"options"`
	Cases   []Case  `json:"cases"`
}

// Run simulates every case. It returns InvalidSetting for invalid options, or the
// error of ctx.
func Run(ctx context.Context, options Options) (*Report, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	report := &Report{Options: options}
	for _, site := range options.sites() {
		for _, day := range options.days() {
			for _, load := range options.Loads {
				for _, policy := range Policies() {
					report.Cases = append(report.Cases, Case{Site: site.Name, Day: day.Name, Load: load, Policy: policy, Runs: make([]Result, options.Seeds)})
				}
			}
		}
	}
	sites, days := indexBy(options.sites(), func(s Site) string { return s.Name }), indexBy(options.days(), func(d Day) string { return d.Name })
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(options.Parallel, 1))
	for i := range report.Cases {
		c := &report.Cases[i]
		for seedIndex := range options.Seeds {
			group.Go(func() error {
				if err := ctx.Err(); err != nil {
					return err
				}
				result := simulate(sites[c.Site], days[c.Day], c.Load, c.Policy, options.FirstSeed+uint64(seedIndex)).metrics()
				mu.Lock()
				defer mu.Unlock()
				c.Runs[seedIndex] = result
				return nil
			})
		}
	}
	return report, group.Wait()
}

func indexBy[T any](list []T, key func(T) string) map[string]T {
	index := make(map[string]T, len(list))
	for _, item := range list {
		index[key(item)] = item
	}
	return index
}

// BetterBaselines returns the cases in which a baseline achieves a higher median
// worth than the product.
func (r *Report) BetterBaselines() []Case {
	product := make(map[string]float64)
	for _, c := range r.Cases {
		if c.Policy == Product {
			product[c.workload()] = c.Worth().Median
		}
	}
	return slices.DeleteFunc(slices.Clone(r.Cases), func(c Case) bool {
		return c.Policy == Product || c.Worth().Median <= product[c.workload()]
	})
}

func (c Case) workload() string { return fmt.Sprintf("%s %s %.1f", c.Site, c.Day, c.Load) }

// row is one row of the table. Shares are in percent.
type row struct {
	Case
	Worth                                                        Summary
	Long, Short                                                  float64
	InTime, Late, Refused, Failed, Abandoned, LargestServedRatio float64
	Preempted, RepeatedPrefillKilotokens, Utilization            float64
}

// rows returns the medians over the seeds.
func (r *Report) rows() []row {
	var rows []row
	for _, c := range r.Cases {
		median := func(metric func(Result) float64) float64 { return summarize(c.Runs, metric).Median }
		percent := func(count func(Metrics) int) float64 {
			return median(func(result Result) float64 {
				return 100 * float64(count(result.All)) / float64(max(result.All.Requests, 1))
			})
		}
		rows = append(rows, row{
			Case: c, Worth: c.Worth(),
			Long:               median(func(result Result) float64 { return result.ByKind[LongPrompts].Worth }),
			Short:              median(func(result Result) float64 { return result.ByKind[ShortPrompts].Worth }),
			InTime:             percent(func(m Metrics) int { return m.InTime }),
			Late:               percent(func(m Metrics) int { return m.Late }),
			Refused:            percent(func(m Metrics) int { return m.Refused }),
			Failed:             percent(func(m Metrics) int { return m.Failed }),
			Abandoned:          percent(func(m Metrics) int { return m.Abandoned }),
			LargestServedRatio: median(func(result Result) float64 { return result.ByKind[LongPrompts].LargestServedRatio }),

			Preempted:                 median(func(result Result) float64 { return float64(result.Preempted) }),
			RepeatedPrefillKilotokens: median(func(result Result) float64 { return float64(result.RepeatedPrefillTokens) / 1000 }),
			Utilization:               median(func(result Result) float64 { return 100 * result.Utilization }),
		})
	}
	return rows
}

// WriteText writes the table, and the baselines that are better than the product.
func (r *Report) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "site\tday\tload\tpolicy\tworth\tspread\tlong\tshort\tin time\tlate\trefused\tfailed\tleft\tlargest\tpreempted\tread again, k\tbusy")
	for _, row := range r.rows() {
		fmt.Fprintf(w, "%s\t%s\t%.1f\t%s\t%.3f\t%.3f..%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%.0f\t%.1f\t%.0f\t%.2f\t%.0f\t%.0f\t%.0f\n",
			row.Site, row.Day, row.Load, row.Policy, row.Worth.Median, row.Worth.Min, row.Worth.Max, row.Long, row.Short,
			row.InTime, row.Late, row.Refused, row.Failed, row.Abandoned, row.LargestServedRatio, row.Preempted, row.RepeatedPrefillKilotokens, row.Utilization)
	}
	if err := w.Flush(); err != nil {
		return fault.Wrap(fault.Internal, err, "cannot write the tables")
	}
	better := r.BetterBaselines()
	if len(better) == 0 {
		_, _ = fmt.Fprintln(out, "\nthe product is ahead of every baseline on worth, everywhere")
	}
	for _, c := range better {
		fmt.Fprintf(out, "\nbehind %s on %s\n", c.Policy, c.workload())
	}
	return nil
}

//go:embed report.html
var pageSource string

// bar is the worth of one policy in the plot of a workload, in percent.
type bar struct {
	Policy           PolicyName
	Worth, Low, High float64
}

// plot is the bar chart of one workload.
type plot struct {
	Title string
	Bars  []bar
}

// WriteHTML writes a self-contained page with a plot for each workload and the
// table.
func (r *Report) WriteHTML(out io.Writer) error {
	parsed, err := template.New("report").Parse(pageSource)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "the template of the report is malformed")
	}
	var text strings.Builder
	if err := r.WriteText(&text); err != nil {
		return err
	}
	var plots []plot
	for _, c := range r.Cases {
		if len(plots) == 0 || plots[len(plots)-1].Title != c.workload() {
			plots = append(plots, plot{Title: c.workload()})
		}
		last := &plots[len(plots)-1]
		worth := c.Worth()
		last.Bars = append(last.Bars, bar{c.Policy, 100 * worth.Median, 100 * worth.Min, 100 * worth.Max})
	}
	page := struct {
		Plots []plot
		Text  string
	}{plots, text.String()}
	if err := parsed.Execute(out, page); err != nil {
		return fault.Wrap(fault.Internal, err, "cannot write the page")
	}
	return nil
}
