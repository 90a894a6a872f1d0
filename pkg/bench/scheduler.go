package bench

import (
	"container/heap"
	"time"
)

// scheduler calls functions in the order of virtual time.
type scheduler struct {
	now      time.Duration
	sequence uint64
	calls    callHeap
}

// scheduledCall is a call at a point of virtual time. Calls at the same time run
// in the order in which they were scheduled.
type scheduledCall struct {
	at       time.Duration
	sequence uint64
	call     func()
}

type callHeap []scheduledCall

func (h callHeap) Len() int { return len(h) }
func (h callHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].sequence < h[j].sequence)
}
func (h callHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *callHeap) Push(x any)   { *h = append(*h, x.(scheduledCall)) }
func (h *callHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// at schedules a call for the given time, or for now if that time has passed.
func (s *scheduler) at(at time.Duration, call func()) {
	s.sequence++
	heap.Push(&s.calls, scheduledCall{max(at, s.now), s.sequence, call})
}

// after schedules a call after a delay.
func (s *scheduler) after(delay time.Duration, call func()) {
	s.at(s.now+delay, call)
}

// run makes the calls that are due up to the given time, as long as proceed
// returns true.
func (s *scheduler) run(until time.Duration, proceed func() bool) {
	for len(s.calls) > 0 && s.calls[0].at <= until && proceed() {
		next := heap.Pop(&s.calls).(scheduledCall)
		s.now = next.at
		next.call()
	}
}
