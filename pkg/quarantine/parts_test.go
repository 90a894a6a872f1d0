package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
)

// longRun is the duration of an attempt that began before all crashes of a test.
const longRun = time.Hour

func partsOf(ids ...string) []Fingerprint {
	var list []Fingerprint
	for _, id := range ids {
		list = append(list, FingerprintOfPart(id))
	}
	return list
}

func upstreamID(n int) types.UpstreamID { return types.UpstreamID(fmt.Sprintf("u%d", n)) }

func jittered(jitter float64) *Table {
	settings := DefaultSettings()
	settings.TrialJitter = jitter
	return NewTable(settings)
}

// crashRounds records crashes of different upstreams, one second apart, and returns the
// time of the last.
func crashRounds(table *Table, from time.Duration, count int, parts []Fingerprint) time.Duration {
	now := from
	for n := range count {
		now = from + time.Duration(n)*time.Second
		table.RecordPartCrash(now, parts, upstreamID(int(now/time.Second)), longRun)
	}
	return now
}

func isRefused(table *Table, now time.Duration, ids ...string) bool {
	_, refused := table.RefusedPart(now, partsOf(ids...))
	return refused
}

func TestFingerprintsOfPartsAndRequestsDiffer(t *testing.T) {
	if !FingerprintOfPart("a").IsPart() || FingerprintOfPart("a") == FingerprintOfPart("b") || testFingerprint(1).IsPart() {
		t.Fatal(FingerprintOfPart("a"), testFingerprint(1))
	}
}

func TestThreeRoundsConvict(t *testing.T) {
	table := jittered(0)
	last := crashRounds(table, 0, 2, partsOf("g"))
	if isRefused(table, last, "g") {
		t.Fatal("refused after two rounds")
	}
	last = crashRounds(table, last+time.Second, 1, partsOf("g"))
	verdict, refused := table.RefusedPart(last, partsOf("other", "g"))
	if !refused || verdict.Part != FingerprintOfPart("g") || verdict.Rounds != 3 || len(verdict.Crashes) != 3 || verdict.TrialIn != shortSentence {
		t.Fatalf("%v %+v", refused, verdict)
	}
	if suspected, convicted := table.PartCounts(); suspected != 0 || convicted != 1 {
		t.Fatal(suspected, convicted)
	}
}

func TestUpstreamsLostAtOneMomentCountOnce(t *testing.T) {
	table := jittered(0)
	for n := range 30 {
		at := time.Duration(n) * roundSpacing / 30
		table.RecordPartCrash(at, partsOf("g"), upstreamID(n), longRun)
	}
	if got := rounds(table.parts.states[FingerprintOfPart("g")].crashes); got != 1 {
		t.Fatalf("%d rounds", got)
	}
}

func TestAttemptAfterACrashIsNewEvidence(t *testing.T) {
	table := jittered(0)
	for n := range 3 {
		table.RecordPartCrash(time.Duration(n)*20*time.Millisecond, partsOf("g"), upstreamID(n), 10*time.Millisecond)
	}
	if !isRefused(table, 50*time.Millisecond, "g") {
		t.Fatal("three crashes one after the other did not convict")
	}
}

func TestReportsOfOneCrashCountOnce(t *testing.T) {
	table := jittered(0)
	parts := partsOf("g")
	if entries := table.RecordPartCrash(time.Second, parts, "u1", longRun); len(entries) != 1 {
		t.Fatal(entries)
	}
	if entries := table.RecordPartCrash(time.Second+partCrashMatchWindow, parts, "u1", longRun); len(entries) != 0 {
		t.Fatal(entries)
	}
	report := Entry{Fingerprint: parts[0], Crashes: []CrashReport{{Upstream: "u1", AgeMilliseconds: 1000}}}
	if changed := table.Merge(1500*time.Millisecond, []Entry{report}); len(changed) != 0 {
		t.Fatal(changed)
	}
	if got := table.parts.states[parts[0]].crashes; len(got) != 1 || got[0].at != 500*time.Millisecond {
		t.Fatalf("not the earliest report of the crash: %v", got)
	}
	if entries := table.RecordPartCrash(10*time.Second, parts, "u1", longRun); len(entries) != 1 {
		t.Fatalf("the next crash of the same upstream: %v", entries)
	}
}

func TestAnswerBetweenCrashesClears(t *testing.T) {
	table := jittered(0)
	last := crashRounds(table, 0, 2, partsOf("p"))
	if cleared := table.RecordPartsSound(last, last, partsOf("p")); len(cleared) != 1 || len(cleared[0].Crashes) != 0 {
		t.Fatal(cleared)
	}
	last = crashRounds(table, last+time.Second, 3, partsOf("p"))
	if isRefused(table, last, "p") {
		t.Fatal("a part known to be sound was convicted by three rounds")
	}
	if cleared := table.RecordPartsSound(last, last, partsOf("p")); len(cleared) != 1 {
		t.Fatal(cleared)
	}
}

func TestSingleCrashOfASoundPartIsClearedSilently(t *testing.T) {
	table := jittered(0)
	table.RecordPartsSound(0, 0, partsOf("p"))
	crashRounds(table, time.Second, 1, partsOf("p"))
	if cleared := table.RecordPartsSound(2*time.Second, 2*time.Second, partsOf("p")); len(cleared) != 0 {
		t.Fatal(cleared)
	}
}

func TestPartThatTurnsGuiltyIsConvicted(t *testing.T) {
	table := jittered(0)
	table.RecordPartsSound(0, 0, partsOf("g"))
	last := crashRounds(table, time.Second, doubtRounds-1, partsOf("g"))
	if isRefused(table, last, "g") {
		t.Fatal("convicted too early")
	}
	last = crashRounds(table, last+time.Second, 1, partsOf("g"))
	if !isRefused(table, last, "g") {
		t.Fatal("not convicted")
	}
}

func TestSoundAnswerLiftsTheConvictionAtPeers(t *testing.T) {
	here, there := jittered(0), jittered(0)
	last := crashRounds(here, 0, 3, partsOf("p"))
	there.Merge(last, here.List(last, 8))
	if !isRefused(there, last, "p") {
		t.Fatal("the peer did not adopt the conviction")
	}
	there.Merge(last, here.RecordPartsSound(last, last, partsOf("p")))
	if isRefused(there, last, "p") || isRefused(here, last, "p") {
		t.Fatal("still refused")
	}
}

func TestPeersAreToldAgainThatAPartIsSound(t *testing.T) {
	knows, suspects := jittered(0.5), jittered(0)
	now := crashRounds(suspects, time.Second, 3, partsOf("p"))
	knows.RecordPartsSound(now, now, partsOf("p"))
	late := suspects.List(now, 8)
	answered := now
	told := 0
	for range 2 * maxClearings {
		knows.Merge(now, aged(late, now-answered))
		if len(knows.Corrections(now)) != 0 {
			t.Fatal("corrected without the delay of this instance")
		}
		now += correctionSpread
		corrections := knows.Corrections(now)
		told += len(corrections)
		if told == 1 && len(corrections) == 1 {
			suspects.Merge(now, corrections)
			if isRefused(suspects, now, "p") {
				t.Fatal("still refused after the correction")
			}
		}
		now += correctionPause
	}
	if told != maxClearings {
		t.Fatalf("%d corrections on the same answer", told)
	}
}

// aged returns the entries as reported later.
func aged(entries []Entry, delay time.Duration) []Entry {
	var list []Entry
	for _, entry := range entries {
		entry.Crashes = slices.Clone(entry.Crashes)
		for i := range entry.Crashes {
			entry.Crashes[i].AgeMilliseconds += delay.Milliseconds()
		}
		list = append(list, entry)
	}
	return list
}

// TestAnswerOfBeforeRefutesNoCrash guards against a part that turned and is cleared for answers of
// before, or for one that began before and ends later.
func TestAnswerOfBeforeRefutesNoCrash(t *testing.T) {
	knows, suspects := jittered(0), jittered(0)
	knows.RecordPartsSound(0, 0, partsOf("p"))
	now := crashRounds(suspects, time.Second, doubtRounds-1, partsOf("p"))
	knows.Merge(now, suspects.List(now, 8))
	suspects.Merge(now, knows.Corrections(now+correctionSpread))
	if isRefused(suspects, now, "p") {
		t.Error("the peer does not know that the part was sound")
	}
	now = crashRounds(suspects, now+time.Second, 1, partsOf("p"))
	if !isRefused(suspects, now, "p") {
		t.Error("cleared by an answer that is older than the crashes")
	}
	if cleared := suspects.RecordPartsSound(now, 500*time.Millisecond, partsOf("p")); len(cleared) != 0 || !isRefused(suspects, now, "p") {
		t.Error("cleared by an answer that began before the crashes")
	}
	if cleared := suspects.RecordPartsSound(now+time.Second, now, partsOf("p")); len(cleared) != 1 || isRefused(suspects, now+time.Second, "p") {
		t.Error("not cleared by an answer that began after the crashes")
	}
}

func TestHearsayIsNotPassedOnAsACorrection(t *testing.T) {
	heard, suspects := jittered(0), jittered(0)
	heard.Merge(0, []Entry{{Fingerprint: FingerprintOfPart("p")}})
	now := crashRounds(suspects, time.Second, 3, partsOf("p"))
	heard.Merge(now, suspects.List(now, 8))
	if corrections := heard.Corrections(now + time.Second); len(corrections) != 0 {
		t.Fatal(corrections)
	}
	if isRefused(heard, now, "p") {
		t.Fatal("a part that a peer found to be sound is refused")
	}
}

func TestUninformedPeerIsToldOfAConviction(t *testing.T) {
	knows, fresh := jittered(0), jittered(0)
	now := crashRounds(knows, 0, 5, partsOf("g"))
	now += 10 * time.Second
	knows.Merge(now, fresh.RecordPartCrash(now, partsOf("g"), "u9", longRun))
	fresh.Merge(now, knows.Corrections(now))
	if !isRefused(fresh, now, "g") {
		t.Fatal("the peer still lets the part through")
	}
}

func TestNeighboursOfAGuiltyPartAreServed(t *testing.T) {
	table := jittered(0)
	now := time.Duration(0)
	for n := range 6 {
		table.RecordPartsSound(now, now, partsOf("first"))
		now += time.Second
		table.RecordPartCrash(now, partsOf("first", "g", fmt.Sprint("m", n)), upstreamID(n), longRun)
		if n >= 3 {
			table.RecordPartCrash(now, partsOf("first", "m"), upstreamID(n), longRun)
		}
	}
	if !isRefused(table, now, "other", "g") || !isRefused(table, now, "first", "g") {
		t.Error("the guilty part is let through")
	}
	if isRefused(table, now, "other", "m") {
		t.Error("a neighbour whose crashes are all those of the guilty part is refused")
	}
}

func TestPartsSeenOnlyTogetherAreSettledByOneRequest(t *testing.T) {
	table := jittered(0)
	now := crashRounds(table, 0, 5, partsOf("a", "b"))
	if !isRefused(table, now, "a", "b") {
		t.Fatal("both parts together are let through")
	}
	if isRefused(table, now, "a", "c") {
		t.Fatal("no request with only one of them is let through")
	}
	if !isRefused(table, now, "a", "d") {
		t.Fatal("a second request is let through before the first has settled it")
	}
	now += 100 * time.Millisecond
	table.RecordPartCrash(now, partsOf("a", "c"), "u9", 50*time.Millisecond)
	now += settleSpread
	if !isRefused(table, now, "a", "d") {
		t.Error("the part that crashed alone is let through")
	}
	if isRefused(table, now, "b", "d") {
		t.Error("the other part is refused")
	}
}

// TestInstancesSettleOneAfterTheOther guards against one trial at each instance at the moment
// from which a convicted part may be settled, long after its last crash: a request of another
// account, or the conviction of another part, makes it possible everywhere at once.
func TestInstancesSettleOneAfterTheOther(t *testing.T) {
	first, second := jittered(0), jittered(0.5)
	now := crashRounds(first, 0, 5, partsOf("a", "b"))
	second.Merge(now, first.List(now, 8))
	for _, table := range []*Table{first, second} {
		// With an answer since the convictions, the sentence is long.
		table.RecordPartsSound(now+time.Second, now+time.Second, partsOf("other"))
		if !isRefused(table, now+time.Second, "a", "b") {
			t.Fatal("both parts together are let through")
		}
	}
	now += 10 * settleSpread
	if isRefused(first, now, "a", "c") {
		t.Fatal("the first instance lets no request through")
	}
	if !isRefused(second, now, "a", "d") {
		t.Error("the second instance does not wait for the outcome")
	}
	now += settleSpread / 2
	if isRefused(second, now, "a", "d") {
		t.Error("the second instance lets no request through although nothing was settled")
	}
}

func TestUnrelatedCrashDoesNotCondemnANeighbour(t *testing.T) {
	table := jittered(0)
	table.RecordPartCrash(0, partsOf("first"), "u0", longRun)
	now := crashRounds(table, time.Second, 4, partsOf("first", "g"))
	if isRefused(table, now, "first", "m") {
		t.Fatal("the part that all requests share is refused")
	}
	table.RecordPartsSound(now, now, partsOf("first", "m"))
	if isRefused(table, now, "first", "x") || !isRefused(table, now, "first", "g") {
		t.Fatal("after the answer")
	}
}

func TestCondemnedRequestExplainsItsParts(t *testing.T) {
	table := jittered(0)
	for n := range 3 {
		now := time.Duration(n) * time.Second
		table.RecordPartCrash(now, partsOf("first"), upstreamID(n), longRun)
		table.RecordCrash(now, testFingerprint(1), CrashedAttempt{upstreamID(n), time.Millisecond, true})
	}
	if !table.Lookup(2*time.Second, testFingerprint(1)).Condemned || isRefused(table, 2*time.Second, "first") {
		t.Fatal("the part of the condemned request is refused")
	}
}

func TestTrialAfterTheSentence(t *testing.T) {
	table := jittered(0.5)
	now := crashRounds(table, 0, 5, partsOf("g"))
	table.RecordPartsSound(now, now, partsOf("other"))
	state := table.parts.states[FingerprintOfPart("g")]
	length := table.sentence(state)
	if length != 2*firmSentence {
		t.Fatal(length)
	}
	trial := now + length + length/2
	if !isRefused(table, trial-1, "g") {
		t.Fatal("tried before the end")
	}
	if isRefused(table, trial, "g") || !isRefused(table, trial, "g") {
		t.Fatal("not exactly one request on trial")
	}
	verdict, _ := table.RefusedPart(trial, partsOf("g"))
	if !verdict.OnTrial || verdict.TrialIn > trialInterval {
		t.Fatalf("%+v", verdict)
	}
	now = crashRounds(table, trial+time.Second, 1, partsOf("g"))
	if !isRefused(table, now+trialInterval, "g") || table.sentence(state) != 2*length {
		t.Fatal("one crash on trial did not convict again")
	}
	crashRounds(table, now+time.Second, 6, partsOf("g"))
	if table.sentence(state) != maxSentence {
		t.Fatal(table.sentence(state))
	}
}

func TestSentenceIsShortWhileNothingIsAnswered(t *testing.T) {
	table := jittered(0)
	now := crashRounds(table, 0, firmRounds, partsOf("first"))
	state := table.parts.states[FingerprintOfPart("first")]
	if !isRefused(table, now+shortSentence-1, "first") || isRefused(table, now+shortSentence, "first") {
		t.Fatal(table.sentence(state))
	}
	now = crashRounds(table, now+time.Minute, shortTrials+1, partsOf("first"))
	if length := table.sentence(state); length != shortGrowth*shortSentence {
		t.Fatalf("after more crashes: %v", length)
	}
	table.RecordPartsSound(now, now, partsOf("other"))
	if table.sentence(state) < firmSentence {
		t.Fatal(table.sentence(state))
	}
}

func TestAnswerOnTrialClears(t *testing.T) {
	table := jittered(0)
	now := crashRounds(table, 0, 5, partsOf("p")) + 2*firmSentence
	if isRefused(table, now, "p") {
		t.Fatal("not tried")
	}
	table.RecordPartsSound(now, now, partsOf("p"))
	if isRefused(table, now, "p") {
		t.Fatal("not cleared")
	}
}

func TestInstancesTryOneAfterTheOther(t *testing.T) {
	first, second := jittered(0), jittered(0.1)
	now := crashRounds(first, 0, 5, partsOf("g"))
	second.Merge(now, first.List(now, 8))
	for _, table := range []*Table{first, second} {
		table.RecordPartsSound(now+time.Second, now+time.Second, partsOf("other"))
	}
	if a, b := first.trialAt(first.parts.states[FingerprintOfPart("g")]), second.trialAt(second.parts.states[FingerprintOfPart("g")]); b-a < firmSentence/10 {
		t.Fatal(a, b)
	}
}

func TestEvidenceExpires(t *testing.T) {
	table := jittered(0)
	last := crashRounds(table, 0, 2, partsOf("p"))
	last = crashRounds(table, last+suspicionTTL, 2, partsOf("p"))
	if isRefused(table, last, "p") {
		t.Error("crashes longer ago than suspicionTTL count")
	}
	last = crashRounds(table, last+time.Second, 1, partsOf("p")) + convictionTTL
	if isRefused(table, last, "p") {
		t.Error("the conviction did not expire")
	}
	table.RecordPartsSound(0, 0, partsOf("q"))
	if _, ok := table.parts.sound.get(soundTTL, FingerprintOfPart("q")); ok {
		t.Error("the answer did not expire")
	}
}

func TestFloodOfPartsKeepsConvictions(t *testing.T) {
	table := jittered(0)
	now := crashRounds(table, 0, 3, partsOf("g"))
	for n := range 5 * maxParts {
		table.RecordPartCrash(now+time.Duration(n)*time.Millisecond, partsOf(fmt.Sprint("x", n)), upstreamID(n), longRun)
	}
	if suspected, convicted := table.PartCounts(); suspected+convicted != maxParts || convicted != 1 || !isRefused(table, now, "g") {
		t.Fatal(suspected, convicted)
	}
}

func TestTableFullOfConvictionsStillConvicts(t *testing.T) {
	table := jittered(0)
	for n := range 2 * maxParts {
		crashRounds(table, time.Duration(n)*time.Second, 3, partsOf(fmt.Sprint("x", n)))
	}
	last := time.Duration(2*maxParts+2) * time.Second
	if _, convicted := table.PartCounts(); convicted != maxConvictedParts {
		t.Fatal(convicted)
	}
	last = crashRounds(table, last, 3, partsOf("g"))
	if !isRefused(table, last, "g") {
		t.Fatal("a new part cannot be convicted")
	}
}

func TestSoundMemoryIsBounded(t *testing.T) {
	table := jittered(0)
	for n := range 3 * maxSoundParts {
		table.RecordPartsSound(time.Duration(n)*time.Millisecond, time.Duration(n)*time.Millisecond, partsOf("kept", fmt.Sprint("x", n)))
	}
	if size := len(table.parts.sound.recent) + len(table.parts.sound.older); size > maxSoundParts {
		t.Fatal(size)
	}
	if _, ok := table.parts.sound.get(3*maxSoundParts*time.Millisecond, FingerprintOfPart("kept")); !ok {
		t.Fatal("a part that is answered all the time was forgotten")
	}
}

func TestCrashesOfAPartAreBounded(t *testing.T) {
	table := jittered(0)
	now := crashRounds(table, 0, 3, partsOf("g"))
	for n := range 100 {
		table.RecordPartCrash(now+time.Minute, partsOf("g"), upstreamID(100+n), longRun)
	}
	state := table.parts.states[FingerprintOfPart("g")]
	if len(state.crashes) != maxPartCrashes || rounds(state.crashes) != 4 {
		t.Fatalf("%d crashes, %d rounds", len(state.crashes), rounds(state.crashes))
	}
}

func TestListTakesBothKindsInTurn(t *testing.T) {
	table := jittered(0)
	for n := range 6 {
		crashRounds(table, 0, 3, partsOf(fmt.Sprint("g", n)))
		table.RecordPartCrash(0, partsOf(fmt.Sprint("s", n)), "u1", longRun)
		for u := range 3 {
			table.RecordCrash(time.Duration(u)*time.Minute, testFingerprint(n), CrashedAttempt{upstreamID(10*n + u), time.Second, true})
		}
	}
	list := table.List(2*time.Minute, 8)
	parts := len(list) - len(slices.DeleteFunc(slices.Clone(list), func(e Entry) bool { return e.Fingerprint.IsPart() }))
	if len(list) != 8 || parts != 4 || slices.ContainsFunc(list, func(e Entry) bool { return !e.Condemned }) {
		t.Fatalf("%d of %d are parts: %+v", parts, len(list), list)
	}
}

// TestEntriesOfPartsChangeNothingForRequests checks what an instance that knows no parts
// does with their entries.
func TestEntriesOfPartsChangeNothingForRequests(t *testing.T) {
	table := jittered(0)
	if table.mergeEntry(0, Entry{Fingerprint: FingerprintOfPart("p")}) {
		t.Error("a clearing changed the table")
	}
	convicted := Entry{Fingerprint: FingerprintOfPart("g"), Crashes: []CrashReport{{Upstream: "u1"}}, Condemned: true}
	table.mergeEntry(time.Second, convicted)
	if table.Lookup(time.Second, testFingerprint(1)).Condemned {
		t.Error("a request is condemned")
	}
}

func TestAnswersAllocateNothing(t *testing.T) {
	table := jittered(0)
	parts := partsOf("a", "b", "c")
	table.RecordPartsSound(0, 0, parts)
	now := time.Duration(0)
	allocations := testing.AllocsPerRun(100, func() {
		now += time.Second
		table.RecordPartsSound(now, now, parts)
		table.RefusedPart(now, parts)
	})
	if allocations != 0 {
		t.Fatalf("%v allocations", allocations)
	}
}

func BenchmarkRefusalAtAFullTable(b *testing.B) {
	table := jittered(0)
	for n := range maxParts {
		crashRounds(table, time.Duration(n)*time.Second, 2+n%2, partsOf("g", fmt.Sprint("x", n)))
	}
	parts := partsOf("first", "g")
	now := time.Duration(maxParts+2) * time.Second
	for b.Loop() {
		table.RefusedPart(now, parts)
	}
}

func BenchmarkAnswer(b *testing.B) {
	table := jittered(0)
	parts := partsOf("a", "b", "c")
	now := time.Duration(0)
	for b.Loop() {
		now += time.Millisecond
		table.RecordPartsSound(now, now, parts)
	}
}

func TestCorrectionsAreRateLimited(t *testing.T) {
	knows, suspects := jittered(0), jittered(0)
	now := crashRounds(suspects, 0, 3, partsOf("p"))
	told := 0
	end := now + 10*time.Second
	for ; now < end; now += 100 * time.Millisecond {
		knows.RecordPartsSound(now, now, partsOf("p"))
		knows.Merge(now, suspects.List(now, 8))
		told += len(knows.Corrections(now))
	}
	if told < 2 || told > 1+int(10*time.Second/correctionPause) {
		t.Fatalf("%d corrections in 10 s", told)
	}
}

func TestConvictionIsCorrectedAtALimitedRate(t *testing.T) {
	knows := jittered(0)
	now := crashRounds(knows, 0, 5, partsOf("g"))
	told := 0
	for n := range 100 {
		now += 100 * time.Millisecond
		report := Entry{Fingerprint: FingerprintOfPart("g"), Crashes: []CrashReport{{Upstream: upstreamID(100 + n)}}}
		knows.Merge(now, []Entry{report})
		told += len(knows.Corrections(now))
	}
	if told < 2 || told > 1+int(10*time.Second/correctionPause) {
		t.Fatalf("%d corrections in 10 s", told)
	}
}

// TestOneOfTwoPartsWithSeparateCrashesIsTried guards against a guilty and a sound part that are
// both refused for the whole sentence because each has one crash without the other, that of the
// sound one from an unrelated kill.
func TestOneOfTwoPartsWithSeparateCrashesIsTried(t *testing.T) {
	crashed := func() (*Table, time.Duration) {
		table := jittered(0)
		last := crashRounds(table, 0, 5, partsOf("a", "b"))
		table.RecordPartsSound(last+100*time.Millisecond, last+100*time.Millisecond, partsOf("other"))
		last = crashRounds(table, last+time.Second, 1, partsOf("a", "c"))
		last = crashRounds(table, last+time.Second, 1, partsOf("b", "d"))
		if !isRefused(table, last, "b", "d") {
			t.Error("the part whose separate crash came later is let through")
		}
		if !isRefused(table, last, "a", "b") {
			t.Error("both parts together are let through")
		}
		if isRefused(table, last, "a", "c") || !isRefused(table, last, "a", "e") {
			t.Fatal("not exactly one request with the part whose separate crash came first is let through")
		}
		return table, last
	}
	t.Run("the first is sound", func(t *testing.T) {
		table, now := crashed()
		table.RecordPartsSound(now, now, partsOf("a", "c"))
		if isRefused(table, now, "a", "e") || !isRefused(table, now+trialInterval, "b", "d") {
			t.Error("after the answer")
		}
	})
	t.Run("the first is guilty", func(t *testing.T) {
		table, now := crashed()
		now = crashRounds(table, now+time.Second, 1, partsOf("a", "c")) + trialInterval
		if !isRefused(table, now, "a", "e") {
			t.Error("the part that crashed on trial is let through")
		}
		if isRefused(table, now, "b", "d") || !isRefused(table, now, "b", "e") {
			t.Error("not exactly one request with the other part is let through")
		}
		table.RecordPartsSound(now, now, partsOf("b", "d"))
		if isRefused(table, now, "b", "e") || !isRefused(table, now+trialInterval, "a", "e") {
			t.Error("after the answer")
		}
	})
}

// TestPartsOfARequestWaitAtTheSameTime guards against a request with several sound parts that are
// convicted with the guilty one, each of which begins to wait for its trial only after the one
// before it.
func TestPartsOfARequestWaitAtTheSameTime(t *testing.T) {
	table := jittered(0.5)
	now := crashRounds(table, 0, 5, partsOf("first", "middle", "g"))
	table.RecordPartsSound(now+time.Second, now+time.Second, partsOf("other"))
	now += 10 * settleSpread
	if !isRefused(table, now, "first", "middle") {
		t.Fatal("the instance does not wait")
	}
	if isRefused(table, now+settleSpread/2, "first", "middle") {
		t.Error("no request is let through after the wait of the instance")
	}
}
