package quarantine

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"slices"
	"time"
)

const (
	// maxPartCrashes is the maximum number of crashes kept for a part.
	maxPartCrashes = 16
	// partCrashMatchWindow is the maximum time between two reports of the same
	// upstream crash. It covers the delay of reports and a late detection.
	partCrashMatchWindow = 2 * time.Second
	// roundSpacing is the minimum time between two crashes that count as separate
	// evidence. Crashes that lie closer together may have one cause outside the
	// requests, and reports of them arrive up to two spacings apart.
	roundSpacing = 300 * time.Millisecond
	// convictionRounds is the number of rounds that convict a part.
	convictionRounds = 3
	// doubtRounds is the number of rounds that convict a part that was known to be
	// sound.
	doubtRounds = 6
	// suspicionTTL is how long a crash counts against a part that is not convicted.
	suspicionTTL = 10 * time.Minute
	// convictionTTL is how long a convicted part is remembered after its last crash.
	convictionTTL = 4 * time.Hour
	// shortSentence is the time from the last crash to the first trial of a part that
	// was convicted on the minimum of evidence.
	shortSentence = 4 * time.Second
	// sentence is the time from the last crash to the trial of a part with more
	// evidence. It doubles with each further round.
	sentence = 10 * time.Minute
	// maxSentence limits sentence.
	maxSentence = time.Hour
)

// partPrefix begins the fingerprint of each part.
var partPrefix = []byte("part")

// FingerprintOfPart returns the fingerprint of a part of a prompt. It is independent of
// the account.
func FingerprintOfPart(id string) Fingerprint {
	digest := sha256.Sum256([]byte(id))
	var fp Fingerprint
	copy(fp[copy(fp[:], partPrefix):], digest[:])
	return fp
}

// IsPart reports whether the fingerprint belongs to a part of a prompt, not to a whole
// request.
func (f Fingerprint) IsPart() bool { return bytes.HasPrefix(f[:], partPrefix) }

// partState is the evidence against one part since its last sound answer.
type partState struct {
	// crashes is ordered by time.
	crashes   []crash
	convicted bool
	// since is when the part was convicted.
	since time.Duration
	// passed is when the last request with the convicted part was let through, if any.
	passed   time.Duration
	wasTried bool
}

// lastCrash returns the time of the last crash.
func (s *partState) lastCrash() time.Duration {
	if len(s.crashes) == 0 {
		return 0
	}
	return s.crashes[len(s.crashes)-1].at
}

// expired reports whether the state is too old to matter.
func (s *partState) expired(now time.Duration) bool {
	if s.convicted {
		return now-s.lastCrash() >= convictionTTL
	}
	return now-s.lastCrash() >= suspicionTTL
}

// add adds a crash and reports whether it is new. Reports only ever arrive late, so
// the earliest time of a known crash is kept.
func (s *partState) add(c crash) bool {
	known := slices.IndexFunc(s.crashes, c.matchesPart)
	if known >= 0 {
		s.crashes[known].at = min(s.crashes[known].at, c.at)
	} else {
		s.crashes = append(s.crashes, c)
	}
	slices.SortStableFunc(s.crashes, func(a, b crash) int { return cmp.Compare(a.at, b.at) })
	if len(s.crashes) > maxPartCrashes {
		s.dropOne()
	}
	return known < 0
}

// dropOne removes the oldest crash that does not begin a round, or else the oldest.
func (s *partState) dropOne() {
	begin := s.crashes[0].at
	for i, c := range s.crashes[1:] {
		if c.at-begin < roundSpacing {
			s.crashes = slices.Delete(s.crashes, i+1, i+2)
			return
		}
		begin = c.at
	}
	s.crashes = slices.Delete(s.crashes, 0, 1)
}

// dropBefore removes the crashes before a time.
func (s *partState) dropBefore(limit time.Duration) {
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return c.at < limit })
}

// rounds returns the number of rounds in crashes that are ordered by time.
func rounds(crashes []crash) int {
	count := 0
	var begin time.Duration
	for _, c := range crashes {
		if count == 0 || c.at-begin >= roundSpacing {
			count++
			begin = c.at
		}
	}
	return count
}

// judge convicts the part if its rounds reach the limit, and reports whether that is
// new.
func (s *partState) judge(now time.Duration, required int) bool {
	if s.convicted || rounds(s.crashes) < required {
		return false
	}
	s.convicted, s.since = true, now
	return true
}

// sentence returns the time from the last crash to the trial.
func (s *partState) sentence() time.Duration {
	extra := rounds(s.crashes) - convictionRounds - 1
	if extra < 0 {
		return shortSentence
	}
	length := sentence
	for range extra {
		length = min(2*length, maxSentence)
	}
	return length
}

// matchesPart reports whether both are reports of the same crash.
func (c crash) matchesPart(other crash) bool {
	return c.upstream == other.upstream && (c.at-other.at).Abs() <= partCrashMatchWindow
}

// reports returns the crashes with their ages.
func reports(now time.Duration, crashes []crash) []CrashReport {
	list := make([]CrashReport, 0, len(crashes))
	for _, c := range crashes {
		list = append(list, CrashReport{Upstream: c.upstream, AgeMilliseconds: (now - c.at).Milliseconds()})
	}
	return list
}
