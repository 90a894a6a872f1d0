package node

import (
	"encoding/json"
	"expvar"
	"net/http"

	"github.com/umbercrank/umbercrank/pkg/relay"
	"github.com/umbercrank/umbercrank/pkg/statechart"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// Status is the answer of GET /debug/status.
type Status struct {
	Instance    types.InstanceID    `json:"instance"`
	Incarnation types.Incarnation   `json:"incarnation"`
	DataCentre  types.DataCentre    `json:"data_centre"`
	State       types.InstanceState `json:"state"`
	// Revision is that of the configuration in force; zero before the first.
	Revision types.Revision   `json:"revision"`
	Live     []types.Instance `json:"live"`
	Relay    relay.Status     `json:"relay"`
	// Phase is the state of the instance's own life cycle.
	Phase statechart.State `json:"phase,omitempty"`
}

// operatorHandler serves metrics, the time line, the status and health.
func (n *Node) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.Handle("GET /debug/timeline", n.ring.Handler())
	mux.HandleFunc("GET /debug/status", n.serveStatus)
	mux.HandleFunc("GET /healthz", n.serveHealth)
	return mux
}

// Status returns what the instance believes of itself and the fleet, with the
// phase of its life.
func (n *Node) Status() Status {
	status := n.roles.Status()
	status.Phase = n.life.state()
	return status
}

// serveStatus writes the status as JSON.
func (n *Node) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(n.Status()); err != nil {
		n.logger.Debug().Err(err).Msg("status not sent")
	}
}

// serveHealth answers 200 while callers are served.
func (n *Node) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if !n.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Status returns what the instance believes of itself and the fleet.
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
