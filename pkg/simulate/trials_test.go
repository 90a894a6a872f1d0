package simulate

import (
	"fmt"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/quarantine"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// attemptTime is the time after which the crashing requests take their engine along.
const attemptTime = 30 * time.Millisecond

var (
	guiltyPart              = quarantine.FingerprintOfPart("guilty")
	sharedPart, otherShared = quarantine.FingerprintOfPart("shared"), quarantine.FingerprintOfPart("other shared")
	sessionPart             = quarantine.FingerprintOfPart("session")
)

// observedCrash is the crash of an engine that ran an attempt of the first entry and one of
// the second.
type observedCrash struct {
	at            time.Duration
	first, second []quarantine.Fingerprint
}

// tablesAfterCrashes returns the tables of a fleet that has heard of all crashes and knows
// that some parts are sound.
func tablesAfterCrashes(entries int, crashes []observedCrash, sound ...quarantine.Fingerprint) []*quarantine.Table {
	var tables []*quarantine.Table
	for entry := range entries {
		tables = append(tables, newPartTable(entry, entries))
		tables[entry].RecordPartsSound(0, 0, sound)
	}
	for i, crash := range crashes {
		engine := types.UpstreamID(fmt.Sprint("e", i))
		reports := append(tables[0].RecordPartCrash(crash.at, crash.first, engine, attemptTime), tables[1].RecordPartCrash(crash.at, crash.second, engine, attemptTime)...)
		for _, table := range tables {
			table.Merge(crash.at, reports)
		}
	}
	return tables
}

// requireFewExecutions requires that few of the requests with the guilty part run that
// reach all entries before these can hear of each other.
func requireFewExecutions(t *testing.T, crashes []observedCrash, now time.Duration, tables []*quarantine.Table, request ...quarantine.Fingerprint) {
	t.Helper()
	executions := 0
	for _, table := range tables {
		if _, refused := table.RefusedPart(now, request); !refused {
			executions++
		}
	}
	if executions > maxLateExecutions {
		t.Errorf("%d entries of %d send a request with the part %v after its fifth crash, at most %d are allowed", executions, len(tables), now-crashes[toleratedCrashes-1].at, maxLateExecutions)
	}
}

// pairsOfCrashes returns two crashes every 400 ms, three times.
func pairsOfCrashes(first, second []quarantine.Fingerprint) []observedCrash {
	var crashes []observedCrash
	for _, milliseconds := range []int{0, 50, 400, 450, 800, 850} {
		crashes = append(crashes, observedCrash{time.Duration(milliseconds) * time.Millisecond, first, second})
	}
	return crashes
}

// TestEntriesShareOneTrial guards against a trial of a convicted part at many entries, when
// requests with it come again and a tenth of the entries have had answers to others.
func TestEntriesShareOneTrial(t *testing.T) {
	request := []quarantine.Fingerprint{sharedPart, guiltyPart}
	crashes := pairsOfCrashes(request, nil)
	for _, entries := range []int{9, 61, 350} {
		tables := tablesAfterCrashes(entries, crashes, sharedPart)
		for entry := 0; entry < entries; entry += 10 {
			tables[entry].RecordPartsSound(2*time.Second, 2*time.Second, []quarantine.Fingerprint{sharedPart})
		}
		requireFewExecutions(t, crashes, 9*time.Second, tables, request...)
	}
}

// TestPartsSuspectedTogetherAreTriedOnce guards against one execution at every entry, when
// parts that no request has yet shown to be sound explain each other's crashes.
func TestPartsSuspectedTogetherAreTriedOnce(t *testing.T) {
	request := []quarantine.Fingerprint{sharedPart, guiltyPart}
	crashes := pairsOfCrashes(request, []quarantine.Fingerprint{otherShared})
	for _, entries := range []int{9, 61, 350} {
		requireFewExecutions(t, crashes, 4*time.Second, tablesAfterCrashes(entries, crashes), request...)
	}
}

// TestPartOfSomeCrashesExcusesNoOther guards against one execution at every entry, when one
// request with the guilty part was repeated and so shares its last crashes.
func TestPartOfSomeCrashesExcusesNoOther(t *testing.T) {
	request := []quarantine.Fingerprint{sharedPart, guiltyPart}
	repeated := []quarantine.Fingerprint{sharedPart, sessionPart, guiltyPart}
	crashes := []observedCrash{
		{0, request, nil}, {30 * time.Millisecond, request, nil}, {200 * time.Millisecond, request, nil},
		{300 * time.Millisecond, repeated, nil}, {330 * time.Millisecond, repeated, nil},
		{750 * time.Millisecond, repeated, nil}, {780 * time.Millisecond, repeated, nil},
	}
	for _, entries := range []int{9, 61, 350} {
		requireFewExecutions(t, crashes, 4*time.Second, tablesAfterCrashes(entries, crashes, sharedPart), request...)
	}
}
