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

// Options choose what is played.
type Options struct {
	FirstSeed uint64    `json:"first_seed"`
	Seeds     int       `json:"seeds"`
	Loads     []float64 `json:"loads"`
	// Sites and Days name what is played; empty means all.
	Sites []string `json:"sites"`
	Days  []string `json:"days"`
	// Parallel bounds the runs at once.
	Parallel int `json:"parallel"`
}

// DefaultOptions returns the options of `make bench`.
func DefaultOptions() Options {
	return Options{FirstSeed: 1, Seeds: 3, Loads: []float64{0.7, 1, 1.3}, Parallel: max(1, runtime.GOMAXPROCS(0)/2)}
}

// Validate returns InvalidSetting if nothing can be played.
func (o Options) Validate() error {
	if o.Seeds < 1 {
		return fault.New(fault.InvalidSetting, "the number of seeds is below one")
	}
	for _, load := range o.Loads {
		if load <= 0 || load > 10 {
			return fault.New(fault.InvalidSetting, fmt.Sprintf("load %v is not between 0 and 10 times the stated rates", load))
		}
	}
	if len(o.sites()) == 0 || len(o.days()) == 0 || len(o.Loads) == 0 {
		return fault.New(fault.InvalidSetting, "no known site, day or load is chosen")
	}
	return nil
}

func (o Options) sites() []Site {
	return slices.DeleteFunc(Sites(), func(s Site) bool { return len(o.Sites) > 0 && !slices.Contains(o.Sites, s.Name) })
}

func (o Options) days() []Day {
	return slices.DeleteFunc(Days(), func(d Day) bool { return len(o.Days) > 0 && !slices.Contains(o.Days, d.Name) })
}

// Spread is a figure over the seeds.
type Spread struct {
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
}

func spread(runs []Run, figure func(Run) float64) Spread {
	var values []float64
	for _, run := range runs {
		values = append(values, figure(run))
	}
	slices.Sort(values)
	return Spread{Median: values[len(values)/2], Min: values[0], Max: values[len(values)-1]}
}

// Case is a site, a day, a load and a policy, over all seeds.
type Case struct {
	Site   string     `json:"site"`
	Day    string     `json:"day"`
	Load   float64    `json:"load"`
	Policy PolicyName `json:"policy"`
	Runs   []Run      `json:"runs"`
}

// Worth is the worth of the answers against what all would be.
func (c Case) Worth() Spread { return spread(c.Runs, func(r Run) float64 { return r.All.Worth }) }

// Report is the outcome of all cases.
type Report struct {
	Options Options `json:"options"`
	Cases   []Case  `json:"cases"`
}

// Play plays every case. It returns InvalidSetting for options that choose
// nothing, or the failure of ctx.
func Play(ctx context.Context, options Options) (*Report, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	report := &Report{Options: options}
	for _, site := range options.sites() {
		for _, day := range options.days() {
			for _, load := range options.Loads {
				for _, policy := range Policies() {
					report.Cases = append(report.Cases, Case{Site: site.Name, Day: day.Name, Load: load, Policy: policy, Runs: make([]Run, options.Seeds)})
				}
			}
		}
	}
	sites, days := byName(options.sites(), func(s Site) string { return s.Name }), byName(options.days(), func(d Day) string { return d.Name })
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(options.Parallel, 1))
	for i := range report.Cases {
		c := &report.Cases[i]
		for n := range options.Seeds {
			group.Go(func() error {
				if err := ctx.Err(); err != nil {
					return err
				}
				run := play(sites[c.Site], days[c.Day], c.Load, c.Policy, options.FirstSeed+uint64(n)).measure()
				mu.Lock()
				defer mu.Unlock()
				c.Runs[n] = run
				return nil
			})
		}
	}
	return report, group.Wait()
}

func byName[T any](list []T, name func(T) string) map[string]T {
	all := make(map[string]T, len(list))
	for _, item := range list {
		all[name(item)] = item
	}
	return all
}

// Behind returns the baselines whose answers are worth more than the product's,
// at the median over the seeds.
func (r *Report) Behind() []Case {
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

// row is one line of the tables.
type row struct {
	Case
	Worth                                        Spread
	Long, Short                                  float64
	InTime, Late, Refused, Failed, Left, Largest float64
	Preempted, ReadAgain, Busy                   float64
}

// rows returns medians over the seeds, shares in hundredths.
func (r *Report) rows() []row {
	var rows []row
	for _, c := range r.Cases {
		median := func(figure func(Run) float64) float64 { return spread(c.Runs, figure).Median }
		part := func(count func(Figures) int) float64 {
			return median(func(run Run) float64 { return 100 * float64(count(run.All)) / float64(max(run.All.Asked, 1)) })
		}
		rows = append(rows, row{
			Case: c, Worth: c.Worth(),
			Long:    median(func(run Run) float64 { return run.ByKind[LongPrompts].Worth }),
			Short:   median(func(run Run) float64 { return run.ByKind[ShortPrompts].Worth }),
			InTime:  part(func(f Figures) int { return f.InTime }),
			Late:    part(func(f Figures) int { return f.Late }),
			Refused: part(func(f Figures) int { return f.Refused }),
			Failed:  part(func(f Figures) int { return f.Failed }),
			Left:    part(func(f Figures) int { return f.Left }),
			Largest: median(func(run Run) float64 { return run.ByKind[LongPrompts].Largest }),

			Preempted: median(func(run Run) float64 { return float64(run.Preempted) }),
			ReadAgain: median(func(run Run) float64 { return float64(run.ReadAgain) / 1000 }),
			Busy:      median(func(run Run) float64 { return 100 * run.Busy }),
		})
	}
	return rows
}

// WriteText prints the tables.
func (r *Report) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "site\tday\tload\tpolicy\tworth\tspread\tlong\tshort\tin time\tlate\trefused\tfailed\tleft\tlargest\tpreempted\tread again, k\tbusy")
	for _, row := range r.rows() {
		fmt.Fprintf(w, "%s\t%s\t%.1f\t%s\t%.3f\t%.3f..%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%.0f\t%.1f\t%.0f\t%.2f\t%.0f\t%.0f\t%.0f\n",
			row.Site, row.Day, row.Load, row.Policy, row.Worth.Median, row.Worth.Min, row.Worth.Max, row.Long, row.Short,
			row.InTime, row.Late, row.Refused, row.Failed, row.Left, row.Largest, row.Preempted, row.ReadAgain, row.Busy)
	}
	if err := w.Flush(); err != nil {
		return fault.Wrap(fault.Internal, err, "the tables cannot be written")
	}
	behind := r.Behind()
	if len(behind) == 0 {
		_, _ = fmt.Fprintln(out, "\nthe product is ahead of every baseline on worth, everywhere")
	}
	for _, c := range behind {
		fmt.Fprintf(out, "\nbehind %s on %s\n", c.Policy, c.workload())
	}
	return nil
}

//go:embed report.html
var pageSource string

// bar is one policy's worth in the plot of a workload, in hundredths.
type bar struct {
	Policy           PolicyName
	Worth, Low, High float64
}

// plot is one workload.
type plot struct {
	Title string
	Bars  []bar
}

// WriteHTML writes a self-contained page with a plot for each workload.
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
		return fault.Wrap(fault.Internal, err, "the page cannot be written")
	}
	return nil
}
