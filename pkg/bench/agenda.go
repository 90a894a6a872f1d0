package bench

import (
	"container/heap"
	"time"
)

// agenda calls functions in the order of virtual time.
type agenda struct {
	now   time.Duration
	order uint64
	queue appointments
}

// appointment is one call at one time; the order breaks ties.
type appointment struct {
	at    time.Duration
	order uint64
	call  func()
}

type appointments []appointment

func (a appointments) Len() int { return len(a) }
func (a appointments) Less(i, j int) bool {
	return a[i].at < a[j].at || (a[i].at == a[j].at && a[i].order < a[j].order)
}
func (a appointments) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *appointments) Push(x any)   { *a = append(*a, x.(appointment)) }
func (a *appointments) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// at books a call at a time, or now if the time has passed.
func (a *agenda) at(when time.Duration, call func()) {
	a.order++
	heap.Push(&a.queue, appointment{max(when, a.now), a.order, call})
}

// after books a call after a delay.
func (a *agenda) after(delay time.Duration, call func()) {
	a.at(a.now+delay, call)
}

// run makes the calls up to the time, while proceed holds.
func (a *agenda) run(until time.Duration, proceed func() bool) {
	for len(a.queue) > 0 && a.queue[0].at <= until && proceed() {
		next := heap.Pop(&a.queue).(appointment)
		a.now = next.at
		next.call()
	}
}
