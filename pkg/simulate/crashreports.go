package simulate

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/quarantine"
)

const (
	// hubs is the number of hubs of a fleet above fullMeshLimit.
	hubs = 4
	// fullReportRetry is the time after which an entry sends a full report because one
	// was lost or the receiver restarted.
	fullReportRetry = time.Second
	// directFullInterval and hubFullInterval are the times between two periodic full
	// reports: in a full mesh, and from a hub.
	directFullInterval, hubFullInterval = time.Second, 10 * time.Second
	// maxFullReport is the number of table entries in a full report.
	maxFullReport = 32
	// maxQueuedReports is the number of reports that wait for a link. Further ones are
	// dropped.
	maxQueuedReports = 256
)

// link is a connection between two entries.
type link struct{ from, to int }

// queuedReport is a report that is due at the next exchange.
type queuedReport struct {
	report quarantine.Entry
	// from is the entry from which it came.
	from int
	// spokesOnly is true if it came from another hub.
	spokesOnly bool
}

// crashReports holds the reports on crashes among the entries.
type crashReports struct {
	entries int
	// receivers are the entries to which each entry sends its reports.
	receivers [][]int
	queues    [][]queuedReport
	// fullAt is the time of the full report that is due on a link.
	fullAt map[link]time.Duration
}

func newCrashReports(entries int) *crashReports {
	c := &crashReports{entries: entries, queues: make([][]queuedReport, entries), fullAt: make(map[link]time.Duration)}
	for from := range entries {
		var receivers []int
		for to := range entries {
			if to != from && c.linked(from, to) {
				receivers = append(receivers, to)
			}
		}
		c.receivers = append(c.receivers, receivers)
	}
	return c
}

func (c *crashReports) direct() bool         { return c.entries <= fullMeshLimit }
func (c *crashReports) isHub(entry int) bool { return !c.direct() && entry < hubs }

// linked reports whether two entries report to each other: all of a full mesh, all hubs,
// and each hub and its spokes.
func (c *crashReports) linked(a, b int) bool {
	return c.direct() || c.isHub(a) && c.isHub(b) || c.isHub(a) && b%hubs == a || c.isHub(b) && a%hubs == b
}

// add queues the reports of an entry itself.
func (c *crashReports) add(from int, reports ...quarantine.Entry) {
	for _, report := range reports {
		c.queues[from] = append(c.queues[from], queuedReport{report: report, from: from})
	}
}

// relay queues the reports that a hub has received.
func (c *crashReports) relay(via link, reports []quarantine.Entry) {
	if !c.isHub(via.to) {
		return
	}
	for _, report := range reports {
		c.queues[via.to] = append(c.queues[via.to], queuedReport{report: report, from: via.from, spokesOnly: c.isHub(via.from)})
	}
}

// reconnect schedules full reports to a restarted entry.
func (c *crashReports) reconnect(now time.Duration, entry int) {
	c.queues[entry] = nil
	for _, peer := range c.receivers[entry] {
		c.fullAt[link{peer, entry}] = now + fullReportRetry
	}
}

// message returns the reports that are due on a link.
func (c *crashReports) message(now time.Duration, on link, queue []queuedReport, table *quarantine.Table) []quarantine.Entry {
	var full, reports []quarantine.Entry
	at, scheduled := c.fullAt[on]
	periodic := c.direct() && now%directFullInterval == 0 || c.isHub(on.from) && now%hubFullInterval == 0
	if scheduled && now >= at || periodic {
		delete(c.fullAt, on)
		full = table.List(now, maxFullReport)
	}
	for _, queued := range queue {
		if len(reports) < maxQueuedReports && queued.from != on.to && !(queued.spokesOnly && c.isHub(on.to)) {
			reports = append(reports, queued.report)
		}
	}
	return append(full, reports...)
}

// exchangeCrashReports delivers the reports that are due. Those that pass a hub take an
// interval for each hop.
func (sim *simulation) exchangeCrashReports() {
	if !sim.parts.judged {
		return
	}
	reports := sim.parts.reports
	for entry, table := range sim.parts.tables {
		reports.add(entry, table.Corrections(sim.now)...)
	}
	queues := reports.queues
	reports.queues = make([][]queuedReport, reports.entries)
	for from, receivers := range reports.receivers {
		for _, to := range receivers {
			on := link{from, to}
			message := reports.message(sim.now, on, queues[from], sim.parts.tables[from])
			if len(message) == 0 {
				continue
			}
			if sim.losesReport(on) {
				reports.fullAt[on] = sim.now + fullReportRetry
				continue
			}
			sim.parts.tables[to].Merge(sim.now, message)
			reports.relay(on, message)
		}
	}
}

// losesReport reports whether a message is lost.
func (sim *simulation) losesReport(on link) bool {
	for _, partition := range sim.day.Partitions {
		if on.from%2 != on.to%2 && sim.now >= partition.Start && sim.now < partition.Start+partition.Duration {
			return true
		}
	}
	return sim.day.ReportLoss > 0 && sim.parts.random.Float64() < sim.day.ReportLoss
}
