// Package simulate runs the loads of reference deployments against models of
// their engines in virtual time. It compares the placement and admission control
// of the product with baseline policies by the answers that callers receive.
package simulate

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/umbercrank/umbercrank/pkg/standin/engine/model"
)

// Distribution is a log-normal distribution with a mean and an upper bound.
type Distribution struct {
	Mean float64
	// Sigma is the standard deviation of the logarithm.
	Sigma float64
	Max   float64
}

// draw returns a random integer of at least one.
func (d Distribution) draw(random *rand.Rand) int {
	value := d.Mean * math.Exp(random.NormFloat64()*d.Sigma-d.Sigma*d.Sigma/2)
	return int(max(min(value, d.Max), 1))
}

// Kind describes a kind of request.
type Kind struct {
	Name string
	// Rate is the number of requests per second.
	Rate     float64
	Priority int
	// Roots and Sessions are the numbers of distinct first and second prompt
	// segments, which requests share. All requests of a session have the same root.
	Roots, Sessions           int
	RootTokens, SessionTokens Distribution
	// UniqueTokens is the length of the rest of the prompt, which is not shared.
	// Events is the number of events of the answer.
	UniqueTokens, Events Distribution
	// Objective bounds the time to the first event and InterEventObjective the time
	// between events of an answer that has its full value. Deadline is the time after
	// which the caller abandons the request.
	Objective, InterEventObjective, Deadline time.Duration
	// Resumable is true if another engine may resume an interrupted stream.
	Resumable bool
	// Repeatable is true if another engine may run a request whose answer has not
	// begun.
	Repeatable bool
	// MaxExecutions bounds the engines that run one attempt of the caller; zero means
	// no bound.
	MaxExecutions int
	// Resent is true if callers resend once a request that failed before its first
	// event.
	Resent bool
	// Worth is the value of an answer of mean size in time, LateWorth that of a late
	// one.
	Worth, LateWorth float64
}

// abandonAfter returns the time without an event after which callers abandon a
// stream: the longest of two seconds, four objectives and eight inter-event
// objectives.
func (k *Kind) abandonAfter() time.Duration {
	return max(2*time.Second, 4*k.Objective, 8*k.InterEventObjective)
}

// Site describes a deployment.
type Site struct {
	Name    string
	Engines int
	Engine  model.Settings
	// QueueLimit is the number of waiting requests at which an engine rejects more.
	QueueLimit int
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	// Entries is the number of instances that place requests independently.
	// ReportInterval is the time between two load reports among them. Instances of a
	// small fleet report to each other, those of a large one through hubs that add
	// up the loads.
	Entries        int
	ReportInterval time.Duration
	// ReportDelay is the time from the snapshot of the loads until the entries know it.
	ReportDelay time.Duration
	// IgnoreFleetSize makes each entry place requests as if it were the only one.
	IgnoreFleetSize bool
	// IgnoreLimits makes the entries ignore the limits of engines, and that some are cold.
	IgnoreLimits bool
	// IgnoreCrashingParts makes the entries ignore crashes that a part of a prompt
	// may have caused.
	IgnoreCrashingParts bool
	// Speeds are factors of the step times of the engines, repeated for all engines. None
	// means that all are equal.
	Speeds []float64
	// CrowdedShare is the share of the engines, from the last one on, that take
	// CrowdedFactor times as long for a step beyond half of a batch.
	CrowdedShare, CrowdedFactor float64
	CapacitySource              CapacitySource
	// Accounts is the number of client accounts that send the requests, or zero. FairShares
	// gives them fair shares.
	Accounts   int
	FairShares bool
	LateDesign LateDesign
	Kinds      []Kind
}

// strictestInterToken returns the shortest inter-token objective of all kinds.
func (s *Site) strictestInterToken() time.Duration {
	strictest := s.Kinds[0].InterEventObjective
	for i := range s.Kinds {
		strictest = min(strictest, s.Kinds[i].InterEventObjective)
	}
	return strictest / time.Duration(s.TokensPerEvent)
}

// Burst multiplies the request rate of a kind for a time.
type Burst struct {
	Kind            string
	Start, Duration time.Duration
	Factor          float64
}

// HotSession moves a share of the requests of a kind to one session.
type HotSession struct {
	Kind            string
	Start, Duration time.Duration
	Share           float64
}

// Outage crashes a share of the engines. They restart with empty caches.
type Outage struct {
	Start, Duration time.Duration
	Share           float64
	// Spread is the time over which they crash, one after the other.
	Spread time.Duration
}

// Slowdown multiplies the step time of a share of the engines.
type Slowdown struct {
	Start, Duration time.Duration
	Share           float64
	Factor          float64
}

// Day describes the course of the load and the faults of a run.
type Day struct {
	Name string
	// Length is the time during which requests arrive.
	Length      time.Duration
	Bursts      []Burst
	HotSessions []HotSession
	Outages     []Outage
	Slowdowns   []Slowdown
	Limits      []EngineLimit
	ColdPeriods []ColdPeriod
	// Floods are those of the accounts of the site.
	Floods []Flood
	// CrashingPart is nil if no part of a prompt crashes engines.
	CrashingPart *CrashingPart
	// EntryRestarts and Partitions disturb the entries, and ReportLoss is the share of
	// their reports on crashes that are lost.
	EntryRestarts []EntryRestart
	Partitions    []Partition
	ReportLoss    float64
}

// dayLength is the length of the reference days before their planned maintenance.
const dayLength = 26 * time.Second

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// engineSettings returns the settings of the engines of the reference deployments.
func engineSettings(stepBase time.Duration, prefillTokensPerMillisecond float64, kvTokens int) model.Settings {
	return model.Settings{
		StepBase:                stepBase,
		StepPerSequence:         16400 * time.Nanosecond,
		StepPerPrefillToken:     time.Duration(float64(time.Millisecond) / prefillTokensPerMillisecond),
		StepPerContextKilotoken: 5100 * time.Nanosecond,
		PrefillPerMegapair:      485 * time.Microsecond,
		MaxBatch:                64,
		PrefillChunk:            1024,
		KVTokens:                kvTokens,
		PrefixTokens:            kvTokens,
	}
}

// The times between two load reports: among eight instances, and through hubs.
const (
	directReportInterval = 40 * time.Millisecond
	hubReportInterval    = 200 * time.Millisecond
	// hubReportDelay is the rest of the way of a report over two hubs, each of which waits
	// for its next heartbeat.
	hubReportDelay = 150 * time.Millisecond
)

// The names of the kinds of request.
const (
	LongPrompts  = "long"
	ShortPrompts = "short"
	// VeryLongPrompts are less urgent than the others.
	VeryLongPrompts = "very long"
)

func longPrompts(rate float64, sessions int, worth, lateWorth float64) Kind {
	return Kind{
		Name: LongPrompts, Rate: rate, Priority: 1, Roots: 4, Sessions: sessions,
		RootTokens: Distribution{2520, 0.4, 6290}, SessionTokens: Distribution{3780, 0.7, 11300},
		UniqueTokens: Distribution{2890, 1, 39600}, Events: Distribution{13, 1.4, 52},
		Objective: 600 * time.Millisecond, InterEventObjective: 250 * time.Millisecond, Deadline: 6 * time.Second,
		Worth: worth, LateWorth: lateWorth,
	}
}

func shortPrompts(rate float64, roots, sessions int, worth, lateWorth float64) Kind {
	return Kind{
		Name: ShortPrompts, Rate: rate, Roots: roots, Sessions: sessions,
		RootTokens: Distribution{119, 0.4, 298}, SessionTokens: Distribution{79.4, 0.7, 238},
		UniqueTokens: Distribution{628, 1, 3310}, Events: Distribution{72.9, 0.69, 200},
		Objective: 250 * time.Millisecond, InterEventObjective: 150 * time.Millisecond, Deadline: 15 * time.Second,
		Resumable: true, Worth: worth, LateWorth: lateWorth,
	}
}

// Sites returns the reference deployments.
func Sites() []Site {
	return []Site{
		{Name: "callbacks", Engines: 9, QueueLimit: 134, TokensPerEvent: 4, Entries: 8, ReportInterval: directReportInterval, Engine: engineSettings(5050*time.Microsecond, 40.8, 368_513),
			Kinds: []Kind{longPrompts(24.5, 138, 4, 1.2), shortPrompts(30.5, 40, 173, 1.4, 0.13)}},
		{Name: "bookings", Engines: 18, QueueLimit: 134, TokensPerEvent: 4, Entries: 8, ReportInterval: directReportInterval, Engine: engineSettings(5230*time.Microsecond, 38.4, 258_710),
			Kinds: []Kind{longPrompts(39.9, 338, 4.7, 1.5), shortPrompts(56.4, 20, 212, 1.1, 0.1)}},
		vouchers(),
		grownCallbacks(),
		grownBookings(),
		grownVouchers(),
		largeCallbacks(),
	}
}

// vouchers returns a site whose engines prefill four times as many tokens in a step,
// so that a step with a full chunk takes about 100 ms.
func vouchers() Site {
	s := Site{Name: "vouchers", Engines: 9, QueueLimit: 268, TokensPerEvent: 2, Entries: 8, ReportInterval: directReportInterval, Engine: engineSettings(6450*time.Microsecond, 56.1, 638_193),
		Kinds: []Kind{longPrompts(8.24, 87, 2.2, 0.67), shortPrompts(14, 20, 149, 2.1, 0.19), veryLongPrompts(11, 52, 1.4, 0.44)}}
	s.Engine.MaxBatch, s.Engine.PrefillChunk = 128, 4096
	s.Engine.StepPerSequence, s.Engine.StepPerContextKilotoken, s.Engine.PrefillPerMegapair = 96700*time.Nanosecond, 2930*time.Nanosecond, 309*time.Microsecond
	long, short := &s.Kinds[0], &s.Kinds[1]
	long.Events = Distribution{26, 1.4, 104}
	long.Objective, long.InterEventObjective, long.Deadline = 1500*time.Millisecond, 300*time.Millisecond, 8*time.Second
	short.RootTokens, short.SessionTokens, short.UniqueTokens = Distribution{210, 0.4, 524}, Distribution{140, 0.7, 419}, Distribution{1110, 1, 3790}
	short.Events = Distribution{86.2, 0.89, 258}
	short.Objective, short.InterEventObjective = 1500*time.Millisecond, 200*time.Millisecond
	return s
}

func veryLongPrompts(rate float64, sessions int, worth, lateWorth float64) Kind {
	return Kind{
		Name: VeryLongPrompts, Rate: rate, Priority: 2, Roots: sessions, Sessions: sessions,
		RootTokens: Distribution{13300, 0.7, 39900}, SessionTokens: Distribution{1, 0, 1},
		UniqueTokens: Distribution{3720, 1.1, 53200}, Events: Distribution{59.9, 1.4, 239},
		Objective: 2500 * time.Millisecond, InterEventObjective: 800 * time.Millisecond, Deadline: 15 * time.Second,
		Resumable: true, Worth: worth, LateWorth: lateWorth,
	}
}

// grownVouchers returns the vouchers site with many more engines and entries. Its
// engines run few requests at once.
func grownVouchers() Site {
	s := vouchers()
	s.Name, s.Engines, s.QueueLimit, s.TokensPerEvent, s.Entries, s.ReportInterval = "vouchers-grown", 140, 48, 4, 61, hubReportInterval
	s.Engine.MaxBatch, s.Engine.KVTokens, s.Engine.PrefixTokens = 16, 524_642, 524_642
	long, short, veryLong := &s.Kinds[0], &s.Kinds[1], &s.Kinds[2]
	long.Rate, long.Sessions, short.Rate, short.Sessions, short.Roots = 121, 1188, 106, 1036, 40
	veryLong.Rate, veryLong.Roots, veryLong.Sessions = 256, 697, 697
	for i := range s.Kinds {
		s.Kinds[i].Events.Mean /= 2
	}
	long.InterEventObjective, long.Deadline = 500*time.Millisecond, 6*time.Second
	short.InterEventObjective = 300 * time.Millisecond
	veryLong.Objective, veryLong.InterEventObjective, veryLong.Deadline = 2*time.Second, 1200*time.Millisecond, 12*time.Second
	return s
}

// grownCallbacks returns the callbacks site with several times as many engines and
// entries.
func grownCallbacks() Site {
	s := Site{Name: "callbacks-grown", Engines: 60, QueueLimit: 100, TokensPerEvent: 5, Entries: 87, ReportInterval: hubReportInterval, Engine: engineSettings(5050*time.Microsecond, 40.8, 356_442),
		Kinds: []Kind{longPrompts(224, 917, 3.8, 1.1), shortPrompts(151, 80, 992, 1.3, 0.12)}}
	s.Engine.MaxBatch = 48
	for i := range s.Kinds {
		s.Kinds[i].Events.Mean *= 0.8
	}
	return s
}

// largeCallbacks returns the callbacks site with 195 entries, each of which sees two or
// three requests a second. Its engines run few requests at once, so that a burst of long
// prompts uses all their prefill.
func largeCallbacks() Site {
	s := Site{Name: "callbacks-large", Engines: 78, QueueLimit: 50, TokensPerEvent: 4, Entries: 195, ReportInterval: hubReportInterval, ReportDelay: hubReportDelay, Engine: engineSettings(5050*time.Microsecond, 40.8, 330_751),
		Kinds: []Kind{longPrompts(228, 1157, 3.4, 1), shortPrompts(126, 78, 826, 1.2, 0.1)}}
	s.Engine.MaxBatch = 24
	long, short := &s.Kinds[0], &s.Kinds[1]
	long.InterEventObjective, long.Deadline = 200*time.Millisecond, 5*time.Second
	short.InterEventObjective = 120 * time.Millisecond
	return s
}

// grownBookings returns the bookings site with several times as many engines and
// entries. Its engines run fewer requests at once.
func grownBookings() Site {
	s := Site{Name: "bookings-grown", Engines: 140, QueueLimit: 48, TokensPerEvent: 5, Entries: 71, ReportInterval: hubReportInterval, Engine: engineSettings(5230*time.Microsecond, 38.4, 226_865),
		Kinds: []Kind{longPrompts(402, 2472, 3.2, 0.99), shortPrompts(149, 40, 651, 0.77, 0.072)}}
	s.Engine.MaxBatch = 16
	s.Engine.StepPerSequence, s.Engine.StepPerContextKilotoken, s.Engine.PrefillPerMegapair = 3670*time.Nanosecond, 8530*time.Nanosecond, 647*time.Microsecond
	for i := range s.Kinds {
		s.Kinds[i].Events.Mean *= 0.8
	}
	s.Kinds[0].InterEventObjective, s.Kinds[0].Deadline = 300*time.Millisecond, 5*time.Second
	s.Kinds[1].Objective, s.Kinds[1].InterEventObjective = 300*time.Millisecond, 200*time.Millisecond
	return s
}

// Days returns the reference days, the one with the least disturbance first.
func Days() []Day {
	waves := []Burst{
		{LongPrompts, seconds(0.5), seconds(9), 2.3},
		{ShortPrompts, seconds(11), seconds(5), 2.1},
		{VeryLongPrompts, seconds(0.5), seconds(9), 2.3},
		{LongPrompts, seconds(17.5), seconds(4.5), 1.8},
		{VeryLongPrompts, seconds(17.5), seconds(4.5), 2},
	}
	return []Day{
		{Name: "steady", Length: dayLength},
		{Name: "waves", Length: dayLength, Bursts: waves},
		{Name: "crashes", Length: dayLength, Bursts: append(waves[:3:3], Burst{LongPrompts, seconds(17.5), seconds(2), 1.8}, Burst{ShortPrompts, seconds(10.7), seconds(4.3), 1.4}),
			HotSessions: []HotSession{{LongPrompts, seconds(7.5), seconds(4.9), 0.27}},
			Outages:     []Outage{{Start: seconds(6.5), Duration: seconds(5.1), Share: 0.1}, {Start: seconds(9.5), Duration: seconds(2), Share: 0.25}}},
		{Name: "crash-in-burst", Length: dayLength, Bursts: append(waves[:3:3], Burst{LongPrompts, seconds(17.5), seconds(4.5), 2.3}),
			Outages: []Outage{{Start: seconds(17.5), Duration: seconds(2), Share: 0.25}}},
		{Name: "crash-in-first-burst", Length: dayLength, Bursts: []Burst{waves[0], {LongPrompts, seconds(8.7), seconds(3.1), 1.5}, waves[1], waves[3]},
			Outages: []Outage{{Start: seconds(5.5), Duration: seconds(2), Share: 0.25}}},
		{Name: "slow-engines", Length: dayLength, Bursts: waves, Slowdowns: []Slowdown{{seconds(4), seconds(12), 0.2, 2.6}}},
	}
}
