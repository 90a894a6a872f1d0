package load

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Report is the result of one load.
type Report struct {
	Profile string  `json:"profile"`
	Seed    uint64  `json:"seed"`
	Factor  float64 `json:"rate_factor"`
	// Seconds is the length of the load without the wait for the last answers.
	Seconds  float64         `json:"seconds"`
	Offered  int             `json:"offered"`
	Classes  []ClassReport   `json:"classes"`
	Accounts []AccountReport `json:"accounts"`
	// Goodput counts tokens a second of answers that kept their targets.
	Goodput float64 `json:"goodput_tokens_per_second"`
	// GoodAnswers counts answers a second that kept their targets.
	GoodAnswers float64 `json:"good_answers_per_second"`
	Work        Work    `json:"work"`
	// Violations are the broken promises: wrong, truncated and doubled answers,
	// and executions that contradict what callers were told.
	Violations int      `json:"violations"`
	Details    []string `json:"details,omitempty"`
	// Unchecked says why executions were not compared with the keys.
	Unchecked string `json:"unchecked,omitempty"`
}

// Work compares the tokens that engines generated with those of whole answers.
type Work struct {
	// Generated is zero when the engines were not asked.
	Generated int `json:"generated_tokens"`
	Answered  int `json:"answered_tokens"`
	// LostAtCallers counts the tokens of broken answers that callers received.
	LostAtCallers int `json:"lost_tokens_at_callers"`
	// WastedShare is the part of the generated tokens that no whole answer has.
	WastedShare float64 `json:"wasted_share"`
}

// ClassReport is the result of one class.
type ClassReport struct {
	Class   types.ClassName `json:"class"`
	Tier    types.Tier      `json:"tier"`
	Offered int             `json:"offered"`
	Results map[Result]int  `json:"results"`
	// Codes counts the typed failures.
	Codes      map[fault.Code]int `json:"codes,omitempty"`
	OtherClass int                `json:"other_class,omitempty"`
	Retried    int                `json:"retried"`
	// Attainment is the share of the offered requests that kept every target.
	Attainment           float64     `json:"attainment"`
	FirstTokenAttainment float64     `json:"first_token_attainment"`
	GapAttainment        float64     `json:"between_tokens_attainment"`
	DeadlineAttainment   float64     `json:"deadline_attainment"`
	FirstToken           Percentiles `json:"first_token"`
	Gap                  Percentiles `json:"between_tokens"`
	Total                Percentiles `json:"total"`
	Refusal              Percentiles `json:"refusal"`
}

// AccountReport is the result of one client account over all classes.
type AccountReport struct {
	Account types.AccountID `json:"account"`
	Offered int             `json:"offered"`
	// Attainment is the share of the offered requests that kept every target.
	Attainment float64 `json:"attainment"`
	// Tokens counts those of whole answers.
	Tokens int `json:"answered_tokens"`
}

// Percentiles are read from a histogram, in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

func percentiles(histogram *hdrhistogram.Histogram) Percentiles {
	at := func(quantile float64) float64 { return milliseconds(histogram.ValueAtQuantile(quantile)) }
	return Percentiles{
		Count: histogram.TotalCount(),
		P50:   at(50),
		P95:   at(95),
		P99:   at(99),
		Max:   milliseconds(histogram.Max()),
	}
}

func milliseconds(microseconds int64) float64 { return float64(microseconds) / 1000 }

// report sums up the tally of a load that lasted for the duration.
func (t *tally) report(duration time.Duration) *Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &Report{Seconds: duration.Seconds(), Details: t.details}
	attained, goodTokens := 0, 0
	for name, c := range t.classes {
		r.Classes = append(r.Classes, c.report(name))
		r.Offered += c.offered
		r.Work.Answered += c.tokens
		r.Work.LostAtCallers += c.lostTokens
		r.Violations += c.results[Wrong] + c.results[Truncated] + c.results[Doubled]
		attained += c.attained
		goodTokens += c.goodTokens
	}
	slices.SortFunc(r.Classes, func(a, b ClassReport) int {
		return cmp.Or(cmp.Compare(b.Tier, a.Tier), cmp.Compare(a.Class, b.Class))
	})
	r.Accounts = t.accountReports()
	r.Goodput = float64(goodTokens) / r.Seconds
	r.GoodAnswers = float64(attained) / r.Seconds
	return r
}

// accountReports returns the accounts in alphabetical order.
func (t *tally) accountReports() []AccountReport {
	var reports []AccountReport
	for _, id := range slices.Sorted(maps.Keys(t.accounts)) {
		a := t.accounts[id]
		reports = append(reports, AccountReport{
			Account:    id,
			Offered:    a.offered,
			Attainment: float64(a.attained) / float64(a.offered),
			Tokens:     a.tokens,
		})
	}
	return reports
}

func (c *classTally) report(name types.ClassName) ClassReport {
	share := func(n int) float64 { return float64(n) / float64(max(c.offered, 1)) }
	return ClassReport{
		Class:                name,
		Tier:                 c.tier,
		Offered:              c.offered,
		Results:              c.results,
		Codes:                c.codes,
		OtherClass:           c.otherClass,
		Retried:              c.retried,
		Attainment:           share(c.attained),
		FirstTokenAttainment: share(c.firstKept),
		GapAttainment:        share(c.gapKept),
		DeadlineAttainment:   share(c.inTime),
		FirstToken:           percentiles(c.firstToken),
		Gap:                  percentiles(c.gap),
		Total:                percentiles(c.total),
		Refusal:              percentiles(c.refusal),
	}
}

// WriteText writes the report as tables. It returns a fault of code Internal
// when the writer fails.
func (r *Report) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "profile %s, seed %d, rate factor %g: %d requests in %.1f s\n\n", r.Profile, r.Seed, r.Factor, r.Offered, r.Seconds)
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "class\ttier\toffered\tanswered\trefused\tfailed\tbroken\twrong\tattained\tfirst token\tbetween\tdeadline\tfirst p50/p95 ms\tgap p95 ms\ttotal p95 ms\trefusal p95 ms\t")
	for _, c := range r.Classes {
		c.writeRow(table)
	}
	if err := table.Flush(); err != nil {
		return fault.Wrap(fault.Internal, err, "cannot write the report")
	}
	r.writeTotals(w)
	return nil
}

func (c ClassReport) writeRow(w io.Writer) {
	wrong := c.Results[Wrong] + c.Results[Truncated] + c.Results[Doubled]
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%s/%s\t%s\t%s\t%s\t\n",
		c.Class, c.Tier, c.Offered, c.Results[Answered], c.Results[Refused], c.Results[Failed], c.Results[Broken], wrong,
		c.Attainment, c.FirstTokenAttainment, c.GapAttainment, c.DeadlineAttainment,
		c.FirstToken.cell(c.FirstToken.P50), c.FirstToken.cell(c.FirstToken.P95),
		c.Gap.cell(c.Gap.P95), c.Total.cell(c.Total.P95), c.Refusal.cell(c.Refusal.P95))
}

// cell returns a value of the percentiles for a table, or a dash without any.
func (p Percentiles) cell(value float64) string {
	if p.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", value)
}

func (r *Report) writeTotals(w io.Writer) {
	fmt.Fprintf(w, "\ngoodput: %.0f tokens/s, %.1f answers/s\n", r.Goodput, r.GoodAnswers)
	if r.Work.Generated > 0 {
		fmt.Fprintf(w, "work: %d tokens generated, %d in whole answers, wasted %.2f %%\n", r.Work.Generated, r.Work.Answered, 100*r.Work.WastedShare)
	}
	for _, c := range r.Classes {
		if len(c.Codes) == 0 {
			continue
		}
		fmt.Fprintf(w, "%s:", c.Class)
		for _, code := range slices.Sorted(maps.Keys(c.Codes)) {
			fmt.Fprintf(w, " %s=%d", code, c.Codes[code])
		}
		fmt.Fprintln(w)
	}
	for _, a := range r.Accounts {
		fmt.Fprintf(w, "account %s: %d requests, attained %.3f, %d tokens\n", a.Account, a.Offered, a.Attainment, a.Tokens)
	}
	fmt.Fprintf(w, "violations: %d\n", r.Violations)
	for _, detail := range r.Details {
		fmt.Fprintln(w, "  "+detail)
	}
	if r.Unchecked != "" {
		fmt.Fprintln(w, "executions not checked: "+r.Unchecked)
	}
}
