// Package simulate plays the loads of the users' sites on models of their
// engines in virtual time, under the product's decisions on placing and refusing
// and under baselines, and reports what callers get.
package simulate

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/umbercrank/umbercrank/pkg/standin/engine/model"
)

// Distribution is log-normal with a mean and an upper bound.
type Distribution struct {
	Mean float64
	// Spread is the standard deviation of the logarithm.
	Spread float64
	Max    float64
}

// draw returns a whole number of at least one.
func (d Distribution) draw(random *rand.Rand) int {
	value := d.Mean * math.Exp(random.NormFloat64()*d.Spread-d.Spread*d.Spread/2)
	return int(max(min(value, d.Max), 1))
}

// Kind is a kind of request.
type Kind struct {
	Name string
	// Rate is the number of requests a second.
	Rate     float64
	Priority int
	// Roots and Sessions are the numbers of the first and the second part of
	// prompts that requests share; a session always has the same root.
	Roots, Sessions           int
	RootTokens, SessionTokens Distribution
	// OwnTokens is the rest of the prompt, Events the events of the answer.
	OwnTokens, Events Distribution
	// Objective is the time to the first event and Pause that between events in
	// which an answer is worth its full value, Deadline the caller's time.
	Objective, Pause, Deadline time.Duration
	// Resumable says that a stream may go on at another engine.
	Resumable bool
	// Worth is the value of an answer of mean size in time, Late that of a later one.
	Worth, Late float64
}

// patience is the pause after which callers leave a stream, as stated by the
// users: two seconds, four objectives or eight pauses.
func (k *Kind) patience() time.Duration { return max(2*time.Second, 4*k.Objective, 8*k.Pause) }

// Site is a deployment.
type Site struct {
	Name    string
	Engines int
	Engine  model.Settings
	// Queue is the number of requests that wait at an engine before it is full.
	Queue int
	// Stride is the number of tokens in one event of a stream.
	Stride int
	// Entries is the number of instances that decide independently, and Hearing the
	// time between two reports of their work to each other: directly in a small
	// fleet, summed up by hubs in a large one.
	Entries int
	Hearing time.Duration
	// TrustsReports has entries of a large fleet decide as those of a small one.
	TrustsReports bool
	Kinds         []Kind
}

// Burst multiplies the requests of a kind for a while.
type Burst struct {
	Kind     string
	At, For  time.Duration
	Multiple float64
}

// Hot sends a share of a kind's requests to one session.
type Hot struct {
	Kind    string
	At, For time.Duration
	Share   float64
}

// Outage takes a share of the engines away; they come back empty.
type Outage struct {
	At, For time.Duration
	Share   float64
}

// Slowdown makes a share of the engines slower.
type Slowdown struct {
	At, For  time.Duration
	Share    float64
	Multiple float64
}

// Day is what happens while a load is played.
type Day struct {
	Name string
	// Length is the time in which requests come.
	Length    time.Duration
	Bursts    []Burst
	Hot       []Hot
	Outages   []Outage
	Slowdowns []Slowdown
}

// dayLength is that of the users' days up to their planned work.
const dayLength = 26 * time.Second

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// engine has the times of the users' engines, as stated.
func engine(step time.Duration, tokensPerMillisecond float64, memory int) model.Settings {
	return model.Settings{
		StepBase:                step,
		StepPerSequence:         16400 * time.Nanosecond,
		StepPerPrefillToken:     time.Duration(float64(time.Millisecond) / tokensPerMillisecond),
		StepPerContextKilotoken: 5100 * time.Nanosecond,
		PrefillPerMegapair:      485 * time.Microsecond,
		MaxBatch:                64,
		PrefillChunk:            1024,
		KVTokens:                memory,
		PrefixTokens:            memory,
	}
}

// The times between two reports, as measured: in fleets of eight, and by way of
// hubs.
const (
	directHearing = 40 * time.Millisecond
	hubHearing    = 200 * time.Millisecond
)

// The kinds of request of the users, by the length of their prompts.
const (
	LongPrompts  = "long"
	ShortPrompts = "short"
)

func long(rate float64, sessions int, worth, late float64) Kind {
	return Kind{
		Name: LongPrompts, Rate: rate, Priority: 1, Roots: 4, Sessions: sessions,
		RootTokens: Distribution{2520, 0.4, 6290}, SessionTokens: Distribution{3780, 0.7, 11300},
		OwnTokens: Distribution{2890, 1, 39600}, Events: Distribution{13, 1.4, 52},
		Objective: 600 * time.Millisecond, Pause: 250 * time.Millisecond, Deadline: 6 * time.Second,
		Worth: worth, Late: late,
	}
}

func short(rate float64, roots, sessions int, worth, late float64) Kind {
	return Kind{
		Name: ShortPrompts, Rate: rate, Roots: roots, Sessions: sessions,
		RootTokens: Distribution{119, 0.4, 298}, SessionTokens: Distribution{79.4, 0.7, 238},
		OwnTokens: Distribution{628, 1, 3310}, Events: Distribution{72.9, 0.69, 200},
		Objective: 250 * time.Millisecond, Pause: 150 * time.Millisecond, Deadline: 15 * time.Second,
		Resumable: true, Worth: worth, Late: late,
	}
}

// Sites returns the users' deployments: what they state of engines and requests.
func Sites() []Site {
	return []Site{
		{Name: "callbacks", Engines: 9, Queue: 134, Stride: 4, Entries: 8, Hearing: directHearing, Engine: engine(5050*time.Microsecond, 40.8, 368_513),
			Kinds: []Kind{long(24.5, 138, 4, 1.2), short(30.5, 40, 173, 1.4, 0.13)}},
		{Name: "bookings", Engines: 18, Queue: 134, Stride: 4, Entries: 8, Hearing: directHearing, Engine: engine(5230*time.Microsecond, 38.4, 258_710),
			Kinds: []Kind{long(39.9, 338, 4.7, 1.5), short(56.4, 20, 212, 1.1, 0.1)}},
		grownCallbacks(),
		grownBookings(),
	}
}

// grownCallbacks is the first deployment with several times as many machines.
func grownCallbacks() Site {
	s := Site{Name: "callbacks-grown", Engines: 60, Queue: 100, Stride: 5, Entries: 87, Hearing: hubHearing, Engine: engine(5050*time.Microsecond, 40.8, 356_442),
		Kinds: []Kind{long(224, 917, 3.8, 1.1), short(151, 80, 992, 1.3, 0.12)}}
	s.Engine.MaxBatch = 48
	for i := range s.Kinds {
		s.Kinds[i].Events.Mean *= 0.8
	}
	return s
}

// grownBookings is the same of the second, whose engines run few requests at once.
func grownBookings() Site {
	s := Site{Name: "bookings-grown", Engines: 140, Queue: 48, Stride: 5, Entries: 71, Hearing: hubHearing, Engine: engine(5230*time.Microsecond, 38.4, 226_865),
		Kinds: []Kind{long(402, 2472, 3.2, 0.99), short(149, 40, 651, 0.77, 0.072)}}
	s.Engine.MaxBatch = 16
	s.Engine.StepPerSequence, s.Engine.StepPerContextKilotoken, s.Engine.PrefillPerMegapair = 3670*time.Nanosecond, 8530*time.Nanosecond, 647*time.Microsecond
	for i := range s.Kinds {
		s.Kinds[i].Events.Mean *= 0.8
	}
	s.Kinds[0].Pause, s.Kinds[0].Deadline = 300*time.Millisecond, 5*time.Second
	s.Kinds[1].Objective, s.Kinds[1].Pause = 300*time.Millisecond, 200*time.Millisecond
	return s
}

// Days returns days like the users' standard ones, from the calmest on.
func Days() []Day {
	waves := []Burst{
		{LongPrompts, seconds(0.5), seconds(9), 2.3},
		{ShortPrompts, seconds(11), seconds(5), 2.1},
		{LongPrompts, seconds(17.5), seconds(4.5), 1.8},
	}
	return []Day{
		{Name: "steady", Length: dayLength},
		{Name: "waves", Length: dayLength, Bursts: waves},
		{Name: "crashes", Length: dayLength, Bursts: append(waves[:2:2], Burst{LongPrompts, seconds(17.5), seconds(2), 1.8}, Burst{ShortPrompts, seconds(10.7), seconds(4.3), 1.4}),
			Hot:     []Hot{{LongPrompts, seconds(7.5), seconds(4.9), 0.27}},
			Outages: []Outage{{seconds(6.5), seconds(5.1), 0.1}, {seconds(9.5), seconds(2), 0.25}}},
		{Name: "crash-in-burst", Length: dayLength, Bursts: append(waves[:2:2], Burst{LongPrompts, seconds(17.5), seconds(4.5), 2.3}),
			Outages: []Outage{{seconds(17.5), seconds(2), 0.25}}},
		{Name: "slow-engines", Length: dayLength, Bursts: waves, Slowdowns: []Slowdown{{seconds(4), seconds(12), 0.2, 2.6}}},
	}
}
