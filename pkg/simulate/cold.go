package simulate

import (
	"time"

	"github.com/umbercrank/umbercrank/pkg/permit"
	"github.com/umbercrank/umbercrank/pkg/roster"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// ColdPeriod makes a share of the engines cold: slow, and crashing if they get too many requests.
type ColdPeriod struct {
	Start, Duration time.Duration
	Share           float64
	// PerSecond is the rate that a cold engine tolerates from all entries together, and
	// SlowFactor multiplies its step time.
	PerSecond, SlowFactor float64
}

const (
	// coldKnownAfter is the time after which the entries know that an engine is cold: that
	// of a change of the published list.
	coldKnownAfter = 20 * time.Millisecond
	// coldWindow is the time over which the requests to a cold engine are counted, coldOver
	// times its rate and coldSlack are what it survives in that time.
	coldWindow = time.Second
	coldOver   = 1.5
	coldSlack  = 5
	// coldCrashTime is the time after which an engine restarts that crashed because it got
	// more.
	coldCrashTime = 3 * time.Second
)

// coldState has the engines that are cold.
type coldState struct {
	// periods are the periods in force.
	periods map[engineID]ColdPeriod
	// revisions counts the changes of each engine's entry, and coldFor is what it says.
	revisions map[engineID]types.Revision
	coldFor   map[engineID]time.Duration
	// arrivals are the requests to each cold engine since the period is known.
	arrivals map[engineID][]time.Duration
	// overrun are the engines that crash at the next tick because they got too many.
	overrun []engineID
	crashes int
}

func newColdState() *coldState {
	return &coldState{periods: make(map[engineID]ColdPeriod), revisions: make(map[engineID]types.Revision), coldFor: make(map[engineID]time.Duration), arrivals: make(map[engineID][]time.Duration)}
}

// updateCold applies the periods that begin, become known or end now.
func (sim *simulation) updateCold() {
	for _, id := range sim.cold.overrun {
		if !sim.engines[id].down {
			sim.cold.crashes++
			sim.crash([]engineID{id}, coldCrashTime)
		}
	}
	sim.cold.overrun = nil
	for _, period := range sim.day.ColdPeriods {
		switch sim.now {
		case period.Start:
			for _, id := range sim.selectEngines(period.Share, period.Start) {
				sim.cold.periods[id] = period
				sim.engines[id].engine.SetStraggle(period.SlowFactor)
			}
		case period.Start + coldKnownAfter:
			sim.publishCold(period, period.Duration)
		case period.Start + period.Duration:
			for _, id := range sim.selectEngines(period.Share, period.Start) {
				delete(sim.cold.periods, id)
				sim.engines[id].engine.SetStraggle(1)
			}
		case period.Start + period.Duration + coldKnownAfter:
			sim.publishCold(period, 0)
		}
	}
}

// publishCold changes the entries of the engines of a period. Entries that ignore limits are not
// told, as before there were cold periods.
func (sim *simulation) publishCold(period ColdPeriod, coldFor time.Duration) {
	if sim.site.IgnoreLimits {
		return
	}
	for _, id := range sim.selectEngines(period.Share, period.Start) {
		sim.cold.revisions[id]++
		sim.cold.coldFor[id] = coldFor
	}
	sim.publishEngines()
}

// withCold adds to an entry of the published list whether the engine is cold.
func (sim *simulation) withCold(upstream roster.Upstream) roster.Upstream {
	upstream.ColdFor, upstream.Revision = sim.cold.coldFor[upstream.ID], sim.cold.revisions[upstream.ID]
	return upstream
}

// coldLimit returns the limit of an engine that the entry knows to be cold.
func (sim *simulation) coldLimit(r *request, id engineID) permit.Limit {
	if _, cold := sim.rosters[r.entry].FindCold(sim.now, id); !cold {
		return permit.Limit{}
	}
	return permit.ColdLimit(sim.cold.periods[id].PerSecond)
}

// recordColdArrival counts a request to a cold engine, which crashes if it gets too many.
// Requests before the entries can know that it is cold are not counted.
func (sim *simulation) recordColdArrival(id engineID) {
	period, cold := sim.cold.periods[id]
	if !cold || sim.now < period.Start+coldKnownAfter {
		return
	}
	sim.cold.arrivals[id] = append(sim.cold.arrivals[id], sim.now)
	recent := 0
	for _, at := range sim.cold.arrivals[id] {
		if sim.now-at <= coldWindow {
			recent++
		}
	}
	if float64(recent) > coldOver*period.PerSecond+coldSlack {
		sim.cold.overrun = append(sim.cold.overrun, id)
	}
}

// ColdUse tells how the bounds of cold engines were kept.
type ColdUse struct {
	// Most is the largest number of requests to one cold engine in coldWindow.
	Most int `json:"most"`
	// Requests is the number of requests to all of them, and Crashes the number of crashes
	// because of too many.
	Requests int `json:"requests"`
	Crashes  int `json:"crashes"`
}

// coldUse returns how the bounds of the day's cold engines were kept.
func (sim *simulation) coldUse() ColdUse {
	use := ColdUse{Crashes: sim.cold.crashes}
	for _, times := range sim.cold.arrivals {
		use.Requests += len(times)
		use.Most = max(use.Most, permit.MostInWindow(times, coldWindow))
	}
	return use
}
