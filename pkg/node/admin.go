package node

import (
	"encoding/json"
	"expvar"
	"net/http"

	"github.com/umbercrank/umbercrank/pkg/relay"
	"github.com/umbercrank/umbercrank/pkg/statechart"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Status is the response of GET /debug/status.
type Status struct {
	Instance    types.InstanceID    `json:"instance"`
	Incarnation types.Incarnation   `json:"incarnation"`
	DataCentre  types.DataCentre    `json:"data_centre"`
	State       types.InstanceState `json:"state"`
	// Revision is the revision of the configuration in force, or zero if there is
	// none yet.
	Revision types.Revision   `json:"revision"`
	Live     []types.Instance `json:"live"`
	Relay    relay.Status     `json:"relay"`
	// Phase is the lifecycle state of this instance.
	Phase statechart.State `json:"phase,omitempty"`
}

// adminHandler serves the metrics, the time line, the status and the health check.
func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.Handle("GET /debug/timeline", n.ring.Handler())
	mux.HandleFunc("GET /debug/status", n.serveStatus)
	mux.HandleFunc("GET /healthz", n.serveHealth)
	return mux
}

// Status returns this instance's view of itself and the fleet, with its lifecycle
// state.
func (n *Node) Status() Status {
	status := n.roles.Status()
	status.Phase = n.lifecycle.state()
	return status
}

// serveStatus writes the status as JSON.
func (n *Node) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(n.Status()); err != nil {
		n.logger.Debug().Err(err).Msg("cannot write status response")
	}
}

// serveHealth responds with 200 if callers are served, otherwise with 503.
func (n *Node) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if !n.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Status returns this instance's view of itself and the fleet.
func (r *Roles) Status() Status {
	self := r.members.Self()
	status := Status{
		Instance:    self.ID,
		Incarnation: r.incarnation,
		DataCentre:  self.DataCentre,
		State:       self.State,
		Live:        r.members.Live(),
		Relay:       r.relay.Status(),
	}
	if current := r.store.Current(); current != nil {
		status.Revision = current.Revision()
	}
	return status
}
