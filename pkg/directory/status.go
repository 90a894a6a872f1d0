package directory

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// statusMethod is the peer method that returns an instance's window and load.
const statusMethod = "directory.status"

// minRefreshInterval is the minimum interval between two refreshes.
const minRefreshInterval = time.Second

// status is the response of statusMethod.
type status struct {
	Incarnation types.Incarnation `json:"incarnation"`
	Window      string            `json:"window,omitempty"`
	Load        int               `json:"load"`
}

// cachedStatus is a status and the time at which it was received.
type cachedStatus struct {
	status
	receivedAt time.Time
}

// Register registers the methods that peers call.
func (d *Directory) Register(r peer.Registrar) {
	r.Handle(statusMethod, d.handleStatus)
}

// handleStatus returns the status of this instance to a peer.
func (d *Directory) handleStatus(context.Context, peer.Identity, json.RawMessage) (any, error) {
	return status{Incarnation: d.options.Incarnation, Window: d.ownWindow(), Load: d.ownLoad()}, nil
}

func (d *Directory) ownLoad() int {
	if d.options.Load == nil {
		return 0
	}
	return d.options.Load()
}

// refresh fetches the status of the nearest instances, which answers contain most
// often. Their number is limited independently of the fleet size.
func (d *Directory) refresh(ctx context.Context) {
	nearest := order(string(d.options.Self.ID), d.options.View.Live(), d.options.Self, nil)
	nearest = nearest[:min(len(nearest), d.options.Settings.MaxStatusPeers)]
	var wg sync.WaitGroup
	for _, instance := range nearest {
		if instance.ID != d.options.Self.ID {
			wg.Go(func() { d.fetchStatus(ctx, instance) })
		}
	}
	wg.Wait()
	d.removeExpired()
}

// fetchStatus fetches and caches the status of one instance.
func (d *Directory) fetchStatus(ctx context.Context, instance types.Instance) {
	ctx, cancel := context.WithTimeout(ctx, d.options.Settings.StatusTimeout)
	defer cancel()
	var s status
	if err := d.options.Caller.Call(ctx, instance.PeerAddress, statusMethod, struct{}{}, &s); err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.statuses[instance.ID] = cachedStatus{s, time.Now()}
}

// removeExpired removes expired statuses.
func (d *Directory) removeExpired() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, cached := range d.statuses {
		if time.Since(cached.receivedAt) > d.options.Settings.StatusLifetime {
			delete(d.statuses, id)
		}
	}
}

// validStatus returns the status of an instance unless it is unknown or expired.
func (d *Directory) validStatus(id types.InstanceID) (status, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	cached, ok := d.statuses[id]
	return cached.status, ok && time.Since(cached.receivedAt) <= d.options.Settings.StatusLifetime
}

// loads returns the cached loads of peers and this instance's own load, if known.
func (d *Directory) loads() map[types.InstanceID]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	loads := make(map[types.InstanceID]int, len(d.statuses)+1)
	for id, cached := range d.statuses {
		loads[id] = cached.Load
	}
	if d.options.Load != nil {
		loads[d.options.Self.ID] = d.options.Load()
	}
	return loads
}
