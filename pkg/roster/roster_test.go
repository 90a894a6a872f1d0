package roster

import (
	"slices"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/placement"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const pool = types.TargetName("pool")

func prompt(priority int) *placement.Work {
	return &placement.Work{Engine: true, Priority: priority, Tokens: 300, Segments: []placement.PromptSegment{{ID: "s", Tokens: 100}, {ID: "own", Tokens: 200}}}
}

func newRoster(ids ...types.UpstreamID) *Roster {
	r := New()
	var list []Upstream
	for _, id := range ids {
		list = append(list, Upstream{ID: id, Target: pool, Address: string(id) + ":1", Slots: 4, Ready: true, StartedUnixMilli: 1})
	}
	r.Update(list)
	return r
}

// candidate returns the candidate of one upstream.
func candidate(t *testing.T, r *Roster, now time.Duration, id types.UpstreamID) placement.Candidate {
	t.Helper()
	for _, c := range r.Candidates(now, Selection{Target: pool}, prompt(0)) {
		if c.ID == id {
			return c
		}
	}
	t.Fatalf("%s is not a candidate", id)
	return placement.Candidate{}
}

func TestLoadCountsAttemptUntilEnd(t *testing.T) {
	r := newRoster("a")
	attempt := r.Begin(0, prompt(2), placement.Choice{ID: "a", FirstResponse: 50 * time.Millisecond})
	if got := candidate(t, r, 0, "a").Load.ByPriority[2]; got != (placement.PriorityLoad{Waiting: 1, PrefillTokens: 300}) {
		t.Errorf("waiting: %+v", got)
	}
	attempt.RecordFirstResponse(50 * time.Millisecond)
	if got := candidate(t, r, 0, "a").Load.ByPriority[2]; got != (placement.PriorityLoad{Running: 1}) {
		t.Errorf("running: %+v", got)
	}
	attempt.End(time.Second, Completed)
	attempt.End(time.Second, Completed)
	if load := candidate(t, r, time.Second, "a").Load; !load.Empty() {
		t.Errorf("ended: %+v", load)
	}
	if cached := candidate(t, r, time.Second, "a").CachedTokens; cached != 100 {
		t.Errorf("%d tokens are cached, want the 100 of the shared segment", cached)
	}
}

func TestUnreachableUpstreamIsEjected(t *testing.T) {
	r := newRoster("a", "b")
	r.Begin(0, prompt(0), placement.Choice{ID: "a"}).End(0, Unreachable)
	if list := r.Candidates(0, Selection{Target: pool}, prompt(0)); len(list) != 1 || list[0].ID != "b" {
		t.Errorf("candidates are %v", list)
	}
	if list := r.Candidates(0, Selection{Target: pool, Except: map[types.UpstreamID]bool{"b": true}}, prompt(0)); len(list) != 1 || list[0].ID != "a" {
		t.Errorf("with no other, candidates are %v", list)
	}
	if list := r.Candidates(minEjection, Selection{Target: pool}, prompt(0)); len(list) != 2 {
		t.Errorf("after the ejection candidates are %v", list)
	}
}

func TestLeavingUpstreamIsExcluded(t *testing.T) {
	r := newRoster("a", "b")
	r.Update([]Upstream{{ID: "a", Target: pool, Address: "a:1"}, {ID: "b", Target: pool, Address: "b:1", Ready: true}})
	if list := r.Candidates(0, Selection{Target: pool}, prompt(0)); len(list) != 1 || list[0].ID != "b" {
		t.Errorf("candidates are %v", list)
	}
	if _, ok := r.Find(0, "a"); ok {
		t.Error("a leaving upstream still has an address for new work")
	}
}

func TestRestartClearsUpstreamState(t *testing.T) {
	r := newRoster("a")
	attempt := r.Begin(0, prompt(0), placement.Choice{ID: "a"})
	attempt.End(0, Failed)
	r.Update([]Upstream{{ID: "a", Target: pool, Address: "a:1", Slots: 4, Ready: true, StartedUnixMilli: 2}})
	got := candidate(t, r, 0, "a")
	if got.FailureRate != 0 || got.CachedTokens != 0 {
		t.Errorf("after a restart the upstream has its previous state: %+v", got)
	}
}

func TestPeerReportsExpire(t *testing.T) {
	r := newRoster("a")
	r.ApplyPeerReport(0, "peer", map[types.UpstreamID]placement.Load{"a": {ByPriority: map[int]placement.PriorityLoad{0: {Running: 3}}}}, nil)
	if got := candidate(t, r, peerReportTTL-1, "a").Load.ByPriority[0].Running; got != 3 {
		t.Errorf("a report before its TTL counts %d streams", got)
	}
	if load := candidate(t, r, peerReportTTL, "a").Load; !load.Empty() {
		t.Errorf("an expired report counts %+v", load)
	}
}

func TestFailureRateDecays(t *testing.T) {
	r := newRoster("a")
	for range 8 {
		r.Begin(0, prompt(0), placement.Choice{ID: "a"}).End(0, Failed)
	}
	initial := candidate(t, r, 0, "a").FailureRate
	if initial < 0.8 {
		t.Errorf("eight failures give a failure rate of %.2f", initial)
	}
	if decayed := candidate(t, r, 3*failureHalfLife, "a").FailureRate; decayed > initial/7 {
		t.Errorf("after three half-lives the failure rate is %.2f, initially %.2f", decayed, initial)
	}
}

// TestInterTokenIsMeasuredBesideLongPrompts checks that only the events of a stream
// whose engine has a long prompt of another request to prefill are measured.
func TestInterTokenIsMeasuredBesideLongPrompts(t *testing.T) {
	r := newRoster("a")
	stream := r.Begin(0, prompt(0), placement.Choice{ID: "a"})
	now := time.Duration(0)
	playEvents := func(gap time.Duration) {
		for range 40 {
			now += gap
			stream.RecordFirstResponse(now)
			stream.RecordEvent(now, 4)
		}
	}
	playEvents(40 * time.Millisecond)
	if got := r.Timing(pool).PrefillInterToken; got != 0 {
		t.Errorf("without a long prompt the estimate is %v", got)
	}
	long := r.Begin(now, &placement.Work{Engine: true, Priority: 1, Tokens: 9000}, placement.Choice{ID: "a"})
	playEvents(120 * time.Millisecond)
	if got := r.Timing(pool).PrefillInterToken; got != 30*time.Millisecond {
		t.Errorf("beside a long prompt the estimate is %v, want 30ms", got)
	}
	long.RecordFirstResponse(now)
	playEvents(400 * time.Millisecond)
	if got := r.Timing(pool).PrefillInterToken; got != 30*time.Millisecond {
		t.Errorf("after the prefill the estimate changed to %v", got)
	}
}

func TestVersionOfReplacedUpstreamIsUnknown(t *testing.T) {
	listed := Upstream{ID: "a", Target: pool, Address: "a:1", Slots: 4, Ready: true, Version: "v1", StartedUnixMilli: 1}
	for name, change := range map[string]func(u *Upstream){
		"version": func(u *Upstream) { u.Version = "v2" },
		"start":   func(u *Upstream) { u.StartedUnixMilli = 2 },
		"address": func(u *Upstream) { u.Address = "a:2" },
	} {
		r := New()
		r.Update([]Upstream{listed})
		attempt := r.Begin(0, prompt(0), placement.Choice{ID: "a"})
		draining := listed
		draining.Ready = false
		r.Update([]Upstream{draining})
		if version, ok := attempt.Version(); version != "v1" || !ok {
			t.Errorf("while it drains: %q, %v", version, ok)
		}
		replaced := listed
		change(&replaced)
		r.Update([]Upstream{replaced})
		if version, ok := attempt.Version(); ok {
			t.Errorf("after a change of the %s: %q", name, version)
		}
		r.Update(nil)
		if version, ok := attempt.Version(); version != "v1" || !ok {
			t.Errorf("after its removal: %q, %v", version, ok)
		}
	}
}

// TestVersionIsKnownWhenEntryReturns guards against streams that cannot be resumed because
// the entry of their upstream was removed for a while.
func TestVersionIsKnownWhenEntryReturns(t *testing.T) {
	listed := Upstream{ID: "a", Target: pool, Address: "a:1", Slots: 4, Ready: true, Version: "v1", StartedUnixMilli: 1}
	r := New()
	r.Update([]Upstream{listed})
	attempt := r.Begin(0, prompt(0), placement.Choice{ID: "a"})
	r.Update(nil)
	r.Update([]Upstream{listed})
	if version, ok := attempt.Version(); version != "v1" || !ok {
		t.Errorf("after the entry returned unchanged: %q, %v", version, ok)
	}
}

func TestSelectionByVersion(t *testing.T) {
	r := New()
	r.Update([]Upstream{{ID: "a", Target: pool, Ready: true, Version: "v1"}, {ID: "b", Target: pool, Ready: true, Version: "v2"}, {ID: "c", Target: "other", Ready: true, Version: "v1"}})
	version := types.SoftwareVersion("v1")
	if list := r.Candidates(0, Selection{Target: pool, Version: &version}, prompt(0)); len(list) != 1 || list[0].ID != "a" {
		t.Errorf("candidates of v1: %+v", list)
	}
}

// TestEjectionIsReturnedOnce guards against a log line for each failure of an upstream that
// is ejected already.
func TestEjectionIsReturnedOnce(t *testing.T) {
	r := New()
	r.Update([]Upstream{{ID: "a", Target: "s", Ready: true}, {ID: "b", Target: "s", Ready: true}})
	fail := func(now time.Duration) time.Duration {
		return r.Begin(now, &placement.Work{}, placement.Choice{ID: "a"}).End(now, Unreachable)
	}
	if got := fail(0); got != minEjection {
		t.Errorf("the first failure ejects for %v, want %v", got, minEjection)
	}
	if got := fail(minEjection / 2); got != 0 {
		t.Errorf("a failure of an ejected upstream ejects for %v", got)
	}
	peer := map[types.UpstreamID]time.Duration{"a": time.Second, "b": time.Second}
	if got := r.ApplyPeerReport(minEjection/2, "p", nil, peer); len(got) != 1 || got["b"] != minEjection {
		t.Errorf("a peer's report ejects %v, want b for %v", got, minEjection)
	}
}

// checkCandidates checks which upstreams of target s may get work.
func checkCandidates(t *testing.T, r *Roster, now time.Duration, want ...types.UpstreamID) {
	t.Helper()
	var got []types.UpstreamID
	for _, c := range r.Candidates(now, Selection{Target: "s"}, &placement.Work{}) {
		got = append(got, c.ID)
	}
	slices.Sort(got)
	if !slices.Equal(got, want) {
		t.Errorf("at %v the candidates are %v, want %v", now, got, want)
	}
}

// TestPausedUpstreamGetsNoWork checks the pauses that an upstream asks this instance for.
func TestPausedUpstreamGetsNoWork(t *testing.T) {
	r := New()
	list := []Upstream{{ID: "a", Target: "s", Ready: true, StartedUnixMilli: 1}, {ID: "b", Target: "s", Ready: true}}
	r.Update(list)
	offered := func(now time.Duration, want ...types.UpstreamID) {
		t.Helper()
		checkCandidates(t, r, now, want...)
		if _, ok := r.Find(now, "a"); ok != slices.Contains(want, "a") {
			t.Errorf("at %v the upstream accepts work: %v", now, ok)
		}
	}
	attempt := r.Begin(0, &placement.Work{}, placement.Choice{ID: "a"})
	attempt.RecordProof()
	attempt.Pause(0, 3*time.Second)
	offered(0, "b")
	attempt.Pause(time.Second, time.Second)
	offered(3*time.Second-1, "b")
	if got := r.Paused(time.Second, Selection{Target: "s"}); len(got) != 1 || got["a"] != 2*time.Second {
		t.Errorf("paused are %v, want a for 2 s", got)
	}
	offered(3*time.Second, "a", "b")
	r.Pause(3*time.Second, "a", time.Minute)
	r.Update(list)
	offered(4*time.Second, "b")
	list[0].StartedUnixMilli = 2
	r.Update(list)
	offered(4*time.Second, "a", "b")
	attempt.Pause(4*time.Second, time.Minute)
	offered(4*time.Second, "a", "b")
}

// TestSegmentsAreCachedOnceAnswered guards against a prediction that is too short for the
// requests of a session that an engine gets while it prefills the first one.
func TestSegmentsAreCachedOnceAnswered(t *testing.T) {
	r := newRoster("a")
	first := r.Begin(0, prompt(0), placement.Choice{ID: "a", FirstResponse: time.Second})
	if got := candidate(t, r, 0, "a").CachedTokens; got != 0 {
		t.Errorf("%d tokens count as cached while they are prefilled", got)
	}
	if got := r.Begin(0, prompt(0), placement.Choice{ID: "a"}).PrefillTokens(); got != 300 {
		t.Errorf("a second request of the session counts as %d tokens to prefill, want all 300", got)
	}
	first.RecordFirstResponse(time.Second)
	if got := candidate(t, r, time.Second, "a").CachedTokens; got != 100 {
		t.Errorf("%d tokens are cached after the answer began, want 100", got)
	}
}

// TestSelectionOfDataCentres guards against candidates outside the data centres in which a request
// may run.
func TestSelectionOfDataCentres(t *testing.T) {
	r := New()
	r.Update([]Upstream{entryIn("a1", "a"), entryIn("a2", "a"), entryIn("b1", "b"), entryIn("c1", "")})
	r.Pause(0, "a2", time.Minute)
	r.Pause(0, "c1", time.Minute)
	for name, c := range map[string]struct {
		allowed            map[types.DataCentre]bool
		candidates, paused int
	}{
		"no restriction": {nil, 2, 2},
		"one":            {map[types.DataCentre]bool{"a": true, "b": false}, 1, 1},
		"two":            {map[types.DataCentre]bool{"a": true, "b": true}, 2, 1},
		"none":           {map[types.DataCentre]bool{}, 0, 0},
	} {
		selection := Selection{Target: pool, DataCentres: c.allowed}
		if got := len(r.Candidates(0, selection, prompt(0))); got != c.candidates {
			t.Errorf("%s: %d candidates, want %d", name, got, c.candidates)
		}
		if got := len(r.Paused(0, selection)); got != c.paused {
			t.Errorf("%s: %d paused upstreams, want %d", name, got, c.paused)
		}
	}
}

// TestEjectionThatPeersRepeatIsReportedOnce guards against a log line for each report of each peer.
func TestEjectionThatPeersRepeatIsReportedOnce(t *testing.T) {
	r := New()
	r.Update([]Upstream{{ID: "u", Target: "s", Slots: 1, Ready: true}})
	reported := 0
	apply := func(now time.Duration) {
		reported += len(r.ApplyPeerReport(now, "p", nil, map[types.UpstreamID]time.Duration{"u": time.Second}))
		if len(r.Ejected(now)) != 1 {
			t.Errorf("the upstream is not ejected at %v", now)
		}
	}
	now := time.Second
	for range 20 {
		apply(now)
		now += 300 * time.Millisecond
	}
	if reported != 1 {
		t.Errorf("reported %d times", reported)
	}
	apply(now + peerReportTTL)
	if reported != 2 {
		t.Errorf("reported %d times, with a pause", reported)
	}
}

// TestUnprovenUpstreamGetsOneRequestAtATime guards against an entry that names a server that is no upstream
// and keeps or fails what it is sent: it got requests as any other upstream.
func TestUnprovenUpstreamGetsOneRequestAtATime(t *testing.T) {
	r := New()
	list := []Upstream{{ID: "a", Target: "s", Ready: true}, {ID: "b", Target: "s", Ready: true}, {ID: "c", Target: "s", Ready: true}}
	r.Update(list)
	offered := func(now time.Duration, want ...types.UpstreamID) {
		t.Helper()
		checkCandidates(t, r, now, want...)
	}
	begin := func(now time.Duration, id types.UpstreamID) *Attempt {
		return r.Begin(now, &placement.Work{}, placement.Choice{ID: id})
	}
	a, b := begin(0, "a"), begin(0, "b")
	offered(0, "c")
	c := begin(0, "c")
	offered(0, "a", "b", "c")
	c.RecordFirstResponse(0)
	offered(0, "c")
	b.RecordProof()
	offered(0, "b", "c")
	now := time.Duration(0)
	for _, ejection := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 8 * time.Second} {
		if got := a.End(now, Failed); got != ejection {
			t.Errorf("a failure ejects for %v, want %v", got, ejection)
		}
		offered(now+ejection-1, "b", "c")
		offered(now+ejection, "a", "b", "c")
		now += ejection
		a = begin(now, "a")
		offered(now, "b", "c")
	}
	a.RecordProof()
	if got := a.End(now, Failed); got != 0 {
		t.Errorf("a failure of an upstream that has responded before ejects for %v", got)
	}
	offered(now, "a", "b", "c")
	list[0].StartedUnixMilli = 2
	r.Update(list)
	a = begin(now, "a")
	offered(now, "b", "c")
	if got := a.End(now, Misdirected); got != time.Second {
		t.Errorf("an upstream of another ID ejects for %v", got)
	}
}
