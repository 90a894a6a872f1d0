package capacity

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// TestReportOfLargeFleetIsSmall bounds the report of a hub to one of its spokes: the sums of two
// load classes of each of 312 upstreams in an interval of half a second.
func TestReportOfLargeFleetIsSmall(t *testing.T) {
	sums := NewSums()
	for i := range 312 {
		for class := range Class(2) {
			for range 50 {
				sums.Add(time.Hour, []Summary{{Process: Process{types.UpstreamID(fmt.Sprintf("worker-lac-%03d", i)), 1_700_000_000_000}, Class: class, Ago: 100 * time.Millisecond, Count: 3, Sum: 6.123456789}})
			}
		}
	}
	summaries := sums.Take(time.Hour)
	text, err := json.Marshal(summaries)
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	var decoded []Summary
	if err := json.Unmarshal(text, &decoded); err != nil || len(decoded) != 624 {
		t.Fatal(err, len(decoded))
	}
	t.Logf("%d summaries in %d bytes, decoded in %v", len(summaries), len(text), time.Since(start))
	if len(text) > 64<<10 {
		t.Errorf("the report has %d bytes", len(text))
	}
}
