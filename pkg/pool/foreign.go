package pool

import "time"

const (
	// loadHistory is the number of own counts kept for comparison with reports.
	loadHistory = 64
	// loadHistorySpacing is the time between two kept counts.
	loadHistorySpacing = 100 * time.Millisecond
	// loadReportTolerance is how far the age of a report may be off.
	loadReportTolerance = 500 * time.Millisecond
	// loadReportLife is how long a report tells of the work of others.
	loadReportLife = 10 * time.Second
)

// foreignLoad estimates the work on an upstream that this pool did not grant,
// such as that of another dispatcher during a partition. Reports lag, so each
// is compared with the own count at the time that it describes.
type foreignLoad struct {
	times    [loadHistory]time.Duration
	counts   [loadHistory]int
	next     int
	filled   int
	others   int
	reported time.Duration
}

// note keeps the own count.
func (f *foreignLoad) note(now time.Duration, own int) {
	last := (f.next + loadHistory - 1) % loadHistory
	if f.filled > 0 && now-f.times[last] < loadHistorySpacing {
		f.counts[last] = max(f.counts[last], own)
		return
	}
	f.times[f.next] = now
	f.counts[f.next] = own
	f.next = (f.next + 1) % loadHistory
	f.filled = min(f.filled+1, loadHistory)
}

// report takes the load that the upstream gives for a time in the past.
func (f *foreignLoad) report(now, age time.Duration, load, own int) {
	f.reported = now
	f.others = max(load-f.ownAround(now-age, own), 0)
}

// ownAround returns the largest own count near the time; the count before it
// holds when none was kept in between.
func (f *foreignLoad) ownAround(at time.Duration, current int) int {
	most, before, found := 0, current, false
	for i := range f.filled {
		index := (f.next + loadHistory - 1 - i) % loadHistory
		if f.times[index] < at-loadReportTolerance {
			before, found = f.counts[index], true
			break
		}
		if f.times[index] <= at+loadReportTolerance {
			most = max(most, f.counts[index])
		}
	}
	if found {
		most = max(most, before)
	}
	return most
}

// at returns the work of others that is still believed.
func (f *foreignLoad) at(now time.Duration) int {
	if now-f.reported > loadReportLife {
		return 0
	}
	return f.others
}
