package pool

import "time"

const (
	// ownHistorySize is the number of own counts kept for comparison with load
	// reports.
	ownHistorySize = 64
	// ownHistoryInterval is the minimum time between two kept counts.
	ownHistoryInterval = 100 * time.Millisecond
	// reportAgeTolerance is the possible error in the age of a report.
	reportAgeTolerance = 500 * time.Millisecond
	// reportTTL is how long a report is used.
	reportTTL = 10 * time.Second
)

// externalLoad estimates the work on an upstream that this pool did not grant,
// for example work of another dispatcher during a partition. Reports lag, so
// each one is compared with the pool's own count at the time that it describes.
type externalLoad struct {
	times      [ownHistorySize]time.Duration
	counts     [ownHistorySize]int
	next       int
	filled     int
	others     int
	reportedAt time.Duration
}

// recordOwn adds the pool's own count to the history.
func (l *externalLoad) recordOwn(now time.Duration, own int) {
	last := (l.next + ownHistorySize - 1) % ownHistorySize
	if l.filled > 0 && now-l.times[last] < ownHistoryInterval {
		l.counts[last] = max(l.counts[last], own)
		return
	}
	l.times[l.next] = now
	l.counts[l.next] = own
	l.next = (l.next + 1) % ownHistorySize
	l.filled = min(l.filled+1, ownHistorySize)
}

// recordReport processes a load report that describes the upstream as it was age
// ago.
func (l *externalLoad) recordReport(now, age time.Duration, load, own int) {
	l.reportedAt = now
	l.others = max(load-l.maxOwnNear(now-age, own), 0)
}

// maxOwnNear returns the largest own count near the time, including the last
// count recorded before that period.
func (l *externalLoad) maxOwnNear(at time.Duration, current int) int {
	most, before, found := 0, current, false
	for i := range l.filled {
		index := (l.next + ownHistorySize - 1 - i) % ownHistorySize
		if l.times[index] < at-reportAgeTolerance {
			before, found = l.counts[index], true
			break
		}
		if l.times[index] <= at+reportAgeTolerance {
			most = max(most, l.counts[index])
		}
	}
	if found {
		most = max(most, before)
	}
	return most
}

// current returns the estimated load, or zero if the last report is too old.
func (l *externalLoad) current(now time.Duration) int {
	if now-l.reportedAt > reportTTL {
		return 0
	}
	return l.others
}
