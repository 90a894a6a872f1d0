package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/pkg/wait"
)

// joinConcurrency is the maximum number of instances that a starting instance
// queries at once.
const joinConcurrency = 8

// joiner is the state of a starting instance until it is admitted.
type joiner struct {
	relay      *Relay
	started    time.Time
	listReadAt time.Time
	listKnown  bool
	listed     []types.Instance

	mu        sync.Mutex
	responses map[types.InstanceID]manifestResponse
}

// join queries the listed instances and the configuration service until the
// instance is admitted, then closes ready.
func (r *Relay) join(ctx context.Context) {
	j := &joiner{relay: r, started: time.Now(), responses: map[types.InstanceID]manifestResponse{}}
	for ctx.Err() == nil {
		j.readList(ctx)
		j.queryInstances(ctx)
		if r.history.lastProcessed() == 0 && j.mayReadService() {
			r.readManifest(ctx, 0, 0)
		}
		if admit(j.admissionState(), r.settings) {
			close(r.ready)
			return
		}
		wait.For(ctx, r.random.jitter(r.settings.RetryDelay))
	}
}

// mayReadService reports whether this instance may read the manifest from the
// configuration service: readers at once, others after StartupReadDelay.
func (j *joiner) mayReadService() bool {
	return j.relay.isReader() || time.Since(j.started) >= j.relay.settings.StartupReadDelay
}

// readList reads the instance list at most once per ListPeriod and adds the live
// instances of the membership view that the list does not contain.
func (j *joiner) readList(ctx context.Context) {
	r := j.relay
	if !j.listReadAt.IsZero() && time.Since(j.listReadAt) < r.settings.ListPeriod {
		return
	}
	j.listReadAt = time.Now()
	r.counters.serviceReads.Add(1)
	listed, err := r.options.Source.Instances(ctx)
	if err != nil {
		r.recordServiceFailure(ctx, err)
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

// queryInstances exchanges versions with up to joinConcurrency listed instances
// at once. Instances that have not responded yet come first, then those that do
// not serve yet.
func (j *joiner) queryInstances(ctx context.Context) {
	candidates := j.relay.random.shuffled(j.listed)
	slices.SortStableFunc(candidates, func(a, b types.Instance) int { return j.responseRank(a.ID) - j.responseRank(b.ID) })
	var work sync.WaitGroup
	for _, instance := range candidates[:min(len(candidates), joinConcurrency)] {
		work.Go(func() { j.query(ctx, instance) })
	}
	work.Wait()
}

// query exchanges versions with one instance and stores its response.
func (j *joiner) query(ctx context.Context, instance types.Instance) {
	response, err := j.relay.exchange(ctx, instance)
	if err != nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.responses[instance.ID] = response
}

// responseRank returns 0 for an instance that has not responded, 1 for one that
// responded and does not serve yet, and 2 for one that serves.
func (j *joiner) responseRank(id types.InstanceID) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	response, ok := j.responses[id]
	switch {
	case !ok:
		return 0
	case !response.Serving:
		return 1
	default:
		return 2
	}
}

// admissionState returns the input of admit.
func (j *joiner) admissionState() admissionState {
	_, snapshot := j.relay.inForce()
	state := admissionState{
		configured: snapshot != nil,
		listKnown:  j.listKnown,
		listed:     len(j.listed),
		elapsed:    time.Since(j.started),
	}
	for _, instance := range j.listed {
		switch j.responseRank(instance.ID) {
		case 1:
			state.notServing++
		case 2:
			state.serving++
		}
	}
	return state
}
