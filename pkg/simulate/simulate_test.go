package simulate

import (
	"context"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/placement"
)

func named(t *testing.T, site, day string) (Site, Day) {
	t.Helper()
	sites := Options{Sites: []string{site}}.sites()
	days := Options{Days: []string{day}}.days()
	if len(sites) != 1 || len(days) != 1 {
		t.Fatalf("no %s or no %s", site, day)
	}
	return sites[0], days[0]
}

// TestTheHeaviestDays plays days on which engines are full under the product and
// the baselines; `make bench` plays all. The bounds are those of the users' gate.
func TestTheHeaviestDays(t *testing.T) {
	for site, days := range map[string][]string{"callbacks": {"crashes"}, "bookings": {"waves"}} {
		for _, day := range days {
			t.Run(site+"/"+day, func(t *testing.T) {
				t.Parallel()
				s, d := named(t, site, day)
				// The first ten seconds have the longest burst and the outages.
				d.Length = seconds(10)
				got := play(s, d, 1, Product, 1).measure()
				for _, policy := range Policies()[1:] {
					other := play(s, d, 1, policy, 1).measure()
					t.Logf("product %.3f, %s %.3f", got.All.Worth, policy, other.All.Worth)
					if got.All.Worth <= other.All.Worth {
						t.Errorf("callers get %.3f; with %s they would get %.3f", got.All.Worth, policy, other.All.Worth)
					}
				}
				for kind, f := range got.ByKind {
					if nothing := f.Refused + f.Failed + f.Left; nothing*5 > f.Asked*3 {
						t.Errorf("%d of %d requests of %q get nothing; 60 in 100 are allowed", nothing, f.Asked, kind)
					}
					if f.Largest < 0.5 {
						t.Errorf("the largest tenth of %q is served %.2f times as often as all", kind, f.Largest)
					}
				}
				if urgent, other := nothing(got.ByKind[ShortPrompts]), nothing(got.ByKind[LongPrompts]); urgent > other+0.05 {
					t.Errorf("of the urgent %.2f get nothing, of the others %.2f", urgent, other)
				}
			})
		}
	}
}

// TestALargeFleetSpreadsItsLongPrompts plays a burst that many entries place by
// old reports, as they do and as a small fleet would.
func TestALargeFleetSpreadsItsLongPrompts(t *testing.T) {
	s, d := named(t, "callbacks-grown", "waves")
	s.Engines, s.Entries, d.Length = 15, 24, seconds(6)
	for i := range s.Kinds {
		s.Kinds[i].Rate /= 4
		s.Kinds[i].Sessions /= 4
	}
	got := play(s, d, 1, Product, 1).measure().All
	trusting := s
	trusting.TrustsReports = true
	if other := play(trusting, d, 1, Product, 1).measure().All; got.Worth < 1.1*other.Worth {
		t.Errorf("callers get %.3f; if each took the engine that looks best, %.3f", got.Worth, other.Worth)
	}
}

func nothing(f Figures) float64 {
	return float64(f.Refused+f.Failed+f.Left) / float64(max(f.Asked, 1))
}

func TestACalmDayIsServed(t *testing.T) {
	s, d := named(t, "callbacks", "steady")
	got := play(s, d, 0.5, Product, 2).measure()
	if got.All.Refused > 0 || got.All.Failed > 0 || float64(got.All.InTime) < 0.9*float64(got.All.Asked) {
		t.Errorf("at half the load: %+v", got.All)
	}
}

// brief is a short day with all that may happen.
func brief() Day {
	return Day{
		Name: "brief", Length: seconds(4),
		Bursts:    []Burst{{LongPrompts, 0, seconds(2), 4}, {ShortPrompts, seconds(1), seconds(2), 3}},
		Hot:       []Hot{{LongPrompts, seconds(1), seconds(2), 0.5}},
		Outages:   []Outage{{seconds(1), seconds(2), 0.3}},
		Slowdowns: []Slowdown{{seconds(2), seconds(1), 0.2, 3}},
	}
}

func TestSameSeedSameRun(t *testing.T) {
	s, _ := named(t, "callbacks", "waves")
	d := brief()
	for _, policy := range Policies() {
		a, b := play(s, d, 1, policy, 5).measure(), play(s, d, 1, policy, 5).measure()
		if !reflect.DeepEqual(a, b) {
			t.Errorf("two runs of %s differ:\n%+v\n%+v", policy, a, b)
		}
	}
}

// TestEveryRequestEnds: no request is lost between the outcomes.
func TestEveryRequestEnds(t *testing.T) {
	s, _ := named(t, "bookings", "waves")
	d := brief()
	for _, policy := range Policies() {
		w := play(s, d, 1, policy, 3)
		for _, r := range w.requests {
			if r.outcome == "" {
				t.Errorf("%s: %s, come at %v, has no outcome: %d runs, %d tokens of %d", policy, r.id, r.came, r.runs, r.tokens, r.output)
			}
			if (r.outcome == InTime || r.outcome == Late) != (r.tokens == r.output) {
				t.Errorf("%s: %s is %s with %d tokens of %d", policy, r.id, r.outcome, r.tokens, r.output)
			}
		}
		if got := w.measure().All; got.InTime+got.Late+got.Refused+got.Failed+got.Left != got.Asked {
			t.Errorf("%s: outcomes do not add up: %+v", policy, got)
		}
	}
}

func TestWorthCountsSizeAndTime(t *testing.T) {
	k := &Kind{Worth: 2, Late: 0.5}
	ended := func(tokens int, outcome Outcome) *request {
		return &request{kind: k, work: placement.Work{Tokens: tokens}, outcome: outcome}
	}
	list := []*request{ended(100, InTime), ended(100, Late), ended(100, Refused), ended(1700, Left)}
	// The mean is 500: three weigh 0.3 + 0.7/5, the last 0.3 + 0.7*3.4.
	f, owed, earned := figuresOf(list)
	if want := 2 * (3*0.44 + 2.68); !near(owed, want) {
		t.Errorf("owed %v, want %v", owed, want)
	}
	if want := 0.44*2 + 0.44*0.5; !near(earned, want) {
		t.Errorf("earned %v, want %v", earned, want)
	}
	if f.InTime != 1 || f.Late != 1 || f.Refused != 1 || f.Left != 1 || f.Largest != 0 {
		t.Errorf("figures %+v", f)
	}
}

func near(a, b float64) bool { return a-b < 1e-9 && b-a < 1e-9 }

func TestTheReportNamesWhoIsAhead(t *testing.T) {
	report := &Report{Options: Options{Seeds: 3}}
	for policy, worth := range map[PolicyName][]float64{Product: {0.5, 0.7, 0.6}, FIFO: {0.9, 0.7, 0.1}, LeastLoaded: {0.9, 0.6, 0.2}} {
		c := Case{Site: "callbacks", Day: "waves", Load: 1, Policy: policy}
		for _, w := range worth {
			c.Runs = append(c.Runs, Run{All: Figures{Asked: 10, InTime: 5, Worth: w}})
		}
		report.Cases = append(report.Cases, c)
	}
	if behind := report.Behind(); len(behind) != 1 || behind[0].Policy != FIFO {
		t.Errorf("behind: %+v", behind)
	}
	var page, text strings.Builder
	if err := report.WriteHTML(&page); err != nil {
		t.Fatal(err)
	}
	if err := report.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(text.String(), "behind fifo on callbacks waves 1.0") || !strings.Contains(page.String(), "callbacks waves 1.0") || strings.Contains(page.String(), "http") {
		t.Error("the report lacks its verdict, or loads something from outside")
	}
}

// TestEveryCaseIsPlayed runs a report of its own.
func TestEveryCaseIsPlayed(t *testing.T) {
	report, err := Play(context.Background(), Options{FirstSeed: 1, Seeds: 1, Loads: []float64{0.05, 0.1}, Sites: []string{"callbacks"}, Days: []string{"steady"}, Parallel: 2})
	if err != nil {
		t.Fatal(err)
	}
	if len(report.Cases) != 2*len(Policies()) {
		t.Errorf("%d cases", len(report.Cases))
	}
	for _, c := range report.Cases {
		if c.Runs[0].All.Asked == 0 || c.Runs[0].All.Worth == 0 {
			t.Errorf("%s under %s was not played: %+v", c.workload(), c.Policy, c.Runs[0].All)
		}
	}
}

func TestOptionsThatChooseNothingAreRefused(t *testing.T) {
	for _, options := range []Options{
		{Seeds: 0, Loads: []float64{1}},
		{Seeds: 1},
		{Seeds: 1, Loads: []float64{-1}},
		{Seeds: 1, Loads: []float64{1}, Sites: []string{"nowhere"}},
	} {
		if _, err := Play(context.Background(), options); fault.From(err).Code != fault.InvalidSetting {
			t.Errorf("%+v: %v", options, err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := Play(ctx, Options{Seeds: 1, Loads: []float64{1}}); !errors.Is(err, context.Canceled) {
		t.Errorf("after the end of its context: %v", err)
	}
}

func TestCallersLeaveAfterThePauseTheyState(t *testing.T) {
	for _, c := range []struct {
		objective, pause, want time.Duration
	}{{0, 0, 2 * time.Second}, {600 * time.Millisecond, 250 * time.Millisecond, 2400 * time.Millisecond}, {0, time.Second, 8 * time.Second}} {
		k := Kind{Objective: c.objective, Pause: c.pause}
		if got := k.patience(); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}
