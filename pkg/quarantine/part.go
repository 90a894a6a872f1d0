package quarantine

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"slices"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
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
	roundSpacing = 250 * time.Millisecond
	// convictionRounds is the number of rounds that convict a part.
	convictionRounds = 3
	// doubtRounds is the number of rounds that convict a part that was known to be
	// sound.
	doubtRounds = 6
	// suspicionTTL is how long a crash counts against a part that is not convicted.
	suspicionTTL = 10 * time.Minute
	// convictionTTL is how long a convicted part is remembered after its last crash.
	convictionTTL = 4 * time.Hour
	// firmRounds and firmWeight are the rounds, or the weight of evidence, from which a
	// conviction is firm.
	firmRounds = 4
	firmWeight = 5
	// maxRoundWeight is the number of crashes of one round that add to the weight.
	maxRoundWeight = 2
	// shortSentence is the time from the last crash to the trial of a part whose
	// conviction is not firm, or at an instance that has seen no answer since. It grows
	// by shortGrowth with each round after the conviction but the first shortTrials.
	shortSentence = 4 * time.Second
	shortTrials   = 2
	shortGrowth   = 4
	// TrialInstances is the number of instances that try a convicted part, so that a trial
	// costs few upstreams however many instances have requests with the part at once.
	TrialInstances = 3
	// minTrialSpread is the minimum range over which the instances spread a trial.
	minTrialSpread = 20 * time.Second
	// firmSentence is the time from the last crash to the trial of a part whose
	// conviction is firm. It doubles with each round beyond firmRounds.
	firmSentence = 10 * time.Minute
	// maxSentence limits the doubling.
	maxSentence = time.Hour
)

const (
	// ProbeTimeout limits the connection attempt that distinguishes a crashed upstream from
	// a lost response.
	ProbeTimeout = 100 * time.Millisecond
	// BeginningTime is how long after its first event a response may still have caused the
	// crash of its upstream.
	BeginningTime = 500 * time.Millisecond
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

// FingerprintOfMessage returns the fingerprint of a message of a chat as a part of its
// prompt. It depends on the role and the content only.
func FingerprintOfMessage(message json.RawMessage) Fingerprint {
	var fields struct {
		Role    string `json:"role"`
		Content any    `json:"content"`
	}
	if json.Unmarshal(message, &fields) != nil {
		return FingerprintOfPart(string(message))
	}
	encoded, err := json.Marshal(fields)
	if err != nil {
		return FingerprintOfPart(string(message))
	}
	return FingerprintOfPart(string(encoded))
}

// TrialJitter returns the TrialJitter of an instance, which depends on its ID only.
func TrialJitter(instance types.InstanceID) float64 {
	digest := sha256.Sum256([]byte(instance))
	return float64(binary.BigEndian.Uint32(digest[:])) / (1 << 32)
}

// IsPart reports whether the fingerprint belongs to a part of a prompt, not to a whole
// request.
func (f Fingerprint) IsPart() bool { return bytes.HasPrefix(f[:], partPrefix) }

// partCrash is a crash and what is known of the attempt that it ended.
type partCrash struct {
	crash
	// began is when the attempt of this instance began; it is meaningless for a crash
	// that was only reported.
	began time.Duration
	own   bool
}

// startsRound reports whether the crash is evidence that is independent of the round
// before it: it came later, or its attempt began after that.
func (c partCrash) startsRound(begin, last time.Duration) bool {
	return c.at-begin >= roundSpacing || c.own && c.began >= last
}

// partState is the evidence against one part since its last sound answer.
type partState struct {
	// crashes is ordered by time.
	crashes   []partCrash
	convicted bool
	// since is when the part was convicted.
	since time.Duration
	// minRounds and minWeight are what the conviction rests on at least. A peer that
	// convicted the part may have seen more than this instance.
	minRounds, minWeight int
	// passed is when the last request with the convicted part was let through, if any.
	passed   time.Duration
	wasTried bool
	// triableSince is when the first request came that may settle before the end of the
	// sentence whether the part is guilty, or zero if none came since the last that was refused
	// for this part and may not.
	triableSince time.Duration
	// explainers are the parts and requests that may explain the crashes, as of a
	// version of the table and a time.
	explainers   []explainer
	explainedFor uint64
	explainedAt  time.Duration
}

// noteTriable records whether a request may settle before the end of the sentence whether the
// part is guilty. One that may not ends the wait, unless it is refused for another part already.
func (s *partState) noteTriable(now time.Duration, triable, refused bool) {
	if !triable && !refused {
		s.triableSince = 0
	} else if triable && s.triableSince == 0 {
		s.triableSince = now
	}
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
func (s *partState) add(c partCrash) bool {
	known := slices.IndexFunc(s.crashes, c.matchesPart)
	if s.convicted && known < 0 && c.at-s.lastCrash() >= roundSpacing {
		s.minRounds++
	}
	if known >= 0 {
		s.crashes[known].at = min(s.crashes[known].at, c.at)
	} else {
		s.crashes = append(s.crashes, c)
	}
	slices.SortStableFunc(s.crashes, func(a, b partCrash) int { return cmp.Compare(a.at, b.at) })
	if len(s.crashes) > maxPartCrashes {
		s.dropOne()
	}
	return known < 0
}

// dropOne removes the oldest crash that does not begin a round, or else the oldest.
func (s *partState) dropOne() {
	sizes := roundSizes(s.crashes)
	index := 0
	for _, size := range sizes {
		if size > 1 {
			s.crashes = slices.Delete(s.crashes, index+1, index+2)
			return
		}
		index += size
	}
	s.crashes = slices.Delete(s.crashes, 0, 1)
}

// dropBefore removes the crashes before a time.
func (s *partState) dropBefore(limit time.Duration) {
	s.crashes = slices.DeleteFunc(s.crashes, func(c partCrash) bool { return c.at < limit })
}

// crashesAfter returns the crashes after a time.
func (s *partState) crashesAfter(limit time.Duration) []partCrash {
	return slices.DeleteFunc(slices.Clone(s.crashes), func(c partCrash) bool { return c.at <= limit })
}

// roundSizes returns the number of crashes in each round of crashes that are ordered by
// time.
func roundSizes(crashes []partCrash) []int {
	var sizes []int
	var begin, last time.Duration
	for _, c := range crashes {
		if len(sizes) == 0 || c.startsRound(begin, last) {
			sizes = append(sizes, 0)
			begin = c.at
		}
		sizes[len(sizes)-1]++
		last = c.at
	}
	return sizes
}

// rounds returns the number of rounds.
func rounds(crashes []partCrash) int { return len(roundSizes(crashes)) }

// weight returns the number of crashes, of each round at most maxRoundWeight.
func weight(crashes []partCrash) int {
	total := 0
	for _, size := range roundSizes(crashes) {
		total += min(size, maxRoundWeight)
	}
	return total
}

// judge convicts the part if its rounds reach the limit, and reports whether that is
// new.
func (s *partState) judge(now time.Duration, required int) bool {
	if s.convicted || rounds(s.crashes) < required {
		return false
	}
	s.convicted, s.since = true, now
	s.minRounds = max(s.minRounds, rounds(s.crashes))
	return true
}

// firm reports whether the evidence suffices for a long sentence.
func (s *partState) firm() bool {
	return s.rounds() >= firmRounds || max(weight(s.crashes), s.minWeight) >= firmWeight
}

// rounds returns the number of rounds that the conviction rests on.
func (s *partState) rounds() int { return max(rounds(s.crashes), s.minRounds) }

// longSentence returns the time from the last crash to the trial of a firm conviction.
func (s *partState) longSentence() time.Duration {
	length := firmSentence
	for range s.rounds() - firmRounds {
		length = min(2*length, maxSentence)
	}
	return length
}

// shortSentence returns that of another conviction.
func (s *partState) shortSentence() time.Duration {
	length := shortSentence
	after := slices.IndexFunc(s.crashes, func(c partCrash) bool { return c.at > s.since+trialInterval })
	if after < 0 {
		return length
	}
	for range rounds(s.crashes[after:]) - shortTrials {
		length = min(shortGrowth*length, maxSentence)
	}
	return length
}

// matchesPart reports whether both are reports of the same crash.
func (c partCrash) matchesPart(other partCrash) bool {
	return c.upstream == other.upstream && (c.at-other.at).Abs() <= partCrashMatchWindow
}

// reports returns the crashes with their ages.
func reports(now time.Duration, crashes []partCrash) []CrashReport {
	list := make([]CrashReport, 0, len(crashes))
	for _, c := range crashes {
		list = append(list, CrashReport{Upstream: c.upstream, AgeMilliseconds: (now - c.at).Milliseconds()})
	}
	return list
}

// crashes returns the crashes of an entry on the local clock, ordered by time.
func (e Entry) crashes(now time.Duration) []partCrash {
	list := make([]partCrash, 0, len(e.Crashes))
	for _, report := range e.Crashes {
		at := now - time.Duration(report.AgeMilliseconds)*time.Millisecond
		list = append(list, partCrash{crash: crash{upstream: report.Upstream, at: at}})
	}
	slices.SortStableFunc(list, func(a, b partCrash) int { return cmp.Compare(a.at, b.at) })
	return list
}
