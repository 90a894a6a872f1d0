package capacity

import (
	"math"
	"time"
)

// maxSums bounds the sums that are held: two classes of 312 upstreams in three buckets.
const maxSums = 4096

// Sums adds up summaries of the same process, class and bucket. It is not safe for concurrent
// use.
type Sums struct {
	sums map[sumKey]Summary
}

type sumKey struct {
	process Process
	class   Class
	bucket  int64
}

// NewSums returns sums without observations.
func NewSums() *Sums { return &Sums{sums: make(map[sumKey]Summary)} }

// Add adds summaries whose age is as of now.
func (s *Sums) Add(now time.Duration, summaries []Summary) {
	for _, summary := range summaries {
		if !summary.Valid() {
			continue
		}
		key := sumKey{summary.Process, summary.Class, int64(max(now-summary.Ago, 0) / bucketTime)}
		held, ok := s.sums[key]
		if !ok && len(s.sums) >= maxSums {
			continue
		}
		summary = summary.bounded()
		summary.Count, summary.Sum = summary.Count+held.Count, summary.Sum+held.Sum
		s.sums[key] = summary
	}
}

// Take returns the sums with their age, and forgets them.
func (s *Sums) Take(now time.Duration) []Summary {
	summaries := make([]Summary, 0, len(s.sums))
	for key, sum := range s.sums {
		sum.Ago = now - time.Duration(key.bucket)*bucketTime
		// A thousandth is well below the noise, and a short number makes a short message.
		sum.Sum = math.Round(sum.Sum*1000) / 1000
		if sum.Valid() {
			summaries = append(summaries, sum)
		}
	}
	clear(s.sums)
	return summaries
}
