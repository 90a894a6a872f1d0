package dispatch

import (
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/statechart"
)

func TestUpstreamStatusFollowsReportsAndRefusals(t *testing.T) {
	began := time.Now()
	fine := func(at time.Duration) func(*upstreamStatus) {
		return func(u *upstreamStatus) { u.apply(LoadReport{}, nil, began.Add(at)) }
	}
	lagging := func(at, age time.Duration) func(*upstreamStatus) {
		return func(u *upstreamStatus) {
			u.apply(LoadReport{AgeMilliseconds: age.Milliseconds()}, nil, began.Add(at))
		}
	}
	leaving := func(u *upstreamStatus) { u.apply(LoadReport{Leaving: true}, nil, began) }
	refused := func(u *upstreamStatus) { u.leave(began) }
	fails := func(code fault.Code) func(*upstreamStatus) {
		return func(u *upstreamStatus) { u.apply(LoadReport{}, fault.New(code, "test"), began) }
	}
	cases := []struct {
		name  string
		steps []func(*upstreamStatus)
		want  bool
	}{
		{"never heard of", nil, false},
		{"reports", []func(*upstreamStatus){fine(0)}, true},
		{"reports that it leaves", []func(*upstreamStatus){fine(0), leaving}, false},
		{"refused because it leaves", []func(*upstreamStatus){fine(0), refused}, false},
		{"refused, then an older report", []func(*upstreamStatus){refused, lagging(4*time.Second, 3*time.Second)}, false},
		{"refused, then a report just after", []func(*upstreamStatus){refused, fine(time.Second)}, false},
		{"refused, then back", []func(*upstreamStatus){refused, fine(5 * time.Second)}, true},
		{"nothing listens", []func(*upstreamStatus){fails(fault.NoUpstream)}, false},
		{"nothing listens, then back", []func(*upstreamStatus){fails(fault.NoUpstream), fine(0)}, true},
		{"no report to give", []func(*upstreamStatus){fails(fault.NotFound)}, true},
		{"silent once", []func(*upstreamStatus){fails(fault.UpstreamFailed)}, true},
		{"silent three times", []func(*upstreamStatus){
			fails(fault.UpstreamFailed), fails(fault.UpstreamFailed), fails(fault.UpstreamFailed)}, false},
	}
	chart, err := statechart.Load(chartUpstream)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			u := &upstreamStatus{lifecycle: chart.Start()}
			for _, step := range c.steps {
				step(u)
			}
			if got := u.available(); got != c.want {
				t.Fatalf("available %v in state %s, want %v", got, u.lifecycle.State(), c.want)
			}
		})
	}
}
