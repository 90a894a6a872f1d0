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

// exchangeLoop compares versions with one random instance each period, so that
// what announcements miss arrives all the same.
func (r *Relay) exchangeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, r.chance.around(r.settings.ExchangePeriod))
		others := r.chance.shuffled(r.others())
		if len(others) > 0 && ctx.Err() == nil {
			_, _ = r.exchange(ctx, others[0])
		}
	}
}

// followLoop asks the instances that are known to be ahead.
func (r *Relay) followLoop(ctx context.Context) {
	for {
		select {
		case instance := <-r.hints:
			_, _ = r.exchange(ctx, instance)
		case <-ctx.Done():
			return
		}
	}
}

// hint notes that the instance is ahead.
func (r *Relay) hint(id types.InstanceID) {
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

// exchange compares versions with the instance and takes what is newer there.
func (r *Relay) exchange(ctx context.Context, instance types.Instance) (manifestAnswer, error) {
	from := origin{instance: instance.ID, address: instance.PeerAddress}
	held, current := r.held()
	var answer manifestAnswer
	if err := r.ask(ctx, from, held, &answer); err != nil {
		return answer, err
	}
	if !r.wants(answer.Version) {
		return answer, nil
	}
	base := configservice.Manifest{}
	if current != nil {
		base = current.Manifest()
	}
	manifest := patch(base, answer)
	if manifest.Digest() != answer.Version.Digest {
		message := fmt.Sprintf("the manifest of %s does not have the digest that it named", instance.ID)
		return answer, fault.New(fault.PeerRejected, message)
	}
	_, err := r.take(ctx, manifest, from)
	return answer, err
}

// ask sends the version in force and receives the other's.
func (r *Relay) ask(ctx context.Context, from origin, held version, answer *manifestAnswer) error {
	ctx, cancel := context.WithTimeout(ctx, r.settings.PeerTimeout)
	defer cancel()
	return r.call(ctx, from, methodManifest, held, answer)
}

// call sends one call to an instance and counts it.
func (r *Relay) call(ctx context.Context, to origin, method string, params, result any) error {
	r.counters.peerCalls.Add(1)
	err := r.options.Caller.Call(ctx, to.address, method, params, result)
	if err != nil {
		r.counters.peerFailures.Add(1)
	}
	return err
}

// announceLoop tells others of what comes into force. It stands apart from
// taking, so that an instance that does not answer holds up no configuration.
func (r *Relay) announceLoop(ctx context.Context) {
	for {
		select {
		case <-r.applied:
			held, _ := r.held()
			r.announce(ctx, held)
		case <-ctx.Done():
			return
		}
	}
}

// announce tells a few instances of the version in force. Each of them does the
// same, so that the word spreads in a few rounds.
func (r *Relay) announce(ctx context.Context, held version) {
	ctx, cancel := context.WithTimeout(ctx, r.settings.PeerTimeout)
	defer cancel()
	self := r.options.View.Self()
	var work sync.WaitGroup
	for _, instance := range r.chance.pick(r.others(), self.DataCentre, r.settings.FanOut) {
		work.Go(func() {
			err := r.options.Caller.Notify(ctx, instance.PeerAddress, methodAnnounce, held)
			if err != nil {
				r.counters.peerFailures.Add(1)
			}
		})
	}
	work.Wait()
}
