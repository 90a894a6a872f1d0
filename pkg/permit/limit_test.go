package permit

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/umbercrank/umbercrank/pkg/types"
	_ "github.com/umbercrank/umbercrank/test/fixedseed"
)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func limited(perSecond float64, sent, received int) Observation {
	return Observation{Limit{perSecond, true}, ms(sent), ms(received)}
}

func unlimited(sent, received int) Observation {
	return Observation{Limit{}, ms(sent), ms(received)}
}

func TestTableOrdersObservations(t *testing.T) {
	for name, c := range map[string]struct {
		observations []Observation
		want         Limit
	}{
		"none":                                   {nil, Limit{}},
		"no limit named":                         {[]Observation{unlimited(0, 9)}, Limit{}},
		"named":                                  {[]Observation{limited(2.2, 0, 9)}, Limit{2.2, true}},
		"raised":                                 {[]Observation{limited(2.2, 0, 9), limited(5, 9, 20)}, Limit{5, true}},
		"lowered":                                {[]Observation{limited(2.2, 0, 9), limited(0, 9, 20)}, Limit{0, true}},
		"ended":                                  {[]Observation{limited(2.2, 0, 9), unlimited(9, 20)}, Limit{}},
		"late response from before":              {[]Observation{limited(2.2, 30, 39), limited(1, 0, 20)}, Limit{2.2, true}},
		"late response with the older limit":     {[]Observation{limited(2.2, 30, 39), unlimited(40, 50), limited(1, 0, 30)}, Limit{}},
		"order unknown, the other is stricter":   {[]Observation{limited(2.2, 0, 30), limited(1, 10, 40)}, Limit{1, true}},
		"order unknown, the first is stricter":   {[]Observation{limited(2.2, 0, 30), unlimited(10, 40)}, Limit{2.2, true}},
		"order unknown, settled by a later one":  {[]Observation{limited(2.2, 0, 30), unlimited(10, 40), unlimited(31, 50)}, Limit{}},
		"again after its end":                    {[]Observation{limited(2.2, 0, 9), unlimited(9, 20), limited(3, 20, 30)}, Limit{3, true}},
		"same limit delays a doubtful end of it": {[]Observation{limited(2, 0, 9), limited(2, 10, 30), unlimited(20, 40)}, Limit{2, true}},
	} {
		table := NewTable()
		for _, o := range c.observations {
			before, _ := table.InForce("u")
			got, changed := table.Observe("u", o)
			after, _ := table.InForce("u")
			if got != before.Limit && before.Limited || changed != (after.Limit != before.Limit) {
				t.Errorf("%s: reported a change from %+v (%v), was from %+v to %+v", name, got, changed, before.Limit, after.Limit)
			}
		}
		if got, ok := table.InForce("u"); got.Limit != c.want && (ok || c.want.Limited) {
			t.Errorf("%s: %+v, want %+v", name, got.Limit, c.want)
		}
	}
}

// TestLateResponsesDoNotRelaxLimit delivers responses in any order. The limit in force
// must never be above the one in the response to the latest request.
func TestLateResponsesDoNotRelaxLimit(t *testing.T) {
	type response struct{ sent, received, value int }
	rapid.Check(t, func(t *rapid.T) {
		responses := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) response {
			sent := rapid.IntRange(0, 500).Draw(t, "sent")
			return response{sent, sent + rapid.IntRange(1, 300).Draw(t, "took"), rapid.IntRange(0, 9).Draw(t, "value")}
		}), 1, 30).Draw(t, "responses")
		slices.SortStableFunc(responses, func(a, b response) int { return cmp.Compare(a.received, b.received) })
		table := NewTable()
		latest := response{sent: -1}
		for _, r := range responses {
			table.Observe("u", limited(float64(r.value), r.sent, r.received))
			if r.sent > latest.sent {
				latest = r
			}
			if got, _ := table.InForce("u"); got.PerSecond > float64(latest.value) {
				t.Fatalf("after %+v the limit is %g, the latest request was answered with %+v", r, got.PerSecond, latest)
			}
		}
	})
}

func TestRetainForgetsUpstreamsThatAreGone(t *testing.T) {
	table := NewTable()
	table.Observe("a", limited(1, 0, 1))
	table.Observe("b", limited(1, 0, 1))
	table.Observe("c", limited(1, 0, 1))
	table.Observe("c", unlimited(2, 3))
	listed := func(id types.UpstreamID) bool { return id != "b" }
	table.Retain(ms(10), listed)
	if all := table.All(); len(all) != 2 || table.Count() != 1 {
		t.Errorf("known are %+v", all)
	}
	table.Retain(ms(10)+endedLimitTTL, listed)
	if all := table.All(); len(all) != 1 {
		t.Errorf("after a while known are %+v", all)
	}
}
