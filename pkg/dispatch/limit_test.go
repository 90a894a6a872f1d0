package dispatch

import (
	"encoding/json"
	"testing"

	"github.com/rs/zerolog"

	"github.com/umbercrank/umbercrank/pkg/permit"
)

func TestLimitInLoadReport(t *testing.T) {
	for text, want := range map[string]permit.Limit{
		`{}`:                                           {},
		`{"max_requests_per_second":2.2}`:              {PerSecond: 2.2, Limited: true},
		`{"max_requests_per_second":0}`:                {Limited: true},
		`{"max_requests_per_second":1e6}`:              {PerSecond: 1e6, Limited: true},
		`{"running":3,"max_requests_per_second":0.25}`: {PerSecond: 0.25, Limited: true},
	} {
		var report LoadReport
		if err := json.Unmarshal([]byte(text), &report); err != nil {
			t.Fatal(err)
		}
		if got, err := report.limit(); err != nil || got != want {
			t.Errorf("%s: %+v, %v", text, got, err)
		}
	}
	for _, text := range []string{`-1`, `"2"`, `[2,3]`, `1e7`, `1e400`, `{}`} {
		var report LoadReport
		if err := json.Unmarshal([]byte(`{"running":3,"max_requests_per_second":`+text+`}`), &report); err != nil || report.Running != 3 {
			t.Fatalf("%s: the report is unreadable: %v", text, err)
		}
		if got, err := report.limit(); err == nil {
			t.Errorf("%s: %+v", text, got)
		}
		status := &upstreamStatus{limit: permit.Limit{PerSecond: 3, Limited: true}}
		if got := status.updateLimit(zerolog.Nop(), report); got != status.limit || got.PerSecond != 3 {
			t.Errorf("%s changes the limit to %+v", text, got)
		}
	}
}
