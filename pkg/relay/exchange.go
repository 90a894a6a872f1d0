package relay

import (
	"context"
	"fmt"
	"sync"

	"github.com/umbercrank/umbercrank/pkg/configservice"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
	"github.com/umbercrank/umbercrank/pkg/wait"
)

// exchangeLoop exchanges versions with a random instance in each period. It
// delivers configurations whose announcement was lost.
func (r *Relay) exchangeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, r.random.jitter(r.settings.ExchangePeriod))
		others := r.random.shuffled(r.others())
		if len(others) > 0 && ctx.Err() == nil {
			_, _ = r.exchange(ctx, others[0])
		}
	}
}

// hintLoop exchanges versions with the instances in the hint queue.
func (r *Relay) hintLoop(ctx context.Context) {
	for {
		select {
		case instance := <-r.hints:
			_, _ = r.exchange(ctx, instance)
		case <-ctx.Done():
			return
		}
	}
}

// addHint queues an exchange with an instance that has a newer configuration. It
// drops the hint when the queue is full.
func (r *Relay) addHint(id types.InstanceID) {
	for _, instance := range r.others() {
		if instance.ID != id {
			continue
		}
		select {
		case r.hints <- instance:
		default:
		}
		return
	}
}

// exchange exchanges versions with the instance and applies its configuration if
// that is newer.
func (r *Relay) exchange(ctx context.Context, instance types.Instance) (manifestResponse, error) {
	from := source{instance: instance.ID, address: instance.PeerAddress}
	current, snapshot := r.inForce()
	var response manifestResponse
	if err := r.exchangeVersions(ctx, from, current, &response); err != nil {
		return response, err
	}
	if !r.shouldApply(response.Version) {
		return response, nil
	}
	base := configservice.Manifest{}
	if snapshot != nil {
		base = snapshot.Manifest()
	}
	manifest := applyDelta(base, response)
	if manifest.Digest() != response.Version.Digest {
		message := fmt.Sprintf("the manifest from instance %s does not match the digest in its response", instance.ID)
		return response, fault.New(fault.PeerRejected, message)
	}
	_, err := r.applyManifest(ctx, manifest, from)
	return response, err
}

// exchangeVersions sends the version in force here and receives the response of
// the other instance.
func (r *Relay) exchangeVersions(ctx context.Context, from source, current version, response *manifestResponse) error {
	ctx, cancel := context.WithTimeout(ctx, r.settings.PeerTimeout)
	defer cancel()
	return r.call(ctx, from, methodManifest, current, response)
}

// call makes one call to another instance and counts it and its failure.
func (r *Relay) call(ctx context.Context, to source, method string, params, result any) error {
	r.counters.peerCalls.Add(1)
	err := r.options.Caller.Call(ctx, to.address, method, params, result)
	if err != nil {
		r.counters.peerFailures.Add(1)
	}
	return err
}

// announceLoop announces the version in force after each change. It runs separately
// from applyManifest, so that an unresponsive instance does not delay the next
// configuration.
func (r *Relay) announceLoop(ctx context.Context) {
	for {
		select {
		case <-r.announcements:
			current, _ := r.inForce()
			r.announce(ctx, current)
		case <-ctx.Done():
			return
		}
	}
}

// announce notifies up to FanOut instances of the version in force. Each of them
// applies and announces it in turn, so it reaches the fleet in a few rounds.
func (r *Relay) announce(ctx context.Context, current version) {
	ctx, cancel := context.WithTimeout(ctx, r.settings.PeerTimeout)
	defer cancel()
	self := r.options.View.Self()
	var work sync.WaitGroup
	for _, instance := range r.random.pick(r.others(), self.DataCentre, r.settings.FanOut) {
		work.Go(func() {
			err := r.options.Caller.Notify(ctx, instance.PeerAddress, methodAnnounce, current)
			if err != nil {
				r.counters.peerFailures.Add(1)
			}
		})
	}
	work.Wait()
}
