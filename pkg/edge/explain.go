package edge

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/umbercrank/umbercrank/pkg/explain"
	"github.com/umbercrank/umbercrank/pkg/fault"
)

// explainTimeout bounds the time to receive a request for an explanation.
const explainTimeout = 5 * time.Second

// explain serves explanations of placement decisions to clients that have the peer secret. An
// instance explains one request at a time, so that explanations cost no more than requests.
func (e *Edge) explain(w http.ResponseWriter, r *http.Request) {
	result, err := e.explanation(w, r)
	if err != nil {
		failure := fault.From(err)
		http.Error(w, failure.Error(), failure.Code.Status())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(result)
}

func (e *Edge) explanation(w http.ResponseWriter, r *http.Request) (*explain.Explanation, error) {
	if err := explain.Verify(r.Header, e.settings.PeerSecret, time.Now()); err != nil {
		return nil, err
	}
	if !e.explaining.TryLock() {
		return nil, fault.New(fault.Overloaded, "the instance explains another request")
	}
	defer e.explaining.Unlock()
	// Setting a deadline fails only for the writers of tests, whose clients do not stall.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(explainTimeout))
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.gateway.MaxExplainedBytes()))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fault.Wrap(fault.BodyTooLarge, err, "the request to explain is too large")
	}
	if err != nil {
		return nil, fault.Wrap(fault.CallerGone, err, "the request to explain is incomplete")
	}
	if err := explain.VerifyBody(r.Header, raw); err != nil {
		return nil, err
	}
	return e.gateway.Explain(raw), nil
}
