package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/pkg/wait"
)

// joinConcurrency bounds the instances that a fresh one asks at once.
const joinConcurrency = 8

// joiner is the state of a fresh instance until it is admitted.
type joiner struct {
	relay     *Relay
	started   time.Time
	listRead  time.Time
	listKnown bool
	listed    []types.Instance

	mu      sync.Mutex
	answers map[types.InstanceID]manifestAnswer
}

// join asks the listed instances and the service until the instance may serve.
func (r *Relay) join(ctx context.Context) {
	j := &joiner{relay: r, started: time.Now(), answers: map[types.InstanceID]manifestAnswer{}}
	for ctx.Err() == nil {
		j.readList(ctx)
		j.askSome(ctx)
		if r.memory.lastSeen() == 0 && j.mayRead() {
			r.readOnce(ctx, 0, 0)
		}
		if admit(j.state(), r.settings) {
			close(r.ready)
			return
		}
		wait.For(ctx, r.chance.around(r.settings.RetryDelay))
	}
}

// mayRead reports whether it is this instance's turn to read the service.
func (j *joiner) mayRead() bool {
	return j.relay.isReader() || time.Since(j.started) >= j.relay.settings.FreshReadDelay
}

// readList reads the instance list, and takes what the view knows besides.
func (j *joiner) readList(ctx context.Context) {
	r := j.relay
	if !j.listRead.IsZero() && time.Since(j.listRead) < r.settings.ListPeriod {
		return
	}
	j.listRead = time.Now()
	r.counters.serviceReads.Add(1)
	listed, err := r.options.Source.Instances(ctx)
	if err != nil {
		r.serviceFailed(ctx, err)
	} else {
		j.listKnown = true
		j.listed = without(listed, r.options.View.Self().ID)
	}
	for _, instance := range r.others() {
		if !slices.ContainsFunc(j.listed, func(i types.Instance) bool { return i.ID == instance.ID }) {
			j.listed = append(j.listed, instance)
		}
	}
}

// askSome exchanges versions with some of the listed instances at once, those
// that have not answered first.
func (j *joiner) askSome(ctx context.Context) {
	candidates := j.relay.chance.shuffled(j.listed)
	slices.SortStableFunc(candidates, func(a, b types.Instance) int { return j.answered(a.ID) - j.answered(b.ID) })
	var work sync.WaitGroup
	for _, instance := range candidates[:min(len(candidates), joinConcurrency)] {
		work.Go(func() { j.ask(ctx, instance) })
	}
	work.Wait()
}

// ask exchanges versions with one instance and keeps its answer.
func (j *joiner) ask(ctx context.Context, instance types.Instance) {
	answer, err := j.relay.exchange(ctx, instance)
	if err != nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.answers[instance.ID] = answer
}

// answered ranks instances for askSome: no answer yet, then not serving, then
// serving.
func (j *joiner) answered(id types.InstanceID) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	answer, ok := j.answers[id]
	switch {
	case !ok:
		return 0
	case !answer.Serving:
		return 1
	default:
		return 2
	}
}

// state returns what admit decides on.
func (j *joiner) state() admission {
	_, current := j.relay.held()
	state := admission{
		held:      current != nil,
		listKnown: j.listKnown,
		listed:    len(j.listed),
		elapsed:   time.Since(j.started),
	}
	for _, instance := range j.listed {
		switch j.answered(instance.ID) {
		case 1:
			state.fresh++
		case 2:
			state.serving++
		}
	}
	return state
}
