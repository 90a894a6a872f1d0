package fairshare

import (
	"encoding/json"
	"testing"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// reportOfAll returns a report of two groups with 24 accounts each, which are short.
func reportOfAll() Report {
	var report Report
	for priority := range 2 {
		sum := Sum{Group: Group{"engines", priority}, Accounts: make(map[types.AccountID]Work)}
		for i := range 24 {
			sum.Accounts[accountName(i)] = Work{Offered: 30 * zipf(i), Admitted: 10 * zipf(i)}
		}
		report.Sums = append(report.Sums, sum)
	}
	return report
}

// BenchmarkHubSecond measures what a hub of 24 spokes and 7 other hubs does in a second.
func BenchmarkHubSecond(b *testing.B) {
	text, err := json.Marshal(reportOfAll())
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		for range 2 {
			reports := make([]Report, 31)
			for i := range reports {
				if json.Unmarshal(text, &reports[i]) != nil || !reports[i].Valid() {
					b.Fatal("the report is invalid")
				}
			}
			fleet := Add(reports...)
			condensed := fleet.Condensed()
			for range 24 {
				if _, err := json.Marshal(condensed); err != nil {
					b.Fatal(err)
				}
			}
		}
	}
}

// BenchmarkJudge measures the decision on one request at a spoke.
func BenchmarkJudge(b *testing.B) {
	report := reportOfAll()
	table := NewTable()
	table.SetFleet(0, report.Condensed())
	for b.Loop() {
		table.Judge(0, Group{"engines", 1}, "account-01", 0.5)
		table.Record(0, Group{"engines", 1}, "account-01", 34, Admitted)
	}
}
