package dispatch

import (
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/statechart"
)

func TestUpstreamStatusAvailability(t *testing.T) {
	began := time.Now()
	report := func(at time.Duration) func(*upstreamStatus) {
		return func(u *upstreamStatus) { u.apply(LoadReport{}, nil, began.Add(at)) }
	}
	agedReport := func(at, age time.Duration) func(*upstreamStatus) {
		return func(u *upstreamStatus) {
			u.apply(LoadReport{AgeMilliseconds: age.Milliseconds()}, nil, began.Add(at))
		}
	}
	leavingReport := func(u *upstreamStatus) { u.apply(LoadReport{Leaving: true}, nil, began) }
	leave := func(u *upstreamStatus) { u.leave(began) }
	failure := func(code fault.Code) func(*upstreamStatus) {
		return func(u *upstreamStatus) { u.apply(LoadReport{}, fault.New(code, "test"), began) }
	}
	cases := []struct {
		name  string
		steps []func(*upstreamStatus)
		want  bool
	}{
		{"not polled", nil, false},
		{"report", []func(*upstreamStatus){report(0)}, true},
		{"report says leaving", []func(*upstreamStatus){report(0), leavingReport}, false},
		{"attempt refused as leaving", []func(*upstreamStatus){report(0), leave}, false},
		{"refused, then an older report", []func(*upstreamStatus){leave, agedReport(4*time.Second, 3*time.Second)}, false},
		{"refused, then a report within the margin", []func(*upstreamStatus){leave, report(time.Second)}, false},
		{"refused, then a report after the margin", []func(*upstreamStatus){leave, report(5 * time.Second)}, true},
		{"connection refused", []func(*upstreamStatus){failure(fault.NoUpstream)}, false},
		{"connection refused, then a report", []func(*upstreamStatus){failure(fault.NoUpstream), report(0)}, true},
		{"no load report provided", []func(*upstreamStatus){failure(fault.NotFound)}, true},
		{"one failed poll", []func(*upstreamStatus){failure(fault.UpstreamFailed)}, true},
		{"three failed polls", []func(*upstreamStatus){
			failure(fault.UpstreamFailed), failure(fault.UpstreamFailed), failure(fault.UpstreamFailed)}, false},
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
