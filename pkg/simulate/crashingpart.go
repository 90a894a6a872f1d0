package simulate

import (
	"fmt"
	"iter"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/quarantine"
	"github.com/umbercrank/umbercrank/pkg/rendezvous"
	"github.com/umbercrank/umbercrank/pkg/standin/engine/model"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// CrashingPart is a part of prompts that crashes each engine that begins an answer on
// it. It is never the last part of a prompt.
type CrashingPart struct {
	Start time.Duration
	// Share of the requests hold the part from Start on.
	Share float64
	// Together is the share of these requests that have the first session of their
	// kind. The others have a random one, or none.
	Together float64
	// RestartAfter is the time after which a crashed engine is back.
	RestartAfter time.Duration
	// Existing names a part that requests of the site share. It crashes engines from Start on, in
	// place of a part that is added to a share of the requests.
	Existing string
}

// EntryRestart restarts all entries, evenly over a time. They lose their loads and
// tables; their requests in flight go on.
type EntryRestart struct {
	Start, Duration time.Duration
}

// Partition cuts the entries with an odd number off from the reports of the others.
type Partition struct {
	Start, Duration time.Duration
}

const (
	// crashingPartName is the name of the part, crashingPartTokens its length.
	crashingPartName   = "crashing part"
	crashingPartTokens = 250
	// onlyPartShare is the share of the requests with a crashing part that have no
	// session.
	onlyPartShare = 0.3
	// toleratedCrashes is the number of crashes after which the part is to be known to
	// all entries within knownAfter, and sound requests are served as usual after
	// settledAfter.
	toleratedCrashes         = 5
	knownAfter, settledAfter = 3 * time.Second, 6 * time.Second
	// calmMargin is the time before a crash in which a request may still be waiting for
	// its first event.
	calmMargin = time.Second
)

// requestParts holds what the play of crashing parts knows of a request.
type requestParts struct {
	// crashes is true if the request holds the crashing part.
	crashes bool
	// holdsExisting is true if it holds the existing part that crashes engines later.
	holdsExisting bool
	// refused is true if an entry refused the request for one of its parts.
	refused bool
	// unsettled is true if the request arrived at an entry that had just restarted.
	unsettled bool
	// beganAtFirstAttempt is true if the first event arrived in the first attempt of
	// the caller.
	beganAtFirstAttempt bool
	// sentAt is the time at which the last engine accepted the request.
	sentAt time.Duration
	// fingerprints identify the parts except for the last.
	fingerprints []quarantine.Fingerprint
}

// partExecution is an execution of a request with the crashing part.
type partExecution struct {
	at time.Duration
	// unsettled is true if the entry had just restarted.
	unsettled bool
}

// partState is the state of the play of crashing parts.
type partState struct {
	// random is a source of its own, so that the other draws do not depend on this play.
	random *rand.Rand
	// tables are those of the entries; startedAt is the time of their last restart.
	tables    []*quarantine.Table
	startedAt []time.Duration
	reports   *crashReports
	// judged is true if the entries refuse requests for their parts.
	judged bool
	// crashes are the times of the crashes by the part, kills those of all others.
	crashes, kills []time.Duration
	executions     []partExecution
}

func newPartState(site Site, policy PolicyName, seed uint64) *partState {
	parts := &partState{
		random: rand.New(rand.NewPCG(seed, 9)), startedAt: make([]time.Duration, site.Entries), reports: newCrashReports(site.Entries),
		judged: policy == Product && !site.IgnoreCrashingParts,
	}
	for entry := range site.Entries {
		parts.tables = append(parts.tables, newPartTable(entry, site.Entries))
	}
	return parts
}

// newPartTable returns the table of an entry that has just started.
func newPartTable(entry, entries int) *quarantine.Table {
	settings := quarantine.DefaultSettings()
	settings.TrialJitter = float64(entry) / float64(entries)
	settings.MayTry = func(part quarantine.Fingerprint) bool {
		return rendezvous.AmongFirst(part.String(), entryID(entry), entryIDs(entries), quarantine.TrialInstances)
	}
	return quarantine.NewTable(settings)
}

func entryID(entry int) types.InstanceID { return types.InstanceID("e" + strconv.Itoa(entry)) }

// entryIDs yields the IDs of all entries.
func entryIDs(entries int) iter.Seq[types.InstanceID] {
	return func(yield func(types.InstanceID) bool) {
		for entry := range entries {
			if !yield(entryID(entry)) {
				return
			}
		}
	}
}

// addParts adds the crashing part to a share of the requests.
func (sim *simulation) addParts(r *request, names ...string) {
	r.parts.unsettled = sim.unsettled(r.entry)
	if crashing := sim.day.CrashingPart; crashing != nil && crashing.Existing != "" {
		r.parts.holdsExisting = slices.Contains(names, crashing.Existing)
		r.parts.crashes = r.parts.holdsExisting && sim.now >= crashing.Start
	} else if crashing != nil && sim.now >= crashing.Start && sim.parts.random.Float64() < crashing.Share {
		sim.addCrashingPart(r, crashing.Together, names)
	}
	if sim.parts.judged {
		for _, part := range r.work.Segments[:len(r.work.Segments)-1] {
			r.parts.fingerprints = append(r.parts.fingerprints, quarantine.FingerprintOfPart(part.ID))
		}
	}
}

// addCrashingPart adds the crashing part to a request with the named shared parts.
func (sim *simulation) addCrashingPart(r *request, together float64, names []string) {
	r.parts.crashes = true
	shared := r.segments
	switch draw := sim.parts.random.Float64(); {
	case draw < together:
		names[1] = sessionName(r.kind, 0)
		shared = []model.PromptSegment{shared[0], {ID: xxhash.Sum64String(names[1]), Tokens: sim.sessions[r.kind.Name][0]}}
	case draw < together+(1-together)*onlyPartShare:
		names, shared = names[:1], shared[:1]
	}
	names = append(names, crashingPartName)
	r.segments = append(slices.Clone(shared), model.PromptSegment{ID: xxhash.Sum64String(crashingPartName), Tokens: crashingPartTokens})
	r.work.Segments, r.work.Tokens = nil, r.uniqueTokens
	for i, segment := range r.segments {
		r.work.Segments = append(r.work.Segments, placement.PromptSegment{ID: names[i], Tokens: segment.Tokens})
		r.work.Tokens += segment.Tokens
	}
	r.work.Segments = append(r.work.Segments, placement.PromptSegment{ID: string(r.id), Tokens: r.uniqueTokens})
}

// beginsCrash reports whether the engine that begins an answer to the request crashes.
func (sim *simulation) beginsCrash(r *request) bool {
	if r.parts.holdsExisting && r.generatedTokens == 0 && sim.now >= sim.day.CrashingPart.Start {
		r.parts.crashes = true
	}
	return r.parts.crashes
}

func sessionName(kind *Kind, session int) string { return fmt.Sprint(kind.Name, "-session", session) }

// unsettled reports whether an entry restarted less than knownAfter ago.
func (sim *simulation) unsettled(entry int) bool {
	startedAt := sim.parts.startedAt[entry]
	return startedAt > 0 && sim.now < startedAt+knownAfter
}

// crashByPart crashes an engine that begins an answer on the crashing part.
func (sim *simulation) crashByPart(id engineID) {
	sim.parts.crashes = append(sim.parts.crashes, sim.now)
	sim.crash([]engineID{id}, sim.day.CrashingPart.RestartAfter)
}

// kill crashes engines for a reason other than a part.
func (sim *simulation) kill(ids []engineID, duration time.Duration) {
	if len(ids) == 0 {
		return
	}
	sim.parts.kills = append(sim.parts.kills, sim.now)
	sim.crash(ids, duration)
}

// recordPartExecution records that an engine accepted a request.
func (sim *simulation) recordPartExecution(r *request) {
	r.parts.sentAt = sim.now
	if r.parts.crashes {
		sim.parts.executions = append(sim.parts.executions, partExecution{sim.now, sim.unsettled(r.entry)})
	}
}

// restartEntries restarts the entries that are due.
func (sim *simulation) restartEntries() {
	for _, restart := range sim.day.EntryRestarts {
		for entry := range sim.rosters {
			if sim.now != restart.Start+(restart.Duration*time.Duration(entry)/time.Duration(len(sim.rosters))).Truncate(tick) {
				continue
			}
			sim.rosters[entry] = sim.newRoster()
			sim.rosters[entry].Update(sim.listedEngines())
			sim.parts.tables[entry], sim.parts.startedAt[entry] = newPartTable(entry, len(sim.rosters)), sim.now
			sim.parts.reports.reconnect(sim.now, entry)
		}
	}
}

// refusesParts reports whether the entry refuses a request for one of its parts.
func (sim *simulation) refusesParts(r *request) bool {
	if !sim.parts.judged {
		return false
	}
	_, refused := sim.parts.tables[r.entry].RefusedPart(sim.now, r.parts.fingerprints)
	r.parts.refused = r.parts.refused || refused
	return refused
}

// recordPartCrash records a crash at the entries of the interrupted requests.
func (sim *simulation) recordPartCrash(id engineID, interrupted []*request) {
	if !sim.parts.judged {
		return
	}
	for _, r := range interrupted {
		if sim.knowsAttempt(r) {
			table := sim.parts.tables[r.entry]
			sim.parts.reports.add(r.entry, table.RecordPartCrash(sim.now, r.parts.fingerprints, id, sim.now-r.parts.sentAt)...)
		}
	}
}

// knowsAttempt reports whether the request's entry has not restarted since it sent the
// request.
func (sim *simulation) knowsAttempt(r *request) bool {
	return r.parts.sentAt >= sim.parts.startedAt[r.entry]
}

// recordPartsSound records at the entry of a request that an engine completed it.
func (sim *simulation) recordPartsSound(r *request) {
	if sim.parts.judged && sim.knowsAttempt(r) {
		sim.parts.reports.add(r.entry, sim.parts.tables[r.entry].RecordPartsSound(sim.now, r.firstEventAt, r.parts.fingerprints)...)
	}
}

// ServedShare counts requests, and those whose first event arrived in the first attempt
// of their callers.
type ServedShare struct {
	Requests int `json:"asked"`
	Begun    int `json:"begun"`
}

// Ratio returns the share of the requests that began; 0 if there are none.
func (s ServedShare) Ratio() float64 { return float64(s.Begun) / float64(max(s.Requests, 1)) }

func (s *ServedShare) add(r *request) {
	s.Requests++
	if r.parts.beganAtFirstAttempt {
		s.Begun++
	}
}

// PartUse tells what a crashing part or other crashes did to the engines and to the sound
// requests, those without the crashing part.
type PartUse struct {
	// Crashes counts the engine crashes by the part.
	Crashes int `json:"crashes"`
	// Late counts the executions of requests with the part later than three seconds after
	// the fifth crash.
	Late int `json:"late"`
	// RefusedSound counts the sound requests that were refused for a part.
	RefusedSound int `json:"refused_sound"`
	// Calm is the service of sound requests before the first crash, Disturbed until six
	// seconds after the fifth crash by the part or the last other one, and Settled
	// afterwards.
	Calm      ServedShare `json:"calm"`
	Disturbed ServedShare `json:"disturbed"`
	Settled   ServedShare `json:"settled"`
}

// partUse returns the consequences of the crashes of the day.
func (sim *simulation) partUse() PartUse {
	parts := sim.parts
	use := PartUse{Crashes: len(parts.crashes)}
	first, last := parts.disturbance()
	for _, execution := range parts.executions {
		if use.Crashes >= toleratedCrashes && !execution.unsettled && execution.at > parts.crashes[toleratedCrashes-1]+knownAfter {
			use.Late++
		}
	}
	for _, r := range sim.requests {
		switch {
		case r.parts.crashes:
			continue
		case r.parts.unsettled:
		case r.arrivedAt < first-calmMargin:
			use.Calm.add(r)
		case r.arrivedAt >= last+settledAfter:
			use.Settled.add(r)
		case r.arrivedAt >= first:
			use.Disturbed.add(r)
		}
		if r.parts.refused {
			use.RefusedSound++
		}
	}
	return use
}

// disturbance returns the time of the first crash, and that of the last that counts.
func (p *partState) disturbance() (first, last time.Duration) {
	counted := append(slices.Clone(p.kills), p.crashes[:min(len(p.crashes), toleratedCrashes)]...)
	if len(counted) == 0 {
		return math.MaxInt64, math.MaxInt64 - settledAfter
	}
	return slices.Min(counted), slices.Max(counted)
}
