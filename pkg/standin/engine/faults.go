package engine

import (
	"encoding/json"
	"net/http"
	"time"
)

// ApplyFaults applies the change to the injected faults.
func (e *Engine) ApplyFaults(change FaultsChange) {
	e.mu.Lock()
	e.applyFaultsLocked(change)
	e.recordLoadLocked(e.now())
	e.mu.Unlock()
	if change.Crash {
		e.Crash()
	}
}

// applyFaultsLocked sets the faults whose fields are present. The caller holds mu.
func (e *Engine) applyFaultsLocked(change FaultsChange) {
	if change.Leaving != nil {
		e.faults.Leaving = *change.Leaving
	}
	if change.Straggle != nil {
		e.faults.Straggle = *change.Straggle
		e.model.SetStraggle(*change.Straggle)
	}
	if change.LoadLagMilliseconds != nil {
		e.faults.LoadLag = time.Duration(*change.LoadLagMilliseconds) * time.Millisecond
	}
	if limit := change.MaxRequestsPerSecond; limit != nil {
		e.faults.MaxRequestsPerSecond = limit
		if *limit < 0 {
			e.faults.MaxRequestsPerSecond = nil
		}
	}
	if change.PoisonMarker != nil {
		e.faults.PoisonMarker = *change.PoisonMarker
	}
	if change.BreakNext != nil {
		e.faults.BreakNext = *change.BreakNext
	}
	if change.BreakAfterTokens != nil {
		e.faults.BreakAfterTokens = *change.BreakAfterTokens
	}
}

// faultsForRequest returns the faults for a new request and, unless the engine is
// leaving, decrements BreakNext.
func (e *Engine) faultsForRequest() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	faults := e.faults
	if !faults.Leaving && faults.BreakNext > 0 {
		e.faults.BreakNext--
	}
	return faults
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var change FaultsChange
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, e.settings.MaxBodyBytes)).Decode(&change); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	e.ApplyFaults(change)
	w.WriteHeader(http.StatusNoContent)
}
