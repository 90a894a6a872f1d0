package directory

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// statusMethod asks an instance for its window and load.
const statusMethod = "directory.status"

// minRefreshPause is the least time between two rounds of questions.
const minRefreshPause = time.Second

// status is what an instance tells of itself.
type status struct {
	Incarnation types.Incarnation `json:"incarnation"`
	Window      string            `json:"window,omitempty"`
	Load        int               `json:"load"`
}

// reading is a status and the time of its receipt.
type reading struct {
	status
	at time.Time
}

// Register adds the methods that peers call.
func (d *Directory) Register(r peer.Registrar) {
	r.Handle(statusMethod, d.handleStatus)
}

// handleStatus answers a peer's question.
func (d *Directory) handleStatus(context.Context, peer.Identity, json.RawMessage) (any, error) {
	return status{Incarnation: d.options.Incarnation, Window: d.ownWindow(), Load: d.ownLoad()}, nil
}

func (d *Directory) ownLoad() int {
	if d.options.Load == nil {
		return 0
	}
	return d.options.Load()
}

// refresh asks the instances that answers name most: a bounded number of the
// nearest, whatever the size of the fleet.
func (d *Directory) refresh(ctx context.Context) {
	near := order(string(d.options.Self.ID), d.options.View.Live(), d.options.Self, nil)
	near = near[:min(len(near), d.options.Settings.MaxAsked)]
	var asking sync.WaitGroup
	for _, instance := range near {
		if instance.ID != d.options.Self.ID {
			asking.Go(func() { d.ask(ctx, instance) })
		}
	}
	asking.Wait()
	d.forget()
}

// ask asks one instance and keeps its answer.
func (d *Directory) ask(ctx context.Context, instance types.Instance) {
	ctx, cancel := context.WithTimeout(ctx, d.options.Settings.AskTimeout)
	defer cancel()
	var s status
	if err := d.options.Caller.Call(ctx, instance.PeerAddress, statusMethod, struct{}{}, &s); err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.statuses[instance.ID] = reading{s, time.Now()}
}

// forget drops old statuses.
func (d *Directory) forget() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, r := range d.statuses {
		if time.Since(r.at) > d.options.Settings.StatusLifetime {
			delete(d.statuses, id)
		}
	}
}

// fresh returns the status of an instance unless it is old.
func (d *Directory) fresh(id types.InstanceID) (status, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.statuses[id]
	return r.status, ok && time.Since(r.at) <= d.options.Settings.StatusLifetime
}

// loads returns the known loads, with this instance's own.
func (d *Directory) loads() map[types.InstanceID]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	loads := make(map[types.InstanceID]int, len(d.statuses)+1)
	for id, r := range d.statuses {
		loads[id] = r.Load
	}
	if d.options.Load != nil {
		loads[d.options.Self.ID] = d.options.Load()
	}
	return loads
}
